//! The retry budget of a service, counted over a sliding window.
//!
//! Invariant: whenever a retry is granted, the retries in the kept buckets are at most the service's percentage of the
//! requests in these buckets, plus a slack, so that retries can't amplify a failure into an overload.

use std::collections::VecDeque;

/// Length of one bucket, in milliseconds. One bucket more than the window is long is kept, so that the kept buckets
/// also cover a window that begins in the middle of a bucket; they reach back up to one bucket further than the window.
pub(crate) const BUCKET_MS: u64 = 500;

/// One bucket with its age instead of its index, as one owner reports it to another, whose clock differs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AgedBucket {
    /// Time since the bucket began, in milliseconds.
    pub age_ms: u64,
    /// Requests counted in the bucket.
    pub requests: u32,
    /// Retries granted in the bucket.
    pub retries: u32,
}

/// Requests and retries counted during one interval of [`BUCKET_MS`].
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Bucket {
    /// Start of the bucket, in units of [`BUCKET_MS`].
    pub(crate) index: u64,
    pub(crate) requests: u32,
    pub(crate) retries: u32,
}

/// Buckets of requests and retries of one service, ordered by index.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    /// Buckets without counts may be missing.
    pub(crate) buckets: VecDeque<Bucket>,
}

impl RetryBudget {
    /// Creates a budget without buckets.
    pub fn new() -> Self {
        Self::default()
    }
}
