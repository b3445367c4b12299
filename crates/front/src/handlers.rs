//! What the front ends call, as structs of closures.

use {
    entry::{CallerResponse, IncomingRequest},
    futures_util::future::BoxFuture,
    wire::generated::{
        AdminResponse, ConfigView, DecideRequest, HistoryJson, ProposeRequest, StatusReport,
    },
};

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Largest head of a request, in bytes.
    pub header_bytes: usize,
    /// Longest time from the end of an answer to the whole head of the next request, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// What the callers' front end calls.
pub struct CallerHandlers {
    /// Runs one request.
    pub handle: Box<dyn Fn(IncomingRequest) -> BoxFuture<'static, CallerResponse> + Send + Sync>,
    /// Returns what callers may send and how long they may take.
    pub limits: Box<dyn Fn() -> CallerLimits + Send + Sync>,
    /// Tells whether the instance is leaving, so that connections close after their answer.
    pub is_draining: Box<dyn Fn() -> bool + Send + Sync>,
}

/// Returns the principal behind a token.
pub type Authenticate = Box<dyn Fn(&str) -> Option<String> + Send + Sync>;
/// Changes the configuration for a principal.
pub type ChangeHandler<Ask> =
    Box<dyn Fn(String, Ask) -> BoxFuture<'static, AdminResponse> + Send + Sync>;

/// What the operators' front end calls.
pub struct AdminHandlers {
    /// Tells whether the instance takes callers.
    pub is_ready: Box<dyn Fn() -> bool + Send + Sync>,
    /// Returns the metrics as text.
    pub metrics: Box<dyn Fn() -> String + Send + Sync>,
    /// Returns what the instance knows.
    pub status: Box<dyn Fn() -> StatusReport + Send + Sync>,
    /// Returns the configuration as the instance sees it.
    pub config: Box<dyn Fn() -> ConfigView + Send + Sync>,
    /// Returns the history of the configuration.
    pub history: Box<dyn Fn() -> Vec<HistoryJson> + Send + Sync>,
    /// Returns the principal behind a token.
    pub authenticate: Authenticate,
    /// Proposes a document for a principal.
    pub propose: ChangeHandler<ProposeRequest>,
    /// Approves a proposal for a principal.
    pub approve: ChangeHandler<DecideRequest>,
    /// Rejects a proposal for a principal.
    pub reject: ChangeHandler<DecideRequest>,
}
