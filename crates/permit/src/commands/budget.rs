//! Notes requests and spends retries.

use crate::{
    budget::{Count, COUNT_MS},
    queries, Budget,
};

/// Notes one request at its first ask.
pub fn note_request(budget: &mut Budget, window_ms: u64, now_ms: u64) {
    current(budget, window_ms, now_ms).requests += 1;
}

/// Spends one retry; returns whether there was one. Retries may be `percent` of the requests of the window, and
/// `slack` more.
pub fn spend(budget: &mut Budget, window_ms: u64, percent: u32, slack: u32, now_ms: u64) -> bool {
    current(budget, window_ms, now_ms);
    let allowed = queries::may_retry(budget, percent, slack);
    if allowed {
        current(budget, window_ms, now_ms).retries += 1;
    }
    allowed
}

/// Takes over the counts of an earlier owner, as if they had happened now.
pub fn adopt_counts(budget: &mut Budget, window_ms: u64, requests: u32, retries: u32, now_ms: u64) {
    let count = current(budget, window_ms, now_ms);
    count.requests += requests;
    count.retries += retries;
}

/// Forgets what has left the window.
pub fn forget_old(budget: &mut Budget, window_ms: u64, now_ms: u64) {
    current(budget, window_ms, now_ms);
}

/// Drops the counts that have left the window and returns the one of now.
fn current(budget: &mut Budget, window_ms: u64, now_ms: u64) -> &mut Count {
    let number = now_ms / COUNT_MS;
    let kept = window_ms / COUNT_MS + 1;
    budget.counts.retain(|count| count.number + kept > number);
    let is_new = budget.counts.back().is_none_or(|last| last.number < number);
    if is_new {
        budget.counts.push_back(Count {
            number,
            ..Count::default()
        });
    }
    let last = budget.counts.len() - 1;
    &mut budget.counts[last]
}
