//! Tests of the fold of the config stream: racing operators, trims, snapshots and hand-over.

use {
    config::{
        commands::{adopt, fold, skip_to},
        queries::{accepted, digest, has_gap, may_approve, version},
        Accepted, Decision, Document, Entry, Kind, Proposal, Route, State, Verdict,
    },
    quickcheck::{quickcheck, Arbitrary, Gen},
    types::ResultCode,
};

fn document(number: u8) -> Document {
    Document {
        routes: vec![Route::new(&format!("/{number}"), "s", Kind::Safe)],
        ..Document::default()
    }
}

fn proposal(base_version: u64, number: u8, proposer: &str) -> Proposal {
    let document = document(number);
    Proposal {
        offset: 0,
        base_version,
        digest: digest(&document),
        proposer: proposer.into(),
        document,
    }
}

fn approval(base_version: u64, number: u8, principal: &str) -> Entry {
    Entry::Approve(Decision {
        principal: principal.into(),
        proposal: proposal(base_version, number, "operations"),
    })
}

/// A random record of the stream.
#[derive(Clone, Debug)]
struct Step(Entry);

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let base = u64::from(u8::arbitrary(g) % 6);
        let number = u8::arbitrary(g);
        Self(match u8::arbitrary(g) % 3 {
            0 => Entry::Propose(proposal(base, number, "operations")),
            1 => approval(base, number, "operations"),
            _ => approval(base, number, "finance"),
        })
    }
}

fn folded(steps: &[Step]) -> State {
    let mut state = State::new();
    for (offset, step) in steps.iter().enumerate() {
        fold(&mut state, offset as u64, &step.0);
    }
    state
}

quickcheck! {
    fn fold_version_only_rises(steps: Vec<Step>) -> bool {
        let mut state = State::new();
        let mut highest = 0;
        steps.iter().enumerate().all(|(offset, step)| {
            fold(&mut state, offset as u64, &step.0);
            let rises = version(&state) >= highest && version(&state) <= highest + 1;
            highest = version(&state);
            rises
        })
    }

    fn adopt_then_fold_agrees_with_whole_log(steps: Vec<Step>, cut: u8) -> bool {
        let cut = usize::from(cut) % (steps.len() + 1);
        let whole = folded(&steps);
        let peer = folded(&steps[..cut]);
        let mut late = State::new();
        skip_to(&mut late, cut as u64);
        if let Some(known) = accepted(&peer) {
            let known = Accepted {
                through_offset: (cut as u64).saturating_sub(1),
                ..known.clone()
            };
            adopt(&mut late, &known);
            for (offset, step) in steps.iter().enumerate().skip(cut) {
                fold(&mut late, offset as u64, &step.0);
            }
            return accepted(&late).map(|a| (a.version, a.digest.clone()))
                == accepted(&whole).map(|a| (a.version, a.digest.clone()));
        }
        true
    }
}

#[test]
fn fold_racing_approvals() {
    let mut state = State::new();
    assert_eq!(
        fold(&mut state, 0, &approval(0, 1, "finance")),
        Verdict::InForce
    );
    assert_eq!(
        fold(&mut state, 1, &approval(0, 2, "finance")),
        Verdict::StaleBase
    );
    assert_eq!(version(&state), 1);
}

#[test]
fn fold_same_principal() {
    let mut state = State::new();
    assert_eq!(
        fold(&mut state, 0, &approval(0, 1, "operations")),
        Verdict::SamePrincipal
    );
    assert_eq!(version(&state), 0);
}

#[test]
fn fold_after_gap() {
    let mut state = State::new();
    skip_to(&mut state, 5);
    assert_eq!(
        fold(&mut state, 5, &approval(0, 1, "finance")),
        Verdict::Gap
    );
    assert!(has_gap(&state));
    let snapshot = Accepted {
        version: 4,
        digest: digest(&document(4)),
        through_offset: 5,
        document: document(4),
    };
    assert_eq!(
        fold(&mut state, 6, &Entry::Snapshot(snapshot)),
        Verdict::InForce
    );
    assert_eq!(
        fold(&mut state, 7, &approval(4, 5, "finance")),
        Verdict::InForce
    );
    assert_eq!(version(&state), 5);
}

#[test]
fn fold_older_snapshot() {
    let mut state = State::new();
    fold(&mut state, 0, &approval(0, 1, "finance"));
    fold(&mut state, 1, &approval(1, 2, "finance"));
    let old = Accepted {
        version: 1,
        digest: digest(&document(1)),
        through_offset: 0,
        document: document(1),
    };
    assert_eq!(fold(&mut state, 2, &Entry::Snapshot(old)), Verdict::Ignored);
    assert_eq!(version(&state), 2);
}

#[test]
fn may_approve_each_refusal() {
    let mut state = State::new();
    fold(&mut state, 0, &Entry::Propose(proposal(0, 1, "operations")));
    let good = digest(&document(1));
    assert_eq!(
        may_approve(&state, 9, &good, "finance").err(),
        Some(ResultCode::UnknownProposal)
    );
    assert_eq!(
        may_approve(&state, 0, "no", "finance").err(),
        Some(ResultCode::DigestMismatch)
    );
    assert_eq!(
        may_approve(&state, 0, &good, "operations").err(),
        Some(ResultCode::SamePrincipal)
    );
    assert!(may_approve(&state, 0, &good, "finance").is_ok());
}
