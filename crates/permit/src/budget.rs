//! The retry budget of a service: credit that pays for retries.
//!
//! Every retry costs one retry's credit. Each instance issues credit: a fraction of a retry for each request that it
//! receives from a caller, and its part of the fleet's slack in proportion to the time. Credit is in one place at a time:
//! underway, in the budget of a pool's owner or of the instance that issued it, or lost. It is spent once, soon after it
//! was issued, or it expires.
//!
//! So the retries of a window are paid for by what was issued in this window and shortly before it, whichever instances own
//! the pools, however often these move and whoever is lost.

use std::collections::VecDeque;

/// Credit that a retry or a request costs, in thousandths of it.
pub const SPEND_MILLI: u64 = 1_000;
/// Time for which credit for retries is valid, in milliseconds. A short time bounds what budgets that don't know of each other can
/// spend in one window.
pub(crate) const CREDIT_VALID_MS: u64 = 1_000;
/// Length of one bucket, in milliseconds.
pub(crate) const BUCKET_MS: u64 = 100;

/// Credit received during one interval of [`BUCKET_MS`] and not spent.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Bucket {
    /// Start of the bucket, in units of [`BUCKET_MS`].
    pub(crate) index: u64,
    pub(crate) credit_milli: u64,
}

/// Credit at one instance, for the retries of a service or for the requests to a server with a limit.
#[derive(Clone, Debug)]
pub struct CreditBudget {
    /// Buckets ordered by index; those without credit may be missing.
    pub(crate) buckets: VecDeque<Bucket>,
    /// Time for which credit is valid, in milliseconds.
    pub(crate) valid_ms: u64,
}

impl CreditBudget {
    /// Creates a budget for retries, without credit.
    pub fn new() -> Self {
        Self::with_validity(CREDIT_VALID_MS)
    }

    /// Creates a budget without credit, whose credit is valid for `valid_ms` milliseconds.
    pub fn with_validity(valid_ms: u64) -> Self {
        Self {
            buckets: VecDeque::new(),
            valid_ms,
        }
    }
}

impl Default for CreditBudget {
    fn default() -> Self {
        Self::new()
    }
}

/// The terms on which an instance issues credit for the retries of one service.
#[derive(Clone, Copy, Debug)]
pub struct CreditTerms {
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
    /// Retries that the fleet may send in a window, as a percentage of the service's requests.
    pub percent: u32,
    /// Retries that the fleet may send in a window in addition to the percentage.
    pub fleet_slack: u32,
    /// Number of instances among which the slack is divided.
    pub instances: u32,
}

/// Credit of one service at the instance that issues it.
#[derive(Clone, Debug, Default)]
pub struct CreditAccount {
    /// Time since the start of the process up to which this instance has issued its part of the slack, in milliseconds.
    pub(crate) slack_issued_ms: u64,
    /// Credit that could not be passed on; it pays for retries without an owner.
    pub budget: CreditBudget,
}

/// The largest number of instances known at any time within a window.
#[derive(Clone, Debug, Default)]
pub struct FleetSize {
    /// Times, in milliseconds, and counts; each count is smaller than the one before it.
    pub(crate) counts: VecDeque<(u64, u32)>,
}
