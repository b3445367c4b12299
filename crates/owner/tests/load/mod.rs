//! Callers, servers and one owner's pool in simulated time, without network.
//!
//! Callers send requests of several kinds and return after a refusal, as their `Retry-After` asks, for at most a third of
//! the time that they have left. Servers reject, fail or complete what they are sent.

use {
    config::{DetectionMode, Service},
    fastrand::Rng,
    member::{BackendServer, View},
    outlier::AttemptOutcome,
    owner::{
        commands::{acquire, apply_server_list, apply_service_config, release, run_maintenance},
        AcquireOutcome, AcquireRequest, PoolState, RefusalReason, Release, QUEUE_WAIT_MS,
    },
    permit::{commands::issue_credit, queries::first_active_waiter, CreditAccount, CreditTerms},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BinaryHeap},
        net::SocketAddr,
    },
    types::{PermitId, Priority},
};

const SERVICE: &str = "desk";
const AREA: &str = "dc";
/// Interval of the owner's maintenance, in milliseconds, as in the daemon.
const TICK_MS: u64 = 25;
/// Time until a server has rejected or failed a request, in milliseconds.
const REJECT_MS: u64 = 2;
/// Time between an exchange's end and the next request for a slot, in milliseconds.
const RETRY_DELAY_MS: u64 = 3;
/// Attempts of one submission.
const ATTEMPTS_MAX: u32 = 3;
/// `Retry-After` of a refusal without a time of its own, in milliseconds; the entry adds up to a half.
const RETRY_AFTER_DEFAULT_MS: u64 = 150;
/// Times that a caller returns after a refusal.
const RETURNS_MAX: u32 = 2;
/// Part of the time left, one in this many, up to which a caller honours `Retry-After`.
const HONOURED_DIVISOR: u64 = 3;
/// Standard deviation of the logarithm of the service time.
const SERVICE_TIME_SIGMA: f64 = 0.3;

/// Requests of one kind, and the load of one account if `account` is set.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KindLoad {
    pub(crate) account: Option<&'static str>,
    pub(crate) account_priority: u32,
    pub(crate) priority: u32,
    pub(crate) idempotent: bool,
    pub(crate) requests_per_s: f64,
    pub(crate) work_ms: f64,
    pub(crate) deadline_ms: u64,
    /// Start, end in milliseconds and factor of a burst.
    pub(crate) burst: Option<(u64, u64, f64)>,
}

/// What the servers do to the requests that they are sent.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Trouble {
    /// Nothing.
    None,
    /// Every server rejects this share of what arrives from the first time until the second, in milliseconds.
    RejectShare(u64, u64, f64),
    /// Every server rejects what exceeds this many requests at a time, from the first time until the second.
    RejectAbove(u64, u64, u32),
    /// This share of the servers fails 85 % of its requests.
    FailingServers(u64, u64, f64),
}

/// A pool and its load.
#[derive(Clone, Debug)]
pub(crate) struct Load {
    pub(crate) servers: usize,
    pub(crate) slots: u32,
    pub(crate) kinds: Vec<KindLoad>,
    pub(crate) trouble: Trouble,
    /// Retries of the service in 10 s beyond a fifth of its requests.
    pub(crate) retry_slack: u32,
    pub(crate) duration_ms: u64,
}

/// What became of the requests of one kind that first arrived in the measured time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct KindStats {
    pub(crate) requests: u32,
    pub(crate) served: u32,
    pub(crate) served_late: u32,
    pub(crate) failed: u32,
    pub(crate) submissions: u32,
    /// Submissions that ended with 503.
    pub(crate) refused: u32,
    /// Submissions after a refusal, and those of them that were served.
    pub(crate) returned: u32,
    pub(crate) returned_served: u32,
    /// Submissions at the time that `Retry-After` asked for, not earlier, and those of them that were served.
    pub(crate) on_time: u32,
    pub(crate) on_time_served: u32,
    /// Sum of the time from the request for a slot to its refusal, in milliseconds.
    pub(crate) refused_after_ms: u64,
    /// Longest of these times, in milliseconds.
    pub(crate) refused_after_max_ms: u64,
}

impl KindStats {
    /// Returns the share of the requests that were served in time.
    pub(crate) fn served_share(&self) -> f64 {
        f64::from(self.served) / f64::from(self.requests.max(1))
    }

    /// Returns the share of the submissions that ended with 503.
    pub(crate) fn refused_share(&self) -> f64 {
        f64::from(self.refused) / f64::from(self.submissions.max(1))
    }

    /// Returns the share of the returns at the time that `Retry-After` asked for that were served.
    pub(crate) fn on_time_served_share(&self) -> f64 {
        f64::from(self.on_time_served) / f64::from(self.on_time.max(1))
    }

    /// Returns the mean time from a request for a slot to its refusal, in milliseconds.
    pub(crate) fn refused_after_mean_ms(&self) -> f64 {
        self.refused_after_ms as f64 / f64::from(self.refused.max(1))
    }
}

/// Statistics of a run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Stats {
    pub(crate) kinds: Vec<KindStats>,
    pub(crate) retries: u32,
    pub(crate) rejected: u32,
    pub(crate) arrivals: u32,
}

impl Stats {
    /// Returns the share of all requests that were served in time.
    pub(crate) fn served_share(&self) -> f64 {
        let served: u32 = self.kinds.iter().map(|kind| kind.served).sum();
        let requests: u32 = self.kinds.iter().map(|kind| kind.requests).sum();
        f64::from(served) / f64::from(requests.max(1))
    }
}

#[derive(Clone, Debug)]
struct Request {
    id: u64,
    kind: usize,
    /// Whether it first arrived in the measured time.
    is_measured: bool,
    deadline_ms: u64,
    /// Time at which it asked for the slot of its current attempt, in milliseconds.
    asked_ms: u64,
    returns: u32,
    /// Whether it returned when `Retry-After` asked for, not earlier.
    is_on_time: bool,
    attempts: u32,
    ticket: Option<u64>,
    exclude: Vec<String>,
}

#[derive(Debug)]
enum Event {
    Arrival(usize),
    Submit(u64),
    Poll(u64, u64),
    End(u64, PermitId, String, AttemptOutcome, u64),
    Tick,
}

struct Run<'a> {
    load: &'a Load,
    measured: (u64, u64),
    rng: Rng,
    state: PoolState,
    account: CreditAccount,
    requests: BTreeMap<u64, Request>,
    in_flight: BTreeMap<String, u32>,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    scheduled: BTreeMap<u64, Event>,
    sequence: u64,
    last_id: u64,
    stats: Stats,
}

/// Runs the load and returns the statistics of the requests that first arrived within `measured`, in milliseconds.
pub(crate) fn run(load: &Load, measured: (u64, u64), seed: u64) -> Stats {
    // The owner draws its jitter from this thread's generator.
    fastrand::seed(seed);
    let mut run = Run {
        load,
        measured,
        rng: Rng::with_seed(seed),
        state: open_pool(load),
        account: CreditAccount::default(),
        requests: BTreeMap::new(),
        in_flight: BTreeMap::new(),
        events: BinaryHeap::new(),
        scheduled: BTreeMap::new(),
        sequence: 0,
        last_id: 0,
        stats: Stats {
            kinds: vec![KindStats::default(); load.kinds.len()],
            ..Stats::default()
        },
    };
    for kind in 0..load.kinds.len() {
        run.schedule(0, Event::Arrival(kind));
    }
    run.schedule(TICK_MS, Event::Tick);
    let end_ms = load.duration_ms
        + load
            .kinds
            .iter()
            .map(|kind| kind.deadline_ms)
            .max()
            .unwrap_or(0);
    while let Some(Reverse((at_ms, sequence))) = run.events.pop() {
        if at_ms > end_ms {
            break;
        }
        if let Some(event) = run.scheduled.remove(&sequence) {
            run.process(event, at_ms);
        }
    }
    run.stats
}

fn open_pool(load: &Load) -> PoolState {
    let mut state = PoolState::new(SERVICE, AREA, 0);
    let service = Service {
        name: SERVICE.to_owned(),
        detection: DetectionMode::Fast,
        floor_slots: 0,
        deadline_ms: 0,
        retry_percent: 20,
        max_body_bytes: 0,
        hold_bytes: 0,
    };
    apply_service_config(&mut state, 1, Some(&service));
    let address = SocketAddr::from(([10, 0, 0, 1], 80));
    let server =
        |number| BackendServer::new(&format!("b{number}"), SERVICE, AREA, address, load.slots);
    let servers = (0..load.servers).map(server).collect();
    apply_server_list(&mut state, &View::new(1, Vec::new(), servers), 0);
    state
}

impl Run<'_> {
    fn schedule(&mut self, at_ms: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at_ms, self.sequence)));
        self.scheduled.insert(self.sequence, event);
    }

    fn process(&mut self, event: Event, now_ms: u64) {
        match event {
            Event::Arrival(kind) => self.arrive(kind, now_ms),
            Event::Submit(id) => self.request_slot(id, now_ms),
            Event::Poll(id, ticket) => {
                let is_waiting = |request: &Request| request.ticket == Some(ticket);
                if self.requests.get(&id).is_some_and(is_waiting) {
                    self.request_slot(id, now_ms);
                }
            }
            Event::End(id, permit, server, outcome, response_us) => {
                self.end_attempt(id, permit, &server, outcome, response_us, now_ms);
            }
            Event::Tick => {
                run_maintenance(&mut self.state, &[], now_ms);
                self.serve_waiters(now_ms);
                self.schedule(now_ms + TICK_MS, Event::Tick);
            }
        }
    }

    fn arrive(&mut self, kind: usize, now_ms: u64) {
        let load = self.load.kinds[kind];
        let factor = match load.burst {
            Some((from_ms, until_ms, factor)) if (from_ms..until_ms).contains(&now_ms) => factor,
            _ => 1.0,
        };
        let gap_ms = -(1.0 - self.rng.f64()).ln() * 1_000.0 / (load.requests_per_s * factor);
        if now_ms >= self.load.duration_ms {
            return;
        }
        self.schedule(now_ms + gap_ms.round() as u64, Event::Arrival(kind));
        self.last_id += 1;
        let is_measured = (self.measured.0..self.measured.1).contains(&now_ms);
        let request = Request {
            id: self.last_id,
            kind,
            is_measured,
            deadline_ms: now_ms + load.deadline_ms,
            asked_ms: now_ms,
            returns: 0,
            is_on_time: false,
            attempts: 0,
            ticket: None,
            exclude: Vec::new(),
        };
        if is_measured {
            self.stats.kinds[kind].requests += 1;
        }
        self.requests.insert(self.last_id, request);
        self.request_slot(self.last_id, now_ms);
    }

    /// Asks the owner for a slot, as the daemon does.
    fn request_slot(&mut self, id: u64, now_ms: u64) {
        let Some(request) = self.requests.get(&id).cloned() else {
            return;
        };
        if let (None, Some(request)) = (request.ticket, self.requests.get_mut(&id)) {
            request.asked_ms = now_ms;
        }
        let load = self.load.kinds[request.kind];
        let is_new = request.attempts == 0 && request.ticket.is_none();
        let mut credit_milli = 0;
        if is_new {
            let terms = CreditTerms {
                window_ms: 10_000,
                percent: 20,
                fleet_slack: self.load.retry_slack,
                instances: 1,
            };
            credit_milli = issue_credit(&mut self.account, terms, now_ms);
            if request.is_measured {
                self.stats.kinds[request.kind].submissions += 1;
                self.stats.kinds[request.kind].returned += u32::from(request.returns > 0);
                self.stats.kinds[request.kind].on_time += u32::from(request.is_on_time);
            }
        }
        let acquire_request = AcquireRequest {
            acquire_id: id,
            ticket: request.ticket,
            is_retry: request.attempts > 0,
            credit_milli,
            idempotent: load.idempotent,
            deadline_ms: request.deadline_ms,
            account: load.account,
            priority: Priority::new(load.priority).with_account(load.account_priority),
            data_centre: AREA,
            body_bytes: 0,
            may_queue: true,
            exclude: &request.exclude,
        };
        let outcome = acquire(&mut self.state, &acquire_request, now_ms);
        match outcome {
            AcquireOutcome::Granted(permit, server) => {
                let name = self.state.pool.names.name(server).to_owned();
                self.start_attempt(id, permit, name, now_ms);
                self.serve_waiters(now_ms);
            }
            AcquireOutcome::Refused(reason, retry_after_ms) => {
                self.refuse(id, reason, retry_after_ms, now_ms);
            }
            AcquireOutcome::Wait(ticket, _) => self.wait(id, ticket, now_ms + QUEUE_WAIT_MS),
            AcquireOutcome::PollAgain(ticket, after_ms) => {
                self.wait(id, ticket, now_ms + after_ms);
            }
        }
    }

    fn wait(&mut self, id: u64, ticket: u64, poll_ms: u64) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.ticket = Some(ticket);
        }
        self.schedule(poll_ms, Event::Poll(id, ticket));
    }

    /// Lets the first active waiter ask again, as its notification does, until one gets no slot.
    fn serve_waiters(&mut self, now_ms: u64) {
        let Some(ticket) = first_active_waiter(&self.state.pool, now_ms) else {
            return;
        };
        let mut requests = self.requests.values();
        let waiter = requests.find(|request| request.ticket == Some(ticket));
        if let Some(id) = waiter.map(|request| request.id) {
            self.request_slot(id, now_ms);
        }
    }

    fn start_attempt(&mut self, id: u64, permit: PermitId, server: String, now_ms: u64) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.ticket = None;
        request.attempts += 1;
        request.exclude.push(server.clone());
        let work_ms = self.load.kinds[request.kind].work_ms;
        if request.is_measured {
            self.stats.arrivals += 1;
            self.stats.retries += u32::from(request.attempts > 1);
        }
        let in_flight = self.in_flight.entry(server.clone()).or_default();
        *in_flight += 1;
        let number: usize = server.trim_start_matches('b').parse().unwrap_or_default();
        let outcome = match self.load.trouble {
            Trouble::RejectShare(from_ms, until_ms, share)
                if (from_ms..until_ms).contains(&now_ms) && self.rng.f64() < share =>
            {
                AttemptOutcome::Shed
            }
            Trouble::RejectAbove(from_ms, until_ms, most)
                if (from_ms..until_ms).contains(&now_ms) && *in_flight > most =>
            {
                AttemptOutcome::Shed
            }
            Trouble::FailingServers(from_ms, until_ms, share)
                if (from_ms..until_ms).contains(&now_ms)
                    && (number as f64) < share * self.load.servers as f64
                    && self.rng.f64() < 0.85 =>
            {
                AttemptOutcome::Failed
            }
            _ => {
                let service_ms = work_ms * log_normal(&mut self.rng);
                let first_byte_us = (service_ms * 1_000.0) as u64;
                let outcome = AttemptOutcome::Completed { first_byte_us };
                let end = Event::End(id, permit, server, outcome, first_byte_us);
                return self.schedule(now_ms + service_ms as u64, end);
            }
        };
        self.schedule(
            now_ms + REJECT_MS,
            Event::End(id, permit, server, outcome, 0),
        );
    }

    fn end_attempt(
        &mut self,
        id: u64,
        permit: PermitId,
        server: &str,
        outcome: AttemptOutcome,
        response_us: u64,
        now_ms: u64,
    ) {
        if let Some(in_flight) = self.in_flight.get_mut(server) {
            *in_flight -= 1;
        }
        let returned = Release {
            permit: Some(permit),
            acquire_id: 0,
            server,
            outcome,
            response_us: (response_us > 0).then_some(response_us),
            is_leaving: false,
        };
        release(&mut self.state, &returned, now_ms);
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let (kind, is_measured) = (request.kind, request.is_measured);
        let may_retry = request.attempts < ATTEMPTS_MAX;
        let stats = &mut self.stats.kinds[kind];
        match outcome {
            AttemptOutcome::Completed { .. } => {
                let in_time = now_ms <= request.deadline_ms;
                if is_measured {
                    stats.served += u32::from(in_time);
                    stats.served_late += u32::from(!in_time);
                    stats.returned_served += u32::from(in_time && request.returns > 0);
                    stats.on_time_served += u32::from(in_time && request.is_on_time);
                }
                self.requests.remove(&id);
            }
            AttemptOutcome::Shed => {
                self.stats.rejected += u32::from(is_measured);
                if may_retry {
                    self.schedule(now_ms + RETRY_DELAY_MS, Event::Submit(id));
                } else {
                    self.refuse(id, RefusalReason::Overloaded, 0, now_ms);
                }
            }
            _ if self.load.kinds[kind].idempotent && may_retry => {
                self.schedule(now_ms + RETRY_DELAY_MS, Event::Submit(id));
            }
            _ => {
                stats.failed += u32::from(is_measured);
                self.requests.remove(&id);
            }
        }
        self.serve_waiters(now_ms);
    }

    /// Ends a submission with 503. The caller returns after `Retry-After` if its deadline leaves time for the work.
    fn refuse(&mut self, id: u64, _reason: RefusalReason, retry_after_ms: u64, now_ms: u64) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if request.is_measured {
            let stats = &mut self.stats.kinds[request.kind];
            let after_ms = now_ms - request.asked_ms;
            stats.refused += 1;
            stats.refused_after_ms += after_ms;
            stats.refused_after_max_ms = stats.refused_after_max_ms.max(after_ms);
        }
        let retry_after_ms = match retry_after_ms {
            0 => RETRY_AFTER_DEFAULT_MS + self.rng.u64(0..=RETRY_AFTER_DEFAULT_MS / 2),
            given_ms => given_ms,
        };
        let left_ms = request.deadline_ms.saturating_sub(now_ms);
        let wait_ms = retry_after_ms.min(left_ms / HONOURED_DIVISOR);
        let is_too_late = (left_ms - wait_ms) as f64 <= self.load.kinds[request.kind].work_ms;
        if is_too_late || request.returns == RETURNS_MAX {
            self.requests.remove(&id);
            return;
        }
        request.ticket = None;
        request.attempts = 0;
        request.exclude.clear();
        request.returns += 1;
        request.is_on_time = wait_ms == retry_after_ms;
        let at_ms = now_ms + wait_ms;
        self.schedule(at_ms, Event::Submit(id));
    }
}

/// Draws from a log-normal distribution with mean 1.
fn log_normal(rng: &mut Rng) -> f64 {
    let (u1, u2) = (1.0 - rng.f64(), rng.f64());
    let normal = (-2.0 * u1.ln()).sqrt() * (std::f64::consts::TAU * u2).cos();
    (SERVICE_TIME_SIGMA * normal - SERVICE_TIME_SIGMA * SERVICE_TIME_SIGMA / 2.0).exp()
}
