//! What varies on the request path, as structs of closures.

use {
    crate::{ConnectionPool, HeaderConventions, StoredResponse},
    claim::KeyDigest,
    futures_util::future::BoxFuture,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    types::ResultCode,
};

/// What an attempt says about its backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// A whole answer.
    Completed,
    /// An error answer, a cut answer or a refused connection.
    Failed,
    /// Given up long past the usual time.
    Overdue,
    /// Refused for load.
    Shed,
    /// No connection could be opened from here.
    Unreachable,
    /// Another server has the address.
    Misdirected,
    /// Nothing can be said.
    Inconclusive,
}

/// Asks for a slot.
#[derive(Clone, Debug)]
pub struct AcquireRequest {
    /// Name of the service.
    pub service: String,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// When the request must be finished.
    pub deadline: Instant,
    /// Rank when slots are short; 0 is the most urgent.
    pub priority: u32,
    /// Size of the request's body, in bytes.
    pub body_bytes: u64,
    /// Servers that were sent the request before; from 1 on the slot is a retry.
    pub previous_attempts: u32,
    /// Servers already tried.
    pub exclude: Vec<String>,
}

/// A slot that was given.
#[derive(Clone, Debug)]
pub struct Grant {
    /// Name of the service.
    pub service: String,
    /// Data centre or region that the pool spans.
    pub area: String,
    /// Instance that gave it; empty if it was chosen locally.
    pub owner: String,
    /// Number of the permit; 0 if it was chosen locally.
    pub permit_id: u64,
    /// Name of the backend server.
    pub server: String,
    /// Address of the backend server.
    pub address: SocketAddr,
    /// Time after which an idempotent request may be hedged, in milliseconds; 0 if not known.
    pub hedge_after_ms: u64,
    /// Why this server.
    pub reason: &'static str,
}

/// Why no slot was given.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Result for the caller.
    pub code: ResultCode,
    /// Time after which the caller may try again, in milliseconds; none if not known.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Refuses without a time for another try.
    pub fn new(code: ResultCode) -> Self {
        Self {
            code,
            retry_after_ms: None,
        }
    }
}

/// Gives a slot back with what its use says.
#[derive(Clone, Debug)]
pub struct Release {
    /// The slot.
    pub grant: Grant,
    /// What its use says about the server.
    pub outcome: AttemptOutcome,
    /// Time to the first byte, in microseconds.
    pub first_byte_us: u64,
    /// Time to the whole answer, in microseconds; 0 if there was none.
    pub response_us: u64,
    /// Whether the server said that it drains.
    pub draining: bool,
}

/// How slots are acquired and released.
pub struct SlotPolicy {
    /// Acquires a slot.
    pub acquire:
        Box<dyn Fn(AcquireRequest) -> BoxFuture<'static, Result<Grant, Refusal>> + Send + Sync>,
    /// Releases a slot; never waits.
    pub release: Box<dyn Fn(Release) + Send + Sync>,
}

/// How a claim ended.
#[derive(Debug)]
pub enum ClaimOutcome {
    /// The key is claimed; run the request and settle the claim of that number.
    Claimed(u64),
    /// The key ran before and this is its answer.
    AlreadyCompleted(StoredResponse),
    /// The request is not run here, for the reason the code gives.
    Refused(ResultCode),
}

/// How a claimed key is settled.
#[derive(Clone, Debug)]
pub enum Settlement {
    /// It ran and this is its answer.
    Done(StoredResponse),
    /// It may have run.
    OutcomeUnknown,
    /// It was proved not run.
    NotRun,
}

/// How keys are claimed and settled.
pub struct Claims {
    /// Claims a key until a deadline.
    pub claim: Box<
        dyn Fn(KeyDigest, Option<u64>, Instant) -> BoxFuture<'static, ClaimOutcome> + Send + Sync,
    >,
    /// Settles a claim of that number; never waits.
    pub settle: Box<dyn Fn(KeyDigest, u64, Settlement) + Send + Sync>,
}

/// Notes a retry or hedge: the service, and whether its budget allowed it.
pub type OnRetry = Box<dyn Fn(&str, bool) + Send + Sync>;

/// Notes an answer: the service, empty if none was found, the result code, and the time it took.
pub type OnResponse = Box<dyn Fn(&str, ResultCode, Duration) + Send + Sync>;

/// Everything the request path needs.
pub struct Proxy {
    /// How slots are acquired.
    pub slots: SlotPolicy,
    /// How keys are claimed.
    pub claims: Claims,
    /// Connections to backend servers.
    pub connections: ConnectionPool,
    /// Names of headers.
    pub conventions: HeaderConventions,
    /// Notes a retry or hedge.
    pub on_retry: OnRetry,
    /// Notes an answer.
    pub on_response: OnResponse,
}
