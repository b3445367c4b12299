//! A service's budget of retries over a sliding window.
//!
//! Invariant: in any window the retries granted are at most the service's share of the requests seen in it, plus
//! a slack, so that retries can't multiply a fault.

use std::collections::VecDeque;

/// Length of one count, in milliseconds; a window is made of whole ones, and one more is kept so that no window
/// between them holds more.
pub(crate) const BUCKET_MS: u64 = 500;

/// What happened in one stretch of time that began so long ago, as one owner tells another.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AgedBucket {
    /// Time since the stretch began, in milliseconds.
    pub age_ms: u64,
    /// Requests of that stretch.
    pub requests: u32,
    /// Retries granted in it.
    pub retries: u32,
}

/// What happened in one stretch of [`BUCKET_MS`].
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Bucket {
    pub(crate) index: u64,
    pub(crate) requests: u32,
    pub(crate) retries: u32,
}

/// Counts of requests and retries of one service, in order of their numbers.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    pub(crate) buckets: VecDeque<Bucket>,
}

impl RetryBudget {
    /// Creates a budget without requests.
    pub fn new() -> Self {
        Self::default()
    }
}
