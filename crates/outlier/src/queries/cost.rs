//! How likely a server fails the next request: the order in which servers are chosen.
//!
//! At any time some servers of a service may fail most of their work while their health endpoint is good, others
//! turn so later, and a request that must not run twice has no second try. So each outcome moves the odds that
//! its server is of that kind, and without news the odds fade towards the usual ones.

use {
    crate::{health::PRIOR_FAILURE_LOG_ODDS, queries::MedianLatencies, PoolHealth, ServerHealth},
    types::{EntityMap, ServerIndex},
};

/// Time in which what is known of a server fades to a third, in milliseconds: failures of part of the work come
/// and go within seconds.
const FADE_MS: f64 = 9_000.0;
/// Multiple of the peers' usual time from which a slow server costs more.
const SLOW_FROM: f64 = 1.4;
/// Cost of each further usual time, as a share of a lost request.
const SLOW_COST: f64 = 0.12;
/// Most that slowness costs, as a share of a lost request.
const SLOW_COST_MAX: f64 = 0.6;

/// Returns the log odds of the belief once it has faded until `now_ms`.
pub fn decayed_log_odds(entry: &ServerHealth, now_ms: u64) -> f64 {
    let age_ms = now_ms.saturating_sub(entry.log_odds_updated_ms) as f64;
    let kept = (-age_ms / FADE_MS).exp();
    // Chances fade, not odds: a chain that leaves each state at a constant rate.
    let chance = share(PRIOR_FAILURE_LOG_ODDS)
        + (share(entry.failure_log_odds) - share(PRIOR_FAILURE_LOG_ODDS)) * kept;
    (chance / (1.0 - chance)).ln()
}

/// Returns the log odds that the server fails most of its work, its requests in flight included.
pub fn current_log_odds(entry: &ServerHealth, now_ms: u64) -> f64 {
    decayed_log_odds(entry, now_ms) + entry.in_flight_llr
}

/// Returns the chance that the server fails most of its work, 0 to 1.
pub fn failure_probability(entry: &ServerHealth, now_ms: u64) -> f64 {
    share(current_log_odds(entry, now_ms))
}

/// Returns what a request given to the server is expected to cost, in thousandths of a lost request.
pub fn expected_cost_permille(health: &PoolHealth, server: ServerIndex, now_ms: u64) -> u32 {
    let entry = health.servers.get(server);
    entry.map_or(1_000, |entry| {
        cost(entry, &MedianLatencies::new(health), now_ms)
    })
}

/// Returns the same for every server of the pool.
pub fn expected_costs_permille(health: &PoolHealth, now_ms: u64) -> EntityMap<ServerIndex, u32> {
    let times = MedianLatencies::new(health);
    let mut costs = EntityMap::new();
    for (_, entry) in health.servers.iter() {
        costs.push(cost(entry, &times, now_ms));
    }
    costs
}

fn cost(entry: &ServerHealth, times: &MedianLatencies, now_ms: u64) -> u32 {
    let slow = match times.median_of_peers(entry.median_first_byte_us) {
        Some(peers_us) if entry.median_first_byte_us > peers_us * SLOW_FROM => {
            ((entry.median_first_byte_us / peers_us - SLOW_FROM) * SLOW_COST).min(SLOW_COST_MAX)
        }
        _ => 0.0,
    };
    let lost = failure_probability(entry, now_ms);
    ((lost + (1.0 - lost) * slow) * 1_000.0) as u32
}

fn share(log_odds: f64) -> f64 {
    1.0 / (1.0 + (-log_odds).exp())
}
