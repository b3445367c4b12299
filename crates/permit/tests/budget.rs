//! Tests of the retry budget.

use {
    permit::{
        commands::{evict_expired_buckets, merge_buckets, record_request, try_spend_retry},
        queries::{is_retry_allowed, window_totals},
        AgedBucket, RetryBudget,
    },
    quickcheck::quickcheck,
};

const WINDOW_MS: u64 = 10_000;

quickcheck! {
    /// In any window, wherever it begins, the retries are at most the percentage of the requests in that window and
    /// the one before it, plus the slack.
    fn try_spend_retry_never_over_limit(gaps_ms: Vec<u16>, percent: u8, slack: u8) -> bool {
        let (percent, slack) = (u32::from(percent % 101), u32::from(slack % 8));
        let mut budget = RetryBudget::new();
        let mut now_ms = 0;
        let mut events = Vec::new();
        for gap_ms in gaps_ms {
            now_ms += u64::from(gap_ms % 700);
            record_request(&mut budget, WINDOW_MS, now_ms);
            events.push((now_ms, try_spend_retry(&mut budget, WINDOW_MS, percent, slack, now_ms)));
        }
        events.iter().all(|&(start_ms, _)| {
            let events_since = |from_ms: u64| events.iter().filter(move |&&(at_ms, _)| {
                at_ms >= from_ms && at_ms < start_ms + WINDOW_MS
            });
            let retries = events_since(start_ms).filter(|&&(_, spent)| spent).count();
            let requests = events_since(start_ms.saturating_sub(WINDOW_MS)).count();
            retries as f64 <= requests as f64 * f64::from(percent) / 100.0 + f64::from(slack)
        })
    }
}

#[test]
fn try_spend_retry_window_passes() {
    let mut budget = RetryBudget::new();
    assert!(try_spend_retry(&mut budget, WINDOW_MS, 20, 1, 0));
    assert!(!try_spend_retry(&mut budget, WINDOW_MS, 20, 1, WINDOW_MS));
    assert!(try_spend_retry(
        &mut budget,
        WINDOW_MS,
        20,
        1,
        WINDOW_MS + 1_000
    ));
}

#[test]
fn merge_buckets_leave_window_in_time() {
    // Merged buckets must keep their age: a new owner granted retries for requests that had already left the window of
    // its predecessor.
    let mut budget = RetryBudget::new();
    let reported = [AgedBucket {
        age_ms: 9_000,
        requests: 500,
        retries: 60,
    }];
    merge_buckets(&mut budget, WINDOW_MS, &reported, 20_000);
    assert_eq!(window_totals(&budget), (500, 60));
    evict_expired_buckets(&mut budget, WINDOW_MS, 22_500);
    assert_eq!(window_totals(&budget), (0, 0));
}

#[test]
fn merge_buckets_reported_twice() {
    // The same buckets may be reported again by way of another owner, which must not enlarge the budget.
    let mut budget = RetryBudget::new();
    let reported = [AgedBucket {
        age_ms: 1_000,
        requests: 500,
        retries: 60,
    }];
    merge_buckets(&mut budget, WINDOW_MS, &reported, 20_000);
    let before = is_retry_allowed(&budget, 20, 0);
    merge_buckets(&mut budget, WINDOW_MS, &reported, 20_000);
    assert_eq!(window_totals(&budget), (500, 120));
    assert!(before && !is_retry_allowed(&budget, 20, 0));
}
