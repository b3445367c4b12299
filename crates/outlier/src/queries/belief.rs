//! How likely a server fails the next request: the order in which servers are chosen.
//!
//! At any time some servers of a service may fail most of their work while their health endpoint is good, others
//! turn so later, and a request that must not run twice has no second try. So each outcome moves the odds that
//! its server is of that kind, and without news the odds fade towards the usual ones.

use {
    crate::{health::PRIOR_LOG_ODDS, queries::UsualTimes, Health, ServerHealth},
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
pub fn faded_belief(entry: &ServerHealth, now_ms: u64) -> f64 {
    let age_ms = now_ms.saturating_sub(entry.belief_ms) as f64;
    let kept = (-age_ms / FADE_MS).exp();
    // Chances fade, not odds: a chain that leaves each state at a constant rate.
    let chance = share(PRIOR_LOG_ODDS) + (share(entry.belief) - share(PRIOR_LOG_ODDS)) * kept;
    (chance / (1.0 - chance)).ln()
}

/// Returns the log odds that the server fails most of its work, its requests in flight included.
pub fn failing_odds(entry: &ServerHealth, now_ms: u64) -> f64 {
    faded_belief(entry, now_ms) + entry.flight_llr
}

/// Returns the chance that the server fails most of its work, 0 to 1.
pub fn failing_share(entry: &ServerHealth, now_ms: u64) -> f64 {
    share(failing_odds(entry, now_ms))
}

/// Returns what a request given to the server is expected to cost, in thousandths of a lost request.
pub fn cost_permille(health: &Health, server: ServerIndex, now_ms: u64) -> u32 {
    let entry = health.servers.get(server);
    entry.map_or(1_000, |entry| cost(entry, &UsualTimes::new(health), now_ms))
}

/// Returns the same for every server of the pool.
pub fn costs_permille(health: &Health, now_ms: u64) -> EntityMap<ServerIndex, u32> {
    let times = UsualTimes::new(health);
    let mut costs = EntityMap::new();
    for (_, entry) in health.servers.iter() {
        costs.push(cost(entry, &times, now_ms));
    }
    costs
}

fn cost(entry: &ServerHealth, times: &UsualTimes, now_ms: u64) -> u32 {
    let slow = match times.of_peers(entry.usual_us) {
        Some(peers_us) if entry.usual_us > peers_us * SLOW_FROM => {
            ((entry.usual_us / peers_us - SLOW_FROM) * SLOW_COST).min(SLOW_COST_MAX)
        }
        _ => 0.0,
    };
    let lost = failing_share(entry, now_ms);
    ((lost + (1.0 - lost) * slow) * 1_000.0) as u32
}

fn share(log_odds: f64) -> f64 {
    1.0 / (1.0 + (-log_odds).exp())
}
