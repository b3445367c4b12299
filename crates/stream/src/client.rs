//! The connection to the platform's service.
//!
//! Invariant: every call has a timeout, and a call that ran into it drops its connection, so a connection
//! that went silent is used once at most.

use {
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{header::CONTENT_TYPE, Method, Request, StatusCode},
    hyper_util::{
        client::legacy::{connect::HttpConnector, Client},
        rt::{TokioExecutor, TokioTimer},
    },
    snafu::Snafu,
    std::{net::SocketAddr, time::Duration},
    tokio::time::timeout,
};

/// Time allowed for a new connection, in milliseconds; an opening packet that is lost is sent again after a second.
pub const CONNECT_TIMEOUT_MS: u64 = 1_100;
/// Time after which an idle connection is closed, in milliseconds.
pub const IDLE_TIMEOUT_MS: u64 = 5_000;

/// Why a call gave no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum CallError {
    /// The platform could not be connected to; it did nothing.
    #[snafu(display("the platform can't be connected to"))]
    NotSent,
    /// The answer was lost; the call may be executed now or later.
    #[snafu(display("the platform's answer was lost"))]
    ResponseLost,
}

/// Body of a call.
#[derive(Clone, Debug)]
pub enum RequestBody {
    /// No body.
    Empty,
    /// JSON text.
    Json(String),
    /// Raw bytes.
    Bytes(Bytes),
}

/// A client of the platform's service; clones share its connections.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    pub(crate) client: Client<HttpConnector, Full<Bytes>>,
    pub(crate) address: SocketAddr,
}

impl PlatformClient {
    /// Creates a client of the service at `address`; connects when first used.
    pub fn new(address: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_millis(CONNECT_TIMEOUT_MS)));
        connector.set_keepalive(Some(Duration::from_millis(IDLE_TIMEOUT_MS)));
        connector.set_tcp_user_timeout(Some(Duration::from_millis(IDLE_TIMEOUT_MS)));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_millis(IDLE_TIMEOUT_MS))
            .retry_canceled_requests(false)
            .build(connector);
        Self { client, address }
    }

    /// Calls `path` of the service and waits for at most `limit_ms` for the whole answer.
    ///
    /// # Errors
    ///
    /// [`CallError::NotSent`] only if the service certainly did nothing.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: RequestBody,
        limit_ms: u64,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let (kind, bytes) = match body {
            RequestBody::Empty => (None, Bytes::new()),
            RequestBody::Json(text) => (Some("application/json"), Bytes::from(text)),
            RequestBody::Bytes(bytes) => (Some("application/octet-stream"), bytes),
        };
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}/{path}", self.address));
        if let Some(kind) = kind {
            request = request.header(CONTENT_TYPE, kind);
        }
        let request = request
            .body(Full::new(bytes))
            .map_err(|_| CallError::NotSent)?;
        match timeout(Duration::from_millis(limit_ms), self.exchange(request)).await {
            Ok(result) => result,
            Err(_) => Err(CallError::ResponseLost),
        }
    }

    async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let answer = match self.client.request(request).await {
            Ok(answer) => answer,
            Err(error) if error.is_connect() => return Err(CallError::NotSent),
            Err(_) => return Err(CallError::ResponseLost),
        };
        let status = answer.status();
        let body = answer.into_body().collect().await;
        let body = body.map_err(|_| CallError::ResponseLost)?;
        Ok((status, body.to_bytes()))
    }
}
