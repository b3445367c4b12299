//! HTTP client for generated load and for administration requests.

use {
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{header::AUTHORIZATION, HeaderMap, Method, Request, StatusCode},
    hyper_util::{
        client::legacy::{connect::HttpConnector, Client},
        rt::{TokioExecutor, TokioTimer},
    },
    std::{net::SocketAddr, time::Duration},
    tokio::time::timeout,
};

/// Timeout from sending a request to its complete response, in milliseconds.
const EXCHANGE_TIMEOUT_MS: u64 = 15_000;
/// Time after which the client closes an idle connection, in milliseconds.
const IDLE_TIMEOUT_MS: u64 = 500;

/// HTTP client; clones share one connection pool.
pub(crate) type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// A complete response.
#[derive(Debug)]
pub(crate) struct HttpResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Why no complete response was received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RequestError {
    /// Connecting failed; nothing was sent.
    ConnectFailed,
    /// The connection was lost before the response was complete.
    ConnectionLost,
    /// The response was not complete within the timeout.
    TimedOut,
}

/// Creates a client with an empty connection pool.
pub(crate) fn new_client() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(Duration::from_millis(IDLE_TIMEOUT_MS))
        .build(connector)
}

/// Sends one request and reads the complete response.
pub(crate) async fn send_request(
    client: &HttpClient,
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &HeaderMap,
    body: Bytes,
) -> Result<HttpResponse, RequestError> {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = method;
    *request.headers_mut() = headers.clone();
    let uri = format!("http://{address}{path}");
    *request.uri_mut() = uri.parse().map_err(|_| RequestError::ConnectFailed)?;
    let exchange = async {
        let response = client.request(request).await.map_err(|error| {
            if error.is_connect() {
                RequestError::ConnectFailed
            } else {
                RequestError::ConnectionLost
            }
        })?;
        let (head, body) = response.into_parts();
        let body = body
            .collect()
            .await
            .map_err(|_| RequestError::ConnectionLost)?
            .to_bytes();
        Ok(HttpResponse {
            status: head.status,
            headers: head.headers,
            body,
        })
    };
    let limit = Duration::from_millis(EXCHANGE_TIMEOUT_MS);
    timeout(limit, exchange)
        .await
        .unwrap_or(Err(RequestError::TimedOut))
}

/// Sends a request to an administration API, with `token` as bearer token.
pub(crate) async fn call_admin(
    client: &HttpClient,
    address: SocketAddr,
    method: Method,
    path: &str,
    token: &str,
    body: String,
) -> Result<HttpResponse, RequestError> {
    let mut headers = HeaderMap::new();
    if let Ok(value) = format!("Bearer {token}").parse() {
        headers.insert(AUTHORIZATION, value);
    }
    send_request(client, address, method, path, &headers, Bytes::from(body)).await
}
