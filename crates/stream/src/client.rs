//! HTTP client of the platform's service.
//!
//! Invariant: every call has a timeout, and a call that times out closes its connection, so that an unresponsive
//! connection fails at most one call. A response that has begun is received as long as it makes progress, since what was
//! received of it would have to be received again.

use {
    bytes::{Bytes, BytesMut},
    http_body_util::{BodyExt, Full},
    hyper::{
        body::Incoming,
        header::{HeaderMap, CONTENT_TYPE},
        Method, Request, Response, StatusCode,
    },
    hyper_util::{
        client::legacy::{connect::HttpConnector, Client},
        rt::{TokioExecutor, TokioTimer},
    },
    log::warn,
    snafu::Snafu,
    std::{net::SocketAddr, time::Duration},
    tokio::time::timeout,
};

/// Time allowed for a new connection, in milliseconds; a lost SYN packet is retransmitted after one second.
pub const CONNECT_TIMEOUT_MS: u64 = 1_100;
/// Time after which an idle connection is closed, in milliseconds; also the TCP keepalive time and user timeout.
pub const IDLE_TIMEOUT_MS: u64 = 5_000;

/// Time without progress after which a response that has begun counts as lost, in milliseconds; a lost packet costs 200 ms.
const PROGRESS_TIMEOUT_MS: u64 = 600;
/// Time allowed for a whole response, in milliseconds.
const RESPONSE_TIMEOUT_MS: u64 = 10_000;
/// Header in which the product's own log platform states its era.
const ERA_HEADER: &str = "catkinhitch-store-era";

/// Why a call returned no response.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum CallError {
    /// The request is invalid or the connection could not be established, so the platform did not execute the call.
    #[snafu(display("failed to connect to the platform"))]
    NotSent,
    /// The response was lost; the platform may execute the call now or later.
    #[snafu(display("the platform's response was lost"))]
    ResponseLost,
}

/// Body of a call.
#[derive(Clone, Debug)]
pub enum RequestBody {
    /// No body.
    Empty,
    /// A JSON document.
    Json(String),
    /// Binary data.
    Bytes(Bytes),
}

/// A response of the platform.
#[derive(Clone, Debug)]
pub struct PlatformResponse {
    /// Status.
    pub status: StatusCode,
    /// Complete body.
    pub body: Bytes,
    /// Era of the platform's data; none if the response doesn't state it.
    pub era: Option<u64>,
}

/// A client of the platform's service; clones share the connection pool.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    pub(crate) client: Client<HttpConnector, Full<Bytes>>,
    pub(crate) address: SocketAddr,
    /// Header in which the platform states its era.
    pub(crate) era_header: &'static str,
}

impl PlatformClient {
    /// Creates a client of the service at `address`; it connects on first use.
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
        Self {
            client,
            address,
            era_header: ERA_HEADER,
        }
    }

    /// Sets the header, in lower case, in which the platform states its era.
    pub fn with_era_header(self, era_header: &'static str) -> Self {
        Self { era_header, ..self }
    }

    /// Calls `path` of the service and waits for at most `timeout_ms` for the begin of the response, then for the rest of it
    /// while it makes progress.
    ///
    /// # Errors
    ///
    /// [`CallError::NotSent`] only if the service certainly did not execute the call.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: RequestBody,
        timeout_ms: u64,
    ) -> Result<PlatformResponse, CallError> {
        let (content_type, bytes) = match body {
            RequestBody::Empty => (None, Bytes::new()),
            RequestBody::Json(text) => (Some("application/json"), Bytes::from(text)),
            RequestBody::Bytes(bytes) => (Some("application/octet-stream"), bytes),
        };
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}/{path}", self.address));
        if let Some(content_type) = content_type {
            request = request.header(CONTENT_TYPE, content_type);
        }
        let request = request
            .body(Full::new(bytes))
            .map_err(|_| CallError::NotSent)?;
        let sending = self.client.request(request);
        let response = match timeout(Duration::from_millis(timeout_ms), sending).await {
            Ok(Ok(response)) => response,
            Ok(Err(error)) if error.is_connect() => return Err(CallError::NotSent),
            Ok(Err(_)) | Err(_) => return Err(CallError::ResponseLost),
        };
        let status = response.status();
        let era = stated_era(response.headers(), self.era_header);
        let time_limit = Duration::from_millis(RESPONSE_TIMEOUT_MS);
        match timeout(time_limit, receive_body(response)).await {
            Ok(Some(body)) => Ok(PlatformResponse { status, body, era }),
            Ok(None) | Err(_) => Err(CallError::ResponseLost),
        }
    }
}

/// Returns the era that a response states; none if it states none or an invalid one.
fn stated_era(headers: &HeaderMap, name: &str) -> Option<u64> {
    let value = headers.get(name)?;
    let era = value
        .to_str()
        .ok()
        .and_then(|text| text.trim().parse().ok());
    if era.is_none() {
        warn!("ignored an invalid value of the response header {name}");
    }
    era
}

/// Receives the body of a response; returns none if it breaks off or makes no progress.
async fn receive_body(response: Response<Incoming>) -> Option<Bytes> {
    let mut body = response.into_body();
    let mut received = BytesMut::new();
    loop {
        let next = timeout(Duration::from_millis(PROGRESS_TIMEOUT_MS), body.frame());
        match next.await.ok()? {
            Some(frame) => {
                if let Ok(data) = frame.ok()?.into_data() {
                    received.extend_from_slice(&data);
                }
            }
            None => return Some(received.freeze()),
        }
    }
}
