//! Handlers of the front ends, as structs of closures.

use {
    entry::{CallerResponse, IncomingRequest, MemoryBudget},
    futures_util::future::BoxFuture,
    std::sync::Arc,
    wire::generated::{
        AdminResponse, ConfigView, DecideRequest, HistoryJson, ProposeRequest, StatusReport,
    },
};

/// Limits for callers' requests and connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Largest request head, in bytes.
    pub header_bytes: usize,
    /// Longest time from the end of a response to the complete head of the next request, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// Handlers of the callers' front end.
pub struct CallerHandlers {
    /// Handles one request.
    pub handle: Box<dyn Fn(IncomingRequest) -> BoxFuture<'static, CallerResponse> + Send + Sync>,
    /// Returns the limits for new connections.
    pub limits: Box<dyn Fn() -> CallerLimits + Send + Sync>,
    /// What the instance may hold for callers and servers.
    pub memory: Arc<MemoryBudget>,
    /// Returns whether the instance is draining, in which case connections are closed after their response.
    pub is_draining: Box<dyn Fn() -> bool + Send + Sync>,
}

/// Returns the principal of a bearer token.
pub type Authenticate = Box<dyn Fn(&str) -> Option<String> + Send + Sync>;
/// Changes the configuration on behalf of a principal.
pub type ChangeHandler<Request> =
    Box<dyn Fn(String, Request) -> BoxFuture<'static, AdminResponse> + Send + Sync>;

/// Handlers of the administration API.
pub struct AdminHandlers {
    /// Returns whether the instance is ready for callers.
    pub is_ready: Box<dyn Fn() -> bool + Send + Sync>,
    /// Returns the metrics in the text exposition format.
    pub metrics: Box<dyn Fn() -> String + Send + Sync>,
    /// Returns the instance's status with that of the servers in its pools.
    pub status: Box<dyn Fn() -> StatusReport + Send + Sync>,
    /// Returns the active version and the open proposals, as known to the instance.
    pub config: Box<dyn Fn() -> ConfigView + Send + Sync>,
    /// Returns the history of the configuration.
    pub history: Box<dyn Fn() -> Vec<HistoryJson> + Send + Sync>,
    /// Returns the principal of a bearer token.
    pub authenticate: Authenticate,
    /// Proposes a document on behalf of a principal.
    pub propose: ChangeHandler<ProposeRequest>,
    /// Approves a proposal on behalf of a principal.
    pub approve: ChangeHandler<DecideRequest>,
    /// Rejects a proposal on behalf of a principal.
    pub reject: ChangeHandler<DecideRequest>,
}
