//! Calls other instances over JSON-RPC.
//!
//! Invariant: a call that was not answered in time drops its connection, so a connection that went silent
//! is used once at most; the peer is then skipped for a time by this node alone.

use {
    crate::{node::LazyClient, Node},
    entry::connect_tcp,
    jsonrpsee::{
        core::client::ClientT,
        rpc_params,
        ws_client::{WsClient, WsClientBuilder},
    },
    member::{commands, Instance},
    serde_json::Value,
    snafu::Snafu,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{sync::OnceCell, time::timeout},
    types::shard_hash,
};

/// Time allowed for a new connection, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 100;
/// Longest time that any call waits inside the client, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 10_000;
/// Calls in flight on one connection.
const CALLS_MAX: usize = 8_192;

/// A call that gave no result.
#[derive(Debug, Snafu)]
pub(crate) enum CallError {
    /// The peer could not be connected to.
    #[snafu(display("can't connect to the peer"))]
    Unreachable,
    /// The peer did not answer in time.
    #[snafu(display("the peer did not answer in time"))]
    Timeout,
    /// The peer answered with an error, or with something else than asked for.
    #[snafu(display("the peer answered with an error"))]
    Failed,
}

/// Time without a call after which a connection is closed, in milliseconds.
const IDLE_PEER_MS: u64 = 30_000;

/// Closes the connections to peers that were not called lately: idle pairs keep none.
pub(crate) fn close_idle_connections(node: &Node) {
    let now_ms = node.now_ms();
    node.peers.for_each(|peers| {
        peers.retain(|_, peer| now_ms.saturating_sub(peer.last_used_ms) < IDLE_PEER_MS);
    });
}

/// Calls `method` of `peer` and waits for at most `limit_ms`.
///
/// # Errors
///
/// After an error the peer is skipped for a time.
pub(crate) async fn call<Ask, Answer>(
    node: &Node,
    peer: &Instance,
    method: &str,
    ask: &Ask,
    limit_ms: u64,
) -> Result<Answer, CallError>
where
    Ask: serde::Serialize,
    Answer: serde::de::DeserializeOwned,
{
    let limit = Duration::from_millis(limit_ms);
    let result = match timeout(limit, exchange(node, peer, method, ask)).await {
        Ok(result) => result,
        Err(_) => Err(CallError::Timeout),
    };
    let now_ms = node.now_ms();
    node.peer_backoffs
        .with(shard_hash(&peer.name), |peer_backoffs| match &result {
            Ok(_) => commands::record_success(peer_backoffs, &peer.name),
            Err(_) => commands::record_failure(peer_backoffs, &peer.name, now_ms),
        });
    if result.is_err() {
        forget(node, peer);
    }
    result
}

async fn exchange<Ask, Answer>(
    node: &Node,
    peer: &Instance,
    method: &str,
    ask: &Ask,
) -> Result<Answer, CallError>
where
    Ask: serde::Serialize,
    Answer: serde::de::DeserializeOwned,
{
    let client = client(node, peer).await?;
    let params = serde_json::to_value(ask).unwrap_or(Value::Null);
    let answer = client.request(method, rpc_params![params]).await;
    answer.map_err(|_| CallError::Failed)
}

async fn client(node: &Node, peer: &Instance) -> Result<Arc<WsClient>, CallError> {
    let now_ms = node.now_ms();
    let cell = node.peers.with(shard_hash(&peer.name), |peers| {
        let known = peers.entry(peer.name.clone()).or_default();
        known.last_used_ms = now_ms;
        if is_closed(&known.client) {
            known.client = LazyClient::default();
        }
        Arc::clone(&known.client)
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

fn forget(node: &Node, peer: &Instance) {
    node.peers
        .with(shard_hash(&peer.name), |peers| peers.remove(&peer.name));
}
