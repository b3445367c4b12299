//! The detector state that a pool's owner keeps about the servers of the pool.
//!
//! Invariant: `llr` is a log-likelihood ratio that never falls below 0, so earlier good outcomes can't mask a new
//! fault.

use types::{EntityMap, ServerIndex};

/// Log odds that a server without recent outcomes is faulty: a probability of one in five, since up to a third of the
/// backend servers may be faulty at a time.
pub(crate) const PRIOR_FAILURE_LOG_ODDS: f64 = -1.386;

/// Outcome of one attempt at a backend server, as seen by the detector.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// A complete response.
    Completed {
        /// Time to the first byte, in microseconds.
        first_byte_us: u64,
    },
    /// An error response, a truncated response or a refused connection.
    Failed,
    /// The request is in flight for much longer than normal, or was abandoned after such a time.
    Overdue,
    /// A complete response to a request that was already recorded as overdue.
    CompletedLate {
        /// Time to the first byte, in microseconds.
        first_byte_us: u64,
    },
    /// The server shed the request although the owner counted a free slot.
    Shed,
    /// One instance could not open a connection to the server.
    Unreachable,
    /// The outcome says nothing about the server: one connection went silent, or the caller disconnected early.
    Inconclusive,
}

/// Parameters of the sequential test; log-likelihood ratios are in nats.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sensitivity {
    /// Assumed failure rate of a healthy server, 0 to 1; the smaller, the more weight one failure has.
    pub baseline_failure_rate: f64,
    /// Log-likelihood ratio from which an ejection is proposed.
    pub eject_threshold_llr: f64,
    /// Time as a suspect before an ejection is proposed, in milliseconds. Suspicion takes no capacity out of service,
    /// so the detector can wait for a transient slowdown to pass.
    pub eject_delay_ms: u64,
}

impl Sensitivity {
    /// Returns the parameters for services where a missed detection costs more.
    pub fn fast() -> Self {
        Self {
            baseline_failure_rate: 0.012,
            eject_threshold_llr: 14.0,
            eject_delay_ms: 4_000,
        }
    }

    /// Returns the parameters for services where a false ejection costs more.
    pub fn careful() -> Self {
        Self {
            baseline_failure_rate: 0.03,
            eject_threshold_llr: 24.0,
            eject_delay_ms: 8_000,
        }
    }
}

/// The detector's assessment of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Assessment {
    /// Not suspected.
    Healthy,
    /// Suspected; other servers are preferred.
    Suspect,
    /// The threshold for proposing an ejection is reached.
    Eject,
}

/// Detector state of one server.
#[derive(Clone, Debug)]
pub struct ServerHealth {
    /// Log odds that the server is faulty, that is, fails most of its requests, as of `log_odds_updated_ms`; see
    /// [`queries::failure_probability`](crate::queries::failure_probability).
    pub failure_log_odds: f64,
    /// Time of the last update of the log odds, in milliseconds.
    pub log_odds_updated_ms: u64,
    /// Time until which the decay of the log odds does not clear the suspicion, in milliseconds.
    pub suspect_until_ms: u64,
    /// Time from the start of a suspicion to `suspect_until_ms`, in milliseconds; doubles while the server flaps.
    pub min_suspicion_ms: u64,
    /// Log-likelihood ratio of faulty against healthy, over the recorded outcomes.
    pub llr: f64,
    /// Log-likelihood ratio of the requests in flight, from their ages; a request that has ended no longer counts.
    pub in_flight_llr: f64,
    /// Moving average of the rate of bad outcomes, 0 to 1.
    pub bad_outcome_rate: f64,
    /// Running median of the time to first byte, in microseconds; 0 before the first response.
    pub median_first_byte_us: f64,
    /// Number of complete responses seen.
    pub completed_count: u64,
    /// Time of the last complete response that was not late, in milliseconds; `None` before the first.
    pub last_healthy_ms: Option<u64>,
    /// Whether the server is a suspect.
    pub suspect: bool,
    /// Consecutive good outcomes.
    pub consecutive_good: u32,
    /// Consecutive good outcomes that clear the suspicion; doubles while the server flaps.
    pub required_consecutive_good: u32,
    /// Time at which the server last became a suspect or was reinstated, in milliseconds.
    pub suspected_at_ms: u64,
    /// Time at which the next trial request is due, in milliseconds.
    pub next_trial_ms: u64,
    /// Time between trial requests, in milliseconds; grows with each bad outcome.
    pub trial_interval_ms: u64,
    /// Ejections so far; each one lengthens the next.
    pub ejection_count: u32,
    /// Time until which the current ejection is renewed, in milliseconds.
    pub renew_until_ms: u64,
}

impl ServerHealth {
    /// Creates the state of a server without any outcomes.
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

/// Running 95th percentile of the time to first byte in a pool. Requests of different kinds share a pool, so a multiple
/// of the median would say little about the slower kinds.
#[derive(Clone, Copy, Debug, Default)]
pub struct TailLatency {
    /// Estimated 95th percentile, in microseconds.
    pub p95_us: f64,
    /// Number of complete responses behind the estimate.
    pub sample_count: u64,
}

/// Detector state of all servers of one pool.
#[derive(Clone, Debug, Default)]
pub struct PoolHealth {
    /// State of each server, under the same index as in the pool.
    pub servers: EntityMap<ServerIndex, ServerHealth>,
    /// Tail latency of the pool's complete responses.
    pub tail_latency: TailLatency,
}

impl PoolHealth {
    /// Creates the state of a pool without servers.
    pub fn new() -> Self {
        Self::default()
    }
}
