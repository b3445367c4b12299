//! Grants, queues or refuses requests for a permit.

use {
    crate::PoolState,
    permit::{commands, queries, Lease, SelectError, SlotRequest, SpreadPolicy},
    std::sync::Arc,
    tokio::sync::Notify,
    types::{PermitId, Priority, ServerIndex},
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
    /// No permit is granted, for this reason. The second value is the time after which the caller may try again, or for which
    /// it would wait if it queued, in milliseconds; 0 if not known.
    Refused(RefusalReason, u64),
    /// The request is queued under this ticket; wait for the notification, then call [`acquire`] again.
    Wait(u64, Arc<Notify>),
    /// The request is queued under this ticket; poll again after this many milliseconds.
    PollAgain(u64, u64),
}

/// Grants a permit to `request`, queues it or refuses it.
///
/// The first active waiter is served first. A new request is served at once only if no active waiter of the same or a
/// more urgent priority is queued.
pub fn acquire(state: &mut PoolState, request: &AcquireRequest<'_>, now_ms: u64) -> AcquireOutcome {
    let ticket = request.ticket;
    let is_retry = request.is_retry;
    state.last_request_ms = now_ms;
    if request.credit_milli > 0 {
        commands::add_credit(&mut state.retry_budget, request.credit_milli, now_ms);
    }
    commands::refresh_limits(&mut state.pool, now_ms);
    let slot_request = slot_request(state, request, now_ms);
    if is_retry && !queries::has_credit(&state.retry_budget, now_ms) {
        leave_queue(state, ticket);
        state.failure_rate.record(true, now_ms);
        return AcquireOutcome::Refused(RefusalReason::NoBudget, 0);
    }
    let ahead = queries::active_waiters_ahead(&state.pool, ticket, slot_request.priority, now_ms);
    if ahead == 0 {
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
        let wait_ms = queries::good_server_wait_ms(&state.pool, now_ms, slot_request.deadline_ms);
        return AcquireOutcome::Refused(RefusalReason::Busy, wait_ms);
    }
    let ahead = queries::waiters_ahead(&state.pool, ticket, slot_request.priority);
    if !queries::fits_deadline(&state.pool, ahead, now_ms, slot_request.deadline_ms) {
        leave_queue(state, ticket);
        state.failure_rate.record(true, now_ms);
        let drain_ms = (queries::expected_wait_us(&state.pool, ahead) / 1_000.0) as u64;
        // Jitter, so that requests refused at the same time don't all return at the same time.
        let retry_after_ms = drain_ms / 2 + fastrand::u64(0..=drain_ms.max(1));
        return AcquireOutcome::Refused(RefusalReason::Overloaded, retry_after_ms);
    }
    queue_request(state, slot_request, ticket, ahead, now_ms)
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
    ahead: usize,
    now_ms: u64,
) -> AcquireOutcome {
    let half_wait_ms = (queries::expected_wait_us(&state.pool, ahead) / 2_000.0) as u64;
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
        let ticket = commands::enqueue(&mut state.pool, slot_request, now_ms);
        commands::refresh_waiter(&mut state.pool, ticket, active_until_ms, next_poll_ms);
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
