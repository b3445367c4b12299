//! Queries over the statistics of a run.

use crate::{Outcome, RunStats};

/// Returns the share of the requests arriving from `from_ms` until `until_ms` that were served, 0 to 1.
pub fn served_share(stats: &RunStats, from_ms: u64, until_ms: u64) -> f64 {
    share(stats, from_ms, until_ms, |outcome| {
        matches!(outcome, Outcome::Served(_))
    })
}

/// Returns the share of the requests arriving from `from_ms` until `until_ms` that failed at a server, 0 to 1.
pub fn failed_share(stats: &RunStats, from_ms: u64, until_ms: u64) -> f64 {
    share(stats, from_ms, until_ms, |outcome| {
        outcome == Outcome::Failed
    })
}

/// Returns the share of the requests arriving from `from_ms` until `until_ms` that were refused, 0 to 1.
pub fn refused_share(stats: &RunStats, from_ms: u64, until_ms: u64) -> f64 {
    share(stats, from_ms, until_ms, |outcome| {
        outcome == Outcome::Refused
    })
}

/// Returns the percentile `percent` of the response times of served requests, in milliseconds; 0 if none was served.
pub fn served_percentile_ms(stats: &RunStats, percent: usize) -> u64 {
    let response_times_ms = stats
        .outcomes
        .iter()
        .filter_map(|(_, outcome)| match outcome {
            Outcome::Served(ms) => Some(*ms),
            Outcome::Failed | Outcome::Refused => None,
        });
    let mut response_times_ms: Vec<u64> = response_times_ms.collect();
    response_times_ms.sort_unstable();
    let last = response_times_ms.len().saturating_sub(1);
    response_times_ms
        .get(last * percent / 100)
        .copied()
        .unwrap_or_default()
}

/// Returns the share of the requests arriving in the period whose outcome matches; 0 if none arrived.
fn share<Predicate>(
    stats: &RunStats,
    from_ms: u64,
    until_ms: u64,
    matches_outcome: Predicate,
) -> f64
where
    Predicate: Fn(Outcome) -> bool,
{
    let in_period = stats
        .outcomes
        .iter()
        .filter(|(arrived_ms, _)| (from_ms..until_ms).contains(arrived_ms));
    let (mut all, mut matching) = (0_u32, 0_u32);
    for (_, outcome) in in_period {
        all += 1;
        matching += u32::from(matches_outcome(*outcome));
    }
    f64::from(matching) / f64::from(all.max(1))
}
