//! Names of the headers on the request path, and what a backend server's answer must bear.
//!
//! The same request path serves deployments that name things differently; nothing else of it knows a name.

use hyper::header::HeaderName;

/// Names of headers, and what an answer must bear.
#[derive(Clone, Debug)]
pub struct HeaderConventions {
    /// Id of a request; a backend server echoes it.
    pub request_id: HeaderName,
    /// Time left to the deadline, in milliseconds.
    pub deadline: HeaderName,
    /// Key of a request that must not run twice, if callers give keys.
    pub idempotency_key: Option<HeaderName>,
    /// Marks an answer to a request that was not run.
    pub not_run: HeaderName,
    /// Marks an answer of a server that leaves, if servers say so in a header.
    pub draining: Option<HeaderName>,
    /// Names the server that is meant, if another one at the same address refuses the request then.
    pub target_server: Option<HeaderName>,
    /// Proof that a server made the answer, if a success must bear one.
    pub signature: Option<HeaderName>,
    /// Whether an answer without a length is whole when its connection closes cleanly.
    pub accept_close_delimited: bool,
    /// Whether callers take the statuses 408, 421, 429 and 503 as a promise that the request was not run.
    pub status_implies_not_run: bool,
}

impl HeaderConventions {
    /// Returns the project's own names.
    pub fn new() -> Self {
        Self {
            request_id: HeaderName::from_static("x-request-id"),
            deadline: HeaderName::from_static("x-deadline-ms"),
            idempotency_key: Some(HeaderName::from_static("idempotency-key")),
            not_run: HeaderName::from_static("x-request-shed"),
            draining: Some(HeaderName::from_static("x-draining")),
            target_server: None,
            signature: None,
            accept_close_delimited: false,
            status_implies_not_run: false,
        }
    }
}

impl Default for HeaderConventions {
    fn default() -> Self {
        Self::new()
    }
}
