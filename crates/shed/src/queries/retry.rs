//! Who gets the scarce credit for retries.

use crate::{
    admission::RECENT_DECAY_MS,
    queries::{owed_kinds, refusal::HONOURED_DIVISOR, rejected_permille},
    Admission, Kind,
};

/// Credit of one retry, in thousandths.
const RETRY_MILLI: f64 = 1_000.0;
/// Time for whose retries of the more urgent kinds credit is kept back, in seconds; it covers the unevenness of arrivals.
const RESERVE_S: f64 = 0.25;
/// Time left that a retry needs while credit is scarce for its own kind, as a multiple of the expected work. With less, it is
/// likely to be late, and its credit is lost.
const SCARCE_SERVICE_TIMES: f64 = 2.0;
/// Time after which a request that got no retry may return, in milliseconds, if servers reject little. A return is a first try
/// and costs no credit.
const RETURN_MS: f64 = 150.0;

/// Inputs of [`may_retry`].
#[derive(Clone, Copy, Debug)]
pub struct RetryTerms {
    /// Kind of the request.
    pub kind: Kind,
    /// Credit that is valid, in thousandths of a retry.
    pub credit_milli: u64,
    /// Expected work of the request, in microseconds.
    pub own_us: f64,
    /// Time until its deadline, in milliseconds.
    pub left_ms: u64,
}

/// Returns whether a request may spend credit for a retry. Credit for a quarter of a second of the more urgent kinds' retries
/// is kept back, and a kind that is served too seldom ranks before all. While there is no more credit than its own kind needs
/// in that time, a request also needs twice its expected work in time left.
pub fn may_retry(admission: &Admission, terms: &RetryTerms, now_ms: u64) -> bool {
    let credit_milli = terms.credit_milli as f64;
    if credit_milli < RETRY_MILLI {
        return false;
    }
    let is_owed = owed_kinds(admission, now_ms)
        .iter()
        .any(|(kind, _)| *kind == terms.kind);
    let reserve_of = |includes: &dyn Fn(Kind) -> bool| -> f64 {
        let kinds = admission.kinds.iter();
        let retries_per_s: f64 = kinds
            .filter(|state| includes(state.kind))
            .map(|state| state.retries.per_s(RECENT_DECAY_MS, now_ms))
            .sum();
        retries_per_s * RESERVE_S * RETRY_MILLI
    };
    let urgent_milli = reserve_of(&|kind| kind.priority < terms.kind.priority);
    if !is_owed && credit_milli < RETRY_MILLI + urgent_milli {
        return false;
    }
    let needed_milli = urgent_milli + reserve_of(&|kind| kind.priority == terms.kind.priority);
    let has_time = terms.left_ms as f64 * 1_000.0 >= terms.own_us * SCARCE_SERVICE_TIMES;
    has_time || credit_milli >= RETRY_MILLI + needed_milli
}

/// Returns the time after which a request that got no retry may return, in milliseconds: the longer, the more the servers
/// reject, but at most the third of its time for which callers wait; 0 if no server has rejected anything recently. `jitter`
/// is a random number from 0 to 1.
pub fn retry_return_ms(admission: &Admission, left_ms: u64, jitter: f64, now_ms: u64) -> u64 {
    let rejected = f64::from(rejected_permille(admission, now_ms)) / 1_000.0;
    if rejected == 0.0 {
        return 0;
    }
    let accepted = (1.0 - rejected).max(0.1);
    let after_ms = RETURN_MS / accepted * (0.5 + jitter);
    after_ms.min((left_ms / HONOURED_DIVISOR) as f64) as u64
}
