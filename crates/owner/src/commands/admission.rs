//! Applies the decisions of `shed` to a pool: the place of a request in the queue, evictions and refusals.

use {
    crate::{PoolState, Release},
    outlier::AttemptOutcome,
    permit::{commands, queries, SlotRequest, Waiter},
    shed::{
        queries::{
            expected_work_us, fits, may_retry as may_spend, owed_accounts, owed_kinds, paced_per_s,
            queue_class, rank, retry_after_ms as return_after_ms, retry_return_ms,
        },
        Arrival, Backlog, Candidate, Kind, QueueClass, Rank, RefusalKind, Report, RetryTerms,
        ReturnTerms,
    },
    std::collections::HashMap,
    types::{AccountKey, PermitId},
};

/// Time for which an evicted waiter is remembered, in milliseconds: longer than the longest time between two polls.
const EVICTED_MS: u64 = 1_000;

/// Multiple of the expected wait with which a waiter must still fit its deadline for one of its own priority to go before it.
/// Without a margin, waiters would be displaced until they are too late by chance, and refused after a long wait.
const DISPLACED_WAITS: f64 = 1.5;

/// Place of a request in the queue.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Place {
    /// Waiters in front of it.
    pub(crate) ahead: usize,
    /// Those of them that a slot can be granted to at once.
    pub(crate) active_ahead: usize,
}

/// Returns the kind and the account of a request.
pub(crate) fn arrival_of(request: &SlotRequest) -> Arrival {
    Arrival {
        kind: Kind {
            priority: request.priority.route,
            idempotent: request.idempotent,
        },
        account: request.account,
    }
}

/// Returns the class with which a new request is queued: served first if its kind or account is owed more requests than wait
/// already.
pub(crate) fn class_of(state: &PoolState, request: &SlotRequest, now_ms: u64) -> QueueClass {
    let arrival = arrival_of(request);
    if queries::queue_length(&state.pool) > 0 {
        let mut owed = Owed::new(state, now_ms);
        for waiter in queries::waiters(&state.pool).filter(|waiter| waiter.request.is_owed) {
            owed.take(arrival_of(&waiter.request));
        }
        if owed.take(arrival) {
            return QueueClass::Owed;
        }
    }
    let mut waiters = queries::waiters(&state.pool);
    let waits_above_share = |waiter: &Waiter| {
        waiter.request.is_above_share && waiter.request.account == request.account
    };
    if waiters.any(waits_above_share) {
        return QueueClass::AboveShare;
    }
    queue_class(&state.admission, arrival, now_ms)
}

/// Returns the place of the waiter with `ticket`, or the one that a new request would get. A retry waits behind all of its class
/// and priority.
pub(crate) fn place_in_queue(
    state: &PoolState,
    ticket: Option<u64>,
    request: &SlotRequest,
    is_retry: bool,
    now_ms: u64,
) -> Place {
    let mut waiters = queries::waiters(&state.pool);
    let ahead = match ticket {
        Some(ticket) => waiters.position(|waiter| waiter.ticket == ticket),
        // The first slots to become free are those of servers that fail at once. A retry, whose deadline is near, would go
        // to one of these again.
        None if is_retry => {
            let rank = rank_of(state, request, now_ms);
            Some(end_of_group(state, &rank, now_ms))
        }
        None => Some(new_place(state, request, now_ms)),
    };
    let ahead = ahead.unwrap_or_else(|| queries::queue_length(&state.pool));
    let active = queries::waiters(&state.pool)
        .take(ahead)
        .filter(|waiter| now_ms < waiter.active_until_ms);
    Place {
        ahead,
        active_ahead: active.count(),
    }
}

/// Returns the number of waiters in front of a new request. It goes before those of its class and priority with a later
/// deadline unless that makes one of them too late; then it goes behind all of these.
fn new_place(state: &PoolState, request: &SlotRequest, now_ms: u64) -> usize {
    let own = rank_of(state, request, now_ms);
    let own_us = work_us(state, request);
    let slots = usable_slots(state);
    let (mut place, mut ahead_us) = (None, 0.0);
    for (index, waiter) in queries::waiters(&state.pool).enumerate() {
        let rank = rank_of(state, &waiter.request, now_ms);
        if own.group() < rank.group() {
            return place.unwrap_or(index);
        }
        let waiter_us = work_us(state, &waiter.request);
        ahead_us += waiter_us;
        if place.is_none() && own < rank {
            place = Some(index);
        }
        let backlog = Backlog {
            ahead: index + 1,
            work_us: (ahead_us + own_us) * DISPLACED_WAITS,
            slots,
        };
        if place.is_some() && !fits_deadline(state, &waiter.request, &backlog, now_ms) {
            return end_of_group(state, &own, now_ms);
        }
    }
    place.unwrap_or_else(|| queries::queue_length(&state.pool))
}

/// Returns the number of waiters up to the last one of the class and priority of `rank`.
fn end_of_group(state: &PoolState, rank: &Rank, now_ms: u64) -> usize {
    let is_after = |waiter: &Waiter| rank.group() < rank_of(state, &waiter.request, now_ms).group();
    let position = queries::waiters(&state.pool).position(is_after);
    position.unwrap_or_else(|| queries::queue_length(&state.pool))
}

/// Returns the work in front of a request with `ahead` waiters in front.
pub(crate) fn backlog(state: &PoolState, request: &SlotRequest, ahead: usize) -> Backlog {
    let waiters = queries::waiters(&state.pool).take(ahead);
    let ahead_us: f64 = waiters.map(|waiter| work_us(state, &waiter.request)).sum();
    Backlog {
        ahead,
        work_us: ahead_us + work_us(state, request),
        slots: usable_slots(state),
    }
}

/// Returns the slots that the pool can keep in use with the first tries that it sends.
fn usable_slots(state: &PoolState) -> f64 {
    let slots = queries::sustained_slots_total(&state.pool);
    let mean_s = queries::mean_service_us(&state.pool) / 1_000_000.0;
    match paced_per_s(&state.admission) {
        Some(per_s) if mean_s > 0.0 => slots.min(per_s * mean_s),
        _ => slots,
    }
}

/// Returns whether a request behind `backlog` is expected to complete before its deadline.
pub(crate) fn fits_deadline(
    state: &PoolState,
    request: &SlotRequest,
    backlog: &Backlog,
    now_ms: u64,
) -> bool {
    fits(
        backlog,
        work_us(state, request),
        now_ms,
        request.deadline_ms,
    )
}

/// Returns the `Retry-After` of a request that can't be served in time behind `backlog`, in milliseconds.
pub(crate) fn retry_after_ms(
    state: &PoolState,
    request: &SlotRequest,
    backlog: Backlog,
    now_ms: u64,
) -> u64 {
    let terms = ReturnTerms {
        backlog,
        own_us: work_us(state, request),
        left_ms: request.deadline_ms.saturating_sub(now_ms),
        jitter: fastrand::f64(),
    };
    return_after_ms(&state.admission, &terms, now_ms)
}

/// Returns whether a retry may spend credit, or else the `Retry-After` of its refusal, in milliseconds.
pub(crate) fn may_retry(state: &PoolState, request: &SlotRequest, now_ms: u64) -> Result<(), u64> {
    let left_ms = request.deadline_ms.saturating_sub(now_ms);
    let terms = RetryTerms {
        kind: arrival_of(request).kind,
        credit_milli: queries::valid_credit_milli(&state.retry_budget, now_ms),
        own_us: work_us(state, request),
        left_ms,
    };
    if may_spend(&state.admission, &terms, now_ms) {
        Ok(())
    } else {
        let jitter = fastrand::f64();
        Err(retry_return_ms(&state.admission, left_ms, jitter, now_ms))
    }
}

/// Records the grant of a permit.
pub(crate) fn record_grant(
    state: &mut PoolState,
    id: PermitId,
    arrival: Arrival,
    is_retry: bool,
    now_ms: u64,
) {
    shed::commands::record_drained(&mut state.admission, now_ms);
    shed::commands::record_sent(&mut state.admission, arrival, is_retry, now_ms);
    state.permit_arrivals.insert(id, arrival);
}

/// Records a refusal. Refused requests count as failed for the pool's failure rate.
pub(crate) fn refuse(state: &mut PoolState, arrival: Arrival, reason: RefusalKind, now_ms: u64) {
    shed::commands::record_refusal(&mut state.admission, arrival, reason, now_ms);
    state.failure_rate.record(true, now_ms);
}

/// Records the outcome of an attempt for the kind of its request. To be called before its permit is released.
pub(crate) fn record_outcome_of_kind(
    state: &mut PoolState,
    id: PermitId,
    release: &Release<'_>,
    now_ms: u64,
) {
    let Some(arrival) = state.permit_arrivals.remove(&id) else {
        return;
    };
    shed::commands::record_ended(&mut state.admission, arrival, now_ms);
    match (release.outcome, release.response_us) {
        (AttemptOutcome::Completed { .. } | AttemptOutcome::CompletedLate { .. }, Some(us)) => {
            let mean_us = queries::mean_service_us(&state.pool);
            shed::commands::record_served(&mut state.admission, arrival, us, mean_us, now_ms);
        }
        (AttemptOutcome::Shed, _) => {
            shed::commands::record_rejection(&mut state.admission, now_ms);
        }
        _ => {}
    }
}

/// Evicts the waiters that `position` and what waits in front of it have made too late, from the end of the queue.
pub(crate) fn evict_late_behind(state: &mut PoolState, position: usize, now_ms: u64) {
    while queries::queue_length(&state.pool) > position + 1 {
        let last = queries::waiters(&state.pool).next_back();
        let Some((ticket, request)) = last.map(|last| (last.ticket, last.request.clone())) else {
            return;
        };
        let ahead = queries::queue_length(&state.pool) - 1;
        let backlog = backlog(state, &request, ahead);
        if fits_deadline(state, &request, &backlog, now_ms) {
            return;
        }
        evict(state, ticket, arrival_of(&request), now_ms);
    }
}

/// Evicts the waiters that would be too late even if they were served next.
fn evict_too_late(state: &mut PoolState, now_ms: u64) {
    let slots = usable_slots(state);
    let waiters = queries::waiters(&state.pool);
    let too_late = waiters.filter(|waiter| {
        let backlog = Backlog {
            ahead: 0,
            work_us: work_us(state, &waiter.request),
            slots,
        };
        !fits_deadline(state, &waiter.request, &backlog, now_ms)
    });
    let too_late: Vec<(u64, Arrival)> = too_late
        .map(|waiter| (waiter.ticket, arrival_of(&waiter.request)))
        .collect();
    for (ticket, arrival) in too_late {
        evict(state, ticket, arrival, now_ms);
    }
}

/// Removes a waiter from the queue. Its open poll is woken and refused, or else its next one is refused.
fn evict(state: &mut PoolState, ticket: u64, arrival: Arrival, now_ms: u64) {
    commands::remove_waiter(&mut state.pool, ticket);
    state.evicted.insert(ticket, now_ms);
    shed::commands::record_drained(&mut state.admission, now_ms);
    refuse(state, arrival, RefusalKind::Evicted, now_ms);
    if let Some(waiter) = state.waiters.remove(&ticket) {
        waiter.notify_one();
    }
}

/// Orders the queue again, since the ranks of waiters change with time and with what was served, and evicts those that are
/// too late. Forgets evicted waiters that don't poll again, and the requests of expired permits.
pub(crate) fn reorder_queue(state: &mut PoolState, now_ms: u64) {
    state
        .evicted
        .retain(|_, evicted_ms| now_ms < *evicted_ms + EVICTED_MS);
    if state.permit_arrivals.len() > queries::outstanding_permits(&state.pool) {
        forget_expired_permits(state, now_ms);
    }
    shed::commands::advance_pace(&mut state.admission, now_ms);
    if queries::queue_length(&state.pool) == 0 {
        return;
    }
    evict_too_late(state, now_ms);
    let mut owed = Owed::new(state, now_ms);
    let admission = &mut state.admission;
    commands::update_waiters(&mut state.pool, |request| {
        let arrival = arrival_of(request);
        request.is_owed = owed.take(arrival);
        // The account has room within its share again, which its oldest waiters get before what arrives.
        if request.is_above_share
            && queue_class(admission, arrival, now_ms) != QueueClass::AboveShare
        {
            request.is_above_share = false;
            shed::commands::record_within_share(admission, arrival, now_ms);
        }
    });
    commands::sort_queue(&mut state.pool, |waiter| {
        let candidate = candidate(&waiter.request);
        (candidate.class, candidate.priority)
    });
}

fn forget_expired_permits(state: &mut PoolState, now_ms: u64) {
    let (pool, admission) = (&state.pool, &mut state.admission);
    state.permit_arrivals.retain(|id, arrival| {
        let is_outstanding = queries::is_outstanding(pool, *id);
        if !is_outstanding {
            shed::commands::record_ended(admission, *arrival, now_ms);
        }
        is_outstanding
    });
}

/// Returns what was refused since the last call, and whether the pool began or ended to refuse.
pub fn take_admission_report(state: &mut PoolState, now_ms: u64) -> Option<Report> {
    shed::commands::take_report(&mut state.admission, now_ms)
}

/// Requests that are owed to kinds and to accounts.
struct Owed {
    kinds: Vec<(Kind, usize)>,
    accounts: HashMap<AccountKey, usize>,
}

impl Owed {
    fn new(state: &PoolState, now_ms: u64) -> Self {
        Self {
            kinds: owed_kinds(&state.admission, now_ms),
            accounts: owed_accounts(&state.admission, now_ms)
                .into_iter()
                .collect(),
        }
    }

    /// Takes one request off what is owed to the kind and to the account; returns whether either was owed one.
    fn take(&mut self, arrival: Arrival) -> bool {
        let mut kinds = self.kinds.iter_mut();
        let kind = kinds.find(|(kind, _)| *kind == arrival.kind);
        let of_kind = kind.is_some_and(|(_, count)| take_one(count));
        let account = arrival.account;
        let account = account.and_then(|account| self.accounts.get_mut(&account));
        let of_account = account.is_some_and(take_one);
        of_kind || of_account
    }
}

fn take_one(count: &mut usize) -> bool {
    let had_one = *count > 0;
    *count = count.saturating_sub(1);
    had_one
}

fn candidate(request: &SlotRequest) -> Candidate {
    let class = match (request.is_owed, request.is_above_share) {
        (true, _) => QueueClass::Owed,
        (false, true) => QueueClass::AboveShare,
        (false, false) => QueueClass::Usual,
    };
    let arrival = arrival_of(request);
    Candidate {
        kind: arrival.kind,
        account: arrival.account,
        priority: request.priority,
        class,
        deadline_ms: request.deadline_ms,
    }
}

fn rank_of(state: &PoolState, request: &SlotRequest, now_ms: u64) -> Rank {
    let mean_us = queries::mean_service_us(&state.pool);
    rank(&state.admission, &candidate(request), mean_us, now_ms)
}

fn work_us(state: &PoolState, request: &SlotRequest) -> f64 {
    let mean_us = queries::mean_service_us(&state.pool);
    expected_work_us(&state.admission, arrival_of(request).kind, mean_us)
}
