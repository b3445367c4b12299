//! Tests of the sequential test: who becomes a suspect, who does not, and how a suspect returns.

use {
    outlier::{
        commands::{
            adopt, begin_ejection, end_ejection, observe, observe_flight, plan_trials, Heard,
        },
        queries::{cost_permille, costs_permille, judge, proved_slots, stands_out},
        Evidence, Health, Opinion, Sensitivity, ServerHealth,
    },
    quickcheck::quickcheck,
    types::ServerIndex,
};

const USUAL_US: u64 = 40_000;

fn whole(first_byte_us: u64) -> Evidence {
    Evidence::Whole { first_byte_us }
}

/// A pool whose servers have all worked well for a while.
fn warm(count: usize) -> Health {
    let mut health = Health::new();
    for _ in 0..count {
        health.servers.push(ServerHealth::default());
    }
    for _ in 0..30 {
        for index in 0..count {
            let server = ServerIndex::from(index);
            observe(&mut health, server, whole(USUAL_US), Sensitivity::fast(), 0);
        }
    }
    health
}

fn is_suspect(health: &Health, index: usize) -> bool {
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
            observe(
                &mut health,
                ServerIndex::from(0),
                Evidence::Failed,
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
            observe(&mut health, server, Evidence::Failed, sensitivity, round);
        }
    }
    for index in 0..6 {
        let opinion = judge(&health, ServerIndex::from(index), sensitivity, 1_000_000);
        assert_ne!(opinion, Opinion::Eject, "server {index}");
    }
}

#[test]
fn observe_without_peer() {
    let mut health = warm(1);
    for _ in 0..50 {
        observe(
            &mut health,
            ServerIndex::from(0),
            Evidence::Failed,
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
    observe_flight(&mut health, server, &[usual_us], 0);
    assert!(!is_suspect(&health, 2));
    observe_flight(&mut health, server, &[usual_us * 9.0], 0);
    assert!(is_suspect(&health, 2));
}

#[test]
fn observe_flight_long_kind_of_work() {
    // Three probes of 4 ms for each request of 400 ms: the long ones in flight accuse nobody.
    let mut health = Health::new();
    for _ in 0..4 {
        health.servers.push(ServerHealth::default());
    }
    for round in 0..40 {
        for index in 0..4 {
            let server = ServerIndex::from(index);
            let time_us = if round % 4 == 0 { 400_000 } else { 4_000 };
            observe(&mut health, server, whole(time_us), Sensitivity::fast(), 0);
        }
    }
    for index in 0..4 {
        let server = ServerIndex::from(index);
        observe_flight(&mut health, server, &[500_000.0, 650_000.0, 300_000.0], 0);
        assert!(!is_suspect(&health, index), "server {index}");
    }
}

#[test]
fn observe_silent_connection() {
    let mut health = warm(4);
    for _ in 0..100 {
        observe(
            &mut health,
            ServerIndex::from(1),
            Evidence::Nothing,
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
        observe(&mut health, server, Evidence::Failed, sensitivity, 100);
    }
    let early_ms = 100 + sensitivity.eject_after_ms - 1;
    assert_eq!(
        judge(&health, server, sensitivity, early_ms),
        Opinion::Suspect
    );
    assert_eq!(
        judge(&health, server, sensitivity, early_ms + 1),
        Opinion::Eject
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
            observe(&mut health, server, Evidence::Failed, sensitivity, flap);
        }
        let mut goods = 0;
        while is_suspect(&health, 0) {
            observe(&mut health, server, whole(USUAL_US), sensitivity, flap);
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
    observe(&mut health, server, Evidence::Failed, sensitivity, 0);
    let mut trials_ms = Vec::new();
    for now_ms in 0..20_000 {
        if !plan_trials(&mut health, now_ms).is_empty() {
            trials_ms.push(now_ms);
            observe(&mut health, server, Evidence::Failed, sensitivity, now_ms);
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
    let later_ms = 10 + sensitivity.eject_after_ms;
    assert_eq!(
        judge(&health, server, sensitivity, later_ms),
        Opinion::Suspect
    );
    observe(&mut health, server, Evidence::Failed, sensitivity, later_ms);
    assert_eq!(
        judge(&health, server, sensitivity, later_ms),
        Opinion::Eject
    );
}

#[test]
fn adopt_successor_knows_failing_server() {
    let mut before = warm(3);
    let failing = ServerIndex::from(1);
    observe(
        &mut before,
        failing,
        Evidence::Failed,
        Sensitivity::fast(),
        1_000,
    );
    let known = before.servers.get(failing).expect("listed");
    let heard = Heard {
        belief: known.belief,
        age_ms: 500,
        usual_us: known.usual_us,
        whole_count: known.whole_count,
    };
    let mut after = Health::new();
    for _ in 0..3 {
        after.servers.push(ServerHealth::new(20));
    }
    adopt(&mut after, failing, heard, 1_500);
    assert!(is_suspect(&after, 1));
    let cost = |index| cost_permille(&after, ServerIndex::from(index), 1_500);
    assert!(cost(1) > 2 * cost(0), "{} {}", cost(1), cost(0));
    // What the successor has seen itself since then goes first.
    let mut seen = warm(3);
    observe(
        &mut seen,
        failing,
        whole(USUAL_US),
        Sensitivity::fast(),
        2_000,
    );
    adopt(&mut seen, failing, heard, 2_000);
    assert!(!is_suspect(&seen, 1));
}

#[test]
fn proved_slots_stale_proof() {
    let health = warm(3);
    assert_eq!(proved_slots(&health.servers, 0, |_| 4), 12);
    assert_eq!(proved_slots(&health.servers, 10_000, |_| 4), 0);
}

#[test]
fn stands_out_all_bad() {
    assert!(stands_out(0.3, 0.02));
    assert!(!stands_out(0.5, 0.33));
    assert!(!stands_out(0.05, 0.0));
}

quickcheck! {
    fn observe_ratio_never_negative(outcomes: Vec<(u8, bool)>) -> bool {
        let mut health = warm(3);
        outcomes.iter().all(|(server, good)| {
            let server = ServerIndex::from(usize::from(*server) % 3);
            let evidence = if *good { whole(USUAL_US) } else { Evidence::Failed };
            observe(&mut health, server, evidence, Sensitivity::fast(), 0);
            health.servers.iter().all(|(_, entry)| entry.llr >= 0.0)
        })
    }
}

/// What a server costs beside its chance of failing depends on the median of the others' usual times.
#[test]
fn costs_permille_slow_server() {
    let mut health = Health::new();
    for usual_us in [25_000.0, 100_000.0, 10_000.0, 20_000.0] {
        let entry = ServerHealth {
            usual_us,
            ..ServerHealth::default()
        };
        health.servers.push(entry);
    }
    let costs = costs_permille(&health, 0);
    let costs: Vec<u32> = costs.iter().map(|(_, cost)| *cost).collect();
    // One in five fails anyhow; five times the others' 20 ms is 3.6 usual times too many, at 12 % each.
    assert_eq!(costs, [200, 545, 200, 200]);
    let alone = ServerIndex::from(1);
    assert_eq!(cost_permille(&health, alone, 0), 545);
}
