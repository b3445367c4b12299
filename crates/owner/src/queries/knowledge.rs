//! What an owner tells its successor.

use {
    crate::PoolState,
    outlier::{commands::HealthSnapshot, TailLatency},
    permit::{
        queries::{aged_counts, service_us},
        AgedCount,
    },
};

/// Age from which evidence is not handed on, in milliseconds; it has faded by then.
const OLD_MS: u64 = 30_000;

/// What an owner knows of one server.
#[derive(Clone, Debug)]
pub struct KnownServer {
    /// Its name.
    pub name: String,
    /// Start of the server, in milliseconds since 1970; 0 if not known.
    pub born_ms: u64,
    /// The evidence about it.
    pub heard: HealthSnapshot,
}

/// What an owner knows of a pool.
#[derive(Clone, Debug, Default)]
pub struct Knowledge {
    /// How long the pool's whole answers take at most, but for a few.
    pub tail: TailLatency,
    /// Mean service time, in microseconds; 0 if not known.
    pub service_us: f64,
    /// Requests and retries in the window of retries.
    pub counts: Vec<AgedCount>,
    /// Servers of which something was heard lately.
    pub servers: Vec<KnownServer>,
}

/// Returns what is known of a pool.
pub fn knowledge(state: &PoolState, now_ms: u64) -> Knowledge {
    let servers = state.health.servers.iter().filter_map(|(index, entry)| {
        let note = state.notes.get(index).filter(|note| note.listed)?;
        let age_ms = now_ms.saturating_sub(entry.log_odds_updated_ms);
        (entry.completed_count > 0 && age_ms < OLD_MS).then(|| KnownServer {
            name: state.pool.names.name(index).to_owned(),
            born_ms: note.born_ms,
            heard: HealthSnapshot {
                failure_log_odds: entry.failure_log_odds,
                age_ms,
                median_first_byte_us: entry.median_first_byte_us,
                completed_count: entry.completed_count,
            },
        })
    });
    Knowledge {
        tail: state.health.tail_latency,
        service_us: service_us(&state.pool),
        counts: aged_counts(&state.budget, now_ms).collect(),
        servers: servers.collect(),
    }
}
