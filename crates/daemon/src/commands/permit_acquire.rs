//! Answers permit asks as a pool's owner.

use {
    crate::{
        commands::{fold_ejections::follow_ejections, pool_handover, pool_sync::get_or_open_pool},
        queries::is_first_owner,
        Node,
    },
    config::queries::find_service,
    member::queries::pool_areas,
    outlier::queries::hedge_delay_us,
    owner::{
        AcquireOutcome, AcquireRequest, PoolId, PoolState, RefusalReason, RetryLimits,
        QUEUE_WAIT_MS,
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{sync::Notify, time::timeout_at},
    types::{PermitId, ServerIndex},
    wire::generated::{PermitRequest, PermitResponse, PermitVerdict},
};

/// What an ask gets at once, or what it waits for.
enum Reply {
    Granted(PermitResponse),
    Refused(PermitResponse),
    Wait(u64, Arc<Notify>),
}

/// Answers `text`, waiting for a slot for a short time if it may queue.
pub(crate) async fn acquire_permit(node: &Arc<Node>, text: &PermitRequest) -> PermitResponse {
    let asked = Instant::now();
    let id = node.pools.id(&text.service, &text.area);
    let until = tokio::time::Instant::from_std(asked) + Duration::from_millis(QUEUE_WAIT_MS);
    let mut ask = ask(text, node.now_ms());
    if node.pools.with(id, |pools| !pools.contains_key(&id)) {
        open_here(node, id, text).await;
    }
    loop {
        let (ticket, notify) = match step(node, id, text, &ask) {
            Reply::Granted(answer) => {
                node.metrics
                    .queue_wait
                    .observe(asked.elapsed().as_secs_f64());
                return counted(node, answer);
            }
            Reply::Refused(answer) => return counted(node, answer),
            Reply::Wait(ticket, notify) => (ticket, notify),
        };
        ask.ticket = Some(ticket);
        if timeout_at(until, notify.notified()).await.is_err() {
            return counted(node, refusal(PermitVerdict::Queued, ticket, 0));
        }
    }
}

fn ask(text: &PermitRequest, now_ms: u64) -> AcquireRequest<'_> {
    AcquireRequest {
        acquire_id: text.ask,
        ticket: text.ticket,
        is_retry: text.sent > 0,
        idempotent: text.idempotent,
        deadline_ms: now_ms + text.remaining_ms,
        priority: text.priority,
        data_centre: &text.data_centre,
        body_bytes: text.body_bytes,
        may_queue: text.may_queue,
        exclude: &text.exclude,
    }
}

fn step(node: &Arc<Node>, id: PoolId, text: &PermitRequest, ask: &AcquireRequest<'_>) -> Reply {
    let now_ms = node.now_ms();
    let terms = terms(node, text);
    node.pools.with(id, |pools| {
        let state = get_or_open_pool(node, pools, id, &text.service, &text.area, now_ms);
        match owner::commands::acquire(state, ask, terms, now_ms) {
            AcquireOutcome::Granted(permit, server) => {
                Reply::Granted(granted(state, permit, server))
            }
            AcquireOutcome::Refused(verdict, retry_after_ms) => Reply::Refused(PermitResponse {
                retry_after_ms,
                ..refusal(verdict_text(verdict), 0, 0)
            }),
            AcquireOutcome::PollAgain(ticket, after_ms) => {
                Reply::Refused(refusal(PermitVerdict::Queued, ticket, after_ms))
            }
            AcquireOutcome::Wait(ticket, notify) => Reply::Wait(ticket, notify),
        }
    })
}

/// Opens a pool that is new here, with what others know of it.
async fn open_here(node: &Arc<Node>, id: PoolId, text: &PermitRequest) {
    let now_ms = node.now_ms();
    node.pools.with(id, |pools| {
        get_or_open_pool(node, pools, id, &text.service, &text.area, now_ms);
    });
    node.pool_opened.notify_one();
    if node.settings.uses_store {
        pool_handover::fetch_pool_snapshots(node, &text.service, &text.area).await;
    } else {
        follow_ejections(node, &text.service);
    }
}

fn terms(node: &Node, text: &PermitRequest) -> RetryLimits {
    let pools = pool_areas(&node.view.load(), &text.service, &[]).len() as u32;
    let current = node.active_config.load();
    let service = current.as_deref().and_then(|in_force| {
        let document = &in_force.accepted.document;
        find_service(document, &in_force.lookup, &text.service)
    });
    let percent = service.map_or(0, |service| service.retry_percent);
    let settings = &node.settings;
    let terms = RetryLimits::new(
        settings.retry_window_ms,
        percent,
        settings.retry_slack,
        pools,
    );
    // While two instances are asked for slots of a pool, only one of them may grant the slack.
    if text.sent > 0 && !is_first_owner(node, &text.service, &text.area) {
        terms.with_reduced_slack()
    } else {
        terms
    }
}

fn verdict_text(verdict: RefusalReason) -> PermitVerdict {
    match verdict {
        RefusalReason::NoServer => PermitVerdict::NoServer,
        RefusalReason::Busy => PermitVerdict::Busy,
        RefusalReason::Overloaded => PermitVerdict::Overloaded,
        RefusalReason::NoBudget => PermitVerdict::NoBudget,
    }
}

fn granted(state: &PoolState, id: PermitId, server: ServerIndex) -> PermitResponse {
    let address = state
        .pool
        .servers
        .get(server)
        .map(|server| server.address.to_string());
    PermitResponse {
        verdict: PermitVerdict::Granted,
        permit: id.number(),
        ticket: 0,
        ask_after_ms: 0,
        server: state.pool.names.name(server).to_owned(),
        address: address.unwrap_or_default(),
        hedge_after_ms: hedge_delay_us(&state.health)
            .map_or(0, |limit_us| (limit_us / 1_000.0) as u64),
        retry_after_ms: 0,
    }
}

fn refusal(verdict: PermitVerdict, ticket: u64, ask_after_ms: u64) -> PermitResponse {
    PermitResponse {
        verdict,
        permit: 0,
        ticket,
        ask_after_ms,
        server: String::new(),
        address: String::new(),
        hedge_after_ms: 0,
        retry_after_ms: 0,
    }
}

fn counted(node: &Node, answer: PermitResponse) -> PermitResponse {
    let verdict = answer.verdict.to_string();
    node.metrics
        .permit_requests
        .with_label_values(&[verdict.as_str()])
        .inc();
    answer
}
