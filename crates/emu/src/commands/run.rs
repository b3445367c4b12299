//! Runs a load under a policy.

use {
    crate::{
        state::{Emulation, Event, Owner, Request},
        Figures, Load, Outcome, Policy,
    },
    fastrand::Rng,
    outlier::AttemptOutcome,
    owner::{
        commands::{observe_flights, restand, take_back},
        Back,
    },
    permit::{
        commands::{note_request, spend, take},
        queries, Budget, Lease, Standing, Wish,
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

/// Runs `load` under `policy` and returns what was counted.
pub fn run(load: &Load, policy: &Policy, seed: u64) -> Figures {
    let mut emulation = Emulation {
        rng: Rng::with_seed(seed),
        policy: *policy,
        owners: (0..policy.owners.max(1))
            .map(|_| Owner::new(load.servers, load.slots, 0))
            .collect(),
        is_gray: vec![false; load.servers],
        running: vec![0; load.servers],
        events: BinaryHeap::new(),
        order: 0,
        figures: Figures::default(),
    };
    emulation.schedule(0, Event::Redraw);
    emulation.schedule(0, Event::Arrive);
    emulation.schedule(TICK_MS, Event::Tick);
    if let Some(at_ms) = load.owner_lost_ms {
        emulation.schedule(at_ms, Event::LoseOwner);
    }
    while let Some(Reverse(timed)) = emulation.events.pop() {
        if timed.at_ms >= load.length_ms + load.deadline_ms {
            break;
        }
        happen(&mut emulation, load, timed.at_ms, timed.event);
    }
    emulation.figures
}

fn happen(emulation: &mut Emulation, load: &Load, now_ms: u64, event: Event) {
    match event {
        Event::Arrive => arrive(emulation, load, now_ms),
        Event::Redraw => redraw(emulation, load, now_ms),
        Event::LoseOwner => {
            let fresh = Owner::new(load.servers, load.slots, now_ms);
            let before = std::mem::replace(&mut emulation.owners[0], fresh);
            emulation.owners[0].waiting = before.waiting;
        }
        Event::Tick => {
            for owner in 0..emulation.owners.len() {
                look(&mut emulation.owners[owner], now_ms);
                serve_waiting(emulation, load, owner, now_ms);
            }
            emulation.schedule(now_ms + TICK_MS, Event::Tick);
        }
        Event::End(owner, permit, server, request, whole, took_ms) => {
            end(
                emulation, load, now_ms, owner, permit, server, *request, whole, took_ms,
            );
        }
        Event::Hear(owner, permit, server, evidence, whole_us) => {
            hear(
                &mut emulation.owners[owner],
                permit,
                server,
                evidence,
                whole_us,
                now_ms,
            );
            serve_waiting(emulation, load, owner, now_ms);
        }
    }
}

fn arrive(emulation: &mut Emulation, load: &Load, now_ms: u64) {
    let factor = match load.burst {
        Some((from_ms, until_ms, factor)) if (from_ms..until_ms).contains(&now_ms) => factor,
        _ => 1.0,
    };
    let gap_ms = -(1.0 - emulation.rng.f64()).ln() * 1_000.0 / (load.per_s * factor);
    if now_ms < load.length_ms {
        // At least a millisecond apart, which is the emulation's grain.
        emulation.schedule(now_ms + (gap_ms.round() as u64).max(1), Event::Arrive);
    }
    let request = Request {
        came_ms: now_ms,
        deadline_ms: now_ms + load.deadline_ms,
        is_safe: emulation.rng.f64() < load.safe_share,
        sent: 0,
        tried: Vec::new(),
    };
    let owner = emulation.rng.usize(..emulation.owners.len());
    let owned = &mut emulation.owners[owner];
    let ahead = owned.waiting.len();
    if ahead > 0 && !queries::fits_deadline(&owned.state.pool, ahead, now_ms, request.deadline_ms) {
        let refused = (request.came_ms, Outcome::Refused);
        return emulation.figures.outcomes.push(refused);
    }
    owned.waiting.push_back(request);
    serve_waiting(emulation, load, owner, now_ms);
}

fn redraw(emulation: &mut Emulation, load: &Load, now_ms: u64) {
    let count = (load.servers as f64 * load.gray_share).round() as usize;
    let mut order: Vec<usize> = (0..load.servers).collect();
    emulation.rng.shuffle(&mut order);
    for (place, server) in order.into_iter().enumerate() {
        emulation.is_gray[server] = place < count;
    }
    emulation.schedule(now_ms + load.gray_every_ms, Event::Redraw);
}

/// What the daemon's tick does for a pool, as far as it concerns choices.
fn look(owner: &mut Owner, now_ms: u64) {
    observe_flights(&mut owner.state, now_ms);
    restand(&mut owner.state, now_ms);
}

/// Gives slots to the waiters in their order, and refuses those that can't finish.
fn serve_waiting(emulation: &mut Emulation, load: &Load, owner: usize, now_ms: u64) {
    while let Some(request) = emulation.owners[owner].waiting.front().cloned() {
        let owned = &mut emulation.owners[owner];
        let is_late = now_ms >= request.deadline_ms
            || !queries::fits_deadline(&owned.state.pool, 0, now_ms, request.deadline_ms);
        let is_retry = request.sent > 0;
        let may_run =
            !is_retry || queries::may_retry(&owned.state.budget, RETRY_PERCENT, RETRY_SLACK);
        if is_late || !may_run {
            owned.waiting.pop_front();
            let outcome = if is_retry {
                Outcome::Failed
            } else {
                Outcome::Refused
            };
            emulation.figures.outcomes.push((request.came_ms, outcome));
            continue;
        }
        let wish = wish(owned, &emulation.policy, &request, now_ms);
        let spread = emulation.policy.spread;
        let picked = queries::pick(
            &owned.state.pool,
            &owned.state.recent,
            &wish,
            &spread,
            now_ms,
        );
        let Ok(choice) = picked else {
            return;
        };
        owned.waiting.pop_front();
        note_grant(&mut owned.state.budget, is_retry, now_ms);
        emulation.figures.retries += u64::from(is_retry);
        let permit = take(
            &mut owned.state.pool,
            choice,
            Lease {
                ask: 0,
                expires_ms: request.deadline_ms,
                may_retry: request.is_safe && !is_retry,
            },
            now_ms,
        );
        start(
            emulation,
            load,
            now_ms,
            owner,
            permit,
            choice.server,
            request,
        );
    }
}

fn note_grant(budget: &mut Budget, is_retry: bool, now_ms: u64) {
    if is_retry {
        spend(budget, RETRY_WINDOW_MS, RETRY_PERCENT, RETRY_SLACK, now_ms);
    } else {
        note_request(budget, RETRY_WINDOW_MS, now_ms);
    }
}

fn wish(owner: &mut Owner, policy: &Policy, request: &Request, now_ms: u64) -> Wish {
    if !policy.weighs_evidence {
        for (_, server) in owner.state.pool.servers.iter_mut() {
            server.standing = Standing::Good;
            server.cost_permille = 0;
        }
    }
    Wish {
        idempotent: request.is_safe,
        deadline_ms: request.deadline_ms,
        spurns_suspects: policy.spurns
            && queries::good_ones_suffice(&owner.state.pool, owner.waiting.len()),
        neglected_before_ms: now_ms.saturating_sub(NEGLECT_MS),
        exclude: request.tried.clone(),
        ..Wish::default()
    }
}

fn start(
    emulation: &mut Emulation,
    load: &Load,
    now_ms: u64,
    owner: usize,
    permit: PermitId,
    server: ServerIndex,
    mut request: Request,
) {
    let place: usize = server.into();
    request.sent += 1;
    request.tried.push(server);
    emulation.running[place] += 1;
    if emulation.running[place] > load.slots {
        // Full by another owner's grants: shed, not run.
        emulation.figures.shed += 1;
        let end = Event::End(owner, permit, server, Box::new(request), false, 0);
        return emulation.schedule(now_ms + FAIL_MS, end);
    }
    let is_gray = emulation.is_gray[place];
    emulation.figures.met_failing += u64::from(is_gray);
    let share = if is_gray {
        load.gray_fails
    } else {
        load.own_fails
    };
    let fails = emulation.rng.f64() < share;
    let factor = match load.slow {
        Some((from_ms, until_ms, factor)) if (from_ms..until_ms).contains(&now_ms) => factor,
        _ => 1.0,
    };
    let took_ms = if fails {
        FAIL_MS
    } else {
        (load.work_ms * factor * log_normal(&mut emulation.rng)) as u64
    };
    let end = Event::End(owner, permit, server, Box::new(request), !fails, took_ms);
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
    load: &Load,
    now_ms: u64,
    owner: usize,
    permit: PermitId,
    server: ServerIndex,
    request: Request,
    whole: bool,
    took_ms: u64,
) {
    let place: usize = server.into();
    emulation.running[place] -= 1;
    let was_shed = !whole && took_ms == 0;
    let evidence = match (whole, was_shed) {
        (true, _) => AttemptOutcome::Completed {
            first_byte_us: took_ms * 1_000,
        },
        (false, true) => AttemptOutcome::Shed,
        (false, false) => AttemptOutcome::Failed,
    };
    let whole_us = whole.then_some(took_ms * 1_000);
    let heard_ms = now_ms + emulation.policy.evidence_delay_ms;
    emulation.schedule(
        heard_ms,
        Event::Hear(owner, permit, server, evidence, whole_us),
    );
    let in_time = now_ms <= request.deadline_ms;
    if whole && in_time {
        let served = Outcome::Served(now_ms - request.came_ms);
        emulation.figures.outcomes.push((request.came_ms, served));
    } else if (request.is_safe || was_shed) && request.sent < ATTEMPTS_MAX && in_time {
        emulation.owners[owner].waiting.push_front(request);
        serve_waiting(emulation, load, owner, now_ms);
    } else {
        let outcome = if was_shed {
            Outcome::Refused
        } else {
            Outcome::Failed
        };
        emulation.figures.outcomes.push((request.came_ms, outcome));
    }
}

fn hear(
    owner: &mut Owner,
    permit: PermitId,
    server: ServerIndex,
    evidence: AttemptOutcome,
    whole_us: Option<u64>,
    now_ms: u64,
) {
    let name = owner.state.pool.names.name(server).to_owned();
    let back = Back {
        permit: Some(permit),
        ask: 0,
        server: &name,
        evidence,
        whole_us,
        is_leaving: false,
    };
    take_back(&mut owner.state, &back, now_ms);
}
