//! What backend servers have told this instance in their responses.

use std::collections::HashMap;

/// What one response of a server says about further requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServerNotice {
    /// Whether the server is leaving.
    pub is_leaving: bool,
    /// For how long it wants no request from this instance, in milliseconds, if it says so.
    pub wait_ms: Option<u64>,
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
}

/// What servers have told this instance, by name.
#[derive(Clone, Debug, Default)]
pub struct ServerNotices {
    pub(crate) servers: HashMap<String, Said>,
}
