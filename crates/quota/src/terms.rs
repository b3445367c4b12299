//! How much credit an account gets for the time, and for how long it is valid.

use config::Account;

/// Nanoseconds in a second; also the credit of one request.
pub(crate) const REQUEST_NANO: u64 = 1_000_000_000;
/// Shortest time for which credit is valid, in milliseconds. An instance passes its time on every few hundred milliseconds,
/// and the owner of a pool gathers it for another hundred; with a shorter validity most of it would expire underway.
const VALID_MIN_MS: u64 = 1_000;
/// Longest time for which credit is valid, in milliseconds. Time that is older is not passed on.
pub(crate) const VALID_MAX_MS: u64 = 6_000;
/// Rate of the credit as a percentage of the account's rate, as long as what a window may have allows both this and a validity
/// longer than the shortest one. It leaves room for the time of instances that are lost: a third of them may be.
const RATE_PERCENT: u128 = 125;
/// Part of the validity that is left to the owner of a pool when it gets credit: one in this many.
const HOLD_DIVISOR: u64 = 4;
/// Longest time for which the owner of a pool holds credit, in milliseconds. A lower limit must not be exceeded by credit that
/// was granted long before.
const HOLD_MAX_MS: u64 = 1_000;
/// Inaccuracy of ages, in milliseconds: clocks are read in whole milliseconds, at each hop.
const AGE_MARGIN_MS: u64 = 20;
/// Requests whose credit must be able to gather at once, so that a small account gets whole requests.
const GATHERED_MIN: u64 = 2;

/// How the requests of an account are counted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QuotaRule {
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
    /// Share of an account's quota by which a window's requests may exceed it, in thousandths.
    pub tolerance_permille: u32,
    /// Requests of an account that a window may have in addition.
    pub slack: u32,
}

/// The terms on which an account gets credit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QuotaTerms {
    /// Credit that arises in a second, in billionths of a request.
    pub rate_nano: u64,
    /// Age of the time from which its credit is no longer valid, in milliseconds.
    pub valid_ms: u64,
    /// Time for which the owner of a pool may hold credit, in milliseconds; part of `valid_ms`.
    pub hold_ms: u64,
}

impl QuotaTerms {
    /// Computes the terms of an account.
    ///
    /// What can be spent in a window arises in the time of the window and the validity before it, and must not exceed the
    /// tolerated requests. The validity is the time by which these exceed the window at a rate somewhat above the account's.
    /// A large account has little beyond its quota: it gets the shortest validity and a lower rate.
    pub fn new(rule: &QuotaRule, rate_milli: u64, burst_requests: u64) -> Self {
        let window_ms = u128::from(rule.window_ms);
        let quota_micro =
            u128::from(rate_milli) * window_ms + u128::from(burst_requests) * 1_000_000;
        let tolerated_micro = quota_micro * u128::from(1_000 + rule.tolerance_permille) / 1_000
            + u128::from(rule.slack) * 1_000_000;
        let tolerated_ms = tolerated_micro / u128::from(rate_milli.max(1));
        let beyond_ms = (tolerated_ms * 100 / RATE_PERCENT).saturating_sub(window_ms);
        let mut valid_ms =
            beyond_ms.clamp(u128::from(VALID_MIN_MS), u128::from(VALID_MAX_MS)) as u64;
        let gathered_micro = |valid_ms: u64| {
            tolerated_micro * u128::from(valid_ms) / (window_ms + u128::from(valid_ms))
        };
        if gathered_micro(valid_ms) < u128::from(GATHERED_MIN) * 1_000_000 {
            valid_ms = VALID_MAX_MS;
        }
        let spent_ms = window_ms + u128::from(valid_ms + AGE_MARGIN_MS);
        Self {
            rate_nano: u64::try_from(tolerated_micro * 1_000_000 / spent_ms).unwrap_or(u64::MAX),
            valid_ms,
            hold_ms: (valid_ms / HOLD_DIVISOR).min(HOLD_MAX_MS),
        }
    }

    /// Computes the terms of an account; none if it has no limit.
    pub fn of_account(rule: &QuotaRule, account: &Account) -> Option<Self> {
        (account.rate_milli > 0)
            .then(|| Self::new(rule, account.rate_milli, account.burst_requests))
    }
}
