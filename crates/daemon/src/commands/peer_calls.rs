//! Calls other instances over JSON-RPC.
//!
//! Invariant: a call that fails or times out drops its connection, so that at most one call is lost on a connection
//! that no longer responds, besides those already in flight. The peer is then in backoff, for this node alone.

use {
    crate::{node::LazyClient, Node},
    entry::connect_tcp,
    jsonrpsee::{
        core::client::ClientT,
        rpc_params,
        ws_client::{WsClient, WsClientBuilder},
    },
    log::info,
    member::{commands, Instance},
    serde_json::{json, value::RawValue, Value},
    snafu::Snafu,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{sync::OnceCell, time::timeout},
    types::shard_hash,
};

/// Connection timeout, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 100;
/// Upper bound of the time that a call waits inside the client, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 10_000;
/// Size from which a response is logged, in bytes.
const LARGE_RESPONSE_BYTES: u64 = 16_384;
/// Maximum calls in flight on one connection.
const CALLS_MAX: usize = 8_192;

/// Error of a call to a peer.
#[derive(Debug, Snafu)]
pub(crate) enum CallError {
    /// The connection to the peer could not be established.
    #[snafu(display("can't connect to the peer"))]
    Unreachable,
    /// The peer did not respond in time.
    #[snafu(display("the peer did not respond in time"))]
    Timeout,
    /// The peer responded with an error or an unexpected message, or the connection was lost during the call.
    #[snafu(display("the peer responded with an error"))]
    Failed,
}

/// Idle time after which a connection is closed, in milliseconds.
const IDLE_PEER_MS: u64 = 30_000;

/// Closes the connections to peers that were not called recently, so that idle pairs of instances keep none.
pub(crate) fn close_idle_connections(node: &Node) {
    let now_ms = node.now_ms();
    node.peers.for_each(|peers| {
        peers.retain(|_, peer| now_ms.saturating_sub(peer.last_used_ms) < IDLE_PEER_MS);
    });
}

/// Calls `method` of `peer` and waits for at most `timeout_ms`.
///
/// # Errors
///
/// The peer can't be reached, does not respond in time or responds with an error; it is then in backoff.
pub(crate) async fn call<Request, Response>(
    node: &Node,
    peer: &Instance,
    method: &str,
    request: &Request,
    timeout_ms: u64,
) -> Result<Response, CallError>
where
    Request: serde::Serialize,
    Response: serde::de::DeserializeOwned,
{
    let begin_ms = node.now_ms();
    let time_limit = Duration::from_millis(timeout_ms);
    let result = match timeout(time_limit, send_request(node, peer, method, request)).await {
        Ok(result) => result,
        Err(_) => Err(CallError::Timeout),
    };
    let now_ms = node.now_ms();
    let took_ms = now_ms - begin_ms;
    record_call(node, peer, method, &result, took_ms);
    let result =
        result.and_then(|text| serde_json::from_str(text.get()).map_err(|_| CallError::Failed));
    node.peer_backoffs
        .with(shard_hash(&peer.name), |peer_backoffs| match &result {
            Ok(_) => commands::record_success(peer_backoffs, &peer.name),
            Err(_) => commands::record_failure(peer_backoffs, &peer.name, now_ms),
        });
    if result.is_err() {
        drop_connection(node, peer);
    }
    result
}

/// Counts a call and the size of its response. Logs a large response and a call without one, except those for slots, which
/// the lines of their requests show.
fn record_call(
    node: &Node,
    peer: &Instance,
    method: &str,
    result: &Result<Box<RawValue>, CallError>,
    took_ms: u64,
) {
    let (outcome, bytes) = match result {
        Ok(text) => ("answered", text.get().len() as u64),
        Err(CallError::Timeout) => ("timeout", 0),
        Err(CallError::Unreachable) => ("unreachable", 0),
        Err(CallError::Failed) => ("failed", 0),
    };
    let metrics = &node.metrics;
    metrics
        .peer_calls
        .with_label_values(&[method, outcome])
        .inc();
    metrics
        .peer_bytes
        .with_label_values(&[method])
        .inc_by(bytes);
    let is_for_slot = method.starts_with("permit_");
    if bytes >= LARGE_RESPONSE_BYTES || (result.is_err() && !is_for_slot) {
        let line = json!({ "method": method, "peer": peer.name, "outcome": outcome, "bytes": bytes, "took_ms": took_ms });
        info!(target: "decision.peer", "{line}");
    }
}

async fn send_request<Request>(
    node: &Node,
    peer: &Instance,
    method: &str,
    request: &Request,
) -> Result<Box<RawValue>, CallError>
where
    Request: serde::Serialize,
{
    let client = client(node, peer).await?;
    let params = serde_json::to_value(request).unwrap_or(Value::Null);
    let response = client.request(method, rpc_params![params]).await;
    response.map_err(|_| CallError::Failed)
}

async fn client(node: &Node, peer: &Instance) -> Result<Arc<WsClient>, CallError> {
    let now_ms = node.now_ms();
    let cell = node.peers.with(shard_hash(&peer.name), |peers| {
        let connection = peers.entry(peer.name.clone()).or_default();
        connection.last_used_ms = now_ms;
        if is_closed(&connection.client) {
            connection.client = LazyClient::default();
        }
        Arc::clone(&connection.client)
    });
    let client = cell.get_or_try_init(|| connect(peer.rpc_address)).await;
    client.cloned().map_err(|_| CallError::Unreachable)
}

fn is_closed(cell: &OnceCell<Arc<WsClient>>) -> bool {
    cell.get().is_some_and(|client| !client.is_connected())
}

async fn connect(address: SocketAddr) -> Result<Arc<WsClient>, CallError> {
    let opened = connect_tcp(address, CONNECT_TIMEOUT_MS).await;
    let stream = opened.map_err(|_| CallError::Unreachable)?;
    let client = WsClientBuilder::default()
        .request_timeout(Duration::from_millis(CALL_TIMEOUT_MS))
        .connection_timeout(Duration::from_millis(CONNECT_TIMEOUT_MS))
        .max_concurrent_requests(CALLS_MAX)
        .build_with_stream(format!("ws://{address}"), stream)
        .await;
    client.map(Arc::new).map_err(|_| CallError::Unreachable)
}

fn drop_connection(node: &Node, peer: &Instance) {
    node.peers
        .with(shard_hash(&peer.name), |peers| peers.remove(&peer.name));
}
