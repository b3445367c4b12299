//! The evidence that an owner holds about the servers of one pool.
//!
//! Invariant: `llr` is a log-likelihood ratio that never falls below 0, so old good work can't hide a new fault.

use types::{EntityMap, ServerIndex};

/// Odds that a server of which nothing was heard lately fails most of its work, as a natural logarithm: one in
/// five, as among backend servers of which up to a third may fail at a time.
pub(crate) const PRIOR_FAILURE_LOG_ODDS: f64 = -1.386;

/// What the outcome of one request says about its server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// A whole answer, with the time to its first byte in microseconds.
    Completed {
        /// Time to the first byte, in microseconds.
        first_byte_us: u64,
    },
    /// An error answer, a cut answer or a refused connection.
    Failed,
    /// The request is still in flight long past the usual time, or was given up so late.
    Overdue,
    /// A whole answer that was held against the server as overdue before it came.
    CompletedLate {
        /// Time to the first byte, in microseconds.
        first_byte_us: u64,
    },
    /// The server refused for load while the owner held a free slot of it.
    Shed,
    /// One instance could not open a connection to it.
    Unreachable,
    /// Nothing can be said about the server, as when one connection went silent or the caller left early.
    Inconclusive,
}

/// Thresholds of the sequential test, in natural-log units, and what a failure says.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sensitivity {
    /// Share of a usual server's requests that are taken to fail; the smaller, the more one failure says.
    pub baseline_failure_rate: f64,
    /// Ratio from which its ejection is proposed.
    pub eject_threshold_llr: f64,
    /// Time as a suspect before its ejection is proposed, in milliseconds; a suspect costs no capacity, so
    /// a passing slow moment is waited out.
    pub eject_delay_ms: u64,
}

impl Sensitivity {
    /// Thresholds for services where a missed detection costs more.
    pub fn fast() -> Self {
        Self {
            baseline_failure_rate: 0.012,
            eject_threshold_llr: 14.0,
            eject_delay_ms: 4_000,
        }
    }

    /// Thresholds for services where a false ejection costs more.
    pub fn careful() -> Self {
        Self {
            baseline_failure_rate: 0.03,
            eject_threshold_llr: 24.0,
            eject_delay_ms: 8_000,
        }
    }
}

/// The detector's opinion of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Assessment {
    /// Nothing speaks against it.
    Healthy,
    /// Enough speaks against it to prefer others.
    Suspect,
    /// Enough speaks against it to propose its ejection.
    Eject,
}

/// The evidence about one server.
#[derive(Clone, Debug)]
pub struct ServerHealth {
    /// Odds that the server fails most of its work, as a natural logarithm, as of `belief_ms`; see
    /// [`queries::failure_probability`](crate::queries::failure_probability).
    pub failure_log_odds: f64,
    /// When the belief was last brought up to date, in milliseconds.
    pub log_odds_updated_ms: u64,
    /// Until when suspicion stays whatever the belief, in milliseconds.
    pub suspect_until_ms: u64,
    /// How long suspicion stays at least, in milliseconds; doubles while the server flaps.
    pub min_suspicion_ms: u64,
    /// Log-likelihood ratio of bad against usual.
    pub llr: f64,
    /// The same ratio for the requests still in flight, by their age; gone when they end.
    pub in_flight_llr: f64,
    /// Recent share of bad outcomes, 0 to 1.
    pub bad_outcome_rate: f64,
    /// Running median of the time to the first byte, in microseconds; 0 before the first.
    pub median_first_byte_us: f64,
    /// Whole answers seen.
    pub completed_count: u64,
    /// Time of the last whole answer in usual time, in milliseconds; none before the first.
    pub last_healthy_ms: Option<u64>,
    /// Whether the server is a suspect.
    pub suspect: bool,
    /// Good outcomes in a row.
    pub consecutive_good: u32,
    /// Good outcomes in a row that end suspicion.
    pub required_consecutive_good: u32,
    /// When the server last became a suspect, in milliseconds.
    pub suspected_at_ms: u64,
    /// When the next trial is due, in milliseconds.
    pub next_trial_ms: u64,
    /// Time between trials, in milliseconds.
    pub trial_interval_ms: u64,
    /// Ejections so far, which lengthen the next.
    pub ejection_count: u32,
    /// Until when an ejection is renewed, in milliseconds.
    pub renew_until_ms: u64,
}

impl ServerHealth {
    /// Creates the evidence about a server of which nothing is known yet.
    pub fn new(now_ms: u64) -> Self {
        Self {
            failure_log_odds: PRIOR_FAILURE_LOG_ODDS,
            log_odds_updated_ms: now_ms,
            suspect_until_ms: 0,
            min_suspicion_ms: 0,
            llr: 0.0,
            in_flight_llr: 0.0,
            bad_outcome_rate: 0.0,
            median_first_byte_us: 0.0,
            completed_count: 0,
            last_healthy_ms: None,
            suspect: false,
            consecutive_good: 0,
            required_consecutive_good: 0,
            suspected_at_ms: 0,
            next_trial_ms: 0,
            trial_interval_ms: 0,
            ejection_count: 0,
            renew_until_ms: 0,
        }
    }
}

impl Default for ServerHealth {
    fn default() -> Self {
        Self::new(0)
    }
}

/// Time to the first byte that one whole answer of a pool in twenty exceeds. Requests of different kinds share a
/// pool, so a multiple of a median says little about the long ones.
#[derive(Clone, Copy, Debug, Default)]
pub struct TailLatency {
    /// The time, in microseconds.
    pub p95_us: f64,
    /// Whole answers that it was learnt from.
    pub sample_count: u64,
}

/// The evidence about all servers of one pool.
#[derive(Clone, Debug, Default)]
pub struct PoolHealth {
    /// Indexed as the pool's servers are.
    pub servers: EntityMap<ServerIndex, ServerHealth>,
    /// How long the pool's whole answers take at most, but for a few.
    pub tail_latency: TailLatency,
}

impl PoolHealth {
    /// Creates a pool's evidence without servers.
    pub fn new() -> Self {
        Self::default()
    }
}
