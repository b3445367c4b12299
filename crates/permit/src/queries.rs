//! Queries over a pool; none of them changes it.

use {
    crate::{
        budget::{Bucket, BUCKET_MS},
        AgedBucket, FailureRate, Pool, RetryBudget, SelectError, Selection, Server, SlotRequest,
        SpreadPolicy, Standing, Waiter,
    },
    types::{EntityMap, ServerIndex},
};

/// Mean service times that a request is given to finish in: three in four need less. Work that would be given up
/// at its deadline takes the slot of work that would not.
const FINISH_SERVICE_TIMES: f64 = 1.4;

/// Service times for which a request rather waits for a server that is no suspect.
const SPURN_SERVICE_TIMES: f64 = 0.5;

/// Picks a server for the wish as [`select_best`] does, or, while a good part of the pool's work fails, one that got no work
/// for a while, so that the service does not narrow itself to a few.
///
/// # Errors
///
/// As [`select_best`].
pub fn select_server(
    pool: &Pool,
    failure_rate: &FailureRate,
    request: &SlotRequest,
    spread: &SpreadPolicy,
    now_ms: u64,
) -> Result<Selection, SelectError> {
    if failure_rate.failed_percent() >= spread.min_failed_percent {
        if let Some(choice) = select_idle(pool, request, spread, now_ms) {
            return Ok(choice);
        }
    }
    select_best(pool, request)
}

/// Picks a server for the wish: a due trial first, then by standing, then by what it is expected to cost.
///
/// # Errors
///
/// [`Refusal::Busy`] if a server could take the request later, [`Refusal::NoServer`] if none could.
pub fn select_best(pool: &Pool, request: &SlotRequest) -> Result<Selection, SelectError> {
    let mut any = false;
    let mut best: Option<(ServerIndex, &Server)> = None;
    for (index, server) in pool.servers.iter() {
        if !may_work(server) || request.exclude.contains(&index) {
            continue;
        }
        any = true;
        let spurned = request.avoid_suspects && server.standing == Standing::Suspect;
        if server.held >= server.usable_slots || (spurned && !is_trial(server, request)) {
            continue;
        }
        if best.is_none_or(|(_, other)| rank(server, request) < rank(other, request)) {
            best = Some((index, server));
        }
    }
    match best {
        Some((server, found)) => Ok(Selection {
            server,
            is_trial: is_trial(found, request),
        }),
        None if any => Err(SelectError::Busy),
        None => Err(SelectError::NoServer),
    }
}

/// Picks a server that got no request in the window, the one expected to cost least, if too few of the pool's servers
/// got one; so that a service which fails part of its requests does not narrow itself to few servers.
pub fn select_idle(
    pool: &Pool,
    request: &SlotRequest,
    spread: &SpreadPolicy,
    now_ms: u64,
) -> Option<Selection> {
    let used_since_ms = now_ms.saturating_sub(spread.used_window_ms);
    let failed_since_ms = now_ms.saturating_sub(spread.failed_window_ms);
    let mut usable = 0;
    let mut used = 0;
    let mut best: Option<(ServerIndex, &Server)> = None;
    for (index, server) in pool.servers.iter().filter(|(_, server)| may_work(server)) {
        usable += 1;
        let failed = server
            .last_failed_ms
            .is_some_and(|at_ms| at_ms >= failed_since_ms);
        if server.last_granted_ms >= used_since_ms || failed {
            used += 1;
            continue;
        }
        if server.held >= server.usable_slots || request.exclude.contains(&index) {
            continue;
        }
        if best.is_none_or(|(_, other)| server.cost_permille < other.cost_permille) {
            best = Some((index, server));
        }
    }
    let few = used * 100 < usable * spread.target_used_percent;
    best.filter(|_| few).map(|(server, found)| Selection {
        server,
        is_trial: found.trial_due,
    })
}

/// Tells whether a request with `ahead` waiters in front would be answered before `deadline_ms`.
pub fn fits_deadline(pool: &Pool, ahead: usize, now_ms: u64, deadline_ms: u64) -> bool {
    let finish_us = expected_wait_us(pool, ahead) + pool.mean_service_us * FINISH_SERVICE_TIMES;
    now_ms as f64 + finish_us / 1_000.0 < deadline_ms as f64
}

/// Returns the expected wait with `ahead` waiters in front, by the mean service time, in microseconds. Suspects
/// count only if there is no other server.
pub fn expected_wait_us(pool: &Pool, ahead: usize) -> f64 {
    let sum = |standing: &dyn Fn(Standing) -> bool| -> u32 {
        let usable = pool.servers.iter().filter(|(_, server)| may_work(server));
        usable
            .filter(|(_, server)| standing(server.standing))
            .map(|(_, server)| server.usable_slots)
            .sum()
    };
    let good = sum(&|standing| standing == Standing::Good);
    let slots = if good > 0 { good } else { sum(&|_| true) };
    (ahead as f64 + 1.0) * pool.mean_service_us / f64::from(slots.max(1))
}

/// Counts the requests that wait for a slot.
pub fn queue_length(pool: &Pool) -> usize {
    pool.queue.len()
}

/// Tells whether all `waiting` and one more would soon have been served by servers that are no suspects, so that it is
/// worth waiting for these. Whoever is first must not wait for long on behalf of all behind it.
pub fn good_servers_suffice(pool: &Pool, waiting: usize) -> bool {
    has_good(pool) && expected_wait_us(pool, waiting) <= pool.mean_service_us * SPURN_SERVICE_TIMES
}

/// Returns the requests and the retries counted in the window.
pub fn window_totals(budget: &RetryBudget) -> (u32, u32) {
    let sum = |of: &dyn Fn(&Bucket) -> u32| budget.buckets.iter().map(of).sum();
    (
        sum(&|bucket| bucket.requests),
        sum(&|bucket| bucket.retries),
    )
}

/// Walks the counts of the window with the age of each, oldest first.
pub fn aged_buckets(budget: &RetryBudget, now_ms: u64) -> impl Iterator<Item = AgedBucket> + '_ {
    budget.buckets.iter().map(move |bucket| AgedBucket {
        age_ms: now_ms.saturating_sub(bucket.index * BUCKET_MS),
        requests: bucket.requests,
        retries: bucket.retries,
    })
}

/// Returns the mean service time, in microseconds; 0 before the first whole answer.
pub fn mean_service_us(pool: &Pool) -> f64 {
    pool.mean_service_us
}

/// Tells whether retries are left in the window: `percent` of its requests, and `slack` more.
pub fn is_retry_allowed(budget: &RetryBudget, percent: u32, slack: u32) -> bool {
    let (requests, retries) = window_totals(budget);
    let (requests, retries) = (u64::from(requests), u64::from(retries));
    (retries + 1) * 100 <= requests * u64::from(percent) + u64::from(slack) * 100
}

/// Returns the first waiter that waits here and can take a slot at once.
pub fn first_active_waiter(pool: &Pool, now_ms: u64) -> Option<u64> {
    pool.queue
        .iter()
        .find(|waiter| now_ms < waiter.active_until_ms)
        .map(|waiter| waiter.ticket)
}

/// Counts the waiters in front of `ticket`, or those as urgent as `priority` for a newcomer.
pub fn waiters_ahead(pool: &Pool, ticket: Option<u64>, priority: u32) -> usize {
    let is_ahead = |waiter: &&Waiter| match ticket {
        Some(ticket) => waiter.ticket != ticket,
        None => waiter.request.priority <= priority,
    };
    pool.queue.iter().take_while(is_ahead).count()
}

/// Counts the waiters in front that are here and can take a slot at once.
pub fn active_waiters_ahead(pool: &Pool, ticket: Option<u64>, priority: u32, now_ms: u64) -> usize {
    let in_front = waiters_ahead(pool, ticket, priority);
    let waiters = pool.queue.iter().take(in_front);
    waiters
        .filter(|waiter| now_ms < waiter.active_until_ms)
        .count()
}

/// Tells whether a server that is no suspect may take work.
fn has_good(pool: &Pool) -> bool {
    let mut servers = pool.servers.iter();
    servers.any(|(_, server)| may_work(server) && server.standing == Standing::Good)
}

/// Walks the tickets in order of arrival.
pub fn queued_tickets(pool: &Pool) -> impl Iterator<Item = u64> + '_ {
    pool.queue.iter().map(|waiter| waiter.ticket)
}

/// Returns the ages of each server's permits that are not overdue yet, in milliseconds.
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

/// Counts the permits out.
pub fn outstanding_permits(pool: &Pool) -> usize {
    pool.permits.len()
}

fn may_work(server: &Server) -> bool {
    !server.leaving && server.standing != Standing::Ejected
}

fn is_trial(server: &Server, request: &SlotRequest) -> bool {
    server.trial_due && request.idempotent && server.standing == Standing::Suspect
}

/// What a fully used server costs beside an idle one, in thousandths of a lost request: servers slow down when
/// they are nearly full, and work lost with one server is less when it is spread.
const FULL_COST_PERMILLE: u32 = 300;
/// What a server of another data centre costs, in thousandths of a lost request: a way of a millisecond or two, and an
/// answer of some kilobytes between data centres.
const FAR_COST_PERMILLE: u32 = 50;
/// Size of a body that costs one thousandth of a lost request to carry to another data centre, in bytes; both users
/// pay for the bytes, at about three tenths of a request's worth for an upload of 60 kB.
const FAR_BYTES_A_PERMILLE: u64 = 200;
/// Most that the way of a body to another data centre costs, in thousandths of a lost request.
const FAR_BODY_COST_MAX_PERMILLE: u64 = 400;

/// Expected cost from which a server is not tried for want of work, in thousandths of a lost request.
const NEGLECT_COST_MAX_PERMILLE: u32 = 350;
/// The same for a request that may be repeated: whoever is no suspect is tried, since a server that failed seconds ago
/// would else be left out until long after it is no suspect any more.
const NEGLECT_COST_MAX_SAFE_PERMILLE: u32 = 600;

/// A good server that got no work for a while is tried, so that a new one comes into use and a lasting good
/// opinion of others does not starve it.
fn is_neglected(server: &Server, request: &SlotRequest) -> bool {
    let cost_max_permille = if request.idempotent {
        NEGLECT_COST_MAX_SAFE_PERMILLE
    } else {
        NEGLECT_COST_MAX_PERMILLE
    };
    server.held == 0
        && server.last_granted_ms < request.idle_before_ms
        && server.cost_permille <= cost_max_permille
}

/// Orders servers; the smallest is picked.
fn rank(server: &Server, request: &SlotRequest) -> (bool, Standing, bool, u32, u64) {
    let use_permille = server.held * 1_000 / server.usable_slots.max(1);
    let is_far = !request.data_centre.is_empty() && request.data_centre != server.data_centre;
    let body_permille = (request.body_bytes / FAR_BYTES_A_PERMILLE).min(FAR_BODY_COST_MAX_PERMILLE);
    let far_permille = FAR_COST_PERMILLE + body_permille as u32;
    let cost_permille = server.cost_permille
        + use_permille * FULL_COST_PERMILLE / 1_000
        + u32::from(is_far) * far_permille;
    (
        !is_trial(server, request),
        server.standing,
        !is_neglected(server, request),
        cost_permille,
        server.granted_count,
    )
}
