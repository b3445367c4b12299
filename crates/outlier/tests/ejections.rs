//! Tests of the ejection fold: racing proposers, the floor, lapse and trims.

use {
    outlier::{
        commands::{apply_event, skip_to},
        queries::{is_counted_out, is_enforced, last_accepted_offset},
        EjectionEvent, EjectionEventKind, EjectionReplica, CAPACITY_MARGIN_MS, EJECTION_TTL_MS,
    },
    quickcheck::quickcheck,
};

const SLOTS: u32 = 4;

fn record(
    kind: EjectionEventKind,
    server: &str,
    proved_slots: u32,
    base_offset: Option<u64>,
) -> EjectionEvent {
    EjectionEvent {
        kind,
        server: server.into(),
        slots: SLOTS,
        healthy_slots: proved_slots,
        floor_slots: 8,
        base_offset,
    }
}

fn eject(server: &str, proved_slots: u32, base_offset: Option<u64>) -> EjectionEvent {
    record(EjectionEventKind::Eject, server, proved_slots, base_offset)
}

#[test]
fn fold_racing_proposers() {
    let mut ejections = EjectionReplica::new();
    assert!(apply_event(
        &mut ejections,
        0,
        &eject("a", 12, None),
        0,
        0,
        0
    ));
    assert!(!apply_event(
        &mut ejections,
        1,
        &eject("b", 12, None),
        0,
        0,
        0
    ));
    assert_eq!(last_accepted_offset(&ejections), Some(0));
    assert!(apply_event(
        &mut ejections,
        2,
        &eject("b", 12, Some(0)),
        0,
        0,
        0
    ));
}

#[test]
fn fold_below_floor() {
    let mut ejections = EjectionReplica::new();
    assert!(!apply_event(
        &mut ejections,
        0,
        &eject("a", 11, None),
        0,
        0,
        0
    ));
    assert!(!is_enforced(&ejections, "a", 0));
}

#[test]
fn obeyed_lapses_before_counted() {
    let mut ejections = EjectionReplica::new();
    apply_event(&mut ejections, 0, &eject("a", 12, None), 0, 0, 0);
    assert!(is_enforced(&ejections, "a", EJECTION_TTL_MS - 1));
    assert!(!is_enforced(&ejections, "a", EJECTION_TTL_MS));
    assert!(is_counted_out(&ejections, "a", EJECTION_TTL_MS));
    assert!(!is_counted_out(
        &ejections,
        "a",
        EJECTION_TTL_MS + CAPACITY_MARGIN_MS
    ));
}

#[test]
fn obeyed_old_record_read_late() {
    let mut ejections = EjectionReplica::new();
    apply_event(
        &mut ejections,
        0,
        &eject("a", 12, None),
        0,
        EJECTION_TTL_MS,
        500,
    );
    assert!(!is_enforced(&ejections, "a", 500));
}

#[test]
fn renew_after_lapse() {
    let mut ejections = EjectionReplica::new();
    apply_event(&mut ejections, 0, &eject("a", 12, None), 0, 0, 0);
    let renew = record(EjectionEventKind::Renew, "a", 12, Some(0));
    assert!(apply_event(
        &mut ejections,
        1,
        &renew,
        EJECTION_TTL_MS - 1,
        0,
        0
    ));
    assert!(!apply_event(
        &mut ejections,
        2,
        &renew,
        2 * EJECTION_TTL_MS,
        0,
        0
    ));
}

#[test]
fn return_ends_ejection() {
    let mut ejections = EjectionReplica::new();
    apply_event(&mut ejections, 0, &eject("a", 12, None), 0, 0, 0);
    assert!(apply_event(
        &mut ejections,
        1,
        &record(EjectionEventKind::Return, "a", 0, None),
        0,
        0,
        0
    ));
    assert!(!is_enforced(&ejections, "a", 1));
}

#[test]
fn skip_to_unknown_base() {
    let mut ejections = EjectionReplica::new();
    skip_to(&mut ejections, 10);
    assert!(apply_event(
        &mut ejections,
        10,
        &eject("a", 12, Some(7)),
        0,
        0,
        0
    ));
    assert!(!apply_event(
        &mut ejections,
        11,
        &eject("b", 12, Some(7)),
        0,
        0,
        0
    ));
}

quickcheck! {
    /// Proposers that count truthfully, however stale their view, never leave less than the floor.
    fn fold_leaves_floor(turns: Vec<(u8, u8)>) -> bool {
        const SERVERS: usize = 5;
        let mut ejections = EjectionReplica::new();
        let mut log: Vec<EjectionEvent> = Vec::new();
        turns.iter().all(|(server, lag)| {
            // The proposer has folded the log but for its last `lag` records.
            let known = log.len().saturating_sub(usize::from(*lag % 4));
            let mut view = EjectionReplica::new();
            for (offset, record) in log.iter().take(known).enumerate() {
                apply_event(&mut view, offset as u64, record, 0, 0, 0);
            }
            let out = |fold: &EjectionReplica, name: &str| is_counted_out(fold, name, 0);
            let name = (usize::from(*server) % SERVERS).to_string();
            let proved = (0..SERVERS).filter(|number| !out(&view, &number.to_string())).count();
            let next = eject(&name, proved as u32 * SLOTS, last_accepted_offset(&view));
            apply_event(&mut ejections, log.len() as u64, &next, 0, 0, 0);
            log.push(next);
            let left = (0..SERVERS).filter(|number| !out(&ejections, &number.to_string())).count();
            left as u32 * SLOTS >= 8
        })
    }
}
