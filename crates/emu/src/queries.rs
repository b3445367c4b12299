//! Queries over what was counted.

use crate::{Outcome, RunStats};

/// Returns the share of requests that came in a stretch of time and were served, 0 to 1.
pub fn served_share(stats: &RunStats, from_ms: u64, until_ms: u64) -> f64 {
    share(stats, from_ms, until_ms, |outcome| {
        matches!(outcome, Outcome::Served(_))
    })
}

/// Returns the share of requests that failed at a server, 0 to 1.
pub fn failed_share(stats: &RunStats, from_ms: u64, until_ms: u64) -> f64 {
    share(stats, from_ms, until_ms, |outcome| {
        outcome == Outcome::Failed
    })
}

/// Returns the share of requests that were refused, 0 to 1.
pub fn refused_share(stats: &RunStats, from_ms: u64, until_ms: u64) -> f64 {
    share(stats, from_ms, until_ms, |outcome| {
        outcome == Outcome::Refused
    })
}

/// Returns a percentile of the times of served requests, in milliseconds.
pub fn served_percentile_ms(stats: &RunStats, percent: usize) -> u64 {
    let times = stats
        .outcomes
        .iter()
        .filter_map(|(_, outcome)| match outcome {
            Outcome::Served(ms) => Some(*ms),
            Outcome::Failed | Outcome::Refused => None,
        });
    let mut times: Vec<u64> = times.collect();
    times.sort_unstable();
    let last = times.len().saturating_sub(1);
    times.get(last * percent / 100).copied().unwrap_or_default()
}

fn share<Test>(stats: &RunStats, from_ms: u64, until_ms: u64, test: Test) -> f64
where
    Test: Fn(Outcome) -> bool,
{
    let within = stats
        .outcomes
        .iter()
        .filter(|(arrived_ms, _)| (from_ms..until_ms).contains(arrived_ms));
    let (mut all, mut found) = (0_u32, 0_u32);
    for (_, outcome) in within {
        all += 1;
        found += u32::from(test(*outcome));
    }
    f64::from(found) / f64::from(all.max(1))
}
