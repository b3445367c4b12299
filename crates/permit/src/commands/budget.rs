//! Counts requests and spends retries of a retry budget.

use crate::{
    budget::{Bucket, BUCKET_MS},
    queries, AgedBucket, RetryBudget,
};

/// Counts one request. A request is counted when its first attempt is granted a permit, not when it is retried.
pub fn record_request(budget: &mut RetryBudget, window_ms: u64, now_ms: u64) {
    current_bucket(budget, window_ms, now_ms).requests += 1;
}

/// Spends one retry if the budget has one left and returns whether it did. The limit is `percent` of the requests in
/// the window plus `slack`.
pub fn try_spend_retry(
    budget: &mut RetryBudget,
    window_ms: u64,
    percent: u32,
    slack: u32,
    now_ms: u64,
) -> bool {
    current_bucket(budget, window_ms, now_ms);
    let allowed = queries::is_retry_allowed(budget, percent, slack);
    if allowed {
        current_bucket(budget, window_ms, now_ms).retries += 1;
    }
    allowed
}

/// Merges buckets reported by another owner. Each is entered at its age, rounded to the next start of a bucket, so that
/// its retries stay in the window for at least the window's length.
///
/// Several owners may report the same buckets, or each its own, and the two cases can't be told apart. The maximum of
/// the requests and the sum of the retries are taken, so that the budget is never overestimated.
pub fn merge_buckets(
    budget: &mut RetryBudget,
    window_ms: u64,
    buckets: &[AgedBucket],
    now_ms: u64,
) {
    for reported in buckets {
        let index = now_ms.saturating_sub(reported.age_ms).div_ceil(BUCKET_MS);
        let position = budget
            .buckets
            .partition_point(|bucket| bucket.index < index);
        let exists = budget
            .buckets
            .get(position)
            .is_some_and(|bucket| bucket.index == index);
        if !exists {
            let bucket = Bucket {
                index,
                ..Bucket::default()
            };
            budget.buckets.insert(position, bucket);
        }
        let bucket = &mut budget.buckets[position];
        bucket.requests = bucket.requests.max(reported.requests);
        bucket.retries += reported.retries;
    }
    evict_expired_buckets(budget, window_ms, now_ms);
}

/// Drops the buckets that have left the window.
pub fn evict_expired_buckets(budget: &mut RetryBudget, window_ms: u64, now_ms: u64) {
    current_bucket(budget, window_ms, now_ms);
}

/// Drops the buckets that have left the window and returns the current one, adding it if needed.
fn current_bucket(budget: &mut RetryBudget, window_ms: u64, now_ms: u64) -> &mut Bucket {
    let index = now_ms / BUCKET_MS;
    let kept_buckets = window_ms / BUCKET_MS + 1;
    budget
        .buckets
        .retain(|bucket| bucket.index + kept_buckets > index);
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
