//! Time and credit at one instance: what is divided, kept, refunded and dropped.

use quota::{
    commands::{self, ChargeOutcome},
    queries, CreditAsk, CreditCache, CreditGrant, KnownFleet, QuotaLedger, QuotaRule, QuotaTerms,
    TimeLedger, TimePart, TimePot, TimeShare,
};

const RULE: QuotaRule = QuotaRule {
    window_ms: 5_000,
    tolerance_permille: 100,
    slack: 20,
};
const ACCOUNT: &str = "alpha";

/// Terms of an account so large that its credit is valid for the shortest time, a second.
fn large_terms() -> QuotaTerms {
    QuotaTerms::new(&RULE, 1_000_000, 0)
}

fn ask(needed: u64) -> CreditAsk {
    CreditAsk {
        account: ACCOUNT.to_owned(),
        needed,
        ahead: 0,
        arrived: needed,
    }
}

/// Returns a cache that was just granted credit for `count` requests.
fn cache_with(count: u64, terms: &QuotaTerms, now_ms: u64) -> CreditCache {
    let mut cache = CreditCache::default();
    let outcome = commands::begin_charge(&mut cache, ACCOUNT, terms, now_ms);
    assert_eq!(outcome, ChargeOutcome::Wait(1));
    let call = commands::begin_call(&mut cache, now_ms).expect("a call");
    let grant = CreditGrant {
        granted: count,
        retry_after_ms: 0,
    };
    commands::add_grants(&mut cache, &call, &[grant], now_ms);
    cache
}

/// Guards against terms whose credit of a window and the validity before it exceeds what the window may have, for any size of
/// quota.
#[test]
fn terms_any_size() {
    for rate_milli in [1, 200, 1_000, 1_700, 20_000, 352_000, 5_000_000, 90_000_000] {
        for burst_requests in [0, 1, 50, 100_000] {
            let terms = QuotaTerms::new(&RULE, rate_milli, burst_requests);
            let tolerated =
                (rate_milli as f64 / 1_000.0 * 5.0 + burst_requests as f64) * 1.1 + 20.0;
            let spent_s = 5.0 + terms.valid_ms as f64 / 1_000.0;
            let spent = terms.rate_nano as f64 / 1e9 * spent_s;
            assert!(
                spent <= tolerated,
                "{rate_milli}, {burst_requests}: {terms:?}"
            );
            // A smaller rate would refuse requests for no reason.
            assert!(
                spent >= tolerated * 0.98,
                "{rate_milli}, {burst_requests}: {terms:?}"
            );
            assert!(terms.hold_ms < terms.valid_ms);
        }
    }
}

/// Guards against time that counts as new because its message waited, at a process that stood still.
#[test]
fn time_late_message() {
    let terms = large_terms();
    let grant_after = |late_ms: u64| {
        let mut ledger = QuotaLedger::default();
        let (sent_ms, now_ms) = (10_000, 10_000 + late_ms);
        let age_ms = queries::transit_ms(sent_ms, now_ms).expect("a time");
        let part = TimePart {
            age_ms: 100,
            time_ns: 100_000_000,
        };
        commands::add_time(&mut ledger, &[part], age_ms, now_ms);
        let receipt = commands::take_credit(&mut ledger, &ask(50), &terms, now_ms);
        receipt.grant.granted
    };
    assert_eq!(grant_after(0), 50);
    assert_eq!(grant_after(700), 0);
    // The sender knew the clock of an earlier process, which was ahead.
    assert_eq!(queries::transit_ms(10_000, 9_999), None);
}

/// Guards against a part of the time that is passed on twice, and against the time of a stall, whose part may be divided by the
/// number of instances of a smaller fleet.
#[test]
fn share_passed_once() {
    let mut ledger = TimeLedger::default();
    let shares = [700, 700, 1_000, 30_000];
    let spans =
        shares.map(|at_ms| commands::take_share(&mut ledger, KnownFleet::new(4), at_ms).span_ms);
    assert_eq!(spans, [700, 0, 300, 0]);
}

/// Guards against an own part that grows while instances are cut off: these go on passing theirs on, although the store no
/// longer lists them.
#[test]
fn share_third_not_listed() {
    let mut ledger = TimeLedger::default();
    for at_ms in (0..20_000).step_by(100) {
        commands::take_share(&mut ledger, KnownFleet::new(200), at_ms);
    }
    let divisors = [20_000, 34_000, 36_000];
    let divisors = divisors
        .map(|at_ms| commands::take_share(&mut ledger, KnownFleet::new(134), at_ms).instances);
    assert_eq!(divisors, [200, 200, 134]);
}

/// Guards against time that is lost or grows in the pot of a pool's owner, and against ages that are too low.
#[test]
fn pot_keeps_time_and_age() {
    let mut pot = TimePot::default();
    let share = TimeShare {
        span_ms: 1_000,
        instances: 4,
    };
    commands::add_share(&mut pot, share, 20, 9_990);
    let parts = commands::take_parts(&mut pot, 10_000);
    let total_ns: u64 = parts.iter().map(|part| part.time_ns).sum();
    assert_eq!(total_ns, 250_000_000);
    let oldest_ms = parts.iter().map(|part| part.age_ms).max();
    assert!(oldest_ms >= Some(1_030), "{parts:?}");
    assert!(commands::take_parts(&mut pot, 10_000).is_empty());
}

/// Guards against a refund that lives on: its credit could be spent in a window to which it did not belong.
#[test]
fn refund_expires_with_credit() {
    let terms = large_terms();
    let mut cache = cache_with(1, &terms, 1_000);
    let outcome = commands::charge(&mut cache, ACCOUNT, &terms, 1, 1_100);
    assert_eq!(outcome, ChargeOutcome::Charged(terms.hold_ms - 100));
    commands::refund(&mut cache, ACCOUNT, &terms, terms.hold_ms - 100, 1_100);
    let again = commands::begin_charge(&mut cache, ACCOUNT, &terms, 1_200);
    assert_eq!(again, ChargeOutcome::Charged(terms.hold_ms - 200));
    commands::refund(&mut cache, ACCOUNT, &terms, terms.hold_ms - 200, 1_200);
    let expired_ms = 1_000 + terms.hold_ms;
    let late = commands::begin_charge(&mut cache, ACCOUNT, &terms, expired_ms);
    assert_eq!(late, ChargeOutcome::Wait(2));
}

/// Guards against credit of a former limit that is spent under a lower one, at a pool's owner and at the quota owner.
#[test]
fn lowered_limit_drops_credit() {
    let (high, low) = (large_terms(), QuotaTerms::new(&RULE, 1_000, 0));
    let mut cache = cache_with(100, &high, 1_000);
    let outcome = commands::charge(&mut cache, ACCOUNT, &low, 1, 1_010);
    assert_eq!(outcome, ChargeOutcome::Wait(2));
    let mut ledger = QuotaLedger::default();
    let part = TimePart {
        age_ms: 100,
        time_ns: 100_000_000,
    };
    commands::add_time(&mut ledger, &[part], 0, 1_000);
    commands::take_credit(&mut ledger, &ask(0), &high, 1_000);
    let receipt = commands::take_credit(&mut ledger, &ask(50), &low, 1_010);
    assert_eq!(receipt.grant.granted, 0);
}

/// Guards against an account whose entry was dropped and that gets the credit of the same time again.
#[test]
fn idle_account_gets_credit_once() {
    let terms = QuotaTerms::new(&RULE, 10_000, 0);
    let mut ledger = QuotaLedger::default();
    let mut granted = 0;
    for at_ms in (100..=12_000).step_by(100) {
        if at_ms <= 3_000 {
            let part = TimePart {
                age_ms: 100,
                time_ns: 100_000_000,
            };
            commands::add_time(&mut ledger, &[part], 0, at_ms);
        }
        if at_ms % 3_100 == 0 {
            let receipt = commands::take_credit(&mut ledger, &ask(1_000), &terms, at_ms);
            granted += receipt.grant.granted;
        }
        commands::end_refusals(&mut ledger, at_ms);
    }
    let most = terms.rate_nano as f64 / 1e9 * 3.0;
    assert!(granted as f64 <= most, "{granted} granted of {most}");
}
