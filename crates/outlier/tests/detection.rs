//! Tests of the sequential test: who becomes a suspect, who does not, and how a suspect returns.

use {
    outlier::{
        commands::{
            begin_ejection, end_ejection, merge_health_snapshot, record_in_flight_ages,
            record_outcome, take_due_trials, HealthSnapshot,
        },
        queries::{
            assess, expected_cost_permille, expected_costs_permille, healthy_slots, is_outlier,
        },
        Assessment, AttemptOutcome, PoolHealth, Sensitivity, ServerHealth,
    },
    quickcheck::quickcheck,
    types::ServerIndex,
};

const USUAL_US: u64 = 40_000;

fn whole(first_byte_us: u64) -> AttemptOutcome {
    AttemptOutcome::Completed { first_byte_us }
}

/// A pool whose servers have all worked well for a while.
fn warm(count: usize) -> PoolHealth {
    let mut health = PoolHealth::new();
    for _ in 0..count {
        health.servers.push(ServerHealth::default());
    }
    for _ in 0..30 {
        for index in 0..count {
            let server = ServerIndex::from(index);
            record_outcome(&mut health, server, whole(USUAL_US), Sensitivity::fast(), 0);
        }
    }
    health
}

fn is_suspect(health: &PoolHealth, index: usize) -> bool {
    health
        .servers
        .get(ServerIndex::from(index))
        .is_some_and(|entry| entry.suspect)
}

#[test]
fn observe_errors_of_one() {
    for (sensitivity, errors) in [(Sensitivity::fast(), 1), (Sensitivity::careful(), 2)] {
        let mut health = warm(4);
        for error in 1..=errors {
            assert!(!is_suspect(&health, 0), "error {error} came too soon");
            record_outcome(
                &mut health,
                ServerIndex::from(0),
                AttemptOutcome::Failed,
                sensitivity,
                10,
            );
        }
        assert!(is_suspect(&health, 0));
    }
}

#[test]
fn observe_errors_of_all() {
    let mut health = warm(6);
    let sensitivity = Sensitivity::careful();
    for round in 0..50 {
        for index in 0..6 {
            let server = ServerIndex::from(index);
            record_outcome(
                &mut health,
                server,
                AttemptOutcome::Failed,
                sensitivity,
                round,
            );
        }
    }
    for index in 0..6 {
        let opinion = assess(&health, ServerIndex::from(index), sensitivity, 1_000_000);
        assert_ne!(opinion, Assessment::Eject, "server {index}");
    }
}

#[test]
fn observe_without_peer() {
    let mut health = warm(1);
    for _ in 0..50 {
        record_outcome(
            &mut health,
            ServerIndex::from(0),
            AttemptOutcome::Failed,
            Sensitivity::fast(),
            0,
        );
    }
    assert!(!is_suspect(&health, 0));
}

#[test]
fn observe_flight_hang() {
    let mut health = warm(4);
    let server = ServerIndex::from(2);
    let usual_us = USUAL_US as f64;
    record_in_flight_ages(&mut health, server, &[usual_us], 0);
    assert!(!is_suspect(&health, 2));
    record_in_flight_ages(&mut health, server, &[usual_us * 9.0], 0);
    assert!(is_suspect(&health, 2));
}

#[test]
fn observe_flight_long_kind_of_work() {
    // Three probes of 4 ms for each request of 400 ms: the long ones in flight accuse nobody.
    let mut health = PoolHealth::new();
    for _ in 0..4 {
        health.servers.push(ServerHealth::default());
    }
    for round in 0..40 {
        for index in 0..4 {
            let server = ServerIndex::from(index);
            let time_us = if round % 4 == 0 { 400_000 } else { 4_000 };
            record_outcome(&mut health, server, whole(time_us), Sensitivity::fast(), 0);
        }
    }
    for index in 0..4 {
        let server = ServerIndex::from(index);
        record_in_flight_ages(&mut health, server, &[500_000.0, 650_000.0, 300_000.0], 0);
        assert!(!is_suspect(&health, index), "server {index}");
    }
}

#[test]
fn observe_silent_connection() {
    let mut health = warm(4);
    for _ in 0..100 {
        record_outcome(
            &mut health,
            ServerIndex::from(1),
            AttemptOutcome::Inconclusive,
            Sensitivity::fast(),
            0,
        );
    }
    assert!(!is_suspect(&health, 1));
}

#[test]
fn judge_waits_before_ejection() {
    let mut health = warm(4);
    let sensitivity = Sensitivity::careful();
    let server = ServerIndex::from(0);
    for _ in 0..10 {
        record_outcome(
            &mut health,
            server,
            AttemptOutcome::Failed,
            sensitivity,
            100,
        );
    }
    let early_ms = 100 + sensitivity.eject_delay_ms - 1;
    assert_eq!(
        assess(&health, server, sensitivity, early_ms),
        Assessment::Suspect
    );
    assert_eq!(
        assess(&health, server, sensitivity, early_ms + 1),
        Assessment::Eject
    );
}

#[test]
fn return_needs_good_outcomes_and_flapping_more() {
    let mut health = warm(4);
    let sensitivity = Sensitivity::fast();
    let server = ServerIndex::from(0);
    let mut needed = Vec::new();
    for flap in 0..3 {
        while !is_suspect(&health, 0) {
            record_outcome(
                &mut health,
                server,
                AttemptOutcome::Failed,
                sensitivity,
                flap,
            );
        }
        let mut goods = 0;
        while is_suspect(&health, 0) {
            record_outcome(&mut health, server, whole(USUAL_US), sensitivity, flap);
            goods += 1;
        }
        needed.push(goods);
    }
    assert!(needed[0] < needed[1] && needed[1] < needed[2], "{needed:?}");
}

#[test]
fn plan_trials_interval_grows() {
    let mut health = warm(4);
    let sensitivity = Sensitivity::fast();
    let server = ServerIndex::from(0);
    record_outcome(&mut health, server, AttemptOutcome::Failed, sensitivity, 0);
    let mut trials_ms = Vec::new();
    for now_ms in 0..20_000 {
        if !take_due_trials(&mut health, now_ms).is_empty() {
            trials_ms.push(now_ms);
            record_outcome(
                &mut health,
                server,
                AttemptOutcome::Failed,
                sensitivity,
                now_ms,
            );
        }
    }
    let gaps: Vec<u64> = trials_ms.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(
        gaps.len() >= 3 && gaps.windows(2).all(|pair| pair[0] < pair[1]),
        "{gaps:?}"
    );
}

#[test]
fn end_ejection_one_bad_outcome() {
    let mut health = warm(4);
    let sensitivity = Sensitivity::careful();
    let server = ServerIndex::from(0);
    begin_ejection(&mut health, server, 0);
    end_ejection(&mut health, server, sensitivity, 10);
    assert!(is_suspect(&health, 0));
    let later_ms = 10 + sensitivity.eject_delay_ms;
    assert_eq!(
        assess(&health, server, sensitivity, later_ms),
        Assessment::Suspect
    );
    record_outcome(
        &mut health,
        server,
        AttemptOutcome::Failed,
        sensitivity,
        later_ms,
    );
    assert_eq!(
        assess(&health, server, sensitivity, later_ms),
        Assessment::Eject
    );
}

#[test]
fn adopt_successor_knows_failing_server() {
    let mut before = warm(3);
    let failing = ServerIndex::from(1);
    record_outcome(
        &mut before,
        failing,
        AttemptOutcome::Failed,
        Sensitivity::fast(),
        1_000,
    );
    let known = before.servers.get(failing).expect("listed");
    let heard = HealthSnapshot {
        failure_log_odds: known.failure_log_odds,
        age_ms: 500,
        median_first_byte_us: known.median_first_byte_us,
        completed_count: known.completed_count,
    };
    let mut after = PoolHealth::new();
    for _ in 0..3 {
        after.servers.push(ServerHealth::new(20));
    }
    merge_health_snapshot(&mut after, failing, heard, 1_500);
    assert!(is_suspect(&after, 1));
    let cost = |index| expected_cost_permille(&after, ServerIndex::from(index), 1_500);
    assert!(cost(1) > 2 * cost(0), "{} {}", cost(1), cost(0));
    // What the successor has seen itself since then goes first.
    let mut seen = warm(3);
    record_outcome(
        &mut seen,
        failing,
        whole(USUAL_US),
        Sensitivity::fast(),
        2_000,
    );
    merge_health_snapshot(&mut seen, failing, heard, 2_000);
    assert!(!is_suspect(&seen, 1));
}

#[test]
fn proved_slots_stale_proof() {
    let health = warm(3);
    assert_eq!(healthy_slots(&health.servers, 0, |_| 4), 12);
    assert_eq!(healthy_slots(&health.servers, 10_000, |_| 4), 0);
}

#[test]
fn stands_out_all_bad() {
    assert!(is_outlier(0.3, 0.02));
    assert!(!is_outlier(0.5, 0.33));
    assert!(!is_outlier(0.05, 0.0));
}

quickcheck! {
    fn observe_ratio_never_negative(outcomes: Vec<(u8, bool)>) -> bool {
        let mut health = warm(3);
        outcomes.iter().all(|(server, good)| {
            let server = ServerIndex::from(usize::from(*server) % 3);
            let evidence = if *good { whole(USUAL_US) } else { AttemptOutcome::Failed };
            record_outcome(&mut health, server, evidence, Sensitivity::fast(), 0);
            health.servers.iter().all(|(_, entry)| entry.llr >= 0.0)
        })
    }
}

/// What a server costs beside its chance of failing depends on the median of the others' usual times.
#[test]
fn costs_permille_slow_server() {
    let mut health = PoolHealth::new();
    for usual_us in [25_000.0, 100_000.0, 10_000.0, 20_000.0] {
        let entry = ServerHealth {
            median_first_byte_us: usual_us,
            ..ServerHealth::default()
        };
        health.servers.push(entry);
    }
    let costs = expected_costs_permille(&health, 0);
    let costs: Vec<u32> = costs.iter().map(|(_, cost)| *cost).collect();
    // One in five fails anyhow; five times the others' 20 ms is 3.6 usual times too many, at 12 % each.
    assert_eq!(costs, [200, 545, 200, 200]);
    let alone = ServerIndex::from(1);
    assert_eq!(expected_cost_permille(&health, alone, 0), 545);
}
