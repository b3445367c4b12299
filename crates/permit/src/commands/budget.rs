//! Issues credit for retries and spends it.

use crate::{
    budget::{Bucket, BUCKET_MS, SPEND_MILLI},
    queries, CreditAccount, CreditBudget, CreditTerms, FleetSize,
};

/// Percentage of the permitted retries for which requests earn credit. A window of 10 s is paid for by the requests of
/// 11.25 s: credit is valid for 1 s, and a retry reaches its server up to 0.25 s after it was granted.
const ISSUED_SHARE_PERCENT: u64 = 88;
/// Percentage of the fleet's slack that is issued as credit. To the times above comes [`SLACK_TIME_MAX_MS`].
const ISSUED_SLACK_PERCENT: u64 = 75;
/// The same for the instances whose processes started within the window, which may know only half of the others.
const NEW_PROCESS_SLACK_PERCENT: u64 = ISSUED_SLACK_PERCENT / 2;
/// Longest time for which an instance issues its part of the slack at once, in milliseconds. Instances that receive few
/// requests of a service pass credit on that seldom.
const SLACK_TIME_MAX_MS: u64 = 2_000;

/// Returns the credit that this instance issues for one request of a caller, in thousandths of a retry: the request's part,
/// and this instance's part of the slack for the time since the last request. `uptime_ms` is the time since the process
/// started, in milliseconds; a new process issues nothing for the time before, and less while it may not know all others.
pub fn issue_credit(account: &mut CreditAccount, terms: CreditTerms, uptime_ms: u64) -> u64 {
    let since_ms = uptime_ms.saturating_sub(account.slack_issued_ms);
    account.slack_issued_ms = uptime_ms;
    let percent = if uptime_ms < terms.window_ms {
        NEW_PROCESS_SLACK_PERCENT
    } else {
        ISSUED_SLACK_PERCENT
    };
    let slack_milli = u64::from(terms.fleet_slack) * SPEND_MILLI * percent / 100
        * since_ms.min(SLACK_TIME_MAX_MS)
        / terms.window_ms.max(1)
        / u64::from(terms.instances.max(1));
    let request_milli = u64::from(terms.percent) * SPEND_MILLI / 100 * ISSUED_SHARE_PERCENT / 100;
    request_milli + slack_milli
}

/// Records the number of instances known at `now_ms` and returns the largest one within the window before. If instances
/// leave, what they have issued still counts, so the others' parts of the slack grow a window later.
pub fn record_fleet_size(size: &mut FleetSize, instances: u32, window_ms: u64, now_ms: u64) -> u32 {
    let counts = &mut size.counts;
    while counts.back().is_some_and(|&(_, count)| count < instances) {
        counts.pop_back();
    }
    if counts.back().is_none_or(|&(_, count)| count > instances) {
        counts.push_back((now_ms, instances));
    }
    // A count holds until the next one is recorded.
    while counts.len() > 1 && counts[1].0 + window_ms < now_ms {
        counts.pop_front();
    }
    counts[0].1
}

/// Adds credit that was just issued, in thousandths of a retry or a request.
pub fn add_credit(budget: &mut CreditBudget, credit_milli: u64, now_ms: u64) {
    evict_expired_credit(budget, now_ms);
    let index = now_ms / BUCKET_MS;
    if budget.buckets.back().is_none_or(|last| last.index < index) {
        let credit_milli = 0;
        budget.buckets.push_back(Bucket {
            index,
            credit_milli,
        });
    }
    if let Some(last) = budget.buckets.back_mut() {
        last.credit_milli += credit_milli;
    }
}

/// Spends the credit of one retry or request, the oldest first, if the budget has that much, and returns whether it did.
pub fn try_spend_credit(budget: &mut CreditBudget, now_ms: u64) -> bool {
    evict_expired_credit(budget, now_ms);
    if !queries::has_credit(budget, now_ms) {
        return false;
    }
    let mut owed_milli = SPEND_MILLI;
    for bucket in &mut budget.buckets {
        let paid_milli = bucket.credit_milli.min(owed_milli);
        bucket.credit_milli -= paid_milli;
        owed_milli -= paid_milli;
    }
    true
}

/// Drops the credit that is no longer valid.
fn evict_expired_credit(budget: &mut CreditBudget, now_ms: u64) {
    let valid_ms = budget.valid_ms;
    budget
        .buckets
        .retain(|bucket| queries::is_credit_valid(bucket, valid_ms, now_ms));
}
