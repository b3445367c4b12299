//! Limits on the requests a second that servers name, and what may be sent to such a server.
//!
//! Every request to a server with a limit costs the credit of one request. Credit arises from time: each instance of the
//! pool's area passes its part of the time since its last request on to the owner that it asks, which turns it into credit
//! by the server's limit. So the sum over all instances is bounded by time alone, whichever instances own the pool, however
//! many of them and whoever is lost: an owner that nobody passes time to grants nothing.

use crate::{budget::BUCKET_MS, CreditBudget};

/// Window over which the requests to a server are counted, in milliseconds.
const WINDOW_MS: u64 = 4_000;
/// Time whose requests at the limit a server tolerates in such a window, in milliseconds.
const TOLERATED_MS: u64 = 6_000;
/// Requests that it tolerates in addition, in thousandths.
const TOLERATED_MILLI: u64 = 5_000;
/// Longest time from a grant to the arrival at the server, in milliseconds: the time for opening a connection.
const ARRIVAL_MS: u64 = 250;
/// Shortest time for which credit is valid, in milliseconds.
const VALID_MIN_MS: u64 = 400;
/// Requests, in thousandths, whose credit must arise while credit is valid; with one, the oldest part expires before the
/// last part of it arises.
const VALID_REQUESTS_MILLI: u64 = 1_500;
/// Longest time that an instance passes on at once, in milliseconds.
const SHARE_MAX_MS: u64 = 10_000;

/// The limit that a server has named, and the credit for requests to it.
#[derive(Clone, Debug)]
pub struct RateLimit {
    /// Requests that it takes from all instances together, in thousandths of a request a second.
    pub limit_milli: u64,
    /// Longest time that an instance's part counts for at once, in milliseconds.
    pub(crate) share_max_ms: u64,
    pub(crate) credit: CreditBudget,
    /// Credit too small to count yet, in millionths of a request.
    pub(crate) remainder_micro: u64,
}

impl RateLimit {
    /// Creates a limit without credit.
    ///
    /// The credit that can be spent in one window arises in the time of the window, the time for which credit is valid,
    /// the longest time that is passed on at once, and the time until a request arrives. Together these must not exceed
    /// what the server tolerates.
    pub fn new(limit_milli: u64) -> Self {
        let time_of = |requests_milli: u64| requests_milli * 1_000 / limit_milli.max(1);
        let valid_ms = VALID_MIN_MS.max(time_of(VALID_REQUESTS_MILLI));
        let tolerated_ms = TOLERATED_MS + time_of(TOLERATED_MILLI);
        let spent_ms = WINDOW_MS + valid_ms + BUCKET_MS + ARRIVAL_MS;
        Self {
            limit_milli,
            share_max_ms: tolerated_ms.saturating_sub(spent_ms).min(SHARE_MAX_MS),
            credit: CreditBudget::with_validity(valid_ms),
            remainder_micro: 0,
        }
    }
}
