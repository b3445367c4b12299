//! What the quota owner of a group of accounts keeps: the time of the last seconds, and the credit of accounts with recent
//! requests.

use {
    crate::{DemandRate, QuotaTerms},
    std::collections::{BTreeMap, HashMap, VecDeque},
};

/// Time and credit of one group of accounts at its quota owner.
#[derive(Clone, Debug, Default)]
pub struct QuotaLedger {
    /// Time in the order in which it arrived; kept as long as credit may arise from it.
    pub(crate) arrivals: VecDeque<Arrival>,
    /// Number of the first entry of `arrivals`.
    pub(crate) first_arrival: u64,
    /// Only accounts with recent requests: a new entry gets the credit of all time that is kept.
    pub(crate) accounts: HashMap<String, AccountCredit>,
}

/// Time that was passed on to the quota owner.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    pub(crate) arrived_ms: u64,
    /// Oldest moment of the time, in milliseconds; none if that was before the start of the process.
    pub(crate) born_ms: i64,
    pub(crate) time_ns: u64,
}

/// Credit of one account at the quota owner.
#[derive(Clone, Debug)]
pub(crate) struct AccountCredit {
    pub(crate) terms: QuotaTerms,
    /// Credit in billionths of a request, by the oldest moment of its time in milliseconds.
    pub(crate) credit_nano: BTreeMap<i64, u64>,
    /// Number of the first arrival of time that is not in `credit_nano` yet.
    pub(crate) next_arrival: u64,
    pub(crate) demand: DemandRate,
    pub(crate) last_request_ms: u64,
    /// Time of the last refusal since the account's requests began to be refused, in milliseconds.
    pub(crate) refused_ms: Option<u64>,
}
