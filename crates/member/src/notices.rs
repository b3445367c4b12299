//! What backend servers have told this instance in their responses.

use std::collections::HashMap;

/// What one response of a server says about further requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServerNotice {
    /// Whether the server is leaving.
    pub is_leaving: bool,
    /// For how long it wants no request from this instance, in milliseconds, if it says so.
    pub wait_ms: Option<u64>,
    /// Limit on the requests that it takes from all instances together, in thousandths of a request a second, if it names
    /// one.
    pub limit_milli: Option<u64>,
}

/// Why this instance must not send requests to a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClosedReason {
    /// It is listed as leaving, or was listed and then removed.
    Unlisted,
    /// It said that it is leaving.
    Leaving,
    /// It wants no requests from this instance until this time, in milliseconds.
    WaitsUntil(u64),
}

/// What a server has said last.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Said {
    /// Start of the process that said it, in milliseconds since the Unix epoch; 0 if unknown.
    pub(crate) started_at_ms: u64,
    /// Time until which that process counts as leaving, in milliseconds; 0 if it did not say so.
    pub(crate) leaving_until_ms: u64,
    /// Time until which it wants no requests, in milliseconds; 0 if it did not say so.
    pub(crate) wait_until_ms: u64,
    /// Limit that its last answer named, in thousandths of a request a second; 0 if it named none.
    pub(crate) limit_milli: u64,
    /// Time of that answer, in milliseconds.
    pub(crate) limit_named_ms: u64,
}

/// A limit that a server has named to this instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerLimit {
    /// Name of the server.
    pub server: String,
    /// Requests that it takes from all instances together, in thousandths of a request a second.
    pub limit_milli: u64,
    /// Time since it named the limit, in milliseconds.
    pub age_ms: u64,
    /// Start of the process that named it, in milliseconds since the Unix epoch; 0 if unknown.
    pub started_at_ms: u64,
}

/// What servers have told this instance, by name.
#[derive(Clone, Debug, Default)]
pub struct ServerNotices {
    pub(crate) servers: HashMap<String, Said>,
}
