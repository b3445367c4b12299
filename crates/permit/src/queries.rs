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

/// Requests for which there is time between the moment from which a server that failed may get requests that may run only once
/// and the one from which it counts as sound.
const RETURN_REQUESTS: f64 = 8.0;

/// Time reserved for running a request, as a multiple of the mean service time; three of four requests need less. A
/// request that is abandoned at its deadline has taken a slot from one that would have met its own.
const RUN_SERVICE_TIMES: f64 = 1.4;

/// Longest expected wait for a good server before a suspect is used, as a multiple of the mean service time.
const GOOD_WAIT_SERVICE_TIMES: f64 = 0.5;

/// Least number of slots with which a wait is estimated, so that the estimate stays finite.
const SUSTAINED_SLOTS_MIN: f64 = 0.01;

/// Selects a server: a proven one for a retry, an unused one while too few servers are used, otherwise the best-ranked one.
/// Without the second a partly failing service would concentrate its work on a few servers.
///
/// # Errors
///
/// As for [`select_best`] and [`select_for_retry`].
pub fn select_server(
    pool: &Pool,
    failure_rate: &FailureRate,
    request: &SlotRequest,
    spread: &SpreadPolicy,
    now_ms: u64,
) -> Result<Selection, SelectError> {
    if request.is_retry {
        return select_for_retry(pool, request);
    }
    let spread = with_windows(spread, pool, failure_rate, request, now_ms);
    let is_failing = failure_rate.failed_percent() >= spread.min_failed_percent;
    let target = |sound| target_count(&spread, request, is_failing, sound);
    match select_unused(pool, request, &spread, target, now_ms) {
        Some(selection) => Ok(selection),
        None => select_best(pool, request),
    }
}

/// Returns how many of `sound` servers are to be used before requests go to the best-ranked ones.
fn target_count(
    spread: &SpreadPolicy,
    request: &SlotRequest,
    is_failing: bool,
    sound: usize,
) -> usize {
    match (request.idempotent, is_failing) {
        (true, false) => percent_of(sound, spread.target_percent),
        (true, true) => percent_of(sound, spread.failing_target_percent),
        (false, false) => with_reserve(sound, spread.once_target_percent, spread.reserved_failures),
        (false, true) => with_reserve(
            sound,
            spread.once_failing_target_percent,
            spread.reserved_failures,
        ),
    }
}

/// Returns the least number of used servers of which `failures` may fail, so that they are neither sound nor used, while
/// `percent` of the remaining sound servers are still used.
fn with_reserve(sound: usize, percent: u32, failures: u32) -> usize {
    let reserve_percent = 100_u32.saturating_sub(percent) * failures;
    (sound * percent as usize + reserve_percent as usize).div_ceil(100)
}

fn percent_of(count: usize, percent: u32) -> usize {
    (count * percent as usize).div_ceil(100)
}

/// Selects the best-ranked server for a request that failed at another one: a proven server, one without outcomes if no proven
/// one has a free slot, and one that failed since its last success as the last choice.
///
/// # Errors
///
/// As for [`select_best`]. A request that avoids suspects waits for a proven server rather than use one that failed since
/// its last success.
pub fn select_for_retry(pool: &Pool, request: &SlotRequest) -> Result<Selection, SelectError> {
    let servers = pool.servers.iter();
    let candidates: Vec<(ServerIndex, &Server)> = servers
        .filter(|(index, server)| is_usable(server) && !request.exclude.contains(index))
        .collect();
    if candidates.is_empty() {
        return Err(SelectError::NoServer);
    }
    let has_proven = candidates.iter().any(|(_, server)| is_proven(server));
    let may_use = |server: &Server| {
        let is_avoided = request.avoid_suspects && has_proven && proof(server) == Proof::Failed;
        has_free_slot(server) && !is_avoided
    };
    let free = candidates.iter().filter(|(_, server)| may_use(server));
    let best = free.min_by_key(|(_, server)| (proof(server), sort_key(server, request)));
    let selection = best.map(|&(server, _)| Selection {
        server,
        is_trial: false,
    });
    selection.ok_or(SelectError::Busy)
}

/// Returns the policy with its windows as they apply to the request. The fewer requests there are, the shorter is the time
/// for which a server counts as used, so that there is time for the reserved rounds until the end of the period.
fn with_windows(
    spread: &SpreadPolicy,
    pool: &Pool,
    failure_rate: &FailureRate,
    request: &SlotRequest,
    now_ms: u64,
) -> SpreadPolicy {
    let usable = pool.servers.iter().filter(|(_, server)| is_usable(server));
    let requests_per_s = failure_rate.requests_per_s(now_ms).max(REQUEST_RATE_MIN);
    let round_ms = usable.count() as f64 * 1_000.0 / requests_per_s;
    let reserved_ms = (spread.rounds_reserved * round_ms) as u64;
    let (window_ms, failed_window_ms) = if request.idempotent {
        (spread.used_window_ms, spread.failed_window_ms)
    } else {
        let return_ms = (RETURN_REQUESTS * 1_000.0 / requests_per_s) as u64;
        let earliest_ms = spread.once_failed_window_ms.saturating_sub(return_ms);
        (
            spread.once_used_window_ms,
            earliest_ms.max(spread.failed_window_ms),
        )
    };
    SpreadPolicy {
        used_window_ms: window_ms.min(spread.period_ms.saturating_sub(reserved_ms)),
        failed_window_ms,
        ..*spread
    }
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
/// `spread` allows, so that few requests reach as many servers as they can. Returns `None` if there is no such server or if
/// `target_percent` of the servers got a request. Servers that failed recently count neither way. A request that may run only
/// once goes to one that failed since its last success only if the target can't be reached without it.
pub fn select_idle(
    pool: &Pool,
    request: &SlotRequest,
    spread: &SpreadPolicy,
    target_percent: u32,
    now_ms: u64,
) -> Option<Selection> {
    let target = |sound| percent_of(sound, target_percent);
    select_unused(pool, request, spread, target, now_ms)
}

/// The same as [`select_idle`], with the number of servers to use as a function of the number of sound ones.
fn select_unused<Target>(
    pool: &Pool,
    request: &SlotRequest,
    spread: &SpreadPolicy,
    target: Target,
    now_ms: u64,
) -> Option<Selection>
where
    Target: Fn(usize) -> usize,
{
    let used_since_ms = now_ms.saturating_sub(spread.used_window_ms);
    let failed_since_ms = now_ms.saturating_sub(spread.failed_window_ms);
    let has_failed_recently = |server: &Server| {
        let last_failed_ms = server.last_failed_ms;
        last_failed_ms.is_some_and(|at_ms| at_ms >= failed_since_ms)
    };
    let is_used = |server: &Server| server.last_granted_ms >= used_since_ms;
    let servers = pool.servers.iter();
    let sound: Vec<(ServerIndex, &Server)> = servers
        .filter(|(_, server)| is_usable(server) && !has_failed_recently(server))
        .collect();
    let target_count = target(sound.len()).min(sound.len());
    let used_count = sound.iter().filter(|(_, server)| is_used(server)).count();
    if used_count >= target_count {
        return None;
    }
    let candidates = spread_candidates(sound, request, target_count);
    let candidates = candidates.into_iter().filter(|(index, server)| {
        !is_used(server) && has_free_slot(server) && !request.exclude.contains(index)
    });
    let rank = |server: &Server| (server.last_granted_ms, server.cost_permille);
    let (server, chosen) = candidates.min_by_key(|(_, server)| rank(server))?;
    Some(Selection {
        server,
        is_trial: chosen.trial_due,
    })
}

/// Returns the sound servers to which the request may be spread. An idempotent one is spread to all. Of those that failed
/// since their last success, one that may run only once is spread to the least costly, as many as the target requires.
fn spread_candidates<'a>(
    sound: Vec<(ServerIndex, &'a Server)>,
    request: &SlotRequest,
    target_count: usize,
) -> Vec<(ServerIndex, &'a Server)> {
    if request.idempotent {
        return sound;
    }
    let has_failed = |(_, server): &(ServerIndex, &Server)| proof(server) == Proof::Failed;
    let (mut failed, mut candidates): (Vec<_>, Vec<_>) = sound.into_iter().partition(has_failed);
    failed.sort_by_key(|(_, server)| server.cost_permille);
    let required = target_count.saturating_sub(candidates.len());
    candidates.extend(failed.into_iter().take(required));
    candidates
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

/// What a server's last outcomes show, from best to worst.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Proof {
    /// It completed a request that began after its last failure.
    Succeeded,
    /// It has neither completed nor failed a request.
    Unknown,
    /// It failed and has not completed a later request since.
    Failed,
}

/// Returns whether the last request that the server completed began after its last failure.
pub fn is_proven(server: &Server) -> bool {
    proof(server) == Proof::Succeeded
}

fn proof(server: &Server) -> Proof {
    match (server.last_succeeded_ms, server.last_failed_ms) {
        (None, None) => Proof::Unknown,
        (succeeded_ms, failed_ms) if succeeded_ms > failed_ms => Proof::Succeeded,
        _ => Proof::Failed,
    }
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
    server.trial_due
        && request.idempotent
        && !request.is_retry
        && server.standing == Standing::Suspect
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
        && !request.is_retry
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
