//! Reads the backend servers' health and load endpoints: weak evidence, since they lag or mislead.

use {
    crate::Node,
    bytes::Bytes,
    http_body_util::{BodyExt, Empty},
    hyper::{client::conn::http1, Request},
    hyper_util::rt::TokioIo,
    serde_json::Value,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{net::TcpStream, time::timeout},
};

/// Time allowed for a probe, in milliseconds.
const PROBE_TIMEOUT_MS: u64 = 500;

/// Tells whether the server answers its health endpoint.
pub(crate) async fn is_healthy(address: SocketAddr) -> bool {
    get(address, "/_health").await.is_some()
}

/// Reads the load endpoints of the pools' servers; only a server's own word that it drains is used.
pub(crate) fn poll_load_endpoints(node: &Arc<Node>) {
    let mut servers = Vec::new();
    node.pools.for_each(|state| {
        for (index, server) in state.pool.servers.iter() {
            if state.server_meta.get(index).is_some_and(|note| note.listed) {
                let name = state.pool.names.name(index).to_owned();
                let place = (state.service.clone(), state.area.clone());
                servers.push((place, name, server.address));
            }
        }
    });
    for ((service, area), name, address) in servers {
        let node = Arc::clone(node);
        tokio::spawn(async move {
            if let Some(draining) = says_draining(address).await {
                note_draining(&node, &service, &area, &name, draining);
            }
        });
    }
}

fn note_draining(node: &Node, service: &str, area: &str, name: &str, draining: bool) {
    let id = node.pools.id(service, area);
    node.pools.with(id, |pools| {
        let Some(state) = pools.get_mut(&id) else {
            return;
        };
        let index = state.pool.names.find(name);
        if let Some(note) = index.and_then(|index| state.server_meta.get_mut(index)) {
            note.draining = draining;
        }
    });
}

async fn says_draining(address: SocketAddr) -> Option<bool> {
    let text = get(address, "/_load").await?;
    let load: Value = serde_json::from_slice(&text).ok()?;
    load.get("draining")?.as_bool()
}

async fn get(address: SocketAddr, path: &str) -> Option<Bytes> {
    let limit = Duration::from_millis(PROBE_TIMEOUT_MS);
    timeout(limit, exchange(address, path)).await.ok()?
}

async fn exchange(address: SocketAddr, path: &str) -> Option<Bytes> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(async move {
        // The exchange sees the same error.
        let _ = connection.await;
    });
    let request = Request::get(path)
        .header(hyper::header::HOST, address.to_string())
        .body(Empty::<Bytes>::new())
        .ok()?;
    let answer = sender.send_request(request).await.ok()?;
    if !answer.status().is_success() {
        return None;
    }
    Some(answer.into_body().collect().await.ok()?.to_bytes())
}
