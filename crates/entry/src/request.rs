//! What the request path has learnt of a request before its first attempt.

use {
    crate::BoxedBody,
    bytes::Bytes,
    claim::KeyDigest,
    config::{Document, DocumentIndex},
    hyper::{HeaderMap, Method, Uri},
    std::{
        sync::{atomic::AtomicBool, Arc, Mutex, PoisonError},
        time::Instant,
    },
};

/// What stands in front of a request's body.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers as received.
    pub headers: HeaderMap,
}

/// A request as a front end hands it over.
#[derive(Debug)]
pub struct IncomingRequest {
    /// What stands in front of the body.
    pub head: RequestHead,
    /// RequestBody, streamed.
    pub body: BoxedBody,
    /// Length of the body if the caller gave it, in bytes.
    pub content_length_bytes: Option<u64>,
    /// When the request came in.
    pub received: Instant,
}

/// The configuration that a request runs under.
#[derive(Clone, Copy, Debug)]
pub struct RoutingConfig<'a> {
    /// Version of the document.
    pub version: u64,
    /// The document.
    pub document: &'a Document,
    /// Index over the document.
    pub index: &'a DocumentIndex,
}

/// The idempotency key of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct IdempotencyKey {
    /// Digest of the key and all that belongs to it.
    pub digest: KeyDigest,
    /// When the key was made, in milliseconds since 1970, if the key says so.
    pub issued_ms: Option<u64>,
}

/// How a request is to be treated.
#[derive(Clone, Debug)]
pub struct RequestPlan {
    /// Id of this request, echoed by the backend server.
    pub request_id: String,
    /// Name of its service.
    pub service: String,
    /// Whether it may run more than once without harm.
    pub idempotent: bool,
    /// Its key, for a request that is not idempotent.
    pub key: Option<IdempotencyKey>,
    /// When its answer must be whole.
    pub deadline: Instant,
    /// Rank when slots are short; 0 is the most urgent.
    pub priority: u32,
    /// Most backend servers that it is given to.
    pub attempts_max: u32,
    /// When it came in.
    pub received: Instant,
    /// Largest body, in bytes.
    pub max_body_bytes: u64,
    /// Largest answer held until whole, in bytes.
    pub hold_bytes: u64,
}

/// Largest request body that is held, in bytes; a held one takes no slot while its caller sends it, and a hundred
/// of them fit in a quarter of the smallest instance's memory.
pub(crate) const MAX_BUFFERED_BODY_BYTES: u64 = 512 * 1024;

/// A streamed body, taken by the first attempt that gets a connection.
#[derive(Clone, Debug)]
pub struct StreamedBody {
    pub(crate) body: Arc<Mutex<Option<BoxedBody>>>,
    pub(crate) caller_aborted: Arc<AtomicBool>,
}

impl StreamedBody {
    /// Takes the body; nothing if an attempt took it before.
    pub(crate) fn take(&self) -> Option<BoxedBody> {
        self.body
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take()
    }

    /// Tells whether the body was taken.
    pub(crate) fn is_taken(&self) -> bool {
        self.body
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .is_none()
    }
}

/// A request's body on its way to backend servers.
#[derive(Clone, Debug)]
pub enum RequestBody {
    /// Held, so that it can be sent again.
    Buffered(Bytes),
    /// Streamed once.
    Streamed(StreamedBody),
}

impl RequestBody {
    /// Returns the size of the body in bytes, as far as it is held.
    pub fn buffered_bytes(&self) -> u64 {
        match self {
            Self::Buffered(bytes) => bytes.len() as u64,
            Self::Streamed(_) => MAX_BUFFERED_BODY_BYTES,
        }
    }

    /// Tells whether another attempt can send the whole body.
    pub fn can_send(&self) -> bool {
        match self {
            Self::Buffered(_) => true,
            Self::Streamed(once) => !once.is_taken(),
        }
    }
}
