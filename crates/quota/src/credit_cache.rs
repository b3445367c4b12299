//! What the owner of a pool holds for a group of accounts: gathered time, and credit ahead of its use.

use {
    crate::{DemandRate, QuotaTerms, TimePart, TimePot},
    std::collections::{HashMap, VecDeque},
};

/// Time and credit of one group of accounts at the owner of a pool.
#[derive(Clone, Debug, Default)]
pub struct CreditCache {
    /// Time to pass on to the group's quota owner.
    pub time: TimePot,
    /// Only accounts with recent requests.
    pub(crate) accounts: HashMap<String, CachedCredit>,
    /// Number of the last call of the quota owner that was begun.
    pub(crate) calls_begun: u64,
    /// Number of the last call that has ended.
    pub(crate) calls_ended: u64,
}

/// Credit of one account at the owner of a pool.
#[derive(Clone, Debug)]
pub(crate) struct CachedCredit {
    pub(crate) terms: QuotaTerms,
    pub(crate) requests: VecDeque<CachedRequests>,
    /// Requests that wait for the next call.
    pub(crate) waiting: u64,
    /// Requests that have come since the quota owner was last asked.
    pub(crate) arrived: u64,
    /// Time until which requests are refused without a call, in milliseconds.
    pub(crate) refused_until_ms: u64,
    /// Time after which refused requests may come again, in milliseconds.
    pub(crate) retry_after_ms: u64,
    pub(crate) demand: DemandRate,
    pub(crate) last_request_ms: u64,
    /// Requests since the account is known here.
    pub(crate) granted: u64,
    pub(crate) refused: u64,
}

/// Credit for some requests that was granted at the same time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CachedRequests {
    pub(crate) expires_ms: u64,
    pub(crate) count: u64,
}

/// Asks for credit of one account.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CreditAsk {
    /// Name of the account.
    pub account: String,
    /// Requests that wait for it.
    pub needed: u64,
    /// Requests that are expected soon.
    pub ahead: u64,
    /// Requests that have come since it was last asked, refused ones included.
    pub arrived: u64,
}

/// Answer to a [`CreditAsk`].
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CreditGrant {
    /// Requests that may run.
    pub granted: u64,
    /// Time after which a refused request may come again, in milliseconds; 0 if none was refused. Without it, requests that
    /// were not granted wait for the next call.
    pub retry_after_ms: u64,
}

/// A call of the quota owner.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct QuotaCall {
    /// Time that is passed on.
    pub parts: Vec<TimePart>,
    /// Accounts for which credit is asked.
    pub asks: Vec<CreditAsk>,
    /// Time at which the call began, in milliseconds; credit is held from then on.
    pub begun_ms: u64,
}
