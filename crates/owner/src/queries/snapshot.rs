//! What an owner tells its successor.

use {
    crate::PoolState,
    outlier::{commands::HealthSnapshot, TailLatency},
    permit::{
        queries::{aged_buckets, mean_service_us},
        AgedBucket,
    },
};

/// Age from which evidence is not handed on, in milliseconds; it has faded by then.
const OLD_MS: u64 = 30_000;

/// What an owner knows of one server.
#[derive(Clone, Debug)]
pub struct ServerSnapshot {
    /// Its name.
    pub name: String,
    /// Start of the server, in milliseconds since 1970; 0 if not known.
    pub started_at_ms: u64,
    /// The evidence about it.
    pub health: HealthSnapshot,
}

/// What an owner knows of a pool.
#[derive(Clone, Debug, Default)]
pub struct PoolSnapshot {
    /// How long the pool's whole answers take at most, but for a few.
    pub tail_latency: TailLatency,
    /// Mean service time, in microseconds; 0 if not known.
    pub mean_service_us: f64,
    /// Requests and retries in the window of retries.
    pub buckets: Vec<AgedBucket>,
    /// Servers of which something was heard lately.
    pub servers: Vec<ServerSnapshot>,
}

/// Returns what is known of a pool.
pub fn pool_snapshot(state: &PoolState, now_ms: u64) -> PoolSnapshot {
    let servers = state.health.servers.iter().filter_map(|(index, entry)| {
        let meta = state.server_meta.get(index).filter(|meta| meta.listed)?;
        let age_ms = now_ms.saturating_sub(entry.log_odds_updated_ms);
        (entry.completed_count > 0 && age_ms < OLD_MS).then(|| ServerSnapshot {
            name: state.pool.names.name(index).to_owned(),
            started_at_ms: meta.started_at_ms,
            health: HealthSnapshot {
                failure_log_odds: entry.failure_log_odds,
                age_ms,
                median_first_byte_us: entry.median_first_byte_us,
                completed_count: entry.completed_count,
            },
        })
    });
    PoolSnapshot {
        tail_latency: state.health.tail_latency,
        mean_service_us: mean_service_us(&state.pool),
        buckets: aged_buckets(&state.retry_budget, now_ms).collect(),
        servers: servers.collect(),
    }
}
