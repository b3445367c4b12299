//! Runs a load under a policy.

use {
    crate::{
        state::{Emulation, Event, Owner, Request},
        Outcome, Policy, RunStats, Workload,
    },
    fastrand::Rng,
    outlier::AttemptOutcome,
    owner::{
        commands::{record_in_flight, release, update_standings},
        Release,
    },
    permit::{
        commands::{grant, record_request, try_spend_retry},
        queries, Lease, RetryBudget, SlotRequest, Standing,
    },
    std::{cmp::Reverse, collections::BinaryHeap},
    types::{PermitId, ServerIndex},
};

/// Time between an owner's looks at its pool, in milliseconds, as in the daemon.
const TICK_MS: u64 = 25;
/// Spread of the log-normal work.
const WORK_SPREAD: f64 = 0.5;
/// Time of an answer that fails at once, in milliseconds.
const FAIL_MS: u64 = 2;
/// Window and share of retries, as the users' bounds have them.
const RETRY_WINDOW_MS: u64 = 10_000;
/// Percent of requests; see [`RETRY_WINDOW_MS`].
const RETRY_PERCENT: u32 = 18;
/// Retries beyond the share; see [`RETRY_WINDOW_MS`].
const RETRY_SLACK: u32 = 50;
/// Most servers that one request is given to.
const ATTEMPTS_MAX: u32 = 2;
/// Time without work after which a good server is tried, in milliseconds, as in the daemon.
const NEGLECT_MS: u64 = 2_000;

/// Runs `workload` under `policy` and returns what was counted.
pub fn run(workload: &Workload, policy: &Policy, seed: u64) -> RunStats {
    let mut emulation = Emulation {
        rng: Rng::with_seed(seed),
        policy: *policy,
        owners: (0..policy.owners.max(1))
            .map(|_| Owner::new(workload.servers, workload.slots, 0))
            .collect(),
        is_gray: vec![false; workload.servers],
        in_flight: vec![0; workload.servers],
        events: BinaryHeap::new(),
        sequence: 0,
        stats: RunStats::default(),
    };
    emulation.schedule(0, Event::GrayRotation);
    emulation.schedule(0, Event::Arrival);
    emulation.schedule(TICK_MS, Event::Tick);
    if let Some(at_ms) = workload.owner_lost_ms {
        emulation.schedule(at_ms, Event::OwnerLoss);
    }
    while let Some(Reverse(timed)) = emulation.events.pop() {
        if timed.at_ms >= workload.duration_ms + workload.deadline_ms {
            break;
        }
        happen(&mut emulation, workload, timed.at_ms, timed.event);
    }
    emulation.stats
}

fn happen(emulation: &mut Emulation, workload: &Workload, now_ms: u64, event: Event) {
    match event {
        Event::Arrival => arrive(emulation, workload, now_ms),
        Event::GrayRotation => redraw(emulation, workload, now_ms),
        Event::OwnerLoss => {
            let fresh = Owner::new(workload.servers, workload.slots, now_ms);
            let before = std::mem::replace(&mut emulation.owners[0], fresh);
            emulation.owners[0].queue = before.queue;
        }
        Event::Tick => {
            for owner in 0..emulation.owners.len() {
                look(&mut emulation.owners[owner], now_ms);
                serve_waiting(emulation, workload, owner, now_ms);
            }
            emulation.schedule(now_ms + TICK_MS, Event::Tick);
        }
        Event::Completion(owner, permit, server, request, whole, took_ms) => {
            end(
                emulation, workload, now_ms, owner, permit, server, *request, whole, took_ms,
            );
        }
        Event::OutcomeArrival(owner, permit, server, outcome, response_us) => {
            hear(
                &mut emulation.owners[owner],
                permit,
                server,
                outcome,
                response_us,
                now_ms,
            );
            serve_waiting(emulation, workload, owner, now_ms);
        }
    }
}

fn arrive(emulation: &mut Emulation, workload: &Workload, now_ms: u64) {
    let factor = match workload.burst {
        Some((from_ms, until_ms, factor)) if (from_ms..until_ms).contains(&now_ms) => factor,
        _ => 1.0,
    };
    let gap_ms = -(1.0 - emulation.rng.f64()).ln() * 1_000.0 / (workload.requests_per_s * factor);
    if now_ms < workload.duration_ms {
        // At least a millisecond apart, which is the emulation's grain.
        emulation.schedule(now_ms + (gap_ms.round() as u64).max(1), Event::Arrival);
    }
    let request = Request {
        arrived_ms: now_ms,
        deadline_ms: now_ms + workload.deadline_ms,
        idempotent: emulation.rng.f64() < workload.idempotent_share,
        attempts: 0,
        tried_servers: Vec::new(),
    };
    let owner = emulation.rng.usize(..emulation.owners.len());
    let owned = &mut emulation.owners[owner];
    let ahead = owned.queue.len();
    if ahead > 0 && !queries::fits_deadline(&owned.state.pool, ahead, now_ms, request.deadline_ms) {
        let refused = (request.arrived_ms, Outcome::Refused);
        return emulation.stats.outcomes.push(refused);
    }
    owned.queue.push_back(request);
    serve_waiting(emulation, workload, owner, now_ms);
}

fn redraw(emulation: &mut Emulation, workload: &Workload, now_ms: u64) {
    let count = (workload.servers as f64 * workload.gray_share).round() as usize;
    let mut order: Vec<usize> = (0..workload.servers).collect();
    emulation.rng.shuffle(&mut order);
    for (place, server) in order.into_iter().enumerate() {
        emulation.is_gray[server] = place < count;
    }
    emulation.schedule(now_ms + workload.gray_rotation_ms, Event::GrayRotation);
}

/// What the daemon's tick does for a pool, as far as it concerns choices.
fn look(owner: &mut Owner, now_ms: u64) {
    record_in_flight(&mut owner.state, now_ms);
    update_standings(&mut owner.state, now_ms);
}

/// Gives slots to the waiters in their order, and refuses those that can't finish.
fn serve_waiting(emulation: &mut Emulation, workload: &Workload, owner: usize, now_ms: u64) {
    while let Some(request) = emulation.owners[owner].queue.front().cloned() {
        let owned = &mut emulation.owners[owner];
        let is_late = now_ms >= request.deadline_ms
            || !queries::fits_deadline(&owned.state.pool, 0, now_ms, request.deadline_ms);
        let is_retry = request.attempts > 0;
        let may_run = !is_retry
            || queries::is_retry_allowed(&owned.state.retry_budget, RETRY_PERCENT, RETRY_SLACK);
        if is_late || !may_run {
            owned.queue.pop_front();
            let outcome = if is_retry {
                Outcome::Failed
            } else {
                Outcome::Refused
            };
            emulation.stats.outcomes.push((request.arrived_ms, outcome));
            continue;
        }
        let slot_request = slot_request(owned, &emulation.policy, &request, now_ms);
        let spread = emulation.policy.spread;
        let picked = queries::select_server(
            &owned.state.pool,
            &owned.state.failure_rate,
            &slot_request,
            &spread,
            now_ms,
        );
        let Ok(choice) = picked else {
            return;
        };
        owned.queue.pop_front();
        note_grant(&mut owned.state.retry_budget, is_retry, now_ms);
        emulation.stats.retries += u64::from(is_retry);
        let permit = grant(
            &mut owned.state.pool,
            choice,
            Lease {
                acquire_id: 0,
                expires_ms: request.deadline_ms,
                retryable: request.idempotent && !is_retry,
            },
            now_ms,
        );
        start(
            emulation,
            workload,
            now_ms,
            owner,
            permit,
            choice.server,
            request,
        );
    }
}

fn note_grant(budget: &mut RetryBudget, is_retry: bool, now_ms: u64) {
    if is_retry {
        try_spend_retry(budget, RETRY_WINDOW_MS, RETRY_PERCENT, RETRY_SLACK, now_ms);
    } else {
        record_request(budget, RETRY_WINDOW_MS, now_ms);
    }
}

fn slot_request(owner: &mut Owner, policy: &Policy, request: &Request, now_ms: u64) -> SlotRequest {
    if !policy.use_evidence {
        for (_, server) in owner.state.pool.servers.iter_mut() {
            server.standing = Standing::Good;
            server.cost_permille = 0;
        }
    }
    SlotRequest {
        idempotent: request.idempotent,
        deadline_ms: request.deadline_ms,
        avoid_suspects: policy.avoid_suspects
            && queries::good_servers_suffice(&owner.state.pool, owner.queue.len()),
        idle_before_ms: now_ms.saturating_sub(NEGLECT_MS),
        exclude: request.tried_servers.clone(),
        ..SlotRequest::default()
    }
}

fn start(
    emulation: &mut Emulation,
    workload: &Workload,
    now_ms: u64,
    owner: usize,
    permit: PermitId,
    server: ServerIndex,
    mut request: Request,
) {
    let place: usize = server.into();
    request.attempts += 1;
    request.tried_servers.push(server);
    emulation.in_flight[place] += 1;
    if emulation.in_flight[place] > workload.slots {
        // Full by another owner's grants: shed, not run.
        emulation.stats.shed += 1;
        let end = Event::Completion(owner, permit, server, Box::new(request), false, 0);
        return emulation.schedule(now_ms + FAIL_MS, end);
    }
    let is_gray = emulation.is_gray[place];
    emulation.stats.sent_to_failing += u64::from(is_gray);
    let share = if is_gray {
        workload.gray_failure_rate
    } else {
        workload.base_failure_rate
    };
    let fails = emulation.rng.f64() < share;
    let factor = match workload.slowdown {
        Some((from_ms, until_ms, factor)) if (from_ms..until_ms).contains(&now_ms) => factor,
        _ => 1.0,
    };
    let took_ms = if fails {
        FAIL_MS
    } else {
        (workload.mean_service_ms * factor * log_normal(&mut emulation.rng)) as u64
    };
    let end = Event::Completion(owner, permit, server, Box::new(request), !fails, took_ms);
    emulation.schedule(now_ms + took_ms, end);
}

/// A log-normal number of mean 1.
fn log_normal(rng: &mut Rng) -> f64 {
    let (left, right) = (1.0 - rng.f64(), rng.f64());
    let normal = (-2.0 * left.ln()).sqrt() * (std::f64::consts::TAU * right).cos();
    (WORK_SPREAD * normal - WORK_SPREAD * WORK_SPREAD / 2.0).exp()
}

#[allow(clippy::too_many_arguments)]
fn end(
    emulation: &mut Emulation,
    workload: &Workload,
    now_ms: u64,
    owner: usize,
    permit: PermitId,
    server: ServerIndex,
    request: Request,
    whole: bool,
    took_ms: u64,
) {
    let place: usize = server.into();
    emulation.in_flight[place] -= 1;
    let was_shed = !whole && took_ms == 0;
    let outcome = match (whole, was_shed) {
        (true, _) => AttemptOutcome::Completed {
            first_byte_us: took_ms * 1_000,
        },
        (false, true) => AttemptOutcome::Shed,
        (false, false) => AttemptOutcome::Failed,
    };
    let response_us = whole.then_some(took_ms * 1_000);
    let heard_ms = now_ms + emulation.policy.outcome_delay_ms;
    emulation.schedule(
        heard_ms,
        Event::OutcomeArrival(owner, permit, server, outcome, response_us),
    );
    let in_time = now_ms <= request.deadline_ms;
    if whole && in_time {
        let served = Outcome::Served(now_ms - request.arrived_ms);
        emulation.stats.outcomes.push((request.arrived_ms, served));
    } else if (request.idempotent || was_shed) && request.attempts < ATTEMPTS_MAX && in_time {
        emulation.owners[owner].queue.push_front(request);
        serve_waiting(emulation, workload, owner, now_ms);
    } else {
        let outcome = if was_shed {
            Outcome::Refused
        } else {
            Outcome::Failed
        };
        emulation.stats.outcomes.push((request.arrived_ms, outcome));
    }
}

fn hear(
    owner: &mut Owner,
    permit: PermitId,
    server: ServerIndex,
    outcome: AttemptOutcome,
    response_us: Option<u64>,
    now_ms: u64,
) {
    let name = owner.state.pool.names.name(server).to_owned();
    let back = Release {
        permit: Some(permit),
        acquire_id: 0,
        server: &name,
        outcome,
        response_us,
        is_leaving: false,
    };
    release(&mut owner.state, &back, now_ms);
}
