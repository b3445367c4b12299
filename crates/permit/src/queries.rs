//! Queries: functions that read a pool or a retry budget and change nothing.

use {
    crate::{
        budget::{Bucket, BUCKET_MS, SPEND_MILLI},
        CreditBudget, FailureRate, Pool, SelectError, Selection, Server, SlotRequest, SpreadPolicy,
        Standing, Waiter,
    },
    types::{EntityMap, PermitId, Priority, ServerIndex},
};

/// Least rate with which the time of a round is computed, in requests per second, so that it stays finite.
const REQUEST_RATE_MIN: f64 = 0.001;

/// Time reserved for running a request, as a multiple of the mean service time; three of four requests need less. A
/// request that is abandoned at its deadline has taken a slot from one that would have met its own.
const RUN_SERVICE_TIMES: f64 = 1.4;

/// Longest expected wait for a good server before a suspect is used, as a multiple of the mean service time.
const GOOD_WAIT_SERVICE_TIMES: f64 = 0.5;

/// Least number of slots with which a wait is estimated, so that the estimate stays finite.
const SUSTAINED_SLOTS_MIN: f64 = 0.01;

/// Selects a server: an idle one while too few servers are used, otherwise the best-ranked one. Without the former a partly
/// failing service would concentrate its work on a few servers.
///
/// # Errors
///
/// As for [`select_best`].
pub fn select_server(
    pool: &Pool,
    failure_rate: &FailureRate,
    request: &SlotRequest,
    spread: &SpreadPolicy,
    now_ms: u64,
) -> Result<Selection, SelectError> {
    let target_percent = if failure_rate.failed_percent() >= spread.min_failed_percent {
        spread.failing_target_percent
    } else {
        spread.target_percent
    };
    let spread = SpreadPolicy {
        used_window_ms: used_window_ms(pool, failure_rate, spread, now_ms),
        ..*spread
    };
    match select_idle(pool, request, &spread, target_percent, now_ms) {
        Some(selection) => Ok(selection),
        None => select_best(pool, request),
    }
}

/// Returns the time after a request for which a server counts as used, in milliseconds. The fewer requests there are, the
/// shorter it is, so that there is time for the reserved rounds until the end of the period.
fn used_window_ms(
    pool: &Pool,
    failure_rate: &FailureRate,
    spread: &SpreadPolicy,
    now_ms: u64,
) -> u64 {
    let usable = pool.servers.iter().filter(|(_, server)| is_usable(server));
    let requests_per_s = failure_rate.requests_per_s(now_ms).max(REQUEST_RATE_MIN);
    let round_ms = usable.count() as f64 * 1_000.0 / requests_per_s;
    let reserved_ms = (spread.rounds_reserved * round_ms) as u64;
    spread
        .used_window_ms
        .min(spread.period_ms.saturating_sub(reserved_ms))
}

/// Selects the best-ranked server with a free slot: a due trial first, then by standing, idleness, expected cost and
/// the fewest grants so far. A request that avoids suspects uses one only as a due trial.
///
/// # Errors
///
/// [`SelectError::Busy`] if a server may run the request once it has a free slot, [`SelectError::NoServer`] if none
/// may.
pub fn select_best(pool: &Pool, request: &SlotRequest) -> Result<Selection, SelectError> {
    let mut has_candidate = false;
    let mut best: Option<(ServerIndex, &Server)> = None;
    for (index, server) in pool.servers.iter() {
        if !is_usable(server) || request.exclude.contains(&index) {
            continue;
        }
        has_candidate = true;
        let is_avoided = request.avoid_suspects && server.standing == Standing::Suspect;
        if !has_free_slot(server) || (is_avoided && !is_trial(server, request)) {
            continue;
        }
        if best.is_none_or(|(_, other)| sort_key(server, request) < sort_key(other, request)) {
            best = Some((index, server));
        }
    }
    match best {
        Some((server, chosen)) => Ok(Selection {
            server,
            is_trial: is_trial(chosen, request),
        }),
        None if has_candidate => Err(SelectError::Busy),
        None => Err(SelectError::NoServer),
    }
}

/// Selects the server whose last request was longest ago among those with a free slot that got none within the time that
/// `spread` allows, so that few requests reach as many servers as they can and none is left out for long. Returns `None` if
/// there is no such server or if `target_percent` of the servers got a request. Servers that failed recently count neither
/// way.
pub fn select_idle(
    pool: &Pool,
    request: &SlotRequest,
    spread: &SpreadPolicy,
    target_percent: u32,
    now_ms: u64,
) -> Option<Selection> {
    let used_since_ms = now_ms.saturating_sub(spread.used_window_ms);
    let failed_since_ms = now_ms.saturating_sub(spread.failed_window_ms);
    let has_failed = |server: &Server| {
        let last_failed_ms = server.last_failed_ms;
        last_failed_ms.is_some_and(|at_ms| at_ms >= failed_since_ms)
    };
    let is_used = |server: &Server| server.last_granted_ms >= used_since_ms;
    let servers = pool.servers.iter();
    let sound: Vec<(ServerIndex, &Server)> = servers
        .filter(|(_, server)| is_usable(server) && !has_failed(server))
        .collect();
    let target_count = (sound.len() * target_percent as usize).div_ceil(100);
    let used_count = sound.iter().filter(|(_, server)| is_used(server)).count();
    if used_count >= target_count {
        return None;
    }
    let candidates = sound.into_iter().filter(|(index, server)| {
        !is_used(server) && has_free_slot(server) && !request.exclude.contains(index)
    });
    let rank = |server: &Server| (server.last_granted_ms, server.cost_permille);
    let (server, chosen) = candidates.min_by_key(|(_, server)| rank(server))?;
    Some(Selection {
        server,
        is_trial: chosen.trial_due,
    })
}

/// Returns whether a request with `ahead` waiters in front is expected to complete before `deadline_ms`.
pub fn fits_deadline(pool: &Pool, ahead: usize, now_ms: u64, deadline_ms: u64) -> bool {
    let finish_us = expected_wait_us(pool, ahead) + pool.mean_service_us * RUN_SERVICE_TIMES;
    now_ms as f64 + finish_us / 1_000.0 < deadline_ms as f64
}

/// Returns the expected wait behind `ahead` waiters, in microseconds, estimated from the mean service time, the usable slots
/// and the servers' limits.
pub fn expected_wait_us(pool: &Pool, ahead: usize) -> f64 {
    (ahead as f64 + 1.0) * pool.mean_service_us / sustained_slots_total(pool)
}

/// Returns the number of slots that the pool can keep in use, at least a small one. Slots of suspect servers count only if
/// there is no good server.
pub fn sustained_slots_total(pool: &Pool) -> f64 {
    let slots_of = |accepts: &dyn Fn(Standing) -> bool| -> f64 {
        let usable = pool.servers.iter().filter(|(_, server)| is_usable(server));
        usable
            .filter(|(_, server)| accepts(server.standing))
            .map(|(_, server)| sustained_slots(server, pool.mean_service_us))
            .sum()
    };
    let good_slots = slots_of(&|standing| standing == Standing::Good);
    let slots = if good_slots > 0.0 {
        good_slots
    } else {
        slots_of(&|_| true)
    };
    slots.max(SUSTAINED_SLOTS_MIN)
}

/// Returns the number of queued requests.
pub fn queue_length(pool: &Pool) -> usize {
    pool.queue.len()
}

/// Returns whether the good servers alone would soon get through `waiting` requests and one more, so that waiting for
/// them is worthwhile. Otherwise the first request, by waiting for a good server, would hold up the whole queue.
pub fn good_servers_suffice(pool: &Pool, waiting: usize) -> bool {
    has_good_server(pool)
        && expected_wait_us(pool, waiting) <= pool.mean_service_us * GOOD_WAIT_SERVICE_TIMES
}

/// Returns the credit that is valid at `now_ms`, in thousandths of a retry or a request.
pub fn valid_credit_milli(budget: &CreditBudget, now_ms: u64) -> u64 {
    let buckets = budget.buckets.iter();
    let valid = buckets.filter(|bucket| is_credit_valid(bucket, budget.valid_ms, now_ms));
    valid.map(|bucket| bucket.credit_milli).sum()
}

/// Returns whether all credit of the bucket is valid at `now_ms`.
pub(crate) fn is_credit_valid(bucket: &Bucket, valid_ms: u64, now_ms: u64) -> bool {
    bucket.index * BUCKET_MS + valid_ms >= now_ms
}

/// Returns the mean service time, in microseconds; 0 before the first complete response.
pub fn mean_service_us(pool: &Pool) -> f64 {
    pool.mean_service_us
}

/// Returns whether the budget has the credit of one more retry or request.
pub fn has_credit(budget: &CreditBudget, now_ms: u64) -> bool {
    valid_credit_milli(budget, now_ms) >= SPEND_MILLI
}

/// Returns the ticket of the first active waiter, to which a slot can be granted at once.
pub fn first_active_waiter(pool: &Pool, now_ms: u64) -> Option<u64> {
    pool.queue
        .iter()
        .find(|waiter| now_ms < waiter.active_until_ms)
        .map(|waiter| waiter.ticket)
}

/// Counts the waiters in front of `ticket`; without a ticket, those that a new request of `priority` would queue
/// behind.
pub fn waiters_ahead(pool: &Pool, ticket: Option<u64>, priority: Priority) -> usize {
    let is_ahead = |waiter: &&Waiter| match ticket {
        Some(ticket) => waiter.ticket != ticket,
        None => waiter.request.priority <= priority,
    };
    pool.queue.iter().take_while(is_ahead).count()
}

/// Counts the active waiters among those that [`waiters_ahead`] counts.
pub fn active_waiters_ahead(
    pool: &Pool,
    ticket: Option<u64>,
    priority: Priority,
    now_ms: u64,
) -> usize {
    let ahead = waiters_ahead(pool, ticket, priority);
    let waiters = pool.queue.iter().take(ahead);
    waiters
        .filter(|waiter| now_ms < waiter.active_until_ms)
        .count()
}

/// Returns whether any good server may receive requests.
fn has_good_server(pool: &Pool) -> bool {
    let mut servers = pool.servers.iter();
    servers.any(|(_, server)| is_usable(server) && server.standing == Standing::Good)
}

/// Iterates over the waiters in queue order.
pub fn waiters(pool: &Pool) -> impl DoubleEndedIterator<Item = &Waiter> + '_ {
    pool.queue.iter()
}

/// Returns whether the waiter with this ticket is in the queue.
pub fn is_queued(pool: &Pool, ticket: u64) -> bool {
    pool.queue.iter().any(|waiter| waiter.ticket == ticket)
}

/// Returns whether the permit is outstanding.
pub fn is_outstanding(pool: &Pool, id: PermitId) -> bool {
    pool.permits.contains_key(&id)
}

/// Iterates over the tickets in queue order.
pub fn queued_tickets(pool: &Pool) -> impl Iterator<Item = u64> + '_ {
    pool.queue.iter().map(|waiter| waiter.ticket)
}

/// Returns the ages of each server's outstanding permits that are not marked overdue, in milliseconds.
pub fn in_flight_ages_ms(pool: &Pool, now_ms: u64) -> EntityMap<ServerIndex, Vec<u64>> {
    let mut ages_ms = EntityMap::new();
    for _ in pool.servers.iter() {
        ages_ms.push(Vec::new());
    }
    for permit in pool.permits.values().filter(|permit| !permit.overdue) {
        let ages_ms: Option<&mut Vec<u64>> = ages_ms.get_mut(permit.server);
        if let Some(ages_ms) = ages_ms {
            ages_ms.push(now_ms.saturating_sub(permit.granted_ms));
        }
    }
    ages_ms
}

/// Returns the number of outstanding permits.
pub fn outstanding_permits(pool: &Pool) -> usize {
    pool.permits.len()
}

/// Returns whether the server may receive requests, apart from its free slots.
fn is_usable(server: &Server) -> bool {
    !server.leaving && server.standing != Standing::Ejected
}

/// Returns whether the server may be sent one more request now.
fn has_free_slot(server: &Server) -> bool {
    server.held < server.usable_slots && !server.is_at_limit
}

/// Returns the number of slots that the server can keep in use: with a limit those that requests at that rate occupy.
fn sustained_slots(server: &Server, mean_service_us: f64) -> f64 {
    let slots = f64::from(server.usable_slots);
    match &server.rate_limit {
        Some(limit) if mean_service_us > 0.0 => {
            slots.min(limit.limit_milli as f64 / 1_000.0 * mean_service_us / 1_000_000.0)
        }
        _ => slots,
    }
}

/// Returns whether sending the request to the server would be a due trial of a suspect.
fn is_trial(server: &Server, request: &SlotRequest) -> bool {
    server.trial_due && request.idempotent && server.standing == Standing::Suspect
}

/// Additional cost of a fully used server over an idle one, in thousandths of a lost request. Servers slow down when
/// nearly full, and fewer requests are lost with a failing server when the load is spread.
const UTILISATION_COST_PERMILLE: u32 = 300;
/// Cost of using a server in another data centre, in thousandths of a lost request: one or two milliseconds of latency
/// and a response of a few kilobytes of traffic between data centres.
const REMOTE_COST_PERMILLE: u32 = 50;
/// Bytes of request body whose transfer to another data centre costs one thousandth of a lost request. Both users pay
/// for this traffic by the byte; an upload of 60 kB costs about three tenths of a lost request.
const REMOTE_BYTES_PER_PERMILLE: u64 = 200;
/// Upper bound of the cost of transferring a body to another data centre, in thousandths of a lost request.
const REMOTE_BODY_COST_MAX_PERMILLE: u64 = 400;

/// Highest expected cost at which an idle server is preferred, in thousandths of a lost request.
const IDLE_COST_MAX_PERMILLE: u32 = 350;
/// The same for an idempotent request. It is high enough for any server that is not suspect: one that failed seconds
/// ago would otherwise stay unused long after it ceased to be suspect.
const IDLE_COST_MAX_IDEMPOTENT_PERMILLE: u32 = 600;

/// Returns whether the server has no outstanding permit, got none since `idle_before_ms` and is cheap enough to be
/// preferred for that. Without the preference a new server would get no requests while servers of proven low cost
/// exist.
fn is_idle(server: &Server, request: &SlotRequest) -> bool {
    let cost_max_permille = if request.idempotent {
        IDLE_COST_MAX_IDEMPOTENT_PERMILLE
    } else {
        IDLE_COST_MAX_PERMILLE
    };
    server.held == 0
        && server.last_granted_ms < request.idle_before_ms
        && server.cost_permille <= cost_max_permille
}

/// Returns the sort key of a server for a request; the smallest is selected.
fn sort_key(server: &Server, request: &SlotRequest) -> (bool, Standing, bool, u32, u64) {
    let utilisation_permille = server.held * 1_000 / server.usable_slots.max(1);
    let is_remote = !request.data_centre.is_empty() && request.data_centre != server.data_centre;
    let body_permille =
        (request.body_bytes / REMOTE_BYTES_PER_PERMILLE).min(REMOTE_BODY_COST_MAX_PERMILLE);
    let remote_permille = REMOTE_COST_PERMILLE + body_permille as u32;
    let cost_permille = server.cost_permille
        + utilisation_permille * UTILISATION_COST_PERMILLE / 1_000
        + u32::from(is_remote) * remote_permille;
    (
        !is_trial(server, request),
        server.standing,
        !is_idle(server, request),
        cost_permille,
        server.granted_count,
    )
}
