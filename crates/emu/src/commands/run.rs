//! Runs the discrete-event simulation of a workload under a policy.

use {
    crate::{
        state::{AttemptResult, Emulation, Event, Owner, Request},
        Attempt, Outcome, Policy, RunStats, Workload,
    },
    fastrand::Rng,
    outlier::{commands::take_due_trials, AttemptOutcome},
    owner::{
        commands::{record_in_flight, release, update_standings},
        Release,
    },
    permit::{
        commands::{add_credit, grant, issue_credit, try_spend_credit},
        queries, CreditTerms, Lease, SlotRequest, Standing,
    },
    std::{cmp::Reverse, collections::BinaryHeap},
    types::{PermitId, ServerIndex},
};

/// Interval of an owner's pool maintenance, in milliseconds, as in the daemon.
const TICK_MS: u64 = 25;
/// Standard deviation of the logarithm of the service time.
const SERVICE_TIME_SIGMA: f64 = 0.5;
/// Time after which a server has responded to a request that it fails or sheds, in milliseconds.
const FAIL_MS: u64 = 2;
/// Window of the retry budget, in milliseconds. The budget's limits are those that the users require.
const RETRY_WINDOW_MS: u64 = 10_000;
/// Retries as a percentage of requests; see [`RETRY_WINDOW_MS`].
const RETRY_PERCENT: u32 = 18;
/// Retries beyond the percentage; see [`RETRY_WINDOW_MS`].
const RETRY_SLACK: u32 = 50;
/// Maximum number of attempts of one request.
const ATTEMPTS_MAX: u32 = 2;
/// Time for which a server is cold after its start, in milliseconds.
const COLD_MS: u64 = 3_000;
/// Factor on the service time of a cold server.
const COLD_FACTOR: f64 = 2.0;
/// Idle time after which a good server is preferred, in milliseconds, as at an owner for requests that are not
/// idempotent.
const IDLE_MS: u64 = 2_000;

/// Runs `workload` under `policy` and returns the statistics; the result is deterministic for a seed.
pub fn run(workload: &Workload, policy: &Policy, seed: u64) -> RunStats {
    let mut emulation = Emulation {
        rng: Rng::with_seed(seed),
        policy: *policy,
        owners: (0..policy.owners.max(1))
            .map(|_| Owner::new(workload.servers, workload.slots, 0))
            .collect(),
        is_gray: vec![false; servers_max(workload)],
        in_flight: vec![0; servers_max(workload)],
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
    if let Some(at_ms) = workload.server_added_ms {
        emulation.schedule(at_ms, Event::ServerAdded);
    }
    while let Some(Reverse(scheduled)) = emulation.events.pop() {
        if scheduled.at_ms >= workload.duration_ms + workload.deadline_ms {
            break;
        }
        process_event(&mut emulation, workload, scheduled.at_ms, scheduled.event);
    }
    emulation.stats
}

/// Returns the number of servers, including one that is added during the run.
fn servers_max(workload: &Workload) -> usize {
    workload.servers + usize::from(workload.server_added_ms.is_some())
}

fn process_event(emulation: &mut Emulation, workload: &Workload, now_ms: u64, event: Event) {
    match event {
        Event::Arrival => handle_arrival(emulation, workload, now_ms),
        Event::GrayRotation => rotate_gray_servers(emulation, workload, now_ms),
        Event::OwnerLoss => {
            let successor = Owner::new(workload.servers, workload.slots, now_ms);
            let predecessor = std::mem::replace(&mut emulation.owners[0], successor);
            emulation.owners[0].queue = predecessor.queue;
        }
        Event::ServerAdded => {
            for owner in &mut emulation.owners {
                owner.list_servers(servers_max(workload), workload.slots, now_ms);
            }
        }
        Event::Tick => {
            for owner in 0..emulation.owners.len() {
                maintain_pool(&mut emulation.owners[owner], now_ms);
                serve_queue(emulation, workload, owner, now_ms);
            }
            emulation.schedule(now_ms + TICK_MS, Event::Tick);
        }
        Event::Completion(owner, permit, server, request, result) => {
            complete_attempt(
                emulation, workload, now_ms, owner, permit, server, *request, result,
            );
        }
        Event::OutcomeArrival(owner, permit, server, outcome, response_us) => {
            deliver_outcome(
                &mut emulation.owners[owner],
                permit,
                server,
                outcome,
                response_us,
                now_ms,
            );
            serve_queue(emulation, workload, owner, now_ms);
        }
    }
}

/// Queues a new request at a random owner, or refuses it if the requests ahead leave it too little time, and schedules
/// the next arrival.
fn handle_arrival(emulation: &mut Emulation, workload: &Workload, now_ms: u64) {
    let factor = match workload.burst {
        Some((from_ms, until_ms, factor)) if (from_ms..until_ms).contains(&now_ms) => factor,
        _ => 1.0,
    };
    let gap_ms = -(1.0 - emulation.rng.f64()).ln() * 1_000.0 / (workload.requests_per_s * factor);
    if now_ms < workload.duration_ms {
        // At least a millisecond apart, which is the resolution of the emulation's clock.
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
    let this_owner = &mut emulation.owners[owner];
    let ahead = this_owner.queue.len();
    if ahead > 0
        && !queries::fits_deadline(&this_owner.state.pool, ahead, now_ms, request.deadline_ms)
    {
        let refused = (request.arrived_ms, Outcome::Refused);
        return emulation.stats.outcomes.push(refused);
    }
    this_owner.queue.push_back(request);
    serve_queue(emulation, workload, owner, now_ms);
}

/// Draws the servers that fail until the next rotation.
fn rotate_gray_servers(emulation: &mut Emulation, workload: &Workload, now_ms: u64) {
    let count = (workload.servers as f64 * workload.gray_share).round() as usize;
    let mut order: Vec<usize> = (0..workload.servers).collect();
    emulation.rng.shuffle(&mut order);
    for (index, server) in order.into_iter().enumerate() {
        emulation.is_gray[server] = index < count;
    }
    emulation.schedule(now_ms + workload.gray_rotation_ms, Event::GrayRotation);
}

/// Runs the steps of the daemon's pool maintenance that server selection depends on: the ages of requests in flight, the
/// trials of suspects and the standings.
fn maintain_pool(owner: &mut Owner, now_ms: u64) {
    record_in_flight(&mut owner.state, now_ms);
    for index in take_due_trials(&mut owner.state.health, now_ms) {
        if let Some(server) = owner.state.pool.servers.get_mut(index) {
            server.trial_due = true;
        }
    }
    update_standings(&mut owner.state, now_ms);
}

/// Starts queued requests in order while slots are free, and ends those that can't meet their deadline or may not be
/// retried.
fn serve_queue(emulation: &mut Emulation, workload: &Workload, owner: usize, now_ms: u64) {
    while let Some(request) = emulation.owners[owner].queue.front().cloned() {
        let this_owner = &mut emulation.owners[owner];
        let misses_deadline = now_ms >= request.deadline_ms
            || !queries::fits_deadline(&this_owner.state.pool, 0, now_ms, request.deadline_ms);
        let is_retry = request.attempts > 0;
        let is_allowed = !is_retry || queries::has_credit(&this_owner.state.retry_budget, now_ms);
        if misses_deadline || !is_allowed {
            this_owner.queue.pop_front();
            let outcome = if is_retry {
                Outcome::Failed
            } else {
                Outcome::Refused
            };
            emulation.stats.outcomes.push((request.arrived_ms, outcome));
            continue;
        }
        let slot_request = slot_request(this_owner, &emulation.policy, &request, now_ms);
        let spread = emulation.policy.spread;
        let selected = queries::select_server(
            &this_owner.state.pool,
            &this_owner.state.failure_rate,
            &slot_request,
            &spread,
            now_ms,
        );
        let Ok(selection) = selected else {
            return;
        };
        this_owner.queue.pop_front();
        record_grant(this_owner, is_retry, now_ms);
        emulation.stats.retries += u64::from(is_retry);
        let permit = grant(
            &mut this_owner.state.pool,
            selection,
            Lease {
                acquire_id: 0,
                expires_ms: request.deadline_ms,
                retryable: request.idempotent && !is_retry,
            },
            now_ms,
        );
        start_attempt(
            emulation,
            workload,
            now_ms,
            owner,
            permit,
            selection.server,
            request,
        );
    }
}

/// Spends a retry, or adds the credit of a request.
fn record_grant(owner: &mut Owner, is_retry: bool, now_ms: u64) {
    let budget = &mut owner.state.retry_budget;
    if is_retry {
        try_spend_credit(budget, now_ms);
        return;
    }
    let terms = CreditTerms {
        window_ms: RETRY_WINDOW_MS,
        percent: RETRY_PERCENT,
        fleet_slack: RETRY_SLACK,
        instances: 1,
    };
    let credit_milli = issue_credit(&mut owner.credit, terms, now_ms);
    add_credit(budget, credit_milli, now_ms);
}

/// Builds the request for a slot. If the policy ignores health, all servers are reset to good standing without cost.
fn slot_request(owner: &mut Owner, policy: &Policy, request: &Request, now_ms: u64) -> SlotRequest {
    if !policy.use_health {
        for (_, server) in owner.state.pool.servers.iter_mut() {
            server.standing = Standing::Good;
            server.cost_permille = 0;
        }
    }
    SlotRequest {
        idempotent: request.idempotent,
        is_retry: request.attempts > 0,
        deadline_ms: request.deadline_ms,
        avoid_suspects: policy.avoid_suspects
            && queries::good_servers_suffice(&owner.state.pool, owner.queue.len()),
        idle_before_ms: now_ms.saturating_sub(IDLE_MS),
        exclude: request.tried_servers.clone(),
        ..SlotRequest::default()
    }
}

/// Sends the request to the server, which completes, fails or sheds it, and schedules the end of the attempt.
fn start_attempt(
    emulation: &mut Emulation,
    workload: &Workload,
    now_ms: u64,
    owner: usize,
    permit: PermitId,
    server: ServerIndex,
    mut request: Request,
) {
    let index: usize = server.into();
    request.attempts += 1;
    request.tried_servers.push(server);
    emulation.in_flight[index] += 1;
    if emulation.in_flight[index] > workload.slots {
        // The server is full because of permits of other owners; it sheds the request without running it.
        emulation.stats.shed += 1;
        let result = AttemptResult {
            is_completed: false,
            is_shed: true,
            is_to_failing: emulation.is_gray[index],
            duration_ms: FAIL_MS,
        };
        let event = Event::Completion(owner, permit, server, Box::new(request), result);
        return emulation.schedule(now_ms + FAIL_MS, event);
    }
    let is_gray = emulation.is_gray[index];
    emulation.stats.sent_to_failing += u64::from(is_gray);
    let failure_rate = if is_gray {
        workload.gray_failure_rate
    } else {
        workload.base_failure_rate
    };
    let fails = emulation.rng.f64() < failure_rate;
    let factor = match workload.slowdown {
        Some((from_ms, until_ms, factor)) if (from_ms..until_ms).contains(&now_ms) => factor,
        _ => 1.0,
    };
    let service_ms = if fails {
        FAIL_MS
    } else {
        let cold_factor = cold_factor(workload, index, now_ms);
        (workload.mean_service_ms * factor * cold_factor * log_normal(&mut emulation.rng)) as u64
    };
    let result = AttemptResult {
        is_completed: !fails,
        is_shed: false,
        is_to_failing: is_gray,
        duration_ms: service_ms,
    };
    let event = Event::Completion(owner, permit, server, Box::new(request), result);
    emulation.schedule(now_ms + service_ms, event);
}

/// Returns the factor on the service time of a server: above 1 while it is cold.
fn cold_factor(workload: &Workload, server: usize, now_ms: u64) -> f64 {
    let is_cold = workload
        .server_added_ms
        .is_some_and(|at_ms| server == workload.servers && now_ms < at_ms + COLD_MS);
    if is_cold {
        COLD_FACTOR
    } else {
        1.0
    }
}

/// Draws from a log-normal distribution with mean 1.
fn log_normal(rng: &mut Rng) -> f64 {
    let (u1, u2) = (1.0 - rng.f64(), rng.f64());
    let normal = (-2.0 * u1.ln()).sqrt() * (std::f64::consts::TAU * u2).cos();
    (SERVICE_TIME_SIGMA * normal - SERVICE_TIME_SIGMA * SERVICE_TIME_SIGMA / 2.0).exp()
}

/// Ends an attempt: schedules the delivery of its outcome to the owner, and queues the request again at the front if it
/// may be retried, or else records its outcome.
#[allow(clippy::too_many_arguments)]
fn complete_attempt(
    emulation: &mut Emulation,
    workload: &Workload,
    now_ms: u64,
    owner: usize,
    permit: PermitId,
    server: ServerIndex,
    request: Request,
    result: AttemptResult,
) {
    let index: usize = server.into();
    emulation.in_flight[index] -= 1;
    let (completed, was_shed) = (result.is_completed, result.is_shed);
    let duration_us = result.duration_ms * 1_000;
    emulation.stats.attempts.push(Attempt {
        server: index,
        started_ms: now_ms.saturating_sub(result.duration_ms),
        ended_ms: now_ms,
        is_failed: !completed && !was_shed,
        is_idempotent: request.idempotent,
        is_retry: request.attempts > 1,
        is_to_failing: result.is_to_failing,
    });
    let outcome = match (completed, was_shed) {
        (true, _) => AttemptOutcome::Completed {
            first_byte_us: duration_us,
        },
        (false, true) => AttemptOutcome::Shed,
        (false, false) => AttemptOutcome::Failed,
    };
    let response_us = completed.then_some(duration_us);
    let delivered_ms = now_ms + emulation.policy.outcome_delay_ms;
    emulation.schedule(
        delivered_ms,
        Event::OutcomeArrival(owner, permit, server, outcome, response_us),
    );
    let in_time = now_ms <= request.deadline_ms;
    if completed && in_time {
        let served = Outcome::Served(now_ms - request.arrived_ms);
        emulation.stats.outcomes.push((request.arrived_ms, served));
    } else if (request.idempotent || was_shed) && request.attempts < ATTEMPTS_MAX && in_time {
        emulation.owners[owner].queue.push_front(request);
        serve_queue(emulation, workload, owner, now_ms);
    } else {
        let outcome = if was_shed {
            Outcome::Refused
        } else {
            Outcome::Failed
        };
        emulation.stats.outcomes.push((request.arrived_ms, outcome));
    }
}

/// Releases the permit of an attempt at its owner and records the outcome there.
fn deliver_outcome(
    owner: &mut Owner,
    permit: PermitId,
    server: ServerIndex,
    outcome: AttemptOutcome,
    response_us: Option<u64>,
    now_ms: u64,
) {
    let name = owner.state.pool.names.name(server).to_owned();
    let released = Release {
        permit: Some(permit),
        acquire_id: 0,
        server: &name,
        outcome,
        response_us,
        is_leaving: false,
    };
    release(&mut owner.state, &released, now_ms);
}
