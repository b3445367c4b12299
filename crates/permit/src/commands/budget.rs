//! Notes requests and spends retries.

use crate::{
    budget::{Bucket, BUCKET_MS},
    queries, AgedBucket, RetryBudget,
};

/// Notes one request at its first ask.
pub fn record_request(budget: &mut RetryBudget, window_ms: u64, now_ms: u64) {
    current(budget, window_ms, now_ms).requests += 1;
}

/// Spends one retry; returns whether there was one. Retries may be `percent` of the requests of the window, and
/// `slack` more.
pub fn try_spend_retry(
    budget: &mut RetryBudget,
    window_ms: u64,
    percent: u32,
    slack: u32,
    now_ms: u64,
) -> bool {
    current(budget, window_ms, now_ms);
    let allowed = queries::is_retry_allowed(budget, percent, slack);
    if allowed {
        current(budget, window_ms, now_ms).retries += 1;
    }
    allowed
}

/// Takes over the counts of another owner, each as of its time, so that they leave the window when they should.
///
/// Two owners may tell the same counts, or each its own: requests are taken once and retries added up, so that what may
/// still be granted is never too much.
pub fn merge_buckets(
    budget: &mut RetryBudget,
    window_ms: u64,
    buckets: &[AgedBucket],
    now_ms: u64,
) {
    for told in buckets {
        let index = now_ms.saturating_sub(told.age_ms).div_ceil(BUCKET_MS);
        let place = budget
            .buckets
            .partition_point(|bucket| bucket.index < index);
        let is_known = budget
            .buckets
            .get(place)
            .is_some_and(|bucket| bucket.index == index);
        if !is_known {
            let bucket = Bucket {
                index,
                ..Bucket::default()
            };
            budget.buckets.insert(place, bucket);
        }
        let bucket = &mut budget.buckets[place];
        bucket.requests = bucket.requests.max(told.requests);
        bucket.retries += told.retries;
    }
    evict_expired_buckets(budget, window_ms, now_ms);
}

/// Forgets what has left the window.
pub fn evict_expired_buckets(budget: &mut RetryBudget, window_ms: u64, now_ms: u64) {
    current(budget, window_ms, now_ms);
}

/// Drops the counts that have left the window and returns the one of now.
fn current(budget: &mut RetryBudget, window_ms: u64, now_ms: u64) -> &mut Bucket {
    let index = now_ms / BUCKET_MS;
    let kept = window_ms / BUCKET_MS + 1;
    budget.buckets.retain(|bucket| bucket.index + kept > index);
    let is_new = budget.buckets.back().is_none_or(|last| last.index < index);
    if is_new {
        budget.buckets.push_back(Bucket {
            index,
            ..Bucket::default()
        });
    }
    let last = budget.buckets.len() - 1;
    &mut budget.buckets[last]
}
