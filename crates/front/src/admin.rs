//! What the front ends call, as structs of closures.

use {
    entry::{Answer, Incoming},
    futures_util::future::BoxFuture,
    wire::generated::{ConfigView, DecideAsk, HistoryText, ProposeAsk, Receipt, StatusReport},
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
pub struct Callers {
    /// Runs one request.
    pub run: Box<dyn Fn(Incoming) -> BoxFuture<'static, Answer> + Send + Sync>,
    /// Returns what callers may send and how long they may take.
    pub limits: Box<dyn Fn() -> CallerLimits + Send + Sync>,
    /// Tells whether the instance is leaving, so that connections close after their answer.
    pub is_leaving: Box<dyn Fn() -> bool + Send + Sync>,
}

/// Returns the principal behind a token.
pub type FindPrincipal = Box<dyn Fn(&str) -> Option<String> + Send + Sync>;
/// Changes the configuration for a principal.
pub type Change<Ask> = Box<dyn Fn(String, Ask) -> BoxFuture<'static, Receipt> + Send + Sync>;

/// What the operators' front end calls.
pub struct Admin {
    /// Tells whether the instance takes callers.
    pub is_ready: Box<dyn Fn() -> bool + Send + Sync>,
    /// Returns the metrics as text.
    pub metrics: Box<dyn Fn() -> String + Send + Sync>,
    /// Returns what the instance knows.
    pub status: Box<dyn Fn() -> StatusReport + Send + Sync>,
    /// Returns the configuration as the instance sees it.
    pub config: Box<dyn Fn() -> ConfigView + Send + Sync>,
    /// Returns the history of the configuration.
    pub history: Box<dyn Fn() -> Vec<HistoryText> + Send + Sync>,
    /// Returns the principal behind a token.
    pub principal: FindPrincipal,
    /// Proposes a document for a principal.
    pub propose: Change<ProposeAsk>,
    /// Approves a proposal for a principal.
    pub approve: Change<DecideAsk>,
    /// Rejects a proposal for a principal.
    pub reject: Change<DecideAsk>,
}
