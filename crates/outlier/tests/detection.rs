//! Tests of the detector: which servers become suspects, and when a suspicion is cleared or leads to an ejection.

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

const NORMAL_US: u64 = 40_000;

fn completed(first_byte_us: u64) -> AttemptOutcome {
    AttemptOutcome::Completed { first_byte_us }
}

/// Returns a pool whose servers have each completed 30 requests in normal time.
fn warmed_up_pool(count: usize) -> PoolHealth {
    let mut health = PoolHealth::new();
    for _ in 0..count {
        health.servers.push(ServerHealth::default());
    }
    for _ in 0..30 {
        for index in 0..count {
            let server = ServerIndex::from(index);
            record_outcome(
                &mut health,
                server,
                completed(NORMAL_US),
                Sensitivity::fast(),
                0,
            );
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
fn record_outcome_errors_of_one_server() {
    for (sensitivity, errors) in [(Sensitivity::fast(), 1), (Sensitivity::careful(), 2)] {
        let mut health = warmed_up_pool(4);
        for error in 1..=errors {
            assert!(!is_suspect(&health, 0), "suspected before error {error}");
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
fn record_outcome_errors_of_all_servers() {
    let mut health = warmed_up_pool(6);
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
        let assessment = assess(&health, ServerIndex::from(index), sensitivity, 1_000_000);
        assert_ne!(assessment, Assessment::Eject, "server {index}");
    }
}

#[test]
fn record_outcome_without_peers() {
    let mut health = warmed_up_pool(1);
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
fn record_in_flight_ages_hung_request() {
    let mut health = warmed_up_pool(4);
    let server = ServerIndex::from(2);
    let median_us = NORMAL_US as f64;
    record_in_flight_ages(&mut health, server, &[median_us], 0);
    assert!(!is_suspect(&health, 2));
    record_in_flight_ages(&mut health, server, &[median_us * 9.0], 0);
    assert!(is_suspect(&health, 2));
}

#[test]
fn record_in_flight_ages_mixed_request_kinds() {
    // Three requests of 4 ms for each one of 400 ms: long requests in flight must not make a server a suspect.
    let mut health = PoolHealth::new();
    for _ in 0..4 {
        health.servers.push(ServerHealth::default());
    }
    for round in 0..40 {
        for index in 0..4 {
            let server = ServerIndex::from(index);
            let first_byte_us = if round % 4 == 0 { 400_000 } else { 4_000 };
            record_outcome(
                &mut health,
                server,
                completed(first_byte_us),
                Sensitivity::fast(),
                0,
            );
        }
    }
    for index in 0..4 {
        let server = ServerIndex::from(index);
        record_in_flight_ages(&mut health, server, &[500_000.0, 650_000.0, 300_000.0], 0);
        assert!(!is_suspect(&health, index), "server {index}");
    }
}

#[test]
fn record_outcome_inconclusive() {
    let mut health = warmed_up_pool(4);
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
fn assess_delay_before_ejection() {
    let mut health = warmed_up_pool(4);
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
fn record_outcome_flapping_needs_more_good_outcomes() {
    let mut health = warmed_up_pool(4);
    let sensitivity = Sensitivity::fast();
    let server = ServerIndex::from(0);
    let mut good_counts = Vec::new();
    for now_ms in 0..3 {
        while !is_suspect(&health, 0) {
            record_outcome(
                &mut health,
                server,
                AttemptOutcome::Failed,
                sensitivity,
                now_ms,
            );
        }
        let mut good_count = 0;
        while is_suspect(&health, 0) {
            record_outcome(
                &mut health,
                server,
                completed(NORMAL_US),
                sensitivity,
                now_ms,
            );
            good_count += 1;
        }
        good_counts.push(good_count);
    }
    assert!(
        good_counts[0] < good_counts[1] && good_counts[1] < good_counts[2],
        "{good_counts:?}"
    );
}

#[test]
fn take_due_trials_interval_grows() {
    let mut health = warmed_up_pool(4);
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
    let intervals_ms: Vec<u64> = trials_ms.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(
        intervals_ms.len() >= 3 && intervals_ms.windows(2).all(|pair| pair[0] < pair[1]),
        "{intervals_ms:?}"
    );
}

#[test]
fn end_ejection_one_bad_outcome() {
    let mut health = warmed_up_pool(4);
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
fn merge_health_snapshot_faulty_server() {
    let mut predecessor = warmed_up_pool(3);
    let faulty = ServerIndex::from(1);
    record_outcome(
        &mut predecessor,
        faulty,
        AttemptOutcome::Failed,
        Sensitivity::fast(),
        1_000,
    );
    let health = predecessor.servers.get(faulty).expect("listed");
    let snapshot = HealthSnapshot {
        failure_log_odds: health.failure_log_odds,
        age_ms: 500,
        median_first_byte_us: health.median_first_byte_us,
        completed_count: health.completed_count,
    };
    let mut successor = PoolHealth::new();
    for _ in 0..3 {
        successor.servers.push(ServerHealth::new(20));
    }
    merge_health_snapshot(&mut successor, faulty, snapshot, 1_500);
    assert!(is_suspect(&successor, 1));
    let cost = |index| expected_cost_permille(&successor, ServerIndex::from(index), 1_500);
    assert!(cost(1) > 2 * cost(0), "{} {}", cost(1), cost(0));
    // Newer outcomes of the successor itself take precedence.
    let mut informed_successor = warmed_up_pool(3);
    record_outcome(
        &mut informed_successor,
        faulty,
        completed(NORMAL_US),
        Sensitivity::fast(),
        2_000,
    );
    merge_health_snapshot(&mut informed_successor, faulty, snapshot, 2_000);
    assert!(!is_suspect(&informed_successor, 1));
}

#[test]
fn healthy_slots_stale_proof() {
    let health = warmed_up_pool(3);
    assert_eq!(healthy_slots(&health.servers, 0, |_| 4), 12);
    assert_eq!(healthy_slots(&health.servers, 10_000, |_| 4), 0);
}

#[test]
fn is_outlier_all_servers_bad() {
    assert!(is_outlier(0.3, 0.02));
    assert!(!is_outlier(0.5, 0.33));
    assert!(!is_outlier(0.05, 0.0));
}

quickcheck! {
    fn record_outcome_llr_never_negative(outcomes: Vec<(u8, bool)>) -> bool {
        let mut health = warmed_up_pool(3);
        outcomes.iter().all(|(server, is_good)| {
            let server = ServerIndex::from(usize::from(*server) % 3);
            let outcome = if *is_good { completed(NORMAL_US) } else { AttemptOutcome::Failed };
            record_outcome(&mut health, server, outcome, Sensitivity::fast(), 0);
            health.servers.iter().all(|(_, entry)| entry.llr >= 0.0)
        })
    }
}

/// The cost of slowness is relative to the median of the other servers' median latencies.
#[test]
fn expected_costs_permille_slow_server() {
    let mut health = PoolHealth::new();
    for median_us in [25_000.0, 100_000.0, 10_000.0, 20_000.0] {
        let entry = ServerHealth {
            median_first_byte_us: median_us,
            ..ServerHealth::default()
        };
        health.servers.push(entry);
    }
    let costs = expected_costs_permille(&health, 0);
    let costs: Vec<u32> = costs.iter().map(|(_, cost)| *cost).collect();
    // The prior gives 20 % failures. 100 ms is 5 times the peers' 20 ms, which exceeds the limit of 1.4 by 3.6, at
    // 12 % each.
    assert_eq!(costs, [200, 545, 200, 200]);
    let slow_server = ServerIndex::from(1);
    assert_eq!(expected_cost_permille(&health, slow_server, 0), 545);
}
