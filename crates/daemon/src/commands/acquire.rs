//! Acquires slots from the pools' owners.
//!
//! Ownership needs no agreement: the owner is whoever is first in rendezvous order and answers; two owners
//! for a moment only give too many slots, and the backend server sheds.

use {
    crate::{
        commands::{local_choice, peer_calls::call, permit_acquire, permit_release},
        queries::candidate_owners,
        Node,
    },
    entry::{AcquireRequest, AttemptOutcome, Grant, Refusal, Release, SlotPolicy},
    member::{
        queries::{find_instance, pool_areas},
        Instance, View,
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
    types::ResultCode,
    wire::generated::{
        AttemptOutcomeJson, PermitRequest, PermitResponse, PermitReturn, PermitVerdict,
    },
};

/// Time within which an owner answers, its short wait for a slot included, in milliseconds; an owner with a tenth of
/// a core takes some milliseconds to answer, one that is slowed five times as many.
const OWNER_TIMEOUT_MS: u64 = 150;
/// Owners asked in turn before the choice is made locally.
const OWNERS_MAX: usize = 2;
/// Pools asked without waiting before the nearest is waited for.
const POOLS_MAX: usize = 3;
/// Time allowed for giving a permit back, in milliseconds.
const RETURN_TIMEOUT_MS: u64 = 500;
/// Times that a permit is given back if it is not confirmed; a connection that went silent costs the first.
const RETURN_TRIES: u32 = 2;

/// Makes the policy that the settings ask for.
pub(crate) fn slot_policy(node: &Arc<Node>) -> SlotPolicy {
    let (for_acquire, for_release) = (Arc::clone(node), Arc::clone(node));
    if !node.settings.uses_permits {
        return SlotPolicy {
            acquire: Box::new(move |ask| {
                let choice = local_choice::choose_server(&for_acquire, &ask);
                Box::pin(async move { choice })
            }),
            release: Box::new(move |release| local_choice::release(&for_release, &release)),
        };
    }
    SlotPolicy {
        acquire: Box::new(move |ask| {
            let node = Arc::clone(&for_acquire);
            Box::pin(async move { acquire(&node, ask).await })
        }),
        release: Box::new(move |release| give_back(&for_release, release)),
    }
}

async fn acquire(node: &Arc<Node>, ask: AcquireRequest) -> Result<Grant, Refusal> {
    let view = node.view.load_full();
    let own = [node.settings.data_centre.as_str(), node.settings.region()];
    let pools = pool_areas(&view, &ask.service, &own);
    let Some(nearest) = pools.first() else {
        return Err(Refusal::new(ResultCode::NoServer));
    };
    let avoided = local_choice::unreachable_servers(node, &ask.service);
    let ask = AcquireRequest {
        exclude: ask.exclude.iter().cloned().chain(avoided).collect(),
        ..ask
    };
    if pools.len() > 1 {
        for pool in pools.iter().take(POOLS_MAX) {
            let taken = ask_pool(node, &view, pool, &ask, false).await;
            if taken.is_ok() {
                return taken;
            }
        }
    }
    ask_pool(node, &view, nearest, &ask, true).await
}

/// Asks the pool's owner, then the next in order, then chooses locally.
async fn ask_pool(
    node: &Arc<Node>,
    view: &View,
    area: &str,
    ask: &AcquireRequest,
    may_queue: bool,
) -> Result<Grant, Refusal> {
    for owner in candidate_owners(node, view, &ask.service, area).take(OWNERS_MAX) {
        if let Some(result) = ask_owner(node, owner, area, ask, may_queue).await {
            return result;
        }
    }
    node.metrics
        .owner_fallbacks
        .with_label_values(&["no owner answered"])
        .inc();
    local_choice::choose_server(node, ask)
}

/// Asks one owner until it grants or refuses; returns nothing if it does not answer.
async fn ask_owner(
    node: &Arc<Node>,
    owner: &Instance,
    area: &str,
    ask: &AcquireRequest,
    may_queue: bool,
) -> Option<Result<Grant, Refusal>> {
    let mut message = message(node, area, ask, may_queue);
    let mut unheard = Unheard::new(node, owner, &message);
    loop {
        message.remaining_ms = left_ms(ask.deadline);
        let answer = if owner.name == node.settings.instance {
            permit_acquire::acquire_permit(node, &message).await
        } else {
            call(node, owner, "permit_take", &message, OWNER_TIMEOUT_MS)
                .await
                .ok()?
        };
        if answer.verdict != PermitVerdict::Queued {
            unheard.heard();
        }
        let retry_after_ms = Some(answer.retry_after_ms).filter(|&ms| ms > 0);
        let refused = |code| {
            Some(Err(Refusal {
                code,
                retry_after_ms,
            }))
        };
        match answer.verdict {
            PermitVerdict::Granted => return grant(owner, area, ask, answer).map(Ok),
            PermitVerdict::Queued => {
                message.ticket = Some(answer.ticket);
                sleep(Duration::from_millis(answer.ask_after_ms)).await;
            }
            PermitVerdict::Busy | PermitVerdict::Overloaded => {
                return refused(ResultCode::Overloaded);
            }
            PermitVerdict::NoServer => return refused(ResultCode::NoServer),
            PermitVerdict::NoBudget => return refused(ResultCode::RetryBudgetSpent),
        }
    }
}

/// An ask whose answer was not heard of. Dropped before it is, since the owner was silent or the caller left, it
/// gives back what the owner may have granted.
struct Unheard {
    node: Arc<Node>,
    owner: String,
    back: Option<PermitReturn>,
}

impl Unheard {
    fn new(node: &Arc<Node>, owner: &Instance, message: &PermitRequest) -> Self {
        Self {
            node: Arc::clone(node),
            owner: owner.name.clone(),
            back: Some(PermitReturn {
                service: message.service.clone(),
                area: message.area.clone(),
                ask: message.ask,
                permit: 0,
                server: String::new(),
                evidence: AttemptOutcomeJson::Nothing,
                first_byte_us: 0,
                whole_us: 0,
                draining: false,
            }),
        }
    }

    fn heard(&mut self) {
        self.back = None;
    }
}

impl Drop for Unheard {
    fn drop(&mut self) {
        if let Some(back) = self.back.take() {
            send_back(&self.node, &self.owner, back);
        }
    }
}

fn left_ms(until: Instant) -> u64 {
    until.saturating_duration_since(Instant::now()).as_millis() as u64
}

fn message(node: &Node, area: &str, ask: &AcquireRequest, may_queue: bool) -> PermitRequest {
    PermitRequest {
        ask: fastrand::u64(1..),
        service: ask.service.clone(),
        area: area.to_owned(),
        data_centre: node.settings.data_centre.clone(),
        entry: node.settings.instance.clone(),
        remaining_ms: left_ms(ask.deadline),
        priority: ask.priority,
        body_bytes: ask.body_bytes,
        sent: ask.previous_attempts,
        idempotent: ask.idempotent,
        may_queue,
        exclude: ask.exclude.clone(),
        ticket: None,
    }
}

fn grant(
    owner: &Instance,
    area: &str,
    ask: &AcquireRequest,
    answer: PermitResponse,
) -> Option<Grant> {
    Some(Grant {
        service: ask.service.clone(),
        area: area.to_owned(),
        owner: owner.name.clone(),
        permit_id: answer.permit,
        server: answer.server,
        address: answer.address.parse().ok()?,
        hedge_after_ms: answer.hedge_after_ms,
        reason: "permit",
    })
}

fn give_back(node: &Arc<Node>, release: Release) {
    if release.outcome == AttemptOutcome::Unreachable {
        local_choice::mark_unreachable(node, &release.grant.server);
    }
    if release.grant.owner.is_empty() {
        return local_choice::release(node, &release);
    }
    let back = PermitReturn {
        service: release.grant.service,
        area: release.grant.area,
        ask: 0,
        permit: release.grant.permit_id,
        server: release.grant.server,
        evidence: evidence(release.outcome),
        first_byte_us: release.first_byte_us,
        whole_us: release.response_us,
        draining: release.draining,
    };
    send_back(node, &release.grant.owner, back);
}

/// Gives a permit back to its owner without waiting for it.
fn send_back(node: &Arc<Node>, owner: &str, back: PermitReturn) {
    if owner == node.settings.instance {
        return permit_release::release_permit(node, &back);
    }
    let (node, owner) = (Arc::clone(node), owner.to_owned());
    tokio::spawn(async move {
        let view = node.view.load_full();
        let Some(owner) = find_instance(&view, &owner) else {
            return;
        };
        for _ in 0..RETURN_TRIES {
            let returned: Result<bool, _> =
                call(&node, owner, "permit_return", &back, RETURN_TIMEOUT_MS).await;
            if returned.is_ok() {
                return;
            }
        }
        // A return that is lost costs the slot until the permit expires.
        log::debug!("a permit of {} was not given back", back.service);
    });
}

fn evidence(evidence: AttemptOutcome) -> AttemptOutcomeJson {
    match evidence {
        AttemptOutcome::Completed => AttemptOutcomeJson::Whole,
        AttemptOutcome::Failed => AttemptOutcomeJson::Failed,
        AttemptOutcome::Overdue => AttemptOutcomeJson::Overdue,
        AttemptOutcome::Shed => AttemptOutcomeJson::Shed,
        AttemptOutcome::Unreachable => AttemptOutcomeJson::Unreachable,
        AttemptOutcome::Misdirected => AttemptOutcomeJson::Misdirected,
        AttemptOutcome::Inconclusive => AttemptOutcomeJson::Nothing,
    }
}
