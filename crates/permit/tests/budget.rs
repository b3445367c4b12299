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
    /// In no window, wherever it begins, are there more retries than the share of the requests that the window
    /// and the one before it held, and the slack.
    fn spend_never_over_share(gaps_ms: Vec<u16>, percent: u8, slack: u8) -> bool {
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
            let from = |from_ms: u64| events.iter().filter(move |&&(at_ms, _)| {
                at_ms >= from_ms && at_ms < start_ms + WINDOW_MS
            });
            let retries = from(start_ms).filter(|&&(_, spent)| spent).count();
            let requests = from(start_ms.saturating_sub(WINDOW_MS)).count();
            retries as f64 <= requests as f64 * f64::from(percent) / 100.0 + f64::from(slack)
        })
    }
}

#[test]
fn spend_window_passes() {
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
fn adopt_counts_leave_window_in_time() {
    // An owner that took a pool over granted retries by requests that had left the window at its predecessor.
    let mut budget = RetryBudget::new();
    let told = [AgedBucket {
        age_ms: 9_000,
        requests: 500,
        retries: 60,
    }];
    merge_buckets(&mut budget, WINDOW_MS, &told, 20_000);
    assert_eq!(window_totals(&budget), (500, 60));
    evict_expired_buckets(&mut budget, WINDOW_MS, 22_500);
    assert_eq!(window_totals(&budget), (0, 0));
}

#[test]
fn adopt_counts_told_twice() {
    // The same counts may come back by way of another owner; what may be granted must not grow by that.
    let mut budget = RetryBudget::new();
    let told = [AgedBucket {
        age_ms: 1_000,
        requests: 500,
        retries: 60,
    }];
    merge_buckets(&mut budget, WINDOW_MS, &told, 20_000);
    let before = is_retry_allowed(&budget, 20, 0);
    merge_buckets(&mut budget, WINDOW_MS, &told, 20_000);
    assert_eq!(window_totals(&budget), (500, 120));
    assert!(before && !is_retry_allowed(&budget, 20, 0));
}
