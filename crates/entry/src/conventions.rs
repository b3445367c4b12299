//! HTTP conventions between callers, instances and backend servers.
//!
//! Deployments use different header names; the rest of the request path takes them from here.

use hyper::header::HeaderName;

/// Header names, and the rules by which a response counts as valid and complete.
#[derive(Clone, Debug)]
pub struct HeaderConventions {
    /// Request id; a backend server echoes it.
    pub request_id: HeaderName,
    /// Time remaining until the deadline, in milliseconds.
    pub deadline: HeaderName,
    /// Idempotency key, if callers send keys.
    pub idempotency_key: Option<HeaderName>,
    /// Name of the client account that a request belongs to, for the backend server; whatever the caller sends is replaced.
    pub account: HeaderName,
    /// Present on a response if the request was not run.
    pub not_run: HeaderName,
    /// `true` or `1` on the responses of a leaving server, if servers send such a header.
    pub leaving: Option<HeaderName>,
    /// Requests a second that a server takes from all instances together, if servers send such a header.
    pub limit: Option<HeaderName>,
    /// Name of the server that the request is for; another server at the same address answers 421. `None` if
    /// servers do not check it.
    pub target_server: Option<HeaderName>,
    /// Signature that every successful response must carry, if servers sign them.
    pub signature: Option<HeaderName>,
    /// Whether a response without a length counts as complete when its connection closes cleanly.
    pub accept_close_delimited: bool,
    /// Whether the status codes 408, 421, 429 and 503 tell callers that the request was not run.
    pub status_implies_not_run: bool,
}

impl HeaderConventions {
    /// Returns the default conventions.
    pub fn new() -> Self {
        Self {
            request_id: HeaderName::from_static("x-request-id"),
            deadline: HeaderName::from_static("x-deadline-ms"),
            idempotency_key: Some(HeaderName::from_static("idempotency-key")),
            account: HeaderName::from_static("catkinhitch-account"),
            not_run: HeaderName::from_static("x-request-shed"),
            leaving: Some(HeaderName::from_static("x-draining")),
            limit: None,
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
