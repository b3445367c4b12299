//! Hands what an owner knows of a pool to its successor.
//!
//! A pool moves when instances come and go. Its new owner asks those next in order, who may have owned it before;
//! an owner that leaves tells its successor. What was granted stays with the old owner until it is given back.

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
        commands::{merge_snapshot, reduce_slack_until},
        queries::pool_snapshot,
        PoolSnapshot, PoolState, ServerSnapshot,
    },
    permit::AgedBucket,
    serde_json::json,
    std::{sync::Arc, time::Duration},
    tokio::time::timeout,
    wire::generated::{PoolEvidence, PoolRequest, RetryBucket, ServerEvidence},
};

/// Instances asked about a pool that is new here; the first of them owned it, most likely.
const ASKED: usize = 3;
/// Time for which requests wait for their answers, in milliseconds, once, when a pool moves.
const OPEN_WAIT_MS: u64 = 60;
/// Time allowed for telling a successor, and for its asking, in milliseconds.
const TELL_TIMEOUT_MS: u64 = 500;

/// Asks others what they know of a pool that was just opened here. Requests wait for it, for a short time; what comes
/// later is taken over as well.
pub(crate) async fn fetch_pool_snapshots(node: &Arc<Node>, service: &str, area: &str) {
    set_slack_from(node, service, area, u64::MAX);
    let gathering = gather(Arc::clone(node), service.to_owned(), area.to_owned());
    let gathered = tokio::spawn(gathering);
    // Past its time it goes on by itself.
    let _ = timeout(Duration::from_millis(OPEN_WAIT_MS), gathered).await;
}

async fn gather(node: Arc<Node>, service: String, area: String) {
    let node = &node;
    let view = node.view.load_full();
    let willing = candidate_owners(node, &view, &service, &area);
    let others = willing.filter(|instance| instance.name != node.settings.instance);
    let ask = PoolRequest {
        service: service.clone(),
        area: area.clone(),
    };
    let ask = &ask;
    let asks = others.take(ASKED).map(|peer| async move {
        let told: Result<PoolEvidence, _> =
            call(node, peer, "pool_evidence", ask, TELL_TIMEOUT_MS).await;
        // One that does not answer is skipped for a time; nothing else of it is needed here.
        let evidence = told.ok()?;
        merge_pool_snapshot(node, &evidence);
        Some(!evidence.counts.is_empty())
    });
    let answers = join_all(asks).await;
    let answered = answers.iter().flatten().count();
    let counted = answers.contains(&Some(true));
    let line = json!({
        "belief": "pool opened",
        "service": service,
        "area": area,
        "answered": answered,
        "counts_told": counted,
    });
    info!(target: "decision.belief", "{line}");
    let window_ms = node.settings.retry_window_ms;
    let slack_from_ms = match (counted, answered == answers.len()) {
        (true, _) => 0,
        // Nobody owned it, unless all have started with this process.
        (false, true) => window_ms,
        (false, false) => window_ms + node.now_ms(),
    };
    set_slack_from(node, &service, &area, slack_from_ms);
}

/// Sets from when the slack of retries of a pool is granted: an earlier owner may have granted it in the window.
fn set_slack_from(node: &Node, service: &str, area: &str, from_ms: u64) {
    let id = node.pools.id(service, area);
    node.pools.with(id, |pools| {
        if let Some(state) = pools.get_mut(&id) {
            reduce_slack_until(state, from_ms);
        }
    });
}

/// Tells the successor of each pool what is known of it.
pub(crate) async fn send_to_successors(node: &Arc<Node>) {
    let mut known = Vec::new();
    let now_ms = node.now_ms();
    node.pools
        .for_each(|state| known.push(evidence(state, now_ms)));
    let view = node.view.load_full();
    let tells = known.iter().filter_map(|evidence| {
        let order = owner_order(&view, &evidence.service, &evidence.area);
        let mut others = order.into_iter();
        let successor: &Instance =
            others.find(|instance| instance.name != node.settings.instance)?;
        Some(call::<_, bool>(
            node,
            successor,
            "pool_adopt",
            evidence,
            TELL_TIMEOUT_MS,
        ))
    });
    let told = join_all(tells).await;
    let count = told.iter().filter(|result| result.is_ok()).count();
    let line = json!({ "belief": "pools handed over", "pools": known.len(), "told": count });
    info!(target: "decision.belief", "{line}");
}

/// Returns what is known of a pool; nothing of one that is not open here.
pub(crate) fn local_pool_snapshot(node: &Node, ask: &PoolRequest) -> PoolEvidence {
    let id = node.pools.id(&ask.service, &ask.area);
    let now_ms = node.now_ms();
    let found = node.pools.with(id, |pools| {
        pools.get(&id).map(|state| evidence(state, now_ms))
    });
    found.unwrap_or_else(|| evidence_of(&ask.service, &ask.area, &PoolSnapshot::default()))
}

/// Takes over what another instance knows of a pool, opening it if need be.
pub(crate) fn merge_pool_snapshot(node: &Node, evidence: &PoolEvidence) {
    let id = node.pools.id(&evidence.service, &evidence.area);
    let now_ms = node.now_ms();
    node.pools.with(id, |pools| {
        let state = get_or_open_pool(node, pools, id, &evidence.service, &evidence.area, now_ms);
        let known = known_of(evidence);
        merge_snapshot(state, &known, node.settings.retry_window_ms, now_ms);
    });
    node.pool_opened.notify_one();
}

fn aged_count(text: &RetryBucket) -> AgedBucket {
    AgedBucket {
        age_ms: text.age_ms,
        requests: text.requests,
        retries: text.retries,
    }
}

fn known_of(text: &PoolEvidence) -> PoolSnapshot {
    let servers = text.servers.iter().map(|server| ServerSnapshot {
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
            p95_us: text.tail_us as f64,
            sample_count: text.tail_count,
        },
        mean_service_us: text.service_us as f64,
        buckets: text.counts.iter().map(aged_count).collect(),
        servers: servers.collect(),
    }
}

fn evidence(state: &PoolState, now_ms: u64) -> PoolEvidence {
    evidence_of(&state.service, &state.area, &pool_snapshot(state, now_ms))
}

fn evidence_of(service: &str, area: &str, known: &PoolSnapshot) -> PoolEvidence {
    let counts = known.buckets.iter().map(|count| RetryBucket {
        age_ms: count.age_ms,
        requests: count.requests,
        retries: count.retries,
    });
    let servers = known.servers.iter().map(|server| ServerEvidence {
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
        tail_us: known.tail_latency.p95_us as u64,
        tail_count: known.tail_latency.sample_count,
        service_us: known.mean_service_us as u64,
        counts: counts.collect(),
        servers: servers.collect(),
    }
}
