//! Tests of the config replica: racing approvals, trimmed streams, snapshots and versions merged from a peer.

use {
    config::{
        commands::{apply_event, merge_accepted, skip_to, start_over},
        queries::{accepted_config, accepted_version, check_approval, document_digest, has_gap},
        AcceptedConfig, ApplyOutcome, ConfigEvent, ConfigReplica, Decision, Document, Proposal,
        RequestKind, Route,
    },
    quickcheck::{quickcheck, Arbitrary, Gen},
    types::ResultCode,
};

fn document(number: u8) -> Document {
    Document {
        routes: vec![Route::new(&format!("/{number}"), "s", RequestKind::Safe)],
        ..Document::default()
    }
}

fn proposal(base_version: u64, number: u8, proposer: &str) -> Proposal {
    let document = document(number);
    Proposal {
        offset: 0,
        base_version,
        digest: document_digest(&document),
        proposer: proposer.into(),
        document,
    }
}

fn approval(base_version: u64, number: u8, principal: &str) -> ConfigEvent {
    ConfigEvent::Approve(Decision {
        principal: principal.into(),
        proposal: proposal(base_version, number, "operations"),
    })
}

/// A random event of the config stream.
#[derive(Clone, Debug)]
struct RandomEvent(ConfigEvent);

impl Arbitrary for RandomEvent {
    fn arbitrary(g: &mut Gen) -> Self {
        let base = u64::from(u8::arbitrary(g) % 6);
        let number = u8::arbitrary(g);
        Self(match u8::arbitrary(g) % 3 {
            0 => ConfigEvent::Propose(proposal(base, number, "operations")),
            1 => approval(base, number, "operations"),
            _ => approval(base, number, "finance"),
        })
    }
}

fn replica_of(events: &[RandomEvent]) -> ConfigReplica {
    let mut replica = ConfigReplica::new();
    for (offset, event) in events.iter().enumerate() {
        apply_event(&mut replica, offset as u64, &event.0);
    }
    replica
}

quickcheck! {
    fn apply_event_version_never_decreases(events: Vec<RandomEvent>) -> bool {
        let mut replica = ConfigReplica::new();
        let mut last_version = 0;
        events.iter().enumerate().all(|(offset, event)| {
            apply_event(&mut replica, offset as u64, &event.0);
            let is_monotonic = accepted_version(&replica) >= last_version
                && accepted_version(&replica) <= last_version + 1;
            last_version = accepted_version(&replica);
            is_monotonic
        })
    }

    fn merge_accepted_then_apply_event_matches_full_log(events: Vec<RandomEvent>, split_at: u8) -> bool {
        let split_at = usize::from(split_at) % (events.len() + 1);
        let full_replica = replica_of(&events);
        let peer = replica_of(&events[..split_at]);
        let mut late_replica = ConfigReplica::new();
        skip_to(&mut late_replica, split_at as u64);
        if let Some(accepted) = accepted_config(&peer) {
            let accepted = AcceptedConfig {
                through_offset: (split_at as u64).saturating_sub(1),
                ..accepted.clone()
            };
            merge_accepted(&mut late_replica, &accepted);
            for (offset, event) in events.iter().enumerate().skip(split_at) {
                apply_event(&mut late_replica, offset as u64, &event.0);
            }
            return accepted_config(&late_replica).map(|accepted| (accepted.version, accepted.digest.clone()))
                == accepted_config(&full_replica).map(|accepted| (accepted.version, accepted.digest.clone()));
        }
        true
    }
}

#[test]
fn apply_event_racing_approvals() {
    let mut replica = ConfigReplica::new();
    assert_eq!(
        apply_event(&mut replica, 0, &approval(0, 1, "finance")),
        ApplyOutcome::InForce
    );
    assert_eq!(
        apply_event(&mut replica, 1, &approval(0, 2, "finance")),
        ApplyOutcome::StaleBase
    );
    assert_eq!(accepted_version(&replica), 1);
}

#[test]
fn apply_event_same_principal() {
    let mut replica = ConfigReplica::new();
    assert_eq!(
        apply_event(&mut replica, 0, &approval(0, 1, "operations")),
        ApplyOutcome::SamePrincipal
    );
    assert_eq!(accepted_version(&replica), 0);
}

#[test]
fn apply_event_after_gap() {
    let mut replica = ConfigReplica::new();
    skip_to(&mut replica, 5);
    assert_eq!(
        apply_event(&mut replica, 5, &approval(0, 1, "finance")),
        ApplyOutcome::Gap
    );
    assert!(has_gap(&replica));
    let snapshot = AcceptedConfig {
        version: 4,
        digest: document_digest(&document(4)),
        through_offset: 5,
        document: document(4),
    };
    assert_eq!(
        apply_event(&mut replica, 6, &ConfigEvent::Snapshot(snapshot)),
        ApplyOutcome::InForce
    );
    assert_eq!(
        apply_event(&mut replica, 7, &approval(4, 5, "finance")),
        ApplyOutcome::InForce
    );
    assert_eq!(accepted_version(&replica), 5);
}

#[test]
fn apply_event_older_snapshot() {
    let mut replica = ConfigReplica::new();
    apply_event(&mut replica, 0, &approval(0, 1, "finance"));
    apply_event(&mut replica, 1, &approval(1, 2, "finance"));
    let older_snapshot = AcceptedConfig {
        version: 1,
        digest: document_digest(&document(1)),
        through_offset: 0,
        document: document(1),
    };
    assert_eq!(
        apply_event(&mut replica, 2, &ConfigEvent::Snapshot(older_snapshot)),
        ApplyOutcome::Ignored
    );
    assert_eq!(accepted_version(&replica), 2);
}

#[test]
fn check_approval_each_refusal() {
    let mut replica = ConfigReplica::new();
    apply_event(
        &mut replica,
        0,
        &ConfigEvent::Propose(proposal(0, 1, "operations")),
    );
    let digest = document_digest(&document(1));
    assert_eq!(
        check_approval(&replica, 9, &digest, "finance").err(),
        Some(ResultCode::UnknownProposal)
    );
    assert_eq!(
        check_approval(&replica, 0, "no", "finance").err(),
        Some(ResultCode::DigestMismatch)
    );
    assert_eq!(
        check_approval(&replica, 0, &digest, "operations").err(),
        Some(ResultCode::SamePrincipal)
    );
    assert!(check_approval(&replica, 0, &digest, "finance").is_ok());
}

/// The approval of the active version was lost. Another document got its version, and instances disagreed about it.
#[test]
fn start_over_approval_lost() {
    let mut replica = ConfigReplica::new();
    apply_event(&mut replica, 0, &approval(0, 1, "b"));
    apply_event(&mut replica, 1, &approval(1, 2, "b"));
    start_over(&mut replica);
    // The log has the first approval only, and then another second one.
    apply_event(&mut replica, 0, &approval(0, 1, "b"));
    let outcome = apply_event(&mut replica, 1, &approval(1, 3, "b"));
    assert_eq!(
        (outcome, accepted_version(&replica)),
        (ApplyOutcome::Gap, 2)
    );
    let accepted = accepted_config(&replica).expect("a version").clone();
    assert_eq!(accepted.document, document(2));
    apply_event(&mut replica, 2, &ConfigEvent::Snapshot(accepted));
    let outcome = apply_event(&mut replica, 3, &approval(2, 4, "b"));
    assert_eq!(
        (outcome, accepted_version(&replica)),
        (ApplyOutcome::InForce, 3)
    );
}
