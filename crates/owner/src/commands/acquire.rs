//! Answers an ask for a slot.

use {
    crate::PoolState,
    permit::{commands, queries, Lease, SelectError, SlotRequest, SpreadPolicy},
    std::sync::Arc,
    tokio::sync::Notify,
    types::{PermitId, ServerIndex},
};

/// Time for which an ask waits at the owner before it is told to ask again, in milliseconds.
pub const QUEUE_WAIT_MS: u64 = 40;
/// Longest time after which a waiter far behind is told to ask again, in milliseconds.
const ASK_AFTER_MAX_MS: u64 = 400;
/// Time past its deadline after which a permit is taken back, in milliseconds; covers a late return.
const PERMIT_MARGIN_MS: u64 = 500;
/// Part of the fleet's slack of retries that owners give, in percent.
const SLACK_GIVEN_PERCENT: u32 = 70;
/// Part of the fleet's slack that an owner gives while it does not know what was granted before, in percent; with what
/// owners and instances without one give it makes up the whole.
const DOUBTFUL_SLACK_PERCENT: u32 = 10;
/// Part of a service's share of retries that owners give, in percent.
const SHARE_GIVEN_PERCENT: u32 = 90;
/// Time without work after which a good server is given some by a request that may be repeated, in milliseconds.
const NEGLECT_SAFE_MS: u64 = 800;
/// The same for any request, in milliseconds: a new server is to have work within four seconds.
const NEGLECT_MS: u64 = 2_000;

/// An ask for a slot. Times are of the owner's clock.
#[derive(Clone, Copy, Debug)]
pub struct AcquireRequest<'a> {
    /// Number of the ask, drawn by the asker.
    pub acquire_id: u64,
    /// Number of its place in the queue, if it has one.
    pub ticket: Option<u64>,
    /// Whether the request was sent to a server before.
    pub is_retry: bool,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// When the request must be finished, in milliseconds.
    pub deadline_ms: u64,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Data centre of the asker.
    pub data_centre: &'a str,
    /// Size of the request's body, in bytes.
    pub body_bytes: u64,
    /// Whether it may wait for a slot.
    pub may_queue: bool,
    /// Servers that the request already tried.
    pub exclude: &'a [String],
}

/// Why an ask was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// No server of the pool may take the request.
    NoServer,
    /// No slot is free, and the ask may not wait.
    Busy,
    /// The request could not finish within its deadline.
    Overloaded,
    /// No retry is left.
    NoBudget,
}

/// How an ask goes on.
#[derive(Clone, Debug)]
pub enum AcquireOutcome {
    /// It has a slot of the server.
    Granted(PermitId, ServerIndex),
    /// It is refused; with the time after which its caller may try again, in milliseconds, 0 if not known.
    Refused(RefusalReason, u64),
    /// It waits here at that place in the queue until it is woken.
    Wait(u64, Arc<Notify>),
    /// It is to ask again with that ticket after so many milliseconds.
    PollAgain(u64, u64),
}

/// The retries that a pool may grant.
#[derive(Clone, Copy, Debug)]
pub struct RetryLimits {
    window_ms: u64,
    percent: u32,
    slack: u32,
    reduced_slack: u32,
}

impl RetryLimits {
    /// Creates the terms of one of `pools` pools, of the service's share in percent and the fleet's slack.
    ///
    /// The slack is divided among the service's pools. Of both only a part is given, since an owner's successor may know
    /// nothing of what it granted within the window.
    pub fn new(window_ms: u64, service_percent: u32, fleet_slack: u32, pools: u32) -> Self {
        Self {
            window_ms,
            percent: service_percent * SHARE_GIVEN_PERCENT / 100,
            slack: fleet_slack * SLACK_GIVEN_PERCENT / 100 / pools.max(1),
            reduced_slack: fleet_slack * DOUBTFUL_SLACK_PERCENT / 100 / pools.max(1),
        }
    }

    /// Sets the retries beyond the share to what may be granted whatever was granted before.
    pub fn with_reduced_slack(self) -> Self {
        Self {
            slack: self.reduced_slack,
            ..self
        }
    }
}

/// Gives `request` a slot, a place in the queue, or a refusal.
///
/// The first waiter that is here is served first; a newcomer only if none is, or if it is more urgent.
pub fn acquire(
    state: &mut PoolState,
    request: &AcquireRequest<'_>,
    terms: RetryLimits,
    now_ms: u64,
) -> AcquireOutcome {
    let ticket = request.ticket;
    let is_retry = request.is_retry;
    state.last_request_ms = now_ms;
    let terms = if now_ms < state.full_slack_from_ms {
        terms.with_reduced_slack()
    } else {
        terms
    };
    let slot_request = slot_request(state, request, now_ms);
    if is_retry && !queries::is_retry_allowed(&state.retry_budget, terms.percent, terms.slack) {
        // Looked at again with the counts of now.
        let RetryLimits { window_ms, .. } = terms;
        commands::evict_expired_buckets(&mut state.retry_budget, window_ms, now_ms);
        if !queries::is_retry_allowed(&state.retry_budget, terms.percent, terms.slack) {
            leave(state, ticket);
            state.failure_rate.record(true, now_ms);
            return AcquireOutcome::Refused(RefusalReason::NoBudget, 0);
        }
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
            Ok(choice) => {
                leave(state, ticket);
                note_grant(state, is_retry, terms, now_ms);
                let lease = Lease {
                    acquire_id: slot_request.acquire_id,
                    expires_ms: slot_request.deadline_ms + PERMIT_MARGIN_MS,
                    retryable: request.idempotent && !is_retry,
                };
                let id = commands::grant(&mut state.pool, choice, lease, now_ms);
                state.wake_first_waiter(now_ms);
                return AcquireOutcome::Granted(id, choice.server);
            }
            Err(SelectError::NoServer) => {
                leave(state, ticket);
                state.wake_first_waiter(now_ms);
                return AcquireOutcome::Refused(RefusalReason::NoServer, 0);
            }
            Err(SelectError::Busy) => {}
        }
    }
    if !request.may_queue {
        return AcquireOutcome::Refused(RefusalReason::Busy, 0);
    }
    let ahead = queries::waiters_ahead(&state.pool, ticket, slot_request.priority);
    if !queries::fits_deadline(&state.pool, ahead, now_ms, slot_request.deadline_ms) {
        leave(state, ticket);
        state.failure_rate.record(true, now_ms);
        let drain_ms = (queries::expected_wait_us(&state.pool, ahead) / 1_000.0) as u64;
        // Spread, so that those who were refused together do not come back together.
        let retry_after_ms = drain_ms / 2 + fastrand::u64(0..=drain_ms.max(1));
        return AcquireOutcome::Refused(RefusalReason::Overloaded, retry_after_ms);
    }
    wait(state, slot_request, ticket, ahead, now_ms)
}

fn slot_request(state: &PoolState, request: &AcquireRequest<'_>, now_ms: u64) -> SlotRequest {
    let neglect_ms = if request.idempotent {
        NEGLECT_SAFE_MS
    } else {
        NEGLECT_MS
    };
    SlotRequest {
        idempotent: request.idempotent,
        deadline_ms: request.deadline_ms,
        priority: request.priority,
        data_centre: request.data_centre.to_owned(),
        body_bytes: request.body_bytes,
        acquire_id: request.acquire_id,
        // With other pools to ask, or a short wait for a better server, a suspect is not taken.
        avoid_suspects: !request.may_queue
            || queries::good_servers_suffice(&state.pool, queries::queue_length(&state.pool)),
        idle_before_ms: now_ms.saturating_sub(neglect_ms),
        exclude: excluded(state, request.exclude),
    }
}

fn excluded(state: &PoolState, names: &[String]) -> Vec<ServerIndex> {
    names
        .iter()
        .filter_map(|name| state.pool.names.find(name))
        .collect()
}

fn note_grant(state: &mut PoolState, is_retry: bool, terms: RetryLimits, now_ms: u64) {
    if is_retry {
        commands::try_spend_retry(
            &mut state.retry_budget,
            terms.window_ms,
            terms.percent,
            terms.slack,
            now_ms,
        );
    } else {
        commands::record_request(&mut state.retry_budget, terms.window_ms, now_ms);
    }
}

/// Who is near the front waits here; who is far behind asks again after half of its expected wait, so that a
/// long queue costs few messages.
fn wait(
    state: &mut PoolState,
    slot_request: SlotRequest,
    ticket: Option<u64>,
    ahead: usize,
    now_ms: u64,
) -> AcquireOutcome {
    let half_ms = (queries::expected_wait_us(&state.pool, ahead) / 2_000.0) as u64;
    let after_ms = half_ms.min(ASK_AFTER_MAX_MS);
    let is_near = after_ms < QUEUE_WAIT_MS;
    let next_ask_ms = now_ms + if is_near { QUEUE_WAIT_MS } else { after_ms };
    let active_until_ms = if is_near { next_ask_ms } else { now_ms };
    let known = ticket.filter(|ticket| {
        commands::refresh_waiter(&mut state.pool, *ticket, active_until_ms, next_ask_ms)
    });
    let ticket = known.unwrap_or_else(|| {
        let ticket = commands::enqueue(&mut state.pool, slot_request, now_ms);
        commands::refresh_waiter(&mut state.pool, ticket, active_until_ms, next_ask_ms);
        ticket
    });
    if !is_near {
        return AcquireOutcome::PollAgain(ticket, after_ms);
    }
    let notify = state.waiters.entry(ticket).or_default();
    AcquireOutcome::Wait(ticket, Arc::clone(notify))
}

fn leave(state: &mut PoolState, ticket: Option<u64>) {
    if let Some(ticket) = ticket {
        commands::remove_waiter(&mut state.pool, ticket);
        state.waiters.remove(&ticket);
    }
}
