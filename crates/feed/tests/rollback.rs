//! Tests that the store's return from an older copy undoes nothing that instances know, in simulated time.
//!
//! The store goes away for a moment and returns without its last seconds. Offsets are assigned again. Operators and servers
//! write again what they wrote; the instances' own records come back only if these write them.

mod support;

use {
    faults::{seeded_runner, FaultTerms, RandomFault},
    support::{
        play, Fault, FaultKind, Outcome, Rollback, Scenario, ServerState, StoreChange, MEMBER_BYTES,
    },
};

/// Time from the store's acknowledgement within which a change must be known everywhere, in milliseconds.
const BOUND_MS: u64 = 2_000;
const INSTANCES: usize = 16;
/// Rate of an instance's link, in bytes per millisecond.
const LINK_BYTES_PER_MS: u64 = 90_000;
/// Calls to the store for each instance and rollback: its announcement, and reads of its own data while the store is away.
const CALLS_PER_ROLLBACK: u64 = 12;
const KINDS: [FaultKind; 5] = [
    FaultKind::StoreSilent,
    FaultKind::StoreSlow,
    FaultKind::Cut,
    FaultKind::Freeze,
    FaultKind::Kill,
];
/// Resolution of the times of a rollback, in milliseconds.
const STEP_MS: u64 = 50;

fn server_change(at_ms: u64, server: usize, state: ServerState) -> StoreChange {
    StoreChange {
        at_ms,
        server: Some((server, state)),
        added_routes: 0,
    }
}

fn version(at_ms: u64) -> StoreChange {
    StoreChange {
        at_ms,
        server: None,
        added_routes: 1,
    }
}

fn rollback(at_ms: u64, for_ms: u64, copy_age_ms: u64) -> Rollback {
    Rollback {
        at_ms,
        for_ms,
        copy_age_ms,
    }
}

fn kill(at_ms: u64, instances: impl Iterator<Item = usize>) -> Fault {
    Fault {
        kind: FaultKind::Kill,
        at_ms,
        for_ms: 0,
        instances: instances.collect(),
    }
}

fn scenario(seed: u64, rollbacks: &[Rollback], changes: &[StoreChange]) -> Scenario {
    Scenario {
        seed,
        instances: INSTANCES,
        faults: Vec::new(),
        changes: changes.to_vec(),
        late_writes: Vec::new(),
        rollbacks: rollbacks.to_vec(),
        without_era: Vec::new(),
        bound_ms: BOUND_MS,
        has_start_times: true,
        server_bytes: MEMBER_BYTES,
        restarts_all: false,
        link_bytes_per_ms: LINK_BYTES_PER_MS,
        large: (2, 20),
    }
}

/// Plays the scenario and checks that it breaks nothing.
fn check(scenario: &Scenario) -> Outcome {
    let outcome = play(scenario);
    assert_eq!(outcome.violations, [], "seed {}", scenario.seed);
    outcome
}

/// All servers were dropped at once: the copy lists each of them with a report older than the known one, which was taken for
/// a late write after its removal.
#[test]
fn rollback_running_servers_kept() {
    for seed in 0..6 {
        check(&scenario(seed, &[rollback(3_000, 800, 2_500)], &[]));
    }
}

/// The copy had the last report of a server that had left, and the server was used again.
#[test]
fn rollback_removed_server_stays_removed() {
    for seed in 0..6 {
        let changes = [
            server_change(1_600, 1, ServerState::Leaving),
            server_change(2_400, 1, ServerState::Gone),
            server_change(2_900, 4, ServerState::Gone),
        ];
        check(&scenario(seed, &[rollback(4_000, 800, 1_900)], &changes));
    }
}

/// Reads went on from offsets that had been assigned again, and passed over what was written first after the return.
#[test]
fn rollback_changes_after_return_known() {
    for seed in 0..10 {
        let changes = [
            server_change(4_350, 3, ServerState::Gone),
            server_change(4_400, 6, ServerState::Leaving),
            version(4_400),
        ];
        check(&scenario(seed, &[rollback(3_500, 800, 600)], &changes));
    }
}

/// Each read of the configuration began at the lost offset again, was refused, and was followed by one of the whole document.
#[test]
fn rollback_lost_versions_kept() {
    for seed in 0..6 {
        let changes = [version(2_000), version(2_800), version(7_000)];
        let outcome = check(&scenario(seed, &[rollback(3_000, 800, 1_900)], &changes));
        let calm = check(&scenario(seed, &[], &changes));
        let calls = outcome.store_calls - calm.store_calls.min(outcome.store_calls);
        let calls_max = INSTANCES as u64 * CALLS_PER_ROLLBACK;
        assert!(
            calls <= calls_max,
            "{calls} more calls, {calls_max} allowed"
        );
    }
}

/// Instances that had started within the lost time were missing from the store's list, and the sources from its directory.
#[test]
fn rollback_own_records_written_again() {
    for seed in 0..6 {
        let killed = (0..INSTANCES).filter(|at| (at + seed) % 2 == 0);
        check(&Scenario {
            faults: vec![kill(2_200, killed)],
            ..scenario(seed as u64, &[rollback(4_000, 800, 2_500)], &[])
        });
    }
}

/// Instances that started while the store was away, or just before, saw the new era first and had announced themselves in
/// the former one.
#[test]
fn rollback_during_start() {
    for seed in 0..6 {
        let at_ms = 2_900 + 200 * seed as u64;
        let killed = (0..INSTANCES).filter(|at| (at + seed) % 3 != 0);
        let changes = [server_change(1_500, 1, ServerState::Gone)];
        check(&Scenario {
            faults: vec![kill(at_ms, killed)],
            ..scenario(seed as u64, &[rollback(3_000, 800, 2_000)], &changes)
        });
    }
}

/// A second loss follows before all instances have recovered from the first one.
#[test]
fn rollback_several_in_a_row() {
    for seed in 0..6 {
        let changes = [
            server_change(1_500, 1, ServerState::Gone),
            server_change(2_600, 4, ServerState::Gone),
            version(2_700),
        ];
        let rollbacks = [
            rollback(3_000, 500, 2_000),
            rollback(4_500, 500, 600),
            rollback(6_000, 300, 300),
        ];
        check(&scenario(seed, &rollbacks, &changes));
    }
}

/// Instances that the store refused during the loss heard of it from others only, and took the copy's servers from these.
#[test]
fn rollback_noticed_by_some() {
    for seed in 0..6 {
        let changes = [
            server_change(1_500, 1, ServerState::Gone),
            server_change(2_600, 4, ServerState::Gone),
        ];
        let refused = Fault {
            kind: FaultKind::StoreRejects,
            at_ms: 2_700,
            for_ms: 4_000,
            instances: (0..INSTANCES).filter(|at| (at + seed) % 4 != 0).collect(),
        };
        check(&Scenario {
            faults: vec![refused],
            ..scenario(seed as u64, &[rollback(3_000, 800, 2_000)], &changes)
        });
    }
}

/// Instances to which the store states no era may take the copy's servers, and pass them on before anybody knows of the loss.
/// They learn of it from others, so that nobody uses these servers later and all of them announce themselves again.
#[test]
fn rollback_era_stated_to_some() {
    for seed in 0..6 {
        let changes = [
            server_change(1_500, 1, ServerState::Gone),
            server_change(2_600, 4, ServerState::Gone),
        ];
        let without_era = (0..INSTANCES).filter(|at| (at + seed) % 4 == 0);
        let mut violations = play(&Scenario {
            without_era: without_era.collect(),
            ..scenario(seed as u64, &[rollback(3_000, 800, 2_000)], &changes)
        })
        .violations;
        violations.retain(|violation| !violation.what.ends_with("was used again"));
        assert_eq!(violations, [], "seed {seed}");
    }
}

fn to_fault(random: &RandomFault) -> Fault {
    let kind = random.kind(&KINDS);
    let terms = FaultTerms {
        begin_ms: 0..9_000,
        duration_ms: 300..3_000,
        instances: INSTANCES,
        affected_max: INSTANCES / 2,
        stride: 7,
    };
    let fault = random.to_fault(kind, &terms);
    let for_ms = match kind {
        FaultKind::Kill => 0,
        _ => fault.for_ms,
    };
    Fault { for_ms, ..fault }
}

/// Returns a random rollback that ends before 9 s.
fn to_rollback(random: &RandomFault) -> Rollback {
    let terms = FaultTerms {
        begin_ms: 3_000..7_000,
        duration_ms: 200..1_200,
        instances: INSTANCES,
        affected_max: INSTANCES,
        stride: 7,
    };
    let fault = random.to_fault((), &terms);
    let stepped = |ms: u64| ms / STEP_MS * STEP_MS;
    let copy_age_ms = 200 * (1 + fault.instances.len() as u64);
    rollback(stepped(fault.at_ms), stepped(fault.for_ms), copy_age_ms)
}

/// Whatever else happens, a loss undoes nothing that an instance in touch knows.
#[test]
fn rollback_with_faults() {
    fn property(seed: u64, lost: RandomFault, faults: Vec<RandomFault>) -> bool {
        let changes = [
            server_change(1_200, 1, ServerState::Gone),
            server_change(2_000, 4, ServerState::Leaving),
            version(2_500),
            server_change(2_700, 7, ServerState::Gone),
            version(9_000),
        ];
        let faults = faults.iter().take(2).map(to_fault);
        let scenario = Scenario {
            faults: faults.collect(),
            ..scenario(seed, &[to_rollback(&lost)], &changes)
        };
        let outcome = play(&scenario);
        for violation in &outcome.violations {
            eprintln!(
                "{violation:?}, {:?}, {:?}",
                scenario.rollbacks, scenario.faults
            );
        }
        outcome.violations.is_empty()
    }
    let property = property as fn(u64, RandomFault, Vec<RandomFault>) -> bool;
    seeded_runner(50, 20).quickcheck(property);
}
