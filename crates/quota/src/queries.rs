//! Queries over time and credit.

use crate::{
    demand::AVERAGE_S, CreditCache, DemandRate, QuotaLedger, QuotaTerms, TimeLedger, GROUP_COUNT,
};

/// Longest time after which a refused request is asked to come again, in milliseconds.
const REFILL_MAX_MS: f64 = 5_000.0;
/// Arrivals of time among which the newest time is looked for: more than those of one message.
const LAST_ARRIVALS: usize = 32;

/// Returns the group of an account, which has one quota owner. All instances must compute the same group.
pub fn account_group(account: &str) -> usize {
    // FNV-1a: stable over versions and processors.
    let hash = account
        .bytes()
        .fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        });
    (hash % GROUP_COUNT as u64) as usize
}

/// Returns the time since this instance passed its part of the time on, in milliseconds.
pub fn unpassed_ms(ledger: &TimeLedger, uptime_ms: u64) -> u64 {
    uptime_ms.saturating_sub(ledger.passed_ms)
}

/// Returns a value of another instance's clock that is not later than now, in milliseconds; none if that instance has not
/// responded yet.
pub fn peer_clock_ms(ledger: &TimeLedger, peer: &str, now_ms: u64) -> Option<u64> {
    let clock = ledger.clocks.get(peer)?;
    Some(clock.peer_ms + now_ms.saturating_sub(clock.own_ms))
}

/// Returns an upper bound of the time that a message was underway, in milliseconds, from the value of this instance's clock
/// that its sender knew; none if the sender knew the clock of an earlier process.
pub fn transit_ms(clock_ms: u64, now_ms: u64) -> Option<u64> {
    now_ms.checked_sub(clock_ms)
}

/// Returns the rate of an account's requests, in requests a second.
pub fn demand_per_s(demand: &DemandRate, now_ms: u64) -> f64 {
    decayed_weight(demand, now_ms)
}

/// Returns the time in which the credit for the requests of a second arises that are above the quota, in milliseconds; at
/// least the time for one request. A request that comes again after about that time finds credit.
pub fn refill_ms(terms: &QuotaTerms, demand_per_s: f64) -> u64 {
    let rate_per_s = (terms.rate_nano as f64 / 1e9).max(1e-3);
    let excess_ms = (demand_per_s - rate_per_s).max(0.0) / rate_per_s * 1_000.0;
    excess_ms.max(1_000.0 / rate_per_s).min(REFILL_MAX_MS) as u64
}

/// Returns the age of the newest time that was passed on, in milliseconds; none if none was lately.
pub fn time_age_ms(ledger: &QuotaLedger, now_ms: u64) -> Option<u64> {
    let last = ledger.arrivals.iter().rev().take(LAST_ARRIVALS);
    let newest_ms = last.map(|arrival| arrival.born_ms).max();
    newest_ms.map(|newest_ms| (now_ms as i64 - newest_ms).max(0) as u64)
}

/// Returns the number of accounts with recent requests at the owner of a pool.
pub fn cached_accounts(cache: &CreditCache) -> usize {
    cache.accounts.len()
}

/// Iterates over the accounts with recent requests at the owner of a pool: name, requests granted and refused.
pub fn account_counts(cache: &CreditCache) -> impl Iterator<Item = (&str, u64, u64)> {
    let counts = cache.accounts.iter();
    counts.map(|(name, account)| (name.as_str(), account.granted, account.refused))
}

pub(crate) fn decayed_weight(demand: &DemandRate, now_ms: u64) -> f64 {
    let since_s = now_ms.saturating_sub(demand.updated_ms) as f64 / 1_000.0;
    demand.weight * (-since_s / AVERAGE_S).exp()
}
