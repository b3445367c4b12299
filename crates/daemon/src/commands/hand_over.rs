//! Hands what an owner knows of a pool to its successor.
//!
//! A pool moves when instances come and go. Its new owner asks those next in order, who may have owned it before;
//! an owner that leaves tells its successor. What was granted stays with the old owner until it is given back.

use {
    crate::{
        commands::{peers::call, pool_list::open_pool},
        queries::willing_owners,
        Node,
    },
    futures_util::future::join_all,
    log::info,
    member::{queries::owner_order, Instance},
    outlier::{commands::Heard, Tail},
    owner::{commands::adopt, queries::knowledge, Knowledge, KnownServer, PoolState},
    serde_json::json,
    std::sync::Arc,
    wire::generated::{PoolAsk, PoolEvidence, ServerEvidence},
};

/// Instances asked about a pool that is new here; the first of them owned it, most likely.
const ASKED: usize = 3;
/// Time allowed for their answers, in milliseconds; requests wait for it once, when a pool moves.
const ASK_TIMEOUT_MS: u64 = 60;
/// Time allowed for telling a successor, in milliseconds.
const TELL_TIMEOUT_MS: u64 = 500;

/// Asks others what they know of a pool that was just opened here.
pub(crate) async fn ask_others(node: &Arc<Node>, service: &str, area: &str) {
    let view = node.view.load_full();
    let willing = willing_owners(node, &view, service, area);
    let others = willing.filter(|instance| instance.name != node.settings.instance);
    let ask = PoolAsk {
        service: service.to_owned(),
        area: area.to_owned(),
    };
    let ask = &ask;
    let asks = others.take(ASKED).map(|peer| async move {
        let answer: Result<PoolEvidence, _> =
            call(node, peer, "pool_evidence", ask, ASK_TIMEOUT_MS).await;
        // One that does not answer is skipped for a time; nothing of it is needed here.
        answer.ok()
    });
    for evidence in join_all(asks).await.into_iter().flatten() {
        take_over(node, &evidence);
    }
}

/// Tells the successor of each pool what is known of it.
pub(crate) async fn tell_successors(node: &Arc<Node>) {
    let mut known = Vec::new();
    let now_ms = node.now_ms();
    node.owner.each(|state| known.push(evidence(state, now_ms)));
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
pub(crate) fn known(node: &Node, ask: &PoolAsk) -> PoolEvidence {
    let id = node.owner.id(&ask.service, &ask.area);
    let now_ms = node.now_ms();
    let found = node.owner.with(id, |pools| {
        pools.get(&id).map(|state| evidence(state, now_ms))
    });
    found.unwrap_or_else(|| evidence_of(&ask.service, &ask.area, &Knowledge::default()))
}

/// Takes over what another instance knows of a pool, opening it if need be.
pub(crate) fn take_over(node: &Node, evidence: &PoolEvidence) {
    let id = node.owner.id(&evidence.service, &evidence.area);
    let now_ms = node.now_ms();
    node.owner.with(id, |pools| {
        let state = open_pool(node, pools, id, &evidence.service, &evidence.area, now_ms);
        let known = known_of(evidence);
        adopt(state, &known, node.settings.retry_window_ms, now_ms);
    });
    node.pool_opened.notify_one();
}

fn known_of(text: &PoolEvidence) -> Knowledge {
    let servers = text.servers.iter().map(|server| KnownServer {
        name: server.server.clone(),
        born_ms: server.born_ms,
        heard: Heard {
            belief: server.belief_milli as f64 / 1_000.0,
            age_ms: server.age_ms,
            usual_us: server.usual_us as f64,
            whole_count: server.whole_count,
        },
    });
    Knowledge {
        tail: Tail {
            tail_us: text.tail_us as f64,
            count: text.tail_count,
        },
        service_us: text.service_us as f64,
        requests: text.requests,
        retries: text.retries,
        servers: servers.collect(),
    }
}

fn evidence(state: &PoolState, now_ms: u64) -> PoolEvidence {
    evidence_of(&state.service, &state.area, &knowledge(state, now_ms))
}

fn evidence_of(service: &str, area: &str, known: &Knowledge) -> PoolEvidence {
    let servers = known.servers.iter().map(|server| ServerEvidence {
        server: server.name.clone(),
        born_ms: server.born_ms,
        belief_milli: (server.heard.belief * 1_000.0) as i64,
        age_ms: server.heard.age_ms,
        usual_us: server.heard.usual_us as u64,
        whole_count: server.heard.whole_count,
    });
    PoolEvidence {
        service: service.to_owned(),
        area: area.to_owned(),
        tail_us: known.tail.tail_us as u64,
        tail_count: known.tail.count,
        service_us: known.service_us as u64,
        requests: known.requests,
        retries: known.retries,
        servers: servers.collect(),
    }
}
