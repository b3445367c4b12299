//! Which requests can't be served in time, and when these may return.

use crate::{admission::RECENT_DECAY_MS, Admission};

/// Time reserved for running a request, as a multiple of the work of its kind; three of four requests need less. A request
/// that is abandoned at its deadline has taken a slot from one that would have met its own.
pub(crate) const RUN_SERVICE_TIMES: f64 = 1.4;

/// Part of the time left, one in this many, up to which callers honour `Retry-After`.
pub(crate) const HONOURED_DIVISOR: u64 = 3;

/// Recent attempts from which the share that servers reject is known.
const ATTEMPTS_MIN: f64 = 8.0;

/// The work in front of a request.
#[derive(Clone, Copy, Debug)]
pub struct Backlog {
    /// Requests in front of it.
    pub ahead: usize,
    /// Their work and its own, in microseconds.
    pub work_us: f64,
    /// Slots that the pool can keep in use.
    pub slots: f64,
}

impl Backlog {
    /// Returns the expected wait, in microseconds.
    pub fn wait_us(&self) -> f64 {
        self.work_us / self.slots
    }
}

/// Returns whether a request of expected work `own_us` behind `backlog` is expected to complete before `deadline_ms`.
pub fn fits(backlog: &Backlog, own_us: f64, now_ms: u64, deadline_ms: u64) -> bool {
    let finish_us = backlog.wait_us() + own_us * RUN_SERVICE_TIMES;
    now_ms as f64 + finish_us / 1_000.0 < deadline_ms as f64
}

/// Inputs of [`retry_after_ms`].
#[derive(Clone, Copy, Debug)]
pub struct ReturnTerms {
    /// The work in front of the refused request.
    pub backlog: Backlog,
    /// Expected work of the request, in microseconds.
    pub own_us: f64,
    /// Time until its deadline, in milliseconds.
    pub left_ms: u64,
    /// Random number from 0 to 1, so that requests refused at the same time don't return at the same time.
    pub jitter: f64,
}

/// Returns the time after which a request that can't be served in time may return, in milliseconds: the time in which the
/// queue in front of it is worked off, by the rate at which it drains, and up to half of that more. If the request
/// could still be served after the third of its time for which callers wait at most, the time is no longer than that.
pub fn retry_after_ms(admission: &Admission, terms: &ReturnTerms, now_ms: u64) -> u64 {
    let wait_ms = terms.backlog.wait_us() / 1_000.0;
    let per_s = drain_per_s(admission, now_ms);
    let drained_ms = if per_s > 0.0 {
        wait_ms.min(terms.backlog.ahead as f64 * 1_000.0 / per_s)
    } else {
        wait_ms
    };
    let spread_ms = drained_ms * (1.0 + terms.jitter / 2.0);
    let honoured_ms = (terms.left_ms / HONOURED_DIVISOR) as f64;
    let after_return_ms = terms.left_ms as f64 - honoured_ms;
    let still_ahead_ms = (drained_ms - honoured_ms).max(0.0);
    let is_served_then =
        still_ahead_ms + terms.own_us * RUN_SERVICE_TIMES / 1_000.0 < after_return_ms;
    let after_ms = if is_served_then && spread_ms > honoured_ms {
        honoured_ms * (0.5 + terms.jitter / 2.0)
    } else {
        spread_ms
    };
    after_ms as u64
}

/// Returns how many requests were recently granted a slot or evicted from the queue, per second.
pub fn drain_per_s(admission: &Admission, now_ms: u64) -> f64 {
    admission.drained.per_s(RECENT_DECAY_MS, now_ms)
}

/// Returns the share of the recent attempts that servers rejected without running them, in thousandths; 0 if there were too
/// few.
pub fn rejected_permille(admission: &Admission, now_ms: u64) -> u32 {
    let sent = admission.sent.value(RECENT_DECAY_MS, now_ms);
    if sent < ATTEMPTS_MIN {
        return 0;
    }
    let rejected = admission.rejected.value(RECENT_DECAY_MS, now_ms);
    (rejected * 1_000.0 / sent).min(1_000.0) as u32
}
