//! Notes requests and spends retries.

use crate::{
    budget::{Count, COUNT_MS},
    queries, AgedCount, Budget,
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

/// Takes over the counts of another owner, each as of its time, so that they leave the window when they should.
///
/// Two owners may tell the same counts, or each its own: requests are taken once and retries added up, so that what may
/// still be granted is never too much.
pub fn adopt_counts(budget: &mut Budget, window_ms: u64, counts: &[AgedCount], now_ms: u64) {
    for told in counts {
        let number = now_ms.saturating_sub(told.age_ms).div_ceil(COUNT_MS);
        let place = budget.counts.partition_point(|count| count.number < number);
        let is_known = budget
            .counts
            .get(place)
            .is_some_and(|count| count.number == number);
        if !is_known {
            let count = Count {
                number,
                ..Count::default()
            };
            budget.counts.insert(place, count);
        }
        let count = &mut budget.counts[place];
        count.requests = count.requests.max(told.requests);
        count.retries += told.retries;
    }
    forget_old(budget, window_ms, now_ms);
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
