//! The probability that a server is faulty and the expected cost of routing a request to it, which orders the servers.
//!
//! At any time some servers of a service may fail most requests although their health endpoint reports success, others
//! may become faulty later, and a request that is not idempotent can't be retried. Each outcome therefore updates the
//! odds that its server is faulty, and without new outcomes the odds decay towards the prior.

use {
    crate::{health::PRIOR_FAILURE_LOG_ODDS, queries::MedianLatencies, PoolHealth, ServerHealth},
    types::{EntityMap, ServerIndex},
};

/// Time constant of the decay, after which about a third of the knowledge about a server is left, in milliseconds.
/// Partial failures come and go within seconds.
const DECAY_MS: f64 = 9_000.0;
/// Multiple of the peers' median latency from which a slow server costs more.
const SLOW_RATIO: f64 = 1.4;
/// Cost of each further multiple of the peers' median latency, as a fraction of a lost request.
const SLOW_COST_PER_RATIO: f64 = 0.12;
/// Maximum cost of slowness, as a fraction of a lost request.
const MAX_SLOW_COST: f64 = 0.6;

/// Returns the failure log odds after decay until `now_ms`.
pub fn decayed_log_odds(entry: &ServerHealth, now_ms: u64) -> f64 {
    let age_ms = now_ms.saturating_sub(entry.log_odds_updated_ms) as f64;
    let retained = (-age_ms / DECAY_MS).exp();
    // The probability decays, not the odds, as in a Markov chain that leaves each state at a constant rate.
    let decayed = probability(PRIOR_FAILURE_LOG_ODDS)
        + (probability(entry.failure_log_odds) - probability(PRIOR_FAILURE_LOG_ODDS)) * retained;
    (decayed / (1.0 - decayed)).ln()
}

/// Returns the log odds that the server is faulty, including the requests in flight.
pub fn current_log_odds(entry: &ServerHealth, now_ms: u64) -> f64 {
    decayed_log_odds(entry, now_ms) + entry.in_flight_llr
}

/// Returns the probability that the server is faulty, 0 to 1.
pub fn failure_probability(entry: &ServerHealth, now_ms: u64) -> f64 {
    probability(current_log_odds(entry, now_ms))
}

/// Returns the expected cost of routing a request to `server`, in thousandths of a lost request; 1000 if the pool has
/// no such server.
pub fn expected_cost_permille(health: &PoolHealth, server: ServerIndex, now_ms: u64) -> u32 {
    let entry = health.servers.get(server);
    entry.map_or(1_000, |entry| {
        cost(entry, &MedianLatencies::new(health), now_ms)
    })
}

/// Returns the expected cost of routing a request to each server of the pool, in thousandths of a lost request.
pub fn expected_costs_permille(health: &PoolHealth, now_ms: u64) -> EntityMap<ServerIndex, u32> {
    let medians = MedianLatencies::new(health);
    let mut costs = EntityMap::new();
    for (_, entry) in health.servers.iter() {
        costs.push(cost(entry, &medians, now_ms));
    }
    costs
}

/// Returns the expected cost in thousandths of a lost request: a lost request if the server is faulty, otherwise the
/// cost of its slowness.
fn cost(entry: &ServerHealth, medians: &MedianLatencies, now_ms: u64) -> u32 {
    let slow_cost = match medians.median_of_peers(entry.median_first_byte_us) {
        Some(peers_us) if entry.median_first_byte_us > peers_us * SLOW_RATIO => {
            ((entry.median_first_byte_us / peers_us - SLOW_RATIO) * SLOW_COST_PER_RATIO)
                .min(MAX_SLOW_COST)
        }
        _ => 0.0,
    };
    let failure = failure_probability(entry, now_ms);
    ((failure + (1.0 - failure) * slow_cost) * 1_000.0) as u32
}

fn probability(log_odds: f64) -> f64 {
    1.0 / (1.0 + (-log_odds).exp())
}
