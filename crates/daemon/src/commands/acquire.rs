//! Acquires slots from the pools' owners.
//!
//! Ownership needs no consensus: the owner is the first instance in rendezvous order that responds. Two
//! owners at the same time only grant too many slots, and the backend server sheds the excess.

use {
    crate::{
        commands::{
            credit::Credit,
            limit_share::take_time_share,
            local_choice, notices,
            peer_calls::{call, CallError},
            permit_acquire, permit_release,
            quota_charge::{forget_peer_clock, spread_ms, Charge},
        },
        queries::{
            candidate_owners, closed_servers, limited_servers, server_closed_reason, ClosedServers,
        },
        Node,
    },
    entry::{AcquireRequest, AttemptOutcome, Grant, Refusal, Release, SlotPolicy},
    member::{
        queries::{find_instance, pool_areas},
        ClosedReason, Instance, ServerLimit, View,
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
    types::ResultCode,
    wire::generated::{
        AttemptOutcomeJson, NamedLimitJson, PermitRequest, PermitResponse, PermitReturn,
        PermitVerdict,
    },
};

/// Timeout for an owner's response, including its short wait for a slot, in milliseconds. An owner with a tenth
/// of a core takes some milliseconds to respond, and one that is slowed down five times as many.
const OWNER_TIMEOUT_MS: u64 = 150;
/// Owners tried in order before the server is chosen locally.
const OWNERS_MAX: usize = 2;
/// Pools tried without queueing before the request queues at the nearest.
const POOLS_MAX: usize = 3;
/// Timeout for the release of a permit, in milliseconds.
const RELEASE_TIMEOUT_MS: u64 = 500;
/// Attempts to release a permit until the release is confirmed; the first fails if the connection no longer
/// responds, and the second opens a new one.
const RELEASE_ATTEMPTS: u32 = 2;
/// Grants of servers that closed meanwhile until the request is refused.
const CLOSED_GRANTS_MAX: u32 = 3;

/// Returns the slot acquisition policy that the settings select.
pub(crate) fn slot_policy(node: &Arc<Node>) -> SlotPolicy {
    let clone = || Arc::clone(node);
    let (for_acquire, for_release, for_notices) = (clone(), clone(), clone());
    SlotPolicy {
        acquire: Box::new(move |request| {
            let node = Arc::clone(&for_acquire);
            Box::pin(async move { acquire(&node, request).await })
        }),
        release: Box::new(move |release| release_slot(&for_release, release)),
        record_notice: Box::new(move |grant, notice| notices::record(&for_notices, grant, notice)),
    }
}

/// Acquires a slot of a server that takes requests from this instance. A server may close while the request waits for its
/// slot; another one is acquired then.
async fn acquire(node: &Arc<Node>, mut request: AcquireRequest) -> Result<Grant, Refusal> {
    let closed = closed_servers(node, &node.view.load(), &request.service);
    if closed.are_all {
        return Err(closed_refusal(&closed));
    }
    request.exclude.extend(closed.names);
    let mut credit = if request.is_first {
        Credit::issue(node, &request.service)
    } else {
        Credit::none(node, &request.service)
    };
    let mut charge = Charge::new(node, &request);
    for _ in 0..CLOSED_GRANTS_MAX {
        let grant = if node.settings.uses_permits {
            acquire_from_pools(node, &request, &mut credit, &mut charge).await?
        } else {
            credit.keep();
            charge.charge_own(node, &request).await?;
            local_choice::choose_server(node, &request)?
        };
        let Some(reason) = server_closed_reason(node, &grant.server) else {
            return Ok(grant);
        };
        request.exclude.push(grant.server.clone());
        // The owner reads the list itself.
        let is_leaving = reason == ClosedReason::Leaving;
        release_slot(node, unused_slot(grant, is_leaving));
    }
    Err(Refusal::new(ResultCode::Overloaded))
}

/// Returns the refusal of a request if none of the service's servers takes requests from this instance.
fn closed_refusal(closed: &ClosedServers) -> Refusal {
    match closed.reopen_ms {
        Some(ms) => Refusal {
            code: ResultCode::Overloaded,
            retry_after_ms: Some(ms),
        },
        None => Refusal::new(ResultCode::NoServer),
    }
}

fn unused_slot(grant: Grant, is_leaving: bool) -> Release {
    Release {
        grant,
        outcome: AttemptOutcome::Inconclusive,
        first_byte_us: 0,
        response_us: 0,
        is_leaving,
        limit_milli: None,
    }
}

/// Requests a slot from the nearest pools without queueing, then queues at the nearest one. If the service has only one
/// pool, the request may queue there at once.
async fn acquire_from_pools(
    node: &Arc<Node>,
    request: &AcquireRequest,
    credit: &mut Credit,
    charge: &mut Charge,
) -> Result<Grant, Refusal> {
    let view = node.view.load_full();
    let own_areas = [node.settings.data_centre.as_str(), node.settings.region()];
    let pools = pool_areas(&view, &request.service, &own_areas);
    let Some(nearest) = pools.first() else {
        return Err(Refusal::new(ResultCode::NoServer));
    };
    let unreachable = local_choice::unreachable_servers(node, &request.service);
    let request = AcquireRequest {
        exclude: request.exclude.iter().cloned().chain(unreachable).collect(),
        ..request.clone()
    };
    if pools.len() > 1 {
        for pool in pools.iter().take(POOLS_MAX) {
            let result =
                request_from_pool(node, &view, pool, &request, credit, charge, false).await;
            let is_above_quota = |refusal: &Refusal| refusal.code == ResultCode::QuotaExceeded;
            if result.is_ok() || result.as_ref().is_err_and(is_above_quota) {
                return result;
            }
        }
    }
    request_from_pool(node, &view, nearest, &request, credit, charge, true).await
}

/// Requests a slot from the pool's owner, then from the next in order, then chooses a server locally.
async fn request_from_pool(
    node: &Arc<Node>,
    view: &View,
    area: &str,
    request: &AcquireRequest,
    credit: &mut Credit,
    charge: &mut Charge,
    may_queue: bool,
) -> Result<Grant, Refusal> {
    for owner in candidate_owners(node, view, &request.service, area).take(OWNERS_MAX) {
        let permit_request = permit_request(node, view, area, request, may_queue);
        let result = request_from_owner(node, owner, request, permit_request, credit, charge).await;
        if let Some(result) = result {
            return result;
        }
    }
    node.metrics
        .owner_fallbacks
        .with_label_values(&["no owner answered"])
        .inc();
    charge.charge_own(node, request).await?;
    local_choice::choose_server(node, request)
}

/// Repeats the request to one owner until it grants or refuses; the first call passes the credit on. Returns `None` if it
/// does not respond, or grants a slot of a server whose address is invalid.
async fn request_from_owner(
    node: &Arc<Node>,
    owner: &Instance,
    request: &AcquireRequest,
    mut permit_request: PermitRequest,
    credit: &mut Credit,
    charge: &mut Charge,
) -> Option<Result<Grant, Refusal>> {
    let mut pending = PendingRequest::new(node, owner, &permit_request);
    let mut share_ms = permit_request.share_ms;
    loop {
        permit_request.remaining_ms = time_left_ms(request.deadline);
        permit_request.credit_milli = credit.take();
        permit_request.share_ms = std::mem::take(&mut share_ms);
        let sent_ms = node.now_ms();
        permit_request.quota = charge.take(node, &owner.name);
        let response = match send_permit_request(node, owner, &permit_request).await {
            Ok(response) => response,
            Err(error) => {
                if matches!(error, CallError::Unreachable) {
                    charge.put_back(permit_request.quota.as_ref(), sent_ms);
                    credit.put_back(permit_request.credit_milli);
                }
                forget_peer_clock(node, &owner.name);
                return None;
            }
        };
        if let Some(quota) = &response.quota {
            charge.record(node, &owner.name, quota, sent_ms);
        }
        if response.verdict != PermitVerdict::Queued {
            pending.disarm();
        }
        let retry_after_ms = Some(response.retry_after_ms).filter(|&ms| ms > 0);
        let refused = |code| {
            Some(Err(Refusal {
                code,
                retry_after_ms,
            }))
        };
        match response.verdict {
            PermitVerdict::Granted => {
                return grant(owner, &permit_request.area, request, response).map(Ok);
            }
            PermitVerdict::Queued => {
                permit_request.ticket = Some(response.ticket);
                sleep(Duration::from_millis(response.ask_after_ms)).await;
            }
            PermitVerdict::Busy | PermitVerdict::Overloaded => {
                return refused(ResultCode::Overloaded);
            }
            PermitVerdict::NoServer => return refused(ResultCode::NoServer),
            PermitVerdict::NoBudget => return refused(ResultCode::RetryBudgetSpent),
            PermitVerdict::QuotaExceeded => {
                let remaining_ms = time_left_ms(request.deadline);
                if let Some(wait_ms) = charge.wait_ms(response.retry_after_ms, remaining_ms) {
                    sleep(Duration::from_millis(wait_ms)).await;
                    pending = PendingRequest::new(node, owner, &permit_request);
                    continue;
                }
                return Some(Err(Refusal {
                    code: ResultCode::QuotaExceeded,
                    retry_after_ms: Some(spread_ms(response.retry_after_ms)),
                }));
            }
        }
    }
}

async fn send_permit_request(
    node: &Arc<Node>,
    owner: &Instance,
    permit_request: &PermitRequest,
) -> Result<PermitResponse, CallError> {
    if owner.name == node.settings.instance {
        return Ok(permit_acquire::acquire_permit(node, permit_request).await);
    }
    let timeout_ms = OWNER_TIMEOUT_MS;
    call(node, owner, "permit_take", permit_request, timeout_ms).await
}

/// Guard of a permit request without a response yet. If it is dropped before that, because the owner did not
/// respond or the caller left, it releases the permit that the owner may have granted.
struct PendingRequest {
    node: Arc<Node>,
    owner: String,
    permit_return: Option<PermitReturn>,
}

impl PendingRequest {
    fn new(node: &Arc<Node>, owner: &Instance, permit_request: &PermitRequest) -> Self {
        Self {
            node: Arc::clone(node),
            owner: owner.name.clone(),
            permit_return: Some(PermitReturn {
                service: permit_request.service.clone(),
                area: permit_request.area.clone(),
                ask: permit_request.ask,
                permit: 0,
                server: String::new(),
                evidence: AttemptOutcomeJson::Nothing,
                first_byte_us: 0,
                whole_us: 0,
                draining: false,
                limit_milli: None,
            }),
        }
    }

    fn disarm(&mut self) {
        self.permit_return = None;
    }
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        if let Some(permit_return) = self.permit_return.take() {
            send_release(&self.node, &self.owner, permit_return);
        }
    }
}

fn time_left_ms(deadline: Instant) -> u64 {
    deadline
        .saturating_duration_since(Instant::now())
        .as_millis() as u64
}

fn permit_request(
    node: &Node,
    view: &View,
    area: &str,
    request: &AcquireRequest,
    may_queue: bool,
) -> PermitRequest {
    let share = take_time_share(node, view, &request.service, area);
    let limits = limited_servers(node, view, &request.service);
    PermitRequest {
        limits: limits.iter().map(encode_limit).collect(),
        share_ms: share.share_ms,
        share_instances: share.instances,
        ask: fastrand::u64(1..),
        service: request.service.clone(),
        area: area.to_owned(),
        data_centre: node.settings.data_centre.clone(),
        entry: node.settings.instance.clone(),
        remaining_ms: time_left_ms(request.deadline),
        account: request.account.clone(),
        account_priority: request.account.as_ref().map(|_| request.priority.account),
        priority: request.priority.route,
        body_bytes: request.body_bytes,
        sent: request.previous_attempts,
        idempotent: request.idempotent,
        may_queue,
        exclude: request.exclude.clone(),
        ticket: None,
        credit_milli: 0,
        quota: None,
    }
}

fn encode_limit(limit: &ServerLimit) -> NamedLimitJson {
    NamedLimitJson {
        server: limit.server.clone(),
        limit_milli: limit.limit_milli,
        age_ms: limit.age_ms,
        born_ms: limit.started_at_ms,
    }
}

fn grant(
    owner: &Instance,
    area: &str,
    request: &AcquireRequest,
    response: PermitResponse,
) -> Option<Grant> {
    Some(Grant {
        service: request.service.clone(),
        area: area.to_owned(),
        owner: owner.name.clone(),
        permit_id: response.permit,
        server: response.server,
        address: response.address.parse().ok()?,
        hedge_after_ms: response.hedge_after_ms,
        reason: "permit",
    })
}

fn release_slot(node: &Arc<Node>, release: Release) {
    if release.outcome == AttemptOutcome::Unreachable {
        local_choice::mark_unreachable(node, &release.grant.server);
    }
    if release.grant.owner.is_empty() {
        return local_choice::release(node, &release);
    }
    let permit_return = PermitReturn {
        service: release.grant.service,
        area: release.grant.area,
        ask: 0,
        permit: release.grant.permit_id,
        server: release.grant.server,
        evidence: outcome_json(release.outcome),
        first_byte_us: release.first_byte_us,
        whole_us: release.response_us,
        draining: release.is_leaving,
        limit_milli: release.limit_milli,
    };
    send_release(node, &release.grant.owner, permit_return);
}

/// Releases a permit at its owner; in the background if the owner is another instance.
fn send_release(node: &Arc<Node>, owner: &str, permit_return: PermitReturn) {
    if owner == node.settings.instance {
        return permit_release::release_permit(node, &permit_return);
    }
    let (node, owner) = (Arc::clone(node), owner.to_owned());
    tokio::spawn(async move {
        let view = node.view.load_full();
        let Some(owner) = find_instance(&view, &owner) else {
            return;
        };
        for _ in 0..RELEASE_ATTEMPTS {
            let confirmed: Result<bool, _> = call(
                &node,
                owner,
                "permit_return",
                &permit_return,
                RELEASE_TIMEOUT_MS,
            )
            .await;
            if confirmed.is_ok() {
                return;
            }
        }
        // If the release is lost, the slot stays occupied until the permit expires.
        log::debug!(
            "failed to release a permit of service {}: its slot stays occupied until the permit expires",
            permit_return.service
        );
    });
}

fn outcome_json(outcome: AttemptOutcome) -> AttemptOutcomeJson {
    match outcome {
        AttemptOutcome::Completed => AttemptOutcomeJson::Whole,
        AttemptOutcome::Failed => AttemptOutcomeJson::Failed,
        AttemptOutcome::Overdue => AttemptOutcomeJson::Overdue,
        AttemptOutcome::Shed => AttemptOutcomeJson::Shed,
        AttemptOutcome::Unreachable => AttemptOutcomeJson::Unreachable,
        AttemptOutcome::Misdirected => AttemptOutcomeJson::Misdirected,
        AttemptOutcome::Inconclusive => AttemptOutcomeJson::Nothing,
    }
}
