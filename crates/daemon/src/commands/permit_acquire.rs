//! Serves the RPC method `permit_take`: grants or refuses permits as a pool's owner.

use {
    crate::{
        commands::{
            credit,
            fold_ejections::follow_ejections,
            pool_handover,
            pool_sync::get_or_open_pool,
            quota_calls::{self, Charging},
        },
        queries::quota_terms,
        Node,
    },
    outlier::queries::hedge_delay_us,
    owner::{
        commands::apply_limit_share, AcquireOutcome, AcquireRequest, LimitShare, NamedLimit,
        PoolId, PoolState, RefusalReason, QUEUE_WAIT_MS,
    },
    permit::queries::is_proven,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{sync::Notify, time::timeout_at},
    types::{PermitId, Priority, ServerIndex},
    wire::generated::{PermitCharge, PermitRequest, PermitResponse, PermitVerdict},
};

/// Ticket of a request that waits to be charged and has no place in the queue yet; places are numbered from 1.
const NO_TICKET: u64 = 0;

/// Result of one try to acquire a permit: the response, or the notification to wait for before the next try.
enum TryResult {
    Granted(PermitResponse),
    Refused(PermitResponse),
    /// The request is queued with this ticket.
    Wait(u64, Arc<Notify>),
}

/// Responds to a permit request: charges it to its account if that is due, and then grants or refuses it.
pub(crate) async fn acquire_permit(node: &Arc<Node>, request: &PermitRequest) -> PermitResponse {
    let Some(quota) = &request.quota else {
        return count_response(node, acquire_slot(node, request).await);
    };
    if let Some(time) = &quota.time {
        quota_calls::add_time(node, time);
    }
    let now_ms = node.now_ms();
    let mut charged_until_ms = quota.charged_ms.map(|valid_ms| now_ms + valid_ms);
    let mut response = match charge(node, request).await {
        None => acquire_slot(node, request).await,
        Some(Charging::Charged(until_ms)) => {
            quota_calls::count(node, "charged");
            charged_until_ms = Some(until_ms);
            acquire_slot(node, request).await
        }
        Some(Charging::Refused(retry_after_ms)) => {
            quota_calls::count(node, "refused");
            PermitResponse {
                retry_after_ms,
                ..refusal_response(PermitVerdict::QuotaExceeded, 0, 0)
            }
        }
        Some(Charging::Pending) => refusal_response(PermitVerdict::Queued, NO_TICKET, 0),
    };
    // Without queueing, the requester asks further pools before it gives up.
    let is_final = request.may_queue
        && matches!(
            response.verdict,
            PermitVerdict::Busy | PermitVerdict::Overloaded | PermitVerdict::NoServer
        );
    if is_final {
        let account = request.account.as_deref().unwrap_or_default();
        if let Some(until_ms) = charged_until_ms.take() {
            quota_calls::refund(node, account, until_ms);
        }
    }
    let now_ms = node.now_ms();
    response.quota = Some(PermitCharge {
        charged_ms: charged_until_ms.map(|until_ms| until_ms.saturating_sub(now_ms)),
        clock_ms: now_ms,
    });
    count_response(node, response)
}

/// Charges a request to its account if that is due and the account has a limit here.
async fn charge(node: &Arc<Node>, request: &PermitRequest) -> Option<Charging> {
    let account = request.account.as_deref()?;
    let is_due = request.quota.as_ref().is_some_and(|quota| quota.charge);
    let terms = quota_terms(node, account).filter(|_| is_due)?;
    Some(quota_calls::charge_request(node, account, &terms).await)
}

/// Acquires a slot, waiting briefly for one if the request may queue.
async fn acquire_slot(node: &Arc<Node>, request: &PermitRequest) -> PermitResponse {
    let received_at = Instant::now();
    let id = node.pools.id(&request.service, &request.area);
    let deadline =
        tokio::time::Instant::from_std(received_at) + Duration::from_millis(QUEUE_WAIT_MS);
    let mut acquire_request = decode_request(request, node.now_ms());
    let is_catching_up = credit::is_catching_up(node);
    if is_catching_up {
        // The request may have waited while this process stood still.
        acquire_request.credit_milli = 0;
    }
    if node.pools.with(id, |pools| !pools.contains_key(&id)) {
        open_new_pool(node, id, request).await;
    }
    apply_limits(node, id, request, is_catching_up);
    loop {
        let (ticket, notify) = match try_acquire(node, id, request, &acquire_request) {
            TryResult::Granted(response) => {
                node.metrics
                    .queue_wait
                    .observe(received_at.elapsed().as_secs_f64());
                return response;
            }
            TryResult::Refused(response) => return response,
            TryResult::Wait(ticket, notify) => (ticket, notify),
        };
        acquire_request.ticket = Some(ticket);
        // It was added by the first try.
        acquire_request.credit_milli = 0;
        if timeout_at(deadline, notify.notified()).await.is_err() {
            return refusal_response(PermitVerdict::Queued, ticket, 0);
        }
    }
}

/// Applies the limits that servers have named to the requester, and the time that it passes on.
fn apply_limits(node: &Node, id: PoolId, request: &PermitRequest, is_catching_up: bool) {
    let now_ms = node.now_ms();
    let limits = request.limits.iter().map(|limit| NamedLimit {
        server: &limit.server,
        limit_milli: limit.limit_milli,
        started_at_ms: limit.born_ms,
        named_ms: now_ms.saturating_sub(limit.age_ms),
    });
    let limits: Vec<NamedLimit<'_>> = limits.collect();
    let share = LimitShare {
        limits: &limits,
        share_ms: if is_catching_up { 0 } else { request.share_ms },
        instances: request.share_instances,
    };
    node.pools.with(id, |pools| {
        let state = get_or_open_pool(node, pools, id, &request.service, &request.area, now_ms);
        apply_limit_share(state, &share, now_ms);
    });
}

fn decode_request(request: &PermitRequest, now_ms: u64) -> AcquireRequest<'_> {
    AcquireRequest {
        acquire_id: request.ask,
        ticket: request.ticket.filter(|&ticket| ticket != NO_TICKET),
        is_retry: request.sent > 0,
        credit_milli: request.credit_milli,
        idempotent: request.idempotent,
        deadline_ms: now_ms + request.remaining_ms,
        account: request.account.as_deref(),
        priority: Priority::new(request.priority)
            .with_account(request.account_priority.unwrap_or_default()),
        data_centre: &request.data_centre,
        body_bytes: request.body_bytes,
        may_queue: request.may_queue,
        exclude: &request.exclude,
    }
}

fn try_acquire(
    node: &Arc<Node>,
    id: PoolId,
    request: &PermitRequest,
    acquire_request: &AcquireRequest<'_>,
) -> TryResult {
    let now_ms = node.now_ms();
    node.pools.with(id, |pools| {
        let state = get_or_open_pool(node, pools, id, &request.service, &request.area, now_ms);
        match owner::commands::acquire(state, acquire_request, now_ms) {
            AcquireOutcome::Granted(permit, server) => {
                count_grant(node, acquire_request, state, server);
                TryResult::Granted(granted_response(state, permit, server))
            }
            AcquireOutcome::Refused(reason, retry_after_ms) => TryResult::Refused(PermitResponse {
                retry_after_ms,
                ..refusal_response(encode_refusal_reason(reason), 0, 0)
            }),
            AcquireOutcome::PollAgain(ticket, after_ms) => {
                TryResult::Refused(refusal_response(PermitVerdict::Queued, ticket, after_ms))
            }
            AcquireOutcome::Wait(ticket, notify) => TryResult::Wait(ticket, notify),
        }
    })
}

/// Opens a pool that is not open here yet. On a store platform, its state is fetched from other instances; on a log
/// platform, this node starts to follow the service's ejections.
async fn open_new_pool(node: &Arc<Node>, id: PoolId, request: &PermitRequest) {
    let now_ms = node.now_ms();
    node.pools.with(id, |pools| {
        get_or_open_pool(node, pools, id, &request.service, &request.area, now_ms);
    });
    node.pool_opened.notify_one();
    if node.settings.uses_store {
        pool_handover::fetch_pool_snapshots(node, &request.service, &request.area).await;
    } else {
        follow_ejections(node, &request.service);
    }
}

fn encode_refusal_reason(reason: RefusalReason) -> PermitVerdict {
    match reason {
        RefusalReason::NoServer => PermitVerdict::NoServer,
        RefusalReason::Busy => PermitVerdict::Busy,
        RefusalReason::Overloaded => PermitVerdict::Overloaded,
        RefusalReason::NoBudget => PermitVerdict::NoBudget,
    }
}

fn granted_response(state: &PoolState, id: PermitId, server: ServerIndex) -> PermitResponse {
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
            .map_or(0, |delay_us| (delay_us / 1_000.0) as u64),
        retry_after_ms: 0,
        quota: None,
    }
}

fn refusal_response(verdict: PermitVerdict, ticket: u64, ask_after_ms: u64) -> PermitResponse {
    PermitResponse {
        verdict,
        permit: 0,
        ticket,
        ask_after_ms,
        server: String::new(),
        address: String::new(),
        hedge_after_ms: 0,
        retry_after_ms: 0,
        quota: None,
    }
}

/// Counts a grant. The share of second tries and of requests that may run only once that go to unproven servers shows how
/// server selection works.
fn count_grant(node: &Node, request: &AcquireRequest<'_>, state: &PoolState, server: ServerIndex) {
    let kind = match (request.is_retry, request.idempotent) {
        (true, _) => "retry",
        (false, true) => "idempotent",
        (false, false) => "once",
    };
    let server = state.pool.servers.get(server);
    let proof = if server.is_some_and(is_proven) {
        "proven"
    } else {
        "unproven"
    };
    node.metrics
        .granted_permits
        .with_label_values(&[kind, proof])
        .inc();
}

fn count_response(node: &Node, response: PermitResponse) -> PermitResponse {
    let verdict = response.verdict.to_string();
    node.metrics
        .permit_requests
        .with_label_values(&[verdict.as_str()])
        .inc();
    response
}
