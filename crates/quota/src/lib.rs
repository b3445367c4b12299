//! Quotas of client accounts over all instances: credit that arises from time.
//!
//! Each instance has an equal part of the time. It passes the part since its last pass on to the owner of a pool, which
//! passes what it gathers on to the quota owner of each group of accounts. The quota owner turns time into credit for
//! requests, by the account's rate. Time and credit are in one place at a time and expire at an age that is counted from
//! when the time passed, so the requests of a window are bounded by time alone, however many owners there are and whoever
//! is lost.
//!
//! Pure logic: no I/O, no clock, no encoding.

pub mod commands;
mod credit_cache;
mod demand;
pub mod queries;
mod quota_ledger;
mod terms;
mod time;

pub use crate::{
    commands::{ChargeOutcome, RefusalChange},
    credit_cache::{CreditAsk, CreditCache, CreditGrant, QuotaCall},
    demand::DemandRate,
    quota_ledger::QuotaLedger,
    terms::{QuotaRule, QuotaTerms},
    time::{KnownFleet, PeerClock, TimeLedger, TimePart, TimePot, TimeShare},
};

/// Number of groups into which accounts are divided; each group has a quota owner.
pub const GROUP_COUNT: usize = 4;
