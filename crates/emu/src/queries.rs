//! Queries over the statistics of a run.

use crate::{Attempt, Outcome, RunStats};

/// Step by which windows of time are moved, in milliseconds.
const WINDOW_STEP_MS: usize = 50;

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

/// Returns the share of the requests that may run only once and were sent to a server that failed there, 0 to 1.
pub fn at_most_once_failed_share(stats: &RunStats) -> f64 {
    let is_at_most_once = |attempt: &Attempt| !attempt.is_idempotent;
    attempt_share(stats, is_at_most_once, |attempt| attempt.is_failed)
}

/// Returns the share of the second tries that were sent to a server that was failing most of its requests, 0 to 1.
pub fn retries_to_failing_share(stats: &RunStats) -> f64 {
    attempt_share(
        stats,
        |attempt| attempt.is_retry,
        |attempt| attempt.is_to_failing,
    )
}

/// Returns the share of the attempts at `server` among those sent from `from_ms` until `until_ms`, 0 to 1.
pub fn server_share(stats: &RunStats, server: usize, (from_ms, until_ms): (u64, u64)) -> f64 {
    let is_in_period = |attempt: &Attempt| (from_ms..until_ms).contains(&attempt.started_ms);
    attempt_share(stats, is_in_period, |attempt| attempt.server == server)
}

/// Returns the share of attempts that match among those that are counted; 0 if none is counted.
fn attempt_share<Counts, Matches>(stats: &RunStats, counts: Counts, matches: Matches) -> f64
where
    Counts: Fn(&Attempt) -> bool,
    Matches: Fn(&Attempt) -> bool,
{
    let counted = stats.attempts.iter().filter(|attempt| counts(attempt));
    let (mut all, mut matching) = (0_u32, 0_u32);
    for attempt in counted {
        all += 1;
        matching += u32::from(matches(attempt));
    }
    f64::from(matching) / f64::from(all.max(1))
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

/// Returns the least share of the sound servers that got a request in any window of `window_ms` from `from_ms` until
/// `until_ms`, 0 to 1. A server is sound if it failed no request in the window or within `window_ms` before it. Windows with
/// fewer than `requests_min` requests for each sound server are left out: such a rate can't use all servers.
pub fn least_used_share(
    stats: &RunStats,
    servers: usize,
    (from_ms, until_ms): (u64, u64),
    window_ms: u64,
    requests_min: usize,
) -> f64 {
    let ends = (from_ms + window_ms..=until_ms).step_by(WINDOW_STEP_MS);
    let shares = ends.map(|end_ms| {
        let start_ms = end_ms - window_ms;
        let mut is_sound = vec![true; servers];
        let mut is_used = vec![false; servers];
        let mut requests = 0;
        for attempt in &stats.attempts {
            let failed_since_ms = start_ms.saturating_sub(window_ms);
            if attempt.is_failed && (failed_since_ms..end_ms).contains(&attempt.ended_ms) {
                is_sound[attempt.server] = false;
            }
            if (start_ms..end_ms).contains(&attempt.started_ms) {
                is_used[attempt.server] = true;
                requests += 1;
            }
        }
        let sound = (0..servers).filter(|&at| is_sound[at]);
        let used = sound.clone().filter(|&at| is_used[at]).count();
        match sound.count() {
            sound if requests < requests_min * sound || sound == 0 => 1.0,
            sound => used as f64 / sound as f64,
        }
    });
    shares.fold(1.0, f64::min)
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
