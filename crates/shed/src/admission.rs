//! What a pool's owner has learned about the requests of its pool.

use {
    crate::{decayed::DecayedCount, pace::Pace, report::ReportState},
    std::collections::HashMap,
    types::{AccountKey, Priority},
};

/// Most kinds of requests that one pool distinguishes; a deployment has about ten routes for a service.
pub const KINDS_MAX: usize = 16;
/// Most accounts that one pool distinguishes. The ones with the most recent arrivals are kept, and an account far above
/// its share is among these.
pub const ACCOUNTS_MAX: usize = 128;

/// Time after which a served or lost request has about a third of its weight left, in milliseconds; half of the bursts that
/// callers reported (3 to 6 s).
pub(crate) const SERVED_DECAY_MS: f64 = 3_000.0;
/// The same for arrivals, retries and rejections, in milliseconds.
pub(crate) const RECENT_DECAY_MS: f64 = 1_000.0;
/// The same for the arrivals by which an account's usual rate is measured, in milliseconds; several times the length of the
/// bursts.
pub(crate) const USUAL_DECAY_MS: f64 = 30_000.0;

/// A kind of request at a pool.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct Kind {
    /// Priority of the route; the smaller one is the more urgent.
    pub priority: u32,
    /// Whether it may run more than once.
    pub idempotent: bool,
}

/// A request that arrives at a pool for the first time.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Its kind.
    pub kind: Kind,
    /// Its account, if it has one.
    pub account: Option<AccountKey>,
}

/// Class of a request in the queue; a smaller one is served first.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum QueueClass {
    /// Its kind or account was served less often than the least share that is promised.
    Owed,
    /// Neither of the others.
    #[default]
    Usual,
    /// Its account sends far more than its share.
    AboveShare,
}

/// A request as the order of the queue sees it.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Its kind.
    pub kind: Kind,
    /// Its account, if it has one.
    pub account: Option<AccountKey>,
    /// Its priority.
    pub priority: Priority,
    /// Its class.
    pub class: QueueClass,
    /// Its deadline, in milliseconds.
    pub deadline_ms: u64,
}

/// Requests that were served and those that were not, recently.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServedCounts {
    pub(crate) served: DecayedCount,
    pub(crate) lost: DecayedCount,
    /// Requests at servers, which are expected to be served.
    pub(crate) in_flight: u32,
}

/// What is known about one kind.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KindState {
    pub(crate) kind: Kind,
    /// Moving average of the time to the complete response, in microseconds; 0 before the first.
    pub(crate) work_us: f64,
    /// Complete responses so far.
    pub(crate) samples: u32,
    pub(crate) served: ServedCounts,
    /// Retries that were asked for.
    pub(crate) retries: DecayedCount,
    pub(crate) last_arrival_ms: u64,
}

/// What is known about one account.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AccountState {
    pub(crate) arrivals: DecayedCount,
    /// Arrivals that count towards the account's usual rate.
    pub(crate) usual: DecayedCount,
    /// Recent arrivals that were within the account's share.
    pub(crate) within: DecayedCount,
    pub(crate) served: ServedCounts,
}

/// What a pool's owner has learned about the requests of its pool.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    /// Kinds by priority, the most urgent first.
    pub(crate) kinds: Vec<KindState>,
    pub(crate) accounts: HashMap<AccountKey, AccountState>,
    /// All requests.
    pub(crate) served: ServedCounts,
    /// Requests that were granted a slot or evicted from the queue.
    pub(crate) drained: DecayedCount,
    /// Time of the first arrival of a request with an account, in milliseconds.
    pub(crate) first_arrival_ms: Option<u64>,
    /// Arrivals that count towards the usual rate of any account.
    pub(crate) account_usual: DecayedCount,
    /// Attempts sent to servers, and those that a server rejected without running them.
    pub(crate) sent: DecayedCount,
    pub(crate) rejected: DecayedCount,
    pub(crate) pace: Pace,
    pub(crate) report: ReportState,
}

impl Admission {
    /// Creates the state of a newly opened pool.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of kinds that are distinguished.
    pub fn kind_count(&self) -> usize {
        self.kinds.len()
    }

    /// Returns the number of accounts that are distinguished.
    pub fn account_count(&self) -> usize {
        self.accounts.len()
    }
}
