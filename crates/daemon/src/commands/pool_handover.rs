//! Transfers the snapshot of a pool from an owner to its successor.
//!
//! Pools move when instances join or leave. The new owner fetches snapshots from the next instances in
//! rendezvous order, which may have owned the pool before; an owner that shuts down sends its snapshot to its
//! successor. Granted permits stay with the old owner until they are released.

use {
    crate::{
        commands::{peer_calls::call, pool_sync::get_or_open_pool},
        queries::candidate_owners,
        Node,
    },
    futures_util::future::join_all,
    log::info,
    member::{queries::owner_order, Instance},
    outlier::{commands::HealthSnapshot, TailLatency},
    owner::{
        commands::merge_snapshot, queries::pool_snapshot, PoolSnapshot, PoolState, ServerSnapshot,
    },
    serde_json::json,
    std::{sync::Arc, time::Duration},
    tokio::time::timeout,
    wire::generated::{PoolEvidence, PoolRequest, ServerEvidence},
};

/// Instances queried about a newly opened pool; the first of them most likely owned it.
const PEERS_QUERIED: usize = 3;
/// Time for which requests wait for those instances' responses, once when a pool moves, in milliseconds.
const OPEN_WAIT_MS: u64 = 60;
/// Timeout for sending a snapshot to a successor and for fetching one, in milliseconds.
const SNAPSHOT_TIMEOUT_MS: u64 = 500;

/// Fetches the snapshots of other instances for a pool that was just opened here. Requests wait for them
/// briefly; snapshots that arrive later are merged as well.
pub(crate) async fn fetch_pool_snapshots(node: &Arc<Node>, service: &str, area: &str) {
    let fetching = fetch_and_merge(Arc::clone(node), service.to_owned(), area.to_owned());
    let task = tokio::spawn(fetching);
    // After the timeout the task continues in the background.
    let _ = timeout(Duration::from_millis(OPEN_WAIT_MS), task).await;
}

async fn fetch_and_merge(node: Arc<Node>, service: String, area: String) {
    let node = &node;
    let view = node.view.load_full();
    let candidates = candidate_owners(node, &view, &service, &area);
    let others = candidates.filter(|instance| instance.name != node.settings.instance);
    let request = PoolRequest {
        service: service.clone(),
        area: area.clone(),
    };
    let request = &request;
    let calls = others.take(PEERS_QUERIED).map(|peer| async move {
        let response: Result<PoolEvidence, _> =
            call(node, peer, "pool_evidence", request, SNAPSHOT_TIMEOUT_MS).await;
        // The call has recorded the failure and put the peer into backoff; nothing else of the error is needed.
        let evidence = response.ok()?;
        merge_pool_snapshot(node, &evidence);
        Some(())
    });
    let responses = join_all(calls).await;
    let line = json!({
        "belief": "pool opened",
        "service": service,
        "area": area,
        "answered": responses.iter().flatten().count(),
    });
    info!(target: "decision.belief", "{line}");
}

/// Sends the snapshot of each pool to its successor.
pub(crate) async fn send_to_successors(node: &Arc<Node>) {
    let mut snapshots = Vec::new();
    let now_ms = node.now_ms();
    node.pools
        .for_each(|state| snapshots.push(encode_pool(state, now_ms)));
    let view = node.view.load_full();
    let sends = snapshots.iter().filter_map(|evidence| {
        let order = owner_order(&view, &evidence.service, &evidence.area);
        let mut others = order.into_iter();
        let successor: &Instance =
            others.find(|instance| instance.name != node.settings.instance)?;
        Some(call::<_, bool>(
            node,
            successor,
            "pool_adopt",
            evidence,
            SNAPSHOT_TIMEOUT_MS,
        ))
    });
    let results = join_all(sends).await;
    let count = results.iter().filter(|result| result.is_ok()).count();
    let line = json!({ "belief": "pools handed over", "pools": snapshots.len(), "told": count });
    info!(target: "decision.belief", "{line}");
}

/// Returns the snapshot of a pool; an empty one if the pool is not open here.
pub(crate) fn local_pool_snapshot(node: &Node, request: &PoolRequest) -> PoolEvidence {
    let id = node.pools.id(&request.service, &request.area);
    let now_ms = node.now_ms();
    let found = node.pools.with(id, |pools| {
        pools.get(&id).map(|state| encode_pool(state, now_ms))
    });
    found.unwrap_or_else(|| {
        encode_snapshot(&request.service, &request.area, &PoolSnapshot::default())
    })
}

/// Merges the pool snapshot of another instance, opening the pool if necessary.
pub(crate) fn merge_pool_snapshot(node: &Node, evidence: &PoolEvidence) {
    let id = node.pools.id(&evidence.service, &evidence.area);
    let now_ms = node.now_ms();
    node.pools.with(id, |pools| {
        let state = get_or_open_pool(node, pools, id, &evidence.service, &evidence.area, now_ms);
        let snapshot = decode_snapshot(evidence);
        merge_snapshot(state, &snapshot, now_ms);
    });
    node.pool_opened.notify_one();
}

fn decode_snapshot(evidence: &PoolEvidence) -> PoolSnapshot {
    let servers = evidence.servers.iter().map(|server| ServerSnapshot {
        name: server.server.clone(),
        started_at_ms: server.born_ms,
        health: HealthSnapshot {
            failure_log_odds: server.belief_milli as f64 / 1_000.0,
            age_ms: server.age_ms,
            median_first_byte_us: server.usual_us as f64,
            completed_count: server.whole_count,
        },
    });
    PoolSnapshot {
        tail_latency: TailLatency {
            p95_us: evidence.tail_us as f64,
            sample_count: evidence.tail_count,
        },
        mean_service_us: evidence.service_us as f64,
        servers: servers.collect(),
    }
}

fn encode_pool(state: &PoolState, now_ms: u64) -> PoolEvidence {
    encode_snapshot(&state.service, &state.area, &pool_snapshot(state, now_ms))
}

fn encode_snapshot(service: &str, area: &str, snapshot: &PoolSnapshot) -> PoolEvidence {
    let servers = snapshot.servers.iter().map(|server| ServerEvidence {
        server: server.name.clone(),
        born_ms: server.started_at_ms,
        belief_milli: (server.health.failure_log_odds * 1_000.0) as i64,
        age_ms: server.health.age_ms,
        usual_us: server.health.median_first_byte_us as u64,
        whole_count: server.health.completed_count,
    });
    PoolEvidence {
        service: service.to_owned(),
        area: area.to_owned(),
        tail_us: snapshot.tail_latency.p95_us as u64,
        tail_count: snapshot.tail_latency.sample_count,
        service_us: snapshot.mean_service_us as u64,
        servers: servers.collect(),
    }
}
