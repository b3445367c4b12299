//! Snapshots of a pool's state for its next owner.

use {
    crate::PoolState,
    outlier::{commands::HealthSnapshot, TailLatency},
    permit::queries::mean_service_us,
};

/// Age from which a server's health is left out of a snapshot, in milliseconds; it has decayed by then.
const HEALTH_MAX_AGE_MS: u64 = 30_000;

/// Health of one server, as handed to the pool's next owner.
#[derive(Clone, Debug)]
pub struct ServerSnapshot {
    /// Name of the server.
    pub name: String,
    /// Start of the server's process, in Unix milliseconds; 0 if not known.
    pub started_at_ms: u64,
    /// State of the outlier detector about the server.
    pub health: HealthSnapshot,
}

/// State of a pool, as handed to its next owner.
#[derive(Clone, Debug, Default)]
pub struct PoolSnapshot {
    /// Running 95th percentile of the pool's time to the first byte.
    pub tail_latency: TailLatency,
    /// Mean service time, in microseconds; 0 if not known.
    pub mean_service_us: f64,
    /// Health of the listed servers with a complete response and recent outcomes.
    pub servers: Vec<ServerSnapshot>,
}

/// Returns a snapshot of the pool. Credit for retries stays, since a copy of it would be spent twice.
pub fn pool_snapshot(state: &PoolState, now_ms: u64) -> PoolSnapshot {
    let servers = state.health.servers.iter().filter_map(|(index, health)| {
        let meta = state.server_meta.get(index).filter(|meta| meta.listed)?;
        let age_ms = now_ms.saturating_sub(health.log_odds_updated_ms);
        (health.completed_count > 0 && age_ms < HEALTH_MAX_AGE_MS).then(|| ServerSnapshot {
            name: state.pool.names.name(index).to_owned(),
            started_at_ms: meta.started_at_ms,
            health: HealthSnapshot {
                failure_log_odds: health.failure_log_odds,
                age_ms,
                median_first_byte_us: health.median_first_byte_us,
                completed_count: health.completed_count,
            },
        })
    });
    PoolSnapshot {
        tail_latency: state.health.tail_latency,
        mean_service_us: mean_service_us(&state.pool),
        servers: servers.collect(),
    }
}
