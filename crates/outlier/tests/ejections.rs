//! Tests of the ejection replica: racing proposers, the capacity floor, expiry and trimmed streams.

use {
    outlier::{
        commands::{apply_event, skip_to, start_over},
        queries::{is_counted_out, is_enforced, last_accepted_offset},
        EjectionEvent, EjectionEventKind, EjectionReplica, CAPACITY_MARGIN_MS, EJECTION_TTL_MS,
    },
    quickcheck::quickcheck,
};

const SLOTS: u32 = 4;

fn event(
    kind: EjectionEventKind,
    server: &str,
    healthy_slots: u32,
    base_offset: Option<u64>,
) -> EjectionEvent {
    EjectionEvent {
        kind,
        server: server.into(),
        slots: SLOTS,
        healthy_slots,
        floor_slots: 8,
        base_offset,
    }
}

fn eject_event(server: &str, healthy_slots: u32, base_offset: Option<u64>) -> EjectionEvent {
    event(EjectionEventKind::Eject, server, healthy_slots, base_offset)
}

#[test]
fn apply_event_racing_proposers() {
    let mut replica = EjectionReplica::new();
    assert!(apply_event(
        &mut replica,
        0,
        &eject_event("a", 12, None),
        0,
        0,
        0
    ));
    assert!(!apply_event(
        &mut replica,
        1,
        &eject_event("b", 12, None),
        0,
        0,
        0
    ));
    assert_eq!(last_accepted_offset(&replica), Some(0));
    assert!(apply_event(
        &mut replica,
        2,
        &eject_event("b", 12, Some(0)),
        0,
        0,
        0
    ));
}

#[test]
fn apply_event_below_floor() {
    let mut replica = EjectionReplica::new();
    assert!(!apply_event(
        &mut replica,
        0,
        &eject_event("a", 11, None),
        0,
        0,
        0
    ));
    assert!(!is_enforced(&replica, "a", 0));
}

#[test]
fn is_enforced_expires_before_is_counted_out() {
    let mut replica = EjectionReplica::new();
    apply_event(&mut replica, 0, &eject_event("a", 12, None), 0, 0, 0);
    assert!(is_enforced(&replica, "a", EJECTION_TTL_MS - 1));
    assert!(!is_enforced(&replica, "a", EJECTION_TTL_MS));
    assert!(is_counted_out(&replica, "a", EJECTION_TTL_MS));
    assert!(!is_counted_out(
        &replica,
        "a",
        EJECTION_TTL_MS + CAPACITY_MARGIN_MS
    ));
}

#[test]
fn is_enforced_event_read_late() {
    let mut replica = EjectionReplica::new();
    apply_event(
        &mut replica,
        0,
        &eject_event("a", 12, None),
        0,
        EJECTION_TTL_MS,
        500,
    );
    assert!(!is_enforced(&replica, "a", 500));
}

#[test]
fn apply_event_renew_after_expiry() {
    let mut replica = EjectionReplica::new();
    apply_event(&mut replica, 0, &eject_event("a", 12, None), 0, 0, 0);
    let renew = event(EjectionEventKind::Renew, "a", 12, Some(0));
    assert!(apply_event(
        &mut replica,
        1,
        &renew,
        EJECTION_TTL_MS - 1,
        0,
        0
    ));
    assert!(!apply_event(
        &mut replica,
        2,
        &renew,
        2 * EJECTION_TTL_MS,
        0,
        0
    ));
}

#[test]
fn apply_event_return_ends_ejection() {
    let mut replica = EjectionReplica::new();
    apply_event(&mut replica, 0, &eject_event("a", 12, None), 0, 0, 0);
    assert!(apply_event(
        &mut replica,
        1,
        &event(EjectionEventKind::Return, "a", 0, None),
        0,
        0,
        0
    ));
    assert!(!is_enforced(&replica, "a", 1));
}

#[test]
fn skip_to_unknown_base() {
    let mut replica = EjectionReplica::new();
    skip_to(&mut replica, 10);
    assert!(apply_event(
        &mut replica,
        10,
        &eject_event("a", 12, Some(7)),
        0,
        0,
        0
    ));
    assert!(!apply_event(
        &mut replica,
        11,
        &eject_event("b", 12, Some(7)),
        0,
        0,
        0
    ));
}

quickcheck! {
    /// Proposers that count capacity correctly never bring it below the floor, however outdated their replica is.
    fn apply_event_keeps_floor(proposals: Vec<(u8, u8)>) -> bool {
        const SERVERS: usize = 5;
        let mut replica = EjectionReplica::new();
        let mut log: Vec<EjectionEvent> = Vec::new();
        proposals.iter().all(|(server, lag)| {
            // The proposer has applied the log except for its last `lag` events.
            let seen = log.len().saturating_sub(usize::from(*lag % 4));
            let mut proposer = EjectionReplica::new();
            for (offset, event) in log.iter().take(seen).enumerate() {
                apply_event(&mut proposer, offset as u64, event, 0, 0, 0);
            }
            let is_out = |replica: &EjectionReplica, name: &str| is_counted_out(replica, name, 0);
            let name = (usize::from(*server) % SERVERS).to_string();
            let healthy_servers = (0..SERVERS).filter(|number| !is_out(&proposer, &number.to_string())).count();
            let next = eject_event(&name, healthy_servers as u32 * SLOTS, last_accepted_offset(&proposer));
            apply_event(&mut replica, log.len() as u64, &next, 0, 0, 0);
            log.push(next);
            let remaining_servers = (0..SERVERS).filter(|number| !is_out(&replica, &number.to_string())).count();
            remaining_servers as u32 * SLOTS >= 8
        })
    }
}

/// The events after a loss were ignored, since their offsets lay before the known one.
#[test]
fn start_over_offsets_assigned_again() {
    let mut replica = EjectionReplica::new();
    let event = eject_event("a", 12, None);
    assert!(apply_event(&mut replica, 9, &event, 0, 0, 0));
    start_over(&mut replica);
    assert!(!is_enforced(&replica, "a", 1));
    assert!(apply_event(&mut replica, 0, &event, 0, 0, 0));
    assert_eq!(last_accepted_offset(&replica), Some(0));
}
