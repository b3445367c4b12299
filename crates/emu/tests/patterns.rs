//! One test a pattern of load, on the decisions alone; bounds are shares of requests over ten seeds.

use emu::{
    commands::run,
    queries::{failed_share, refused_share, served_percentile_ms, served_share},
    Policy, RunStats, Workload,
};

fn runs(workload: &Workload, policy: &Policy) -> Vec<RunStats> {
    (1..=10).map(|seed| run(workload, policy, seed)).collect()
}

fn mean<Of>(runs: &[RunStats], of: Of) -> f64
where
    Of: Fn(&RunStats) -> f64,
{
    runs.iter().map(of).sum::<f64>() / runs.len() as f64
}

#[test]
fn fast_failing_server_draws_no_traffic() {
    // The plan's mark for evidence shared at once: 7 to 15 % of requests fail, against 26 % by chance.
    let workload = Workload::new();
    let failed = mean(&runs(&workload, &Policy::new()), |f| {
        failed_share(f, 0, workload.duration_ms)
    });
    assert!(failed < 0.15, "{failed}");
    let blind = Policy {
        use_evidence: false,
        ..Policy::new()
    };
    let by_chance = mean(&runs(&workload, &blind), |f| {
        failed_share(f, 0, workload.duration_ms)
    });
    assert!(failed < by_chance / 2.0, "{failed} against {by_chance}");
}

#[test]
fn safe_requests_are_retried() {
    let workload = Workload {
        idempotent_share: 1.0,
        ..Workload::new()
    };
    let served = mean(&runs(&workload, &Policy::new()), |f| {
        served_share(f, 0, workload.duration_ms)
    });
    assert!(served > 0.95, "{served}");
}

#[test]
fn burst_over_cold_pool() {
    // Twice the load in the first seconds, nothing known of any server.
    let workload = Workload {
        gray_share: 0.0,
        burst: Some((0, 5_000, 2.0)),
        ..Workload::new()
    };
    let served = mean(&runs(&workload, &Policy::new()), |f| {
        served_share(f, 0, 5_000)
    });
    assert!(served > 0.95, "{served}");
}

#[test]
fn overload_refuses_at_once() {
    // Twice the capacity of 160 requests a second; the design asks for nine tenths of the capacity as goodput.
    let workload = Workload {
        gray_share: 0.0,
        base_failure_rate: 0.0,
        requests_per_s: 320.0,
        duration_ms: 20_000,
        ..Workload::new()
    };
    let all = runs(&workload, &Policy::new());
    let served = mean(&all, |f| served_share(f, 5_000, 20_000));
    assert!(served >= 0.45, "{served}");
    let refused = mean(&all, |f| refused_share(f, 5_000, 20_000));
    assert!(
        refused > 0.4,
        "what can't be served is refused early: {refused}"
    );
}

#[test]
fn whole_service_slow() {
    // All servers five times as slow for a while: nobody is an outlier, and the pool comes back.
    let workload = Workload {
        gray_share: 0.0,
        slowdown: Some((10_000, 15_000, 5.0)),
        ..Workload::new()
    };
    let all = runs(&workload, &Policy::new());
    let after = mean(&all, |f| served_share(f, 20_000, 60_000));
    assert!(after > 0.97, "{after}");
}

#[test]
fn few_good_servers_hold_up_nobody() {
    // Two thirds of the servers fail: the rest has room for two thirds of the load, and who is first must not wait
    // for it on behalf of all behind.
    let workload = Workload {
        gray_share: 0.67,
        ..Workload::new()
    };
    let all = runs(&workload, &Policy::new());
    let refused = mean(&all, |f| refused_share(f, 0, workload.duration_ms));
    assert!(refused < 0.05, "{refused}");
    let p99_ms = mean(&all, |f| served_percentile_ms(f, 99) as f64);
    assert!(p99_ms < workload.deadline_ms as f64, "{p99_ms}");
}

#[test]
fn flapping_servers() {
    // A third of the servers fails for a second at a time, always others.
    let workload = Workload {
        gray_rotation_ms: 1_000,
        ..Workload::new()
    };
    let all = runs(&workload, &Policy::new());
    let failed = mean(&all, |f| failed_share(f, 0, workload.duration_ms));
    assert!(failed < 0.26, "worse than chance: {failed}");
    let refused = mean(&all, |f| refused_share(f, 0, workload.duration_ms));
    assert!(refused < 0.02, "{refused}");
}

#[test]
fn owner_lost() {
    // A successor that knows nothing learns within seconds.
    let workload = Workload {
        owner_lost_ms: Some(30_000),
        gray_rotation_ms: 60_000,
        ..Workload::new()
    };
    let all = runs(&workload, &Policy::new());
    let before = mean(&all, |f| failed_share(f, 20_000, 30_000));
    let after = mean(&all, |f| failed_share(f, 35_000, 45_000));
    assert!(after < before + 0.03, "{before} then {after}");
}

#[test]
fn half_of_the_instances_alone() {
    // Two owners that know nothing of each other give too many slots; what is shed is not run.
    let workload = Workload {
        gray_share: 0.0,
        ..Workload::new()
    };
    let apart = Policy {
        owners: 2,
        ..Policy::new()
    };
    let served = mean(&runs(&workload, &apart), |f| {
        served_share(f, 0, workload.duration_ms)
    });
    assert!(served > 0.95, "{served}");
}
