//! Which kinds and accounts are served too seldom, and which accounts send far more than their share.

use {
    crate::{
        admission::{ServedCounts, RECENT_DECAY_MS, SERVED_DECAY_MS, USUAL_DECAY_MS},
        Admission, Arrival, Kind, QueueClass,
    },
    types::AccountKey,
};

/// Share of all requests' service below which a kind or an account is owed service, in percent. Callers are promised 25; the
/// difference is for what is decided between two looks at the counts.
const OWED_PERCENT: f64 = 30.0;
/// Difference by which a kind may be served less often than a less urgent one before it is owed service, 0 to 1. Callers are
/// promised 0.05.
const INVERSION_MAX: f64 = 0.025;
/// Recent requests from which the service of a kind or an account is judged.
const DECIDED_MIN: f64 = 8.0;
/// Time for which an owner of the pool learns the usual rates before it judges accounts by them, in milliseconds.
const JUDGED_AFTER_MS: u64 = 3_000;
/// Multiple of its usual rate, or of that of a mean account, from which an account is far above its share. Quotas are
/// about 1.6 times the usual rate, and a burst within the quota is no reason to wait first.
const FAR_ABOVE: f64 = 2.0;
/// Multiple of its usual rate up to which requests of an account count towards it; the usual rate can double in about two
/// minutes.
const USUAL_GROWTH: f64 = 1.2;

/// Returns the kinds that are owed service, with the number of requests that are owed. A kind's share of served requests must
/// reach a part of that of all requests, and nearly that of each less urgent kind.
pub fn owed_kinds(admission: &Admission, now_ms: u64) -> Vec<(Kind, usize)> {
    let all = served_share(&admission.served, now_ms).unwrap_or_default();
    let mut least = all * OWED_PERCENT / 100.0;
    let mut owed = Vec::new();
    // From the least urgent kind; `least` is what all less urgent ones require.
    for state in admission.kinds.iter().rev() {
        let Some(share) = served_share(&state.served, now_ms) else {
            continue;
        };
        let missing = missing_requests(&state.served, least, now_ms);
        if missing > 0 {
            owed.push((state.kind, missing));
        }
        least = least.max(share - INVERSION_MAX);
    }
    owed
}

/// Returns the accounts that are owed service, with the number of requests that are owed.
pub fn owed_accounts(admission: &Admission, now_ms: u64) -> Vec<(AccountKey, usize)> {
    let all = served_share(&admission.served, now_ms).unwrap_or_default();
    let least = all * OWED_PERCENT / 100.0;
    let accounts = admission.accounts.iter();
    let owed = accounts.filter_map(|(account, state)| {
        served_share(&state.served, now_ms)?;
        let missing = missing_requests(&state.served, least, now_ms);
        (missing > 0).then_some((*account, missing))
    });
    owed.collect()
}

/// Returns the share of the recent requests of a kind that were served, in percent; `None` if there were too few.
pub fn served_percent(admission: &Admission, kind: Kind, now_ms: u64) -> Option<f64> {
    let mut kinds = admission.kinds.iter();
    let state = kinds.find(|state| state.kind == kind)?;
    served_share(&state.served, now_ms).map(|share| share * 100.0)
}

/// Returns the class of a request that arrives, unless its kind or account is owed service.
pub fn queue_class(admission: &Admission, arrival: Arrival, now_ms: u64) -> QueueClass {
    match arrival.account {
        Some(account) if !is_within_share(admission, account, now_ms) => QueueClass::AboveShare,
        _ => QueueClass::Usual,
    }
}

/// Returns whether one more request of `account` is within its share, a multiple of its usual rate.
fn is_within_share(admission: &Admission, account: AccountKey, now_ms: u64) -> bool {
    is_below(admission, account, FAR_ABOVE, now_ms)
}

/// Returns whether one more request of `account` counts towards its usual rate. A burst would raise it otherwise, the more
/// so the shorter the owner has known the account.
pub(crate) fn counts_as_usual(admission: &Admission, account: AccountKey, now_ms: u64) -> bool {
    is_below(admission, account, USUAL_GROWTH, now_ms)
}

/// Returns whether what `account` recently sent within its share is below `multiple` of its usual rate, or of that of a mean
/// account of this pool.
fn is_below(admission: &Admission, account: AccountKey, multiple: f64, now_ms: u64) -> bool {
    let first_ms = admission.first_arrival_ms.unwrap_or(now_ms);
    let age_ms = now_ms.saturating_sub(first_ms);
    let state = admission.accounts.get(&account);
    let Some(state) = state.filter(|_| age_ms >= JUDGED_AFTER_MS) else {
        return true;
    };
    // A count that began `age_ms` ago has reached this part of its final value.
    let reached = 1.0 - (-(age_ms as f64) / USUAL_DECAY_MS).exp();
    let usual_per_s = state.usual.per_s(USUAL_DECAY_MS, now_ms) / reached;
    let all_usual_per_s = admission.account_usual.per_s(USUAL_DECAY_MS, now_ms) / reached;
    let equal_part_per_s = all_usual_per_s / admission.accounts.len().max(1) as f64;
    let limit_per_s = multiple * usual_per_s.max(equal_part_per_s);
    state.within.per_s(RECENT_DECAY_MS, now_ms) < limit_per_s
}

/// Returns the served requests and all that were decided; those at servers count as served.
fn served_and_decided(counts: &ServedCounts, now_ms: u64) -> (f64, f64) {
    let served = counts.served.value(SERVED_DECAY_MS, now_ms) + f64::from(counts.in_flight);
    (served, served + counts.lost.value(SERVED_DECAY_MS, now_ms))
}

fn served_share(counts: &ServedCounts, now_ms: u64) -> Option<f64> {
    let (served, decided) = served_and_decided(counts, now_ms);
    (decided >= DECIDED_MIN).then(|| served / decided)
}

/// Returns how many more of the decided requests should have been served for a share of `least`.
fn missing_requests(counts: &ServedCounts, least: f64, now_ms: u64) -> usize {
    let (served, decided) = served_and_decided(counts, now_ms);
    (decided * least - served).max(0.0).ceil() as usize
}
