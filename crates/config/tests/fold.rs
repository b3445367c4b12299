//! Tests of the fold of the config stream: racing operators, trims, snapshots and hand-over.

use {
    config::{
        commands::{apply_event, merge_accepted, skip_to},
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

/// A random record of the stream.
#[derive(Clone, Debug)]
struct Step(ConfigEvent);

impl Arbitrary for Step {
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

fn folded(steps: &[Step]) -> ConfigReplica {
    let mut state = ConfigReplica::new();
    for (offset, step) in steps.iter().enumerate() {
        apply_event(&mut state, offset as u64, &step.0);
    }
    state
}

quickcheck! {
    fn fold_version_only_rises(steps: Vec<Step>) -> bool {
        let mut state = ConfigReplica::new();
        let mut highest = 0;
        steps.iter().enumerate().all(|(offset, step)| {
            apply_event(&mut state, offset as u64, &step.0);
            let rises = accepted_version(&state) >= highest && accepted_version(&state) <= highest + 1;
            highest = accepted_version(&state);
            rises
        })
    }

    fn adopt_then_fold_agrees_with_whole_log(steps: Vec<Step>, cut: u8) -> bool {
        let cut = usize::from(cut) % (steps.len() + 1);
        let whole = folded(&steps);
        let peer = folded(&steps[..cut]);
        let mut late = ConfigReplica::new();
        skip_to(&mut late, cut as u64);
        if let Some(known) = accepted_config(&peer) {
            let known = AcceptedConfig {
                through_offset: (cut as u64).saturating_sub(1),
                ..known.clone()
            };
            merge_accepted(&mut late, &known);
            for (offset, step) in steps.iter().enumerate().skip(cut) {
                apply_event(&mut late, offset as u64, &step.0);
            }
            return accepted_config(&late).map(|a| (a.version, a.digest.clone()))
                == accepted_config(&whole).map(|a| (a.version, a.digest.clone()));
        }
        true
    }
}

#[test]
fn fold_racing_approvals() {
    let mut state = ConfigReplica::new();
    assert_eq!(
        apply_event(&mut state, 0, &approval(0, 1, "finance")),
        ApplyOutcome::InForce
    );
    assert_eq!(
        apply_event(&mut state, 1, &approval(0, 2, "finance")),
        ApplyOutcome::StaleBase
    );
    assert_eq!(accepted_version(&state), 1);
}

#[test]
fn fold_same_principal() {
    let mut state = ConfigReplica::new();
    assert_eq!(
        apply_event(&mut state, 0, &approval(0, 1, "operations")),
        ApplyOutcome::SamePrincipal
    );
    assert_eq!(accepted_version(&state), 0);
}

#[test]
fn fold_after_gap() {
    let mut state = ConfigReplica::new();
    skip_to(&mut state, 5);
    assert_eq!(
        apply_event(&mut state, 5, &approval(0, 1, "finance")),
        ApplyOutcome::Gap
    );
    assert!(has_gap(&state));
    let snapshot = AcceptedConfig {
        version: 4,
        digest: document_digest(&document(4)),
        through_offset: 5,
        document: document(4),
    };
    assert_eq!(
        apply_event(&mut state, 6, &ConfigEvent::Snapshot(snapshot)),
        ApplyOutcome::InForce
    );
    assert_eq!(
        apply_event(&mut state, 7, &approval(4, 5, "finance")),
        ApplyOutcome::InForce
    );
    assert_eq!(accepted_version(&state), 5);
}

#[test]
fn fold_older_snapshot() {
    let mut state = ConfigReplica::new();
    apply_event(&mut state, 0, &approval(0, 1, "finance"));
    apply_event(&mut state, 1, &approval(1, 2, "finance"));
    let old = AcceptedConfig {
        version: 1,
        digest: document_digest(&document(1)),
        through_offset: 0,
        document: document(1),
    };
    assert_eq!(
        apply_event(&mut state, 2, &ConfigEvent::Snapshot(old)),
        ApplyOutcome::Ignored
    );
    assert_eq!(accepted_version(&state), 2);
}

#[test]
fn may_approve_each_refusal() {
    let mut state = ConfigReplica::new();
    apply_event(
        &mut state,
        0,
        &ConfigEvent::Propose(proposal(0, 1, "operations")),
    );
    let good = document_digest(&document(1));
    assert_eq!(
        check_approval(&state, 9, &good, "finance").err(),
        Some(ResultCode::UnknownProposal)
    );
    assert_eq!(
        check_approval(&state, 0, "no", "finance").err(),
        Some(ResultCode::DigestMismatch)
    );
    assert_eq!(
        check_approval(&state, 0, &good, "operations").err(),
        Some(ResultCode::SamePrincipal)
    );
    assert!(check_approval(&state, 0, &good, "finance").is_ok());
}
