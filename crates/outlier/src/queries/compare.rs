//! Compares a server with the rest of its pool.

use {
    crate::{commands::MIN_TAIL_SAMPLES, Assessment, PoolHealth, Sensitivity},
    types::ServerIndex,
};

/// Multiple of the pool's tail from which an answer is late.
const LATE_FACTOR: f64 = 2.5;
/// Multiple of the pool's tail after which a second try is worth its cost; retries after errors need the budget
/// more.
const HEDGE_FACTOR: f64 = 1.5;
/// Least time from which an answer is late, in microseconds.
const LATE_LEAST_US: f64 = 20_000.0;

/// Least share of bad outcomes with which a server stands out.
const OUTSTANDING_LEAST: f64 = 0.1;
/// Multiple of the others' share of bad outcomes with which a server stands out.
const OUTSTANDING_FACTOR: f64 = 2.0;

/// Returns the opinion of `server`.
pub fn assess(
    health: &PoolHealth,
    server: ServerIndex,
    sensitivity: Sensitivity,
    now_ms: u64,
) -> Assessment {
    let Some(entry) = health.servers.get(server).filter(|entry| entry.suspect) else {
        return Assessment::Healthy;
    };
    let age_ms = now_ms.saturating_sub(entry.suspected_at_ms);
    if entry.llr >= sensitivity.eject_threshold_llr && age_ms >= sensitivity.eject_delay_ms {
        Assessment::Eject
    } else {
        Assessment::Suspect
    }
}

/// Tells whether a server's recent share of bad outcomes stands out from that of the rest of its service.
pub fn is_outlier(bad_share: f64, others_bad_share: f64) -> bool {
    bad_share >= OUTSTANDING_LEAST + OUTSTANDING_FACTOR * others_bad_share
}

/// Returns the mean recent share of bad outcomes among the other servers that have worked.
pub fn peer_bad_outcome_rate(health: &PoolHealth, server: ServerIndex) -> Option<f64> {
    let shares = active_bad_outcome_rates(health, Some(server));
    if shares.is_empty() {
        return None;
    }
    Some(shares.iter().sum::<f64>() / shares.len() as f64)
}

/// Returns the recent share of bad outcomes of each server that has worked, but for `except`.
pub fn active_bad_outcome_rates(health: &PoolHealth, except: Option<ServerIndex>) -> Vec<f64> {
    health
        .servers
        .iter()
        .filter(|(index, peer)| {
            Some(*index) != except && (peer.completed_count > 0 || peer.bad_outcome_rate > 0.0)
        })
        .map(|(_, peer)| peer.bad_outcome_rate)
        .collect()
}

/// Returns the time from which an answer of the pool is late, in microseconds.
pub fn late_threshold_us(health: &PoolHealth) -> Option<f64> {
    limit(health, LATE_FACTOR)
}

/// Returns the time after which a request in flight is worth a second try, in microseconds.
pub fn hedge_delay_us(health: &PoolHealth) -> Option<f64> {
    limit(health, HEDGE_FACTOR)
}

fn limit(health: &PoolHealth, factor: f64) -> Option<f64> {
    known_p95_us(health).map(|tail_us| (tail_us * factor).max(LATE_LEAST_US))
}

/// Returns the pool's tail, once enough answers have come to know it.
pub(crate) fn known_p95_us(health: &PoolHealth) -> Option<f64> {
    (health.tail_latency.sample_count >= MIN_TAIL_SAMPLES).then_some(health.tail_latency.p95_us)
}

/// Usual times to the first byte of a pool's servers, sorted once for a question about each of them.
pub(crate) struct MedianLatencies {
    sorted_us: Vec<f64>,
}

impl MedianLatencies {
    /// Gathers the times of the servers that have one.
    pub(crate) fn new(health: &PoolHealth) -> Self {
        let times_us = health
            .servers
            .iter()
            .map(|(_, entry)| entry.median_first_byte_us);
        let mut sorted_us: Vec<f64> = times_us.filter(|&usual_us| usual_us > 0.0).collect();
        sorted_us.sort_by(f64::total_cmp);
        Self { sorted_us }
    }

    /// Returns the median of the others for a server whose own time is `own_us`, or 0 if it has none.
    pub(crate) fn median_of_peers(&self, own_us: f64) -> Option<f64> {
        let is_before = |usual_us: &f64| usual_us.total_cmp(&own_us).is_lt();
        let own = (own_us > 0.0).then(|| self.sorted_us.partition_point(is_before));
        let count = self.sorted_us.len() - usize::from(own.is_some());
        let middle = count / 2;
        let passes_own = own.is_some_and(|own| own <= middle);
        let found = self.sorted_us.get(middle + usize::from(passes_own));
        found.copied().filter(|_| count > 0)
    }
}
