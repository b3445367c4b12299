//! Checks that the fleet's retries stay within the users' bound.

use {
    crate::cluster::{Cluster, Observations, RETRY_SLACK},
    std::{
        collections::HashSet,
        time::{Duration, Instant},
    },
};

/// Window over which retries are counted.
const WINDOW: Duration = Duration::from_secs(10);
/// Retries that are allowed in a window, as a percentage of the requests.
const RETRY_PERCENT: usize = 20;

/// Returns the first window with more retries than the users allow. The requests are those of the window, of the one before
/// or of the one half a window before, whichever are most.
pub(super) fn excess_retries(cluster: &Cluster, observations: &Observations) -> Option<String> {
    let (firsts, retries) = arrivals(cluster);
    let sent = observations.outcomes.iter().map(|outcome| outcome.sent_at);
    // The final checks' requests are no callers'.
    let last_sent = sent.clone().max()?;
    let later = firsts.into_iter().filter(|at| *at > last_sent);
    let mut requests: Vec<Instant> = sent.chain(later).collect();
    requests.sort_unstable();
    retries.iter().find_map(|&from| {
        let retry_count = count(&retries, Some(from));
        let starts = [Duration::ZERO, WINDOW / 2, WINDOW];
        let request_counts = starts.map(|before| count(&requests, from.checked_sub(before)));
        let request_count = request_counts.into_iter().max().unwrap_or(0);
        let limit = request_count * RETRY_PERCENT / 100 + RETRY_SLACK as usize;
        (retry_count > limit)
            .then(|| format!("BUDGET: {retry_count} retries in 10 s, {limit} allowed"))
    })
}

/// Returns the times at which requests arrived for the first time, and those at which they arrived again, each in order.
fn arrivals(cluster: &Cluster) -> (Vec<Instant>, Vec<Instant>) {
    let servers = cluster.servers.iter();
    let mut arrivals: Vec<_> = servers
        .flat_map(|server| server.backend.arrivals())
        .collect();
    arrivals.sort_unstable_by_key(|arrival| arrival.received_at);
    let mut seen = HashSet::new();
    let (mut firsts, mut retries) = (Vec::new(), Vec::new());
    for arrival in &arrivals {
        if seen.insert(arrival.request_id.as_str()) {
            firsts.push(arrival.received_at);
        } else {
            retries.push(arrival.received_at);
        }
    }
    (firsts, retries)
}

/// Counts the times, which are in order, that lie in the window from `from` on; 0 without it.
fn count(times: &[Instant], from: Option<Instant>) -> usize {
    from.map_or(0, |from| {
        let until = times.partition_point(|at| *at < from + WINDOW);
        until - times.partition_point(|at| *at < from)
    })
}
