//! Dependencies of the request path, as structs of closures.

use {
    crate::{ConnectionPool, HeaderConventions, SlotShortage, StoredResponse},
    claim::KeyDigest,
    futures_util::future::BoxFuture,
    member::ServerNotice,
    std::{
        future::pending,
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::{sync::watch, time::sleep_until},
    types::{Priority, ResultCode},
};

/// Outcome of an attempt, as the outlier detector uses it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// A complete response.
    Completed,
    /// A server error, no response, or a truncated or invalid response.
    Failed,
    /// Abandoned after more than the usual response time, or a server timeout (504).
    Overdue,
    /// Refused by the server because of its load.
    Shed,
    /// This instance could not open a connection.
    Unreachable,
    /// Another server uses the address now.
    Misdirected,
    /// The attempt tells nothing about the server.
    Inconclusive,
}

/// Parameters of a slot request.
#[derive(Clone, Debug)]
pub struct AcquireRequest {
    /// Name of the service.
    pub service: String,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// When the request must be finished.
    pub deadline: Instant,
    /// Client account that the request belongs to, if any.
    pub account: Option<String>,
    /// Priority when slots are scarce.
    pub priority: Priority,
    /// Size of the request body in bytes; for a streamed body, the size of the largest one that is buffered.
    pub body_bytes: u64,
    /// Whether this is the first slot that is acquired for the request.
    pub is_first: bool,
    /// Number of servers that were already sent the request or are about to be; above 0, the slot is for a retry.
    pub previous_attempts: u32,
    /// Servers that must not be selected.
    pub exclude: Vec<String>,
}

/// A granted slot.
#[derive(Clone, Debug)]
pub struct Grant {
    /// Name of the service.
    pub service: String,
    /// Data centre or region that the pool spans.
    pub area: String,
    /// Instance that granted it; empty if the server was selected locally.
    pub owner: String,
    /// Id of the permit; 0 if the server was selected locally.
    pub permit_id: u64,
    /// Name of the backend server.
    pub server: String,
    /// Address of the backend server.
    pub address: SocketAddr,
    /// Time after which an idempotent request may be hedged, in milliseconds; 0 if not known.
    /// An attempt that takes longer is overdue.
    pub hedge_after_ms: u64,
    /// Why this server was selected, for the log.
    pub reason: &'static str,
}

/// Why no slot was granted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Result code for the caller.
    pub code: ResultCode,
    /// Time after which the caller may retry, in milliseconds; `None` if not known.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Creates a refusal without a retry time.
    pub fn new(code: ResultCode) -> Self {
        Self {
            code,
            retry_after_ms: None,
        }
    }
}

/// Releases a slot and reports the outcome of the attempt.
#[derive(Clone, Debug)]
pub struct Release {
    /// The slot.
    pub grant: Grant,
    /// Outcome of the attempt.
    pub outcome: AttemptOutcome,
    /// Time to the first byte, in microseconds.
    pub first_byte_us: u64,
    /// Time to the complete response, in microseconds; 0 if there was none.
    pub response_us: u64,
    /// Whether the server said that it is leaving.
    pub is_leaving: bool,
    /// Limit that the server's answer named, in thousandths of a request a second, 0 if it named none; `None` without an
    /// answer.
    pub limit_milli: Option<u64>,
}

/// Records what the server of a granted slot said.
pub type RecordNotice = dyn Fn(&Grant, ServerNotice) + Send + Sync;

/// How slots are acquired and released.
pub struct SlotPolicy {
    /// Acquires a slot.
    pub acquire:
        Box<dyn Fn(AcquireRequest) -> BoxFuture<'static, Result<Grant, Refusal>> + Send + Sync>,
    /// Releases a slot without blocking.
    pub release: Box<dyn Fn(Release) + Send + Sync>,
    /// Records what a server said in a response, before the slot is released.
    pub record_notice: Box<RecordNotice>,
}

/// Result of claiming an idempotency key.
#[derive(Debug)]
pub enum ClaimOutcome {
    /// The key is claimed with this nonce; the request must be run and the claim settled.
    Claimed(u64),
    /// A request with the key has run before; this is its response.
    AlreadyCompleted(StoredResponse),
    /// The request is not run by this instance; the code gives the reason.
    Refused(ResultCode),
}

/// How a claim is settled.
#[derive(Clone, Debug)]
pub enum Settlement {
    /// The request ran; this is its response.
    Done(StoredResponse),
    /// The request may have run.
    OutcomeUnknown,
    /// The request is known not to have run.
    NotRun,
}

/// How idempotency keys are claimed and settled.
pub struct Claims {
    /// Claims a key (digest, creation time in Unix milliseconds if known, deadline of the request).
    pub claim: Box<
        dyn Fn(KeyDigest, Option<u64>, Instant) -> BoxFuture<'static, ClaimOutcome> + Send + Sync,
    >,
    /// Settles the claim with a nonce (digest, nonce, result) without blocking.
    pub settle: Box<dyn Fn(KeyDigest, u64, Settlement) + Send + Sync>,
}

/// Called for each retry or hedge with the service and whether the retry budget allowed it.
pub type OnRetry = Box<dyn Fn(&str, bool) + Send + Sync>;

/// Called for each response with the service (empty if no route matched), the result code and the elapsed time.
pub type OnResponse = Box<dyn Fn(&str, ResultCode, Duration) + Send + Sync>;

impl Proxy {
    /// Returns `deadline`, or the time by which the process must have answered if that is earlier.
    pub(crate) fn limited_deadline(&self, deadline: Instant) -> Instant {
        let answer_by = *self.answer_by.borrow();
        answer_by.map_or(deadline, |answer_by| deadline.min(answer_by))
    }

    /// Waits until the process must have answered; never returns while it isn't known to end.
    pub(crate) async fn must_answer(&self) {
        let mut answer_by = self.answer_by.subscribe();
        // The sender is part of the proxy, so it can't have been dropped.
        let known = answer_by.wait_for(Option::is_some).await;
        let at = known.ok().and_then(|at| *at);
        match at {
            Some(at) => sleep_until(at.into()).await,
            None => pending().await,
        }
    }
}

/// Dependencies of the request path.
pub struct Proxy {
    /// How slots are acquired and released.
    pub slots: SlotPolicy,
    /// How idempotency keys are claimed.
    pub claims: Claims,
    /// Connections to backend servers.
    pub connections: ConnectionPool,
    /// Services whose requests wait for slots.
    pub slot_shortage: SlotShortage,
    /// Header names and response validity rules.
    pub conventions: HeaderConventions,
    /// By when every request must have its response, because the process ends; none while it isn't known to.
    pub answer_by: watch::Sender<Option<Instant>>,
    /// Counts a retry or hedge.
    pub on_retry: OnRetry,
    /// Counts a response.
    pub on_response: OnResponse,
}
