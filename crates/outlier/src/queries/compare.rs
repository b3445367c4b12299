//! Compares a server with the other servers of its pool.

use {
    crate::{commands::MIN_TAIL_SAMPLES, Assessment, PoolHealth, Sensitivity},
    types::ServerIndex,
};

/// Multiple of the pool's tail latency from which a response is late.
const LATE_FACTOR: f64 = 2.5;
/// Multiple of the pool's tail latency after which a hedged request is worth its cost. A lower factor would spend the
/// retry budget that retries after errors need more.
const HEDGE_FACTOR: f64 = 1.5;
/// Lower bound of the late threshold and of the hedge delay, in microseconds.
const MIN_LATE_US: f64 = 20_000.0;

/// Minimum bad outcome rate of an outlier.
const MIN_OUTLIER_RATE: f64 = 0.1;
/// Multiple of the other servers' bad outcome rate that is added to the minimum rate of an outlier.
const OUTLIER_FACTOR: f64 = 2.0;

/// Assesses `server`: a suspect is due for ejection once its log-likelihood ratio has reached the threshold of
/// `sensitivity` and it has been a suspect for the delay.
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

/// Returns whether a server's bad outcome rate is an outlier among the servers of its service.
pub fn is_outlier(rate: f64, peer_rate: f64) -> bool {
    rate >= MIN_OUTLIER_RATE + OUTLIER_FACTOR * peer_rate
}

/// Returns the mean bad outcome rate of the other servers that have outcomes, or `None` without such peers.
pub fn peer_bad_outcome_rate(health: &PoolHealth, server: ServerIndex) -> Option<f64> {
    let rates = active_bad_outcome_rates(health, Some(server));
    if rates.is_empty() {
        return None;
    }
    Some(rates.iter().sum::<f64>() / rates.len() as f64)
}

/// Returns the bad outcome rate of each server that has outcomes, good or bad, except `except`.
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

/// Returns the time to first byte from which a response of the pool is late, in microseconds; `None` until there are
/// enough samples.
pub fn late_threshold_us(health: &PoolHealth) -> Option<f64> {
    tail_multiple_us(health, LATE_FACTOR)
}

/// Returns the time after which a request in flight is hedged, in microseconds; `None` until there are enough samples.
pub fn hedge_delay_us(health: &PoolHealth) -> Option<f64> {
    tail_multiple_us(health, HEDGE_FACTOR)
}

fn tail_multiple_us(health: &PoolHealth, factor: f64) -> Option<f64> {
    known_p95_us(health).map(|p95_us| (p95_us * factor).max(MIN_LATE_US))
}

/// Returns the 95th percentile of the pool's time to first byte, in microseconds, once there are enough samples.
pub(crate) fn known_p95_us(health: &PoolHealth) -> Option<f64> {
    (health.tail_latency.sample_count >= MIN_TAIL_SAMPLES).then_some(health.tail_latency.p95_us)
}

/// Median times to first byte of a pool's servers, sorted once to look up the median of the peers of each server.
pub(crate) struct MedianLatencies {
    sorted_us: Vec<f64>,
}

impl MedianLatencies {
    /// Collects the medians of the servers that have one.
    pub(crate) fn new(health: &PoolHealth) -> Self {
        let medians_us = health
            .servers
            .iter()
            .map(|(_, entry)| entry.median_first_byte_us);
        let mut sorted_us: Vec<f64> = medians_us.filter(|&median_us| median_us > 0.0).collect();
        sorted_us.sort_by(f64::total_cmp);
        Self { sorted_us }
    }

    /// Returns the median over the other servers, for a server whose own median is `own_us` (0 if it has none).
    pub(crate) fn median_of_peers(&self, own_us: f64) -> Option<f64> {
        let is_before = |median_us: &f64| median_us.total_cmp(&own_us).is_lt();
        let own = (own_us > 0.0).then(|| self.sorted_us.partition_point(is_before));
        let count = self.sorted_us.len() - usize::from(own.is_some());
        let middle = count / 2;
        let skips_own = own.is_some_and(|own| own <= middle);
        let median = self.sorted_us.get(middle + usize::from(skips_own));
        median.copied().filter(|_| count > 0)
    }
}
