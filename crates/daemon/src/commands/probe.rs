//! Reads the health and load endpoints of the backend servers: weak evidence, because they lag or mislead.

use {
    crate::Node,
    bytes::Bytes,
    http_body_util::{BodyExt, Empty, Limited},
    hyper::{client::conn::http1, Request},
    hyper_util::rt::TokioIo,
    serde_json::Value,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{net::TcpStream, time::timeout},
};

/// Timeout of a probe, in milliseconds.
const PROBE_TIMEOUT_MS: u64 = 500;
/// Most bytes of a body that are received; a faulty server may send bytes without end.
const BODY_MAX_BYTES: usize = 65_536;

/// Returns whether the server's health endpoint responds with success.
pub(crate) async fn is_healthy(address: SocketAddr) -> bool {
    get(address, "/_health").await.is_some()
}

/// Polls the load endpoints of the listed servers of all pools; only the `draining` flag of the response is used.
pub(crate) fn poll_load_endpoints(node: &Arc<Node>) {
    let mut servers = Vec::new();
    node.pools.for_each(|state| {
        for (index, server) in state.pool.servers.iter() {
            if state.server_meta.get(index).is_some_and(|meta| meta.listed) {
                let name = state.pool.names.name(index).to_owned();
                let pool = (state.service.clone(), state.area.clone());
                servers.push((pool, name, server.address));
            }
        }
    });
    for ((service, area), name, address) in servers {
        let node = Arc::clone(node);
        tokio::spawn(async move {
            if let Some(draining) = fetch_draining(address).await {
                set_draining(&node, &service, &area, &name, draining);
            }
        });
    }
}

fn set_draining(node: &Node, service: &str, area: &str, name: &str, draining: bool) {
    let id = node.pools.id(service, area);
    node.pools.with(id, |pools| {
        let Some(state) = pools.get_mut(&id) else {
            return;
        };
        let index = state.pool.names.find(name);
        if let Some(meta) = index.and_then(|index| state.server_meta.get_mut(index)) {
            meta.draining = draining;
        }
    });
}

async fn fetch_draining(address: SocketAddr) -> Option<bool> {
    let body = get(address, "/_load").await?;
    let load: Value = serde_json::from_slice(&body).ok()?;
    load.get("draining")?.as_bool()
}

async fn get(address: SocketAddr, path: &str) -> Option<Bytes> {
    let time_limit = Duration::from_millis(PROBE_TIMEOUT_MS);
    timeout(time_limit, send_request(address, path))
        .await
        .ok()?
}

async fn send_request(address: SocketAddr, path: &str) -> Option<Bytes> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(async move {
        // The request below fails with the same error.
        let _ = connection.await;
    });
    let request = Request::get(path)
        .header(hyper::header::HOST, address.to_string())
        .body(Empty::<Bytes>::new())
        .ok()?;
    let response = sender.send_request(request).await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    let body = Limited::new(response.into_body(), BODY_MAX_BYTES);
    Some(body.collect().await.ok()?.to_bytes())
}
