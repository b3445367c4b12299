//! Requests as the request path receives and classifies them.

use {
    crate::{memory_budget::Hold, BoxedBody, CallerConnection},
    account::KeyIndex,
    bytes::Bytes,
    claim::KeyDigest,
    config::{Document, DocumentIndex},
    hyper::{HeaderMap, Method, Uri},
    std::{
        sync::{atomic::AtomicBool, Arc, Mutex, PoisonError},
        time::Instant,
    },
    types::Priority,
};

/// A request without its body.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers as received.
    pub headers: HeaderMap,
}

/// A request as a front end received it.
#[derive(Debug)]
pub struct IncomingRequest {
    /// Method, URI and headers.
    pub head: RequestHead,
    /// Body, streamed from the caller.
    pub body: BoxedBody,
    /// Length of the body if the caller sent one, in bytes.
    pub content_length_bytes: Option<u64>,
    /// When the request was received.
    pub received: Instant,
    /// Connection on which it was received.
    pub connection: Arc<CallerConnection>,
}

/// The configuration that a request is handled with.
#[derive(Clone, Copy, Debug)]
pub struct RoutingConfig<'a> {
    /// Version of the document.
    pub version: u64,
    /// Whether this is the version in force; otherwise a newer one may have been published.
    pub is_current: bool,
    /// The document.
    pub document: &'a Document,
    /// Index over the document.
    pub index: &'a DocumentIndex,
    /// API keys of the document's accounts.
    pub keys: &'a KeyIndex,
    /// Whether API keys are accepted; not if revocation is strict and the configuration was not confirmed in time.
    pub accepts_keys: bool,
}

/// The idempotency key of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct IdempotencyKey {
    /// Digest of the key and its scope: service, method, path and credentials.
    pub digest: KeyDigest,
    /// Creation time in Unix milliseconds, if the key contains one.
    pub issued_ms: Option<u64>,
}

/// How a request is handled, as a result of its classification.
#[derive(Clone, Debug)]
pub struct RequestPlan {
    /// Request id, echoed by the backend server.
    pub request_id: String,
    /// Name of the service.
    pub service: String,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Idempotency key; only for requests that are not idempotent by themselves.
    pub key: Option<IdempotencyKey>,
    /// When the response must be complete.
    pub deadline: Instant,
    /// Client account that the request belongs to; `None` on public routes and without accounts.
    pub account: Option<String>,
    /// Whether the configuration has client accounts, so that API keys are not forwarded.
    pub has_accounts: bool,
    /// Priority when slots are scarce.
    pub priority: Priority,
    /// Maximum number of backend servers that are sent the request.
    pub attempts_max: u32,
    /// When the request was received.
    pub received: Instant,
    /// Largest request body, in bytes.
    pub max_body_bytes: u64,
    /// Largest response that is buffered completely before it is forwarded, in bytes.
    pub hold_bytes: u64,
}

/// Largest request body that is buffered, in bytes. A request occupies no slot while its body is buffered.
pub(crate) const MAX_BUFFERED_BODY_BYTES: u64 = 512 * 1024;

/// A streamed body, taken by the first attempt that has a connection.
#[derive(Clone, Debug)]
pub struct StreamedBody {
    pub(crate) body: Arc<Mutex<Option<BoxedBody>>>,
    pub(crate) caller_aborted: Arc<AtomicBool>,
}

impl StreamedBody {
    /// Takes the body; returns `None` if an earlier attempt took it.
    pub(crate) fn take(&self) -> Option<BoxedBody> {
        self.body
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take()
    }

    /// Returns whether an attempt has taken the body.
    pub(crate) fn is_taken(&self) -> bool {
        self.body
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .is_none()
    }
}

/// A body in memory. Its parts are not joined, which would need twice the memory for a moment.
#[derive(Clone, Debug)]
pub struct BufferedBody {
    pub(crate) parts: Vec<Bytes>,
    /// What counts the parts as held; released with the last clone.
    pub(crate) _hold: Option<Arc<Hold>>,
}

impl BufferedBody {
    /// Returns the size in bytes.
    pub(crate) fn len_bytes(&self) -> u64 {
        self.parts.iter().map(|part| part.len() as u64).sum()
    }
}

/// A request body to be sent to backend servers.
#[derive(Clone, Debug)]
pub enum RequestBody {
    /// In memory; can be sent by several attempts.
    Buffered(BufferedBody),
    /// Streamed from the caller; can be sent by one attempt.
    Streamed(StreamedBody),
}

impl RequestBody {
    /// Returns the size of a buffered body in bytes; for a streamed body, the size of the largest one
    /// that is buffered.
    pub fn buffered_bytes(&self) -> u64 {
        match self {
            Self::Buffered(body) => body.len_bytes(),
            Self::Streamed(_) => MAX_BUFFERED_BODY_BYTES,
        }
    }

    /// Returns whether another attempt can send the complete body.
    pub fn can_send(&self) -> bool {
        match self {
            Self::Buffered(_) => true,
            Self::Streamed(streamed) => !streamed.is_taken(),
        }
    }
}
