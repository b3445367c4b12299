//! Grants, queues or refuses requests for a permit.

use {
    crate::{
        commands::admission::{
            arrival_of, backlog, class_of, evict_late_behind, fits_deadline, may_retry,
            place_in_queue, record_grant, refuse, retry_after_ms,
        },
        PoolState,
    },
    permit::{commands, queries, Lease, SelectError, SlotRequest, SpreadPolicy},
    shed::{
        queries::{is_rejecting, may_send},
        Backlog, QueueClass, RefusalKind,
    },
    std::sync::Arc,
    tokio::sync::Notify,
    types::{AccountKey, PermitId, Priority, ServerIndex},
};

/// Time for which a poll of a queued request stays open at the owner before the requester has to poll again, in
/// milliseconds.
pub const QUEUE_WAIT_MS: u64 = 40;
/// Longest delay after which a waiter far back in the queue polls again, in milliseconds.
const POLL_DELAY_MAX_MS: u64 = 400;
/// Time after the request's deadline at which its permit expires, in milliseconds; allows for a late release.
const PERMIT_MARGIN_MS: u64 = 500;
/// Idle time after which a good server is preferred for an idempotent request, in milliseconds.
const IDLE_IDEMPOTENT_MS: u64 = 800;
/// The same for any request, in milliseconds: a new server must receive requests within four seconds.
const IDLE_MS: u64 = 2_000;

/// A request for a permit. Times are those of the owner's clock.
#[derive(Clone, Copy, Debug)]
pub struct AcquireRequest<'a> {
    /// Id of the acquire request, drawn by the requester.
    pub acquire_id: u64,
    /// Ticket of its queue entry, if it has one.
    pub ticket: Option<u64>,
    /// Whether the request was sent to a server before.
    pub is_retry: bool,
    /// Credit for retries that the requester passes on, in thousandths of a retry.
    pub credit_milli: u64,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Deadline of the request, in milliseconds.
    pub deadline_ms: u64,
    /// Client account, if the request belongs to one.
    pub account: Option<&'a str>,
    /// Priority.
    pub priority: Priority,
    /// Data centre of the requester.
    pub data_centre: &'a str,
    /// Size of the request's body, in bytes.
    pub body_bytes: u64,
    /// Whether it may wait for a slot.
    pub may_queue: bool,
    /// Names of the servers that the request was sent to before.
    pub exclude: &'a [String],
}

/// Why no permit was granted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// Every server of the pool is ejected, leaving or excluded by the request.
    NoServer,
    /// No slot is free and the request may not wait.
    Busy,
    /// The request is not expected to complete before its deadline.
    Overloaded,
    /// The retry budget is spent.
    NoBudget,
}

/// Result of one call of [`acquire`].
#[derive(Clone, Debug)]
pub enum AcquireOutcome {
    /// A permit for a slot of the server is granted.
    Granted(PermitId, ServerIndex),
    /// No permit is granted, for this reason. The second value is the time after which the caller may try again, in
    /// milliseconds; 0 if not known.
    Refused(RefusalReason, u64),
    /// The request is queued under this ticket; wait for the notification, then call [`acquire`] again.
    Wait(u64, Arc<Notify>),
    /// The request is queued under this ticket; poll again after this many milliseconds.
    PollAgain(u64, u64),
}

/// Grants a permit to `request`, queues it or refuses it.
///
/// The first active waiter is served first. A new request is served at once only if no active waiter ranks before it.
pub fn acquire(state: &mut PoolState, request: &AcquireRequest<'_>, now_ms: u64) -> AcquireOutcome {
    let is_retry = request.is_retry;
    state.last_request_ms = now_ms;
    if request.credit_milli > 0 {
        commands::add_credit(&mut state.retry_budget, request.credit_milli, now_ms);
    }
    commands::refresh_limits(&mut state.pool, now_ms);
    let mut slot_request = slot_request(state, request, now_ms);
    let arrival = arrival_of(&slot_request);
    if let Some(outcome) = refuse_evicted(state, request.ticket, &slot_request, now_ms) {
        return outcome;
    }
    let ticket = request
        .ticket
        .filter(|&ticket| queries::is_queued(&state.pool, ticket));
    if is_retry {
        if let Err(retry_after_ms) = check_retry(state, &slot_request, request.ticket, now_ms) {
            leave_queue(state, ticket);
            refuse(state, arrival, RefusalKind::NoRetryCredit, now_ms);
            return AcquireOutcome::Refused(RefusalReason::NoBudget, retry_after_ms);
        }
    }
    match ticket {
        Some(ticket) => copy_class(state, &mut slot_request, ticket),
        None => classify(state, &mut slot_request, request, now_ms),
    }
    let place = place_in_queue(state, ticket, &slot_request, is_retry, now_ms);
    // While servers reject, what waits is held back and not for want of slots, so a retry doesn't wait behind it.
    let skips_queue = is_retry && is_rejecting(&state.admission, now_ms);
    let may_send = is_retry || may_send(&state.admission, now_ms);
    let is_turn = may_send && (place.active_ahead == 0 || skips_queue);
    if is_turn {
        match queries::select_server(
            &state.pool,
            &state.failure_rate,
            &slot_request,
            &SpreadPolicy::new(),
            now_ms,
        ) {
            Ok(selection) => {
                leave_queue(state, ticket);
                if is_retry {
                    commands::try_spend_credit(&mut state.retry_budget, now_ms);
                }
                let lease = Lease {
                    acquire_id: slot_request.acquire_id,
                    expires_ms: slot_request.deadline_ms + PERMIT_MARGIN_MS,
                    retryable: request.idempotent && !is_retry,
                };
                let id = commands::grant(&mut state.pool, selection, lease, now_ms);
                record_grant(state, id, arrival, is_retry, now_ms);
                if !request.may_queue {
                    record_arrival(state, &slot_request, is_retry, now_ms);
                }
                state.wake_first_waiter(now_ms);
                return AcquireOutcome::Granted(id, selection.server);
            }
            Err(SelectError::NoServer) => {
                leave_queue(state, ticket);
                state.wake_first_waiter(now_ms);
                return AcquireOutcome::Refused(RefusalReason::NoServer, 0);
            }
            Err(SelectError::Busy) => {}
        }
    }
    if !request.may_queue {
        return AcquireOutcome::Refused(RefusalReason::Busy, 0);
    }
    let backlog = backlog(state, &slot_request, place.ahead);
    if !fits_deadline(state, &slot_request, &backlog, now_ms) {
        leave_queue(state, ticket);
        let reason = if slot_request.is_above_share {
            RefusalKind::FairShare
        } else {
            RefusalKind::Deadline
        };
        refuse(state, arrival, reason, now_ms);
        let retry_after_ms = retry_after_ms(state, &slot_request, backlog, now_ms);
        return AcquireOutcome::Refused(RefusalReason::Overloaded, retry_after_ms);
    }
    queue_request(state, slot_request, ticket, &backlog, now_ms)
}

/// Refuses a request that was evicted from the queue since its last poll.
fn refuse_evicted(
    state: &mut PoolState,
    ticket: Option<u64>,
    slot_request: &SlotRequest,
    now_ms: u64,
) -> Option<AcquireOutcome> {
    state.evicted.remove(&ticket?)?;
    let backlog = backlog(state, slot_request, queries::queue_length(&state.pool));
    let retry_after_ms = retry_after_ms(state, slot_request, backlog, now_ms);
    Some(AcquireOutcome::Refused(
        RefusalReason::Overloaded,
        retry_after_ms,
    ))
}

/// Returns whether a retry may spend credit, or else its `Retry-After`, in milliseconds. Its first poll counts as demand for
/// credit.
fn check_retry(
    state: &mut PoolState,
    slot_request: &SlotRequest,
    ticket: Option<u64>,
    now_ms: u64,
) -> Result<(), u64> {
    if ticket.is_none() {
        let kind = arrival_of(slot_request).kind;
        shed::commands::record_retry(&mut state.admission, kind, now_ms);
    }
    may_retry(state, slot_request, now_ms)
}

/// Sets the class of a new request. It counts as an arrival if it may queue here; otherwise only once it is granted a slot,
/// since it goes on to another pool without one.
fn classify(
    state: &mut PoolState,
    slot_request: &mut SlotRequest,
    request: &AcquireRequest<'_>,
    now_ms: u64,
) {
    let class = class_of(state, slot_request, now_ms);
    slot_request.is_owed = class == QueueClass::Owed;
    slot_request.is_above_share = class == QueueClass::AboveShare;
    if request.may_queue {
        record_arrival(state, slot_request, request.is_retry, now_ms);
    }
}

/// Records the arrival of a first try with its class.
fn record_arrival(state: &mut PoolState, slot_request: &SlotRequest, is_retry: bool, now_ms: u64) {
    let class = if slot_request.is_above_share {
        QueueClass::AboveShare
    } else {
        QueueClass::Usual
    };
    if !is_retry {
        let arrival = arrival_of(slot_request);
        shed::commands::record_arrival(&mut state.admission, arrival, class, now_ms);
    }
}

/// Copies the class of the waiter with this ticket.
fn copy_class(state: &PoolState, slot_request: &mut SlotRequest, ticket: u64) {
    let mut waiters = queries::waiters(&state.pool);
    if let Some(waiter) = waiters.find(|waiter| waiter.ticket == ticket) {
        slot_request.is_owed = waiter.request.is_owed;
        slot_request.is_above_share = waiter.request.is_above_share;
    }
}

fn slot_request(state: &PoolState, request: &AcquireRequest<'_>, now_ms: u64) -> SlotRequest {
    let idle_ms = if request.idempotent {
        IDLE_IDEMPOTENT_MS
    } else {
        IDLE_MS
    };
    SlotRequest {
        idempotent: request.idempotent,
        is_retry: request.is_retry,
        deadline_ms: request.deadline_ms,
        priority: request.priority,
        data_centre: request.data_centre.to_owned(),
        body_bytes: request.body_bytes,
        acquire_id: request.acquire_id,
        // Suspects are avoided if the requester can try other pools or if the wait for a good server is short.
        avoid_suspects: !request.may_queue
            || queries::good_servers_suffice(&state.pool, queries::queue_length(&state.pool)),
        idle_before_ms: now_ms.saturating_sub(idle_ms),
        account: request.account.map(AccountKey::new),
        is_above_share: false,
        is_owed: false,
        exclude: server_indices(state, request.exclude),
    }
}

fn server_indices(state: &PoolState, names: &[String]) -> Vec<ServerIndex> {
    names
        .iter()
        .filter_map(|name| state.pool.names.find(name))
        .collect()
}

/// Queues the request or refreshes its queue entry. A waiter near the front waits for a notification; one further back
/// polls again after half of its expected wait, so that a long queue causes few messages.
fn queue_request(
    state: &mut PoolState,
    slot_request: SlotRequest,
    ticket: Option<u64>,
    backlog: &Backlog,
    now_ms: u64,
) -> AcquireOutcome {
    let half_wait_ms = (backlog.wait_us() / 2_000.0) as u64;
    let poll_after_ms = half_wait_ms.min(POLL_DELAY_MAX_MS);
    let is_near = poll_after_ms < QUEUE_WAIT_MS;
    let next_poll_ms = now_ms
        + if is_near {
            QUEUE_WAIT_MS
        } else {
            poll_after_ms
        };
    let active_until_ms = if is_near { next_poll_ms } else { now_ms };
    let existing = ticket.filter(|ticket| {
        commands::refresh_waiter(&mut state.pool, *ticket, active_until_ms, next_poll_ms)
    });
    let ticket = existing.unwrap_or_else(|| {
        let ahead = backlog.ahead;
        let ticket = commands::enqueue_at(&mut state.pool, slot_request, ahead, now_ms);
        commands::refresh_waiter(&mut state.pool, ticket, active_until_ms, next_poll_ms);
        evict_late_behind(state, ahead, now_ms);
        ticket
    });
    if !is_near {
        return AcquireOutcome::PollAgain(ticket, poll_after_ms);
    }
    let notify = state.waiters.entry(ticket).or_default();
    AcquireOutcome::Wait(ticket, Arc::clone(notify))
}

fn leave_queue(state: &mut PoolState, ticket: Option<u64>) {
    if let Some(ticket) = ticket {
        commands::remove_waiter(&mut state.pool, ticket);
        state.waiters.remove(&ticket);
    }
}
