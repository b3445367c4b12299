//! Quotas of a fleet, under faults: the requests that run in any window, and those that are refused below the quota.

mod fleet;

use {
    faults::{seeded_runner, RandomFault},
    fleet::{
        full_plan, play, random_fault, small_plan, AccountPlan, Fault, FaultKind, Outcome, Plan,
        Record, CHANGE_MS, RULE, WINDOW_MS,
    },
    quota::{
        commands::{self, TakeReceipt},
        queries, CreditAsk, QuotaLedger, QuotaTerms, TimePart,
    },
};

/// Most faults of a random run.
const FAULTS_MAX: usize = 8;
/// Random runs.
const RUNS: u64 = 12;

/// Returns the requests that a window may have at this rate, in thousandths.
fn allowed_milli(rate_milli: u64, burst_requests: u64) -> u64 {
    let quota_milli = rate_milli * WINDOW_MS / 1_000 + burst_requests * 1_000;
    quota_milli * u64::from(1_000 + RULE.tolerance_permille) / 1_000 + u64::from(RULE.slack) * 1_000
}

/// Returns the highest rate that binds an account in a window that begins at `from_ms`: a lower one binds once all instances
/// have had it for some time.
fn binding_rate(account: &AccountPlan, from_ms: u64) -> u64 {
    let mut rates = vec![account.rate_milli];
    for &(at_ms, rate_milli) in &account.changes {
        if at_ms + 2 * CHANGE_MS <= from_ms {
            rates.clear();
        }
        if at_ms <= from_ms + WINDOW_MS {
            rates.push(rate_milli);
        }
    }
    rates.into_iter().max().unwrap_or_default()
}

/// Returns the begin of a window with too many requests, and their number, in milliseconds and requests.
fn exceeded_window(account: &AccountPlan, outcome: &Outcome) -> Option<(u64, u64)> {
    outcome.runs.iter().enumerate().find_map(|(first, begin)| {
        let end_ms = begin.sent_ms + WINDOW_MS;
        let later = outcome.runs[first..].iter();
        let sent = later.take_while(|run| run.sent_ms < end_ms);
        let count = sent.filter(|run| run.arrived_ms < end_ms).count() as u64;
        let rate_milli = binding_rate(account, begin.sent_ms);
        let allowed_milli = allowed_milli(rate_milli, account.burst_requests);
        (count * 1_000 > allowed_milli).then_some((begin.sent_ms, count))
    })
}

fn assert_bound(plan: &Plan, record: &Record) {
    for (number, (account, outcome)) in plan.accounts.iter().zip(&record.outcomes).enumerate() {
        let exceeded = exceeded_window(account, outcome);
        assert_eq!(exceeded, None, "account {number}: {account:?}");
    }
}

/// Returns the share of an account's requests that were refused, of those sent from `from_ms` on.
fn refused_share(outcomes: &[Outcome], from_ms: u64, to_ms: u64) -> f64 {
    let in_time = |ms: &&u64| (from_ms..to_ms).contains(*ms);
    let refused: usize = outcomes
        .iter()
        .map(|outcome| outcome.refused_ms.iter().filter(in_time).count())
        .sum();
    let ran: usize = outcomes
        .iter()
        .map(|outcome| {
            let sent = outcome.runs.iter().map(|run| run.sent_ms);
            sent.filter(|ms| in_time(&ms)).count()
        })
        .sum();
    refused as f64 / (refused + ran).max(1) as f64
}

fn report(name: &str, plan: &Plan, record: &Record, from_ms: u64, to_ms: u64) {
    let total = refused_share(&record.outcomes, from_ms, to_ms);
    let large = refused_share(
        &record.outcomes[..4.min(plan.accounts.len())],
        from_ms,
        to_ms,
    );
    let small = refused_share(&record.outcomes[plan.accounts.len() / 2..], from_ms, to_ms);
    let seconds = plan.duration_ms / 1_000;
    println!(
        "{name}: refused {:.3} % of all, {:.3} % of the 4 largest, {:.3} % of the smaller half; {} calls of quota owners and {} messages of time a second",
        total * 100.0,
        large * 100.0,
        small * 100.0,
        record.quota_takes / seconds,
        record.time_passes / seconds
    );
}

/// Guards against refusals of accounts below their quota, whose time or credit is where their requests don't come.
#[test]
fn refusals_at_60_percent() {
    let plan = full_plan(0.6);
    let record = play(1, &plan);
    report("60 % of the quota", &plan, &record, 8_000, plan.duration_ms);
    assert_bound(&plan, &record);
    assert!(refused_share(&record.outcomes, 8_000, plan.duration_ms) < 0.005);
    let small = &record.outcomes[plan.accounts.len() / 2..];
    assert!(refused_share(small, 8_000, plan.duration_ms) < 0.005);
}

/// Guards against a next quota owner that has no credit for long.
#[test]
fn refusals_loss_of_large_instances() {
    let mut plan = full_plan(0.6);
    plan.faults.push(Fault {
        kind: FaultKind::Kill,
        at_ms: 15_000,
        for_ms: 15_000,
        instances: vec![0, 1],
    });
    let record = play(2, &plan);
    report(
        "loss of two large instances, 2 s",
        &plan,
        &record,
        15_000,
        17_000,
    );
    report(
        "loss of two large instances, after",
        &plan,
        &record,
        17_000,
        30_000,
    );
    assert_bound(&plan, &record);
    assert!(refused_share(&record.outcomes, 17_000, 30_000) < 0.005);
}

/// Guards against a fleet that grants more, or refuses nearly everything, after it has lost power. The store still lists the
/// instances when they start again.
#[test]
fn refusals_restart_of_all() {
    let mut plan = full_plan(0.6);
    plan.has_partial_lists = false;
    plan.faults.push(Fault {
        kind: FaultKind::Kill,
        at_ms: 12_000,
        for_ms: 1_000,
        instances: (0..plan.instances).collect(),
    });
    let record = play(3, &plan);
    report("restart of all, 3 s", &plan, &record, 13_000, 16_000);
    report("restart of all, after", &plan, &record, 16_000, 30_000);
    assert_bound(&plan, &record);
    assert!(refused_share(&record.outcomes, 16_000, 30_000) < 0.005);
}

/// Guards against a fleet that loses a third of its instances and refuses requests for long, since the time of these is missing
/// until they no longer count. Callers of instances that are cut off have little more than these instances' own part.
#[test]
fn refusals_loss_of_third() {
    for kind in [FaultKind::Kill, FaultKind::Partition, FaultKind::Cut] {
        let mut plan = full_plan(0.6);
        plan.faults.push(Fault {
            kind,
            at_ms: 8_000,
            for_ms: 12_000,
            instances: (0..plan.instances)
                .filter(|number| number % 3 == 0)
                .collect(),
        });
        let record = play(6, &plan);
        report(
            &format!("{kind:?} of a third, 1 s"),
            &plan,
            &record,
            8_000,
            9_000,
        );
        report(
            &format!("{kind:?} of a third, after"),
            &plan,
            &record,
            9_000,
            20_000,
        );
        assert_bound(&plan, &record);
        if kind == FaultKind::Kill {
            assert!(refused_share(&record.outcomes, 9_000, 20_000) < 0.005);
        }
    }
}

/// Guards against an account that gets more than its quota, and against refusals of the others, while it sends 7 times its
/// usual rate.
#[test]
fn bound_hot_account() {
    for hot in [0, 3, 60] {
        let mut plan = full_plan(0.6);
        plan.accounts[hot].surge = (10_000, 18_000, 7.0);
        let record = play(4, &plan);
        let name = format!("account {hot} at 7 times its rate");
        report(&name, &plan, &record, 10_000, 18_000);
        assert_bound(&plan, &record);
        let mut others = record.outcomes.clone();
        let hot_outcome = others.remove(hot);
        let ran = hot_outcome.runs.iter();
        let ran = ran
            .filter(|run| (10_000..18_000).contains(&run.sent_ms))
            .count() as u64;
        let quota = plan.accounts[hot].rate_milli * 8 / 1_000;
        println!("  {ran} of the hot account ran in 8 s, its quota is {quota}");
        assert!(ran * 100 > quota * 80);
        assert!(refused_share(&others, 8_000, plan.duration_ms) < 0.005);
    }
}

/// Guards against credit of a former limit that is spent after all instances have the lower one.
#[test]
fn bound_lowered_limit() {
    for account in [0, 5, 70] {
        let mut plan = full_plan(0.6);
        let rate_milli = plan.accounts[account].rate_milli;
        plan.accounts[account].changes = vec![(10_000, rate_milli / 4), (20_000, rate_milli * 2)];
        plan.accounts[account].surge = (0, plan.duration_ms, 2.0);
        assert_bound(&plan, &play(5, &plan));
    }
}

/// Guards against refused requests that are asked to come again at once, or much later than there is credit: an account that
/// sends 7 times its rate has the requests of 6 s to make up for with each second.
#[test]
fn retry_after_by_demand() {
    let terms = QuotaTerms::new(&RULE, 20_000, 20);
    let rate_per_s = terms.rate_nano as f64 / 1e9;
    let mut ledger = QuotaLedger::default();
    let mut last = TakeReceipt::default();
    for step in 1..=100 {
        let now_ms = step * 100;
        let part = TimePart {
            age_ms: 100,
            time_ns: 100_000_000,
        };
        commands::add_time(&mut ledger, &[part], 0, now_ms);
        let arrived = (rate_per_s * 7.0 / 10.0).round() as u64;
        let ask = CreditAsk {
            account: "hot".to_owned(),
            needed: arrived,
            ahead: 0,
            arrived,
        };
        last = commands::take_credit(&mut ledger, &ask, &terms, now_ms);
    }
    assert!((rate_per_s * 6.5..rate_per_s * 7.5).contains(&last.demand_per_s));
    assert_eq!(
        last.grant.retry_after_ms, 5_000,
        "six seconds, but five at most"
    );
    let idle_ms = queries::refill_ms(&terms, 0.0);
    assert!(
        (40..=60).contains(&idle_ms),
        "one request at 20 a second: {idle_ms} ms"
    );
}

/// Guards against two owners of a group, an owner that was lost, a process that stood still or a message that was late, each of
/// which could make an account's requests exceed its quota.
#[test]
#[ignore = "fails for a fault that KNOWN-RED.txt lists, issue 36"]
fn bound_random_faults() {
    fn holds(seed: u64, faults: Vec<RandomFault>) -> bool {
        let mut plan = small_plan(0.6);
        let faults = faults.iter().take(FAULTS_MAX);
        plan.faults = faults.map(|fault| random_fault(fault, &plan)).collect();
        for account in &mut plan.accounts {
            account.surge = (0, plan.duration_ms, 3.0);
        }
        let rate_milli = plan.accounts[1].rate_milli;
        plan.accounts[1].changes = vec![(12_000, rate_milli / 3), (22_000, rate_milli)];
        let record = play(seed, &plan);
        let mut accounts = plan.accounts.iter().zip(&record.outcomes);
        accounts.all(|(account, outcome)| {
            let exceeded = exceeded_window(account, outcome);
            if let Some((at_ms, count)) = exceeded {
                println!(
                    "{count} requests from {at_ms} on: {account:?}, {:?}",
                    plan.faults
                );
            }
            exceeded.is_none()
        })
    }
    seeded_runner(FAULTS_MAX, RUNS).quickcheck(holds as fn(u64, Vec<RandomFault>) -> bool);
}
