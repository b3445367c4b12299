//! A fleet of instances that charge requests to quotas, without network.
//!
//! Every instance may own pools and groups of accounts. Messages take time; they are lost, delayed and answered in vain on
//! schedule. Each process has a clock of its own that begins at its start.

use {
    faults::{FaultTerms, RandomFault},
    quota::{
        commands::{self, ChargeOutcome},
        queries, CreditCache, CreditGrant, KnownFleet, PeerClock, QuotaCall, QuotaLedger,
        QuotaRule, QuotaTerms, TimeLedger, TimePart, TimeShare, GROUP_COUNT,
    },
    std::collections::{BTreeMap, HashMap},
};

/// Length of the window, in milliseconds.
pub(crate) const WINDOW_MS: u64 = 5_000;
/// The rule of the tests: the users' bound.
pub(crate) const RULE: QuotaRule = QuotaRule {
    window_ms: WINDOW_MS,
    tolerance_permille: 100,
    slack: 20,
};
/// Time until all instances that run have a change of the limits, in milliseconds.
pub(crate) const CHANGE_MS: u64 = 2_500;
/// Time for which an instance stays listed after its last sign of life, in milliseconds.
const LISTED_MS: u64 = 4_500;
/// Time after its start in which a process may know only half of the others, in milliseconds.
const PARTIAL_LIST_MS: u64 = 2_000;
const CALL_TIMEOUT_MS: u64 = 150;
const CHARGE_WAIT_MS: u64 = 100;
const TICK_MS: u64 = 100;
const IDLE_PASS_MS: u64 = 300;
/// Shortest and longest time for which an instance does not call another one that did not respond, in milliseconds; it doubles
/// with each failure.
const BACKOFF_MS: (u64, u64) = (100, 8_000);
/// Owners that are called before an instance uses what it has.
const OWNERS_MAX: usize = 2;
const SERVICES: usize = 2;
/// Polls of a charge after which the request is given up.
const POLLS_MAX: u32 = 8;
/// Share of the requests that a pool's owner refuses after they were charged.
const OVERLOADED_SHARE: f64 = 0.05;
/// Share of the requests that ask another data centre's pool.
const REMOTE_SHARE: f64 = 0.3;

/// What goes wrong.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum FaultKind {
    /// The processes are killed at the begin and run again at the end.
    Kill,
    /// The processes stand still; what they get is handled afterwards.
    Freeze,
    /// No message between these instances and any other arrives; the store does not answer them.
    Cut,
    /// No message between these instances and the others arrives; they reach each other, but not the store.
    Partition,
    /// No message of others reaches these instances.
    CutIn,
    /// No message of these instances reaches others.
    CutOut,
}

pub(crate) type Fault = faults::Fault<FaultKind>;

const KINDS: [FaultKind; 6] = [
    FaultKind::Kill,
    FaultKind::Freeze,
    FaultKind::Cut,
    FaultKind::Partition,
    FaultKind::CutIn,
    FaultKind::CutOut,
];

/// Returns a fault of any number of a run's instances; of a third of them at most if it cuts them off.
pub(crate) fn random_fault(random: &RandomFault, plan: &Plan) -> Fault {
    let kind = random.kind(&KINDS);
    let is_cut = !matches!(kind, FaultKind::Kill | FaultKind::Freeze);
    let terms = FaultTerms {
        begin_ms: 1_000..plan.duration_ms - WINDOW_MS,
        duration_ms: 100..12_000,
        instances: plan.instances,
        affected_max: if is_cut {
            plan.instances / 3
        } else {
            plan.instances
        },
        stride: 5,
    };
    random.to_fault(kind, &terms)
}

/// An account and its requests.
#[derive(Clone, Debug)]
pub(crate) struct AccountPlan {
    pub(crate) rate_milli: u64,
    pub(crate) burst_requests: u64,
    /// Requests a second.
    pub(crate) demand_per_s: f64,
    /// Number of instances that its clients are connected to.
    pub(crate) entries: usize,
    /// Begin and end of a time with more requests, in milliseconds, and by what factor there are more.
    pub(crate) surge: (u64, u64, f64),
    /// Rates that replace the former one at a time, in milliseconds.
    pub(crate) changes: Vec<(u64, u64)>,
}

/// A run.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    pub(crate) instances: usize,
    /// Number of large instances, which own most pools and groups.
    pub(crate) large: usize,
    pub(crate) data_centres: usize,
    pub(crate) duration_ms: u64,
    pub(crate) accounts: Vec<AccountPlan>,
    pub(crate) faults: Vec<Fault>,
    /// Whether new processes know only half of the others at first.
    pub(crate) has_partial_lists: bool,
}

/// Returns a plan of the users' size: 200 instances in 4 data centres, 84 accounts whose demand falls with their rank, 746
/// requests a second in total. Their quotas are what they send, divided by `use_of_quota`.
pub(crate) fn full_plan(use_of_quota: f64) -> Plan {
    sized_plan(200, 8, 84, 746.0, use_of_quota)
}

/// Returns a small plan for many runs: few instances and accounts, so that the slack is little beside the largest quota.
pub(crate) fn small_plan(use_of_quota: f64) -> Plan {
    sized_plan(24, 4, 4, 300.0, use_of_quota)
}

fn sized_plan(
    instances: usize,
    large: usize,
    accounts: usize,
    total_per_s: f64,
    use_of_quota: f64,
) -> Plan {
    let weight = |rank: usize| (rank as f64).powf(-1.2);
    let sum: f64 = (1..=accounts).map(weight).sum();
    let account = |rank: usize| {
        let demand_per_s = total_per_s * weight(rank) / sum;
        AccountPlan {
            rate_milli: (demand_per_s / use_of_quota * 1_000.0) as u64,
            burst_requests: 0,
            demand_per_s,
            entries: ((demand_per_s / 3.0) as usize).clamp(1, instances / 4),
            surge: (0, 0, 1.0),
            changes: Vec::new(),
        }
    };
    Plan {
        instances,
        large,
        data_centres: 4,
        duration_ms: 30_000,
        accounts: (1..=accounts).map(account).collect(),
        faults: Vec::new(),
        has_partial_lists: true,
    }
}

/// A request that ran.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Run {
    pub(crate) sent_ms: u64,
    pub(crate) arrived_ms: u64,
}

/// What happened to an account's requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    /// In the order in which they were sent.
    pub(crate) runs: Vec<Run>,
    /// Times at which refused requests were sent, in milliseconds.
    pub(crate) refused_ms: Vec<u64>,
}

/// What a run showed.
#[derive(Clone, Debug, Default)]
pub(crate) struct Record {
    /// By account.
    pub(crate) outcomes: Vec<Outcome>,
    /// Calls of quota owners by other instances.
    pub(crate) quota_takes: u64,
    /// Messages that pass time on without a request.
    pub(crate) time_passes: u64,
}

#[derive(Clone, Debug)]
struct Request {
    account: usize,
    entry: usize,
    sent_us: u64,
    pool: usize,
    polls: u32,
    owners_tried: Vec<usize>,
}

/// A value of the receiver's clock, and the time that is passed on.
type ClockedShare = (u64, TimeShare);

#[derive(Clone, Debug)]
enum Body {
    Permit(u64, Request, Option<ClockedShare>),
    PermitAnswer(u64, Verdict, u64),
    Take(u64, usize, QuotaCall, Option<u64>),
    TakeAnswer(u64, Vec<CreditGrant>, u64),
    Time(u64, Option<ClockedShare>),
    TimeAnswer(u64, u64),
}

#[derive(Clone, Copy, Debug)]
enum Verdict {
    Run,
    Overloaded,
    Refused,
    Pending,
}

#[derive(Clone, Debug)]
enum Event {
    Arrive(Request),
    Deliver(usize, usize, Body),
    CallTimeout(usize, u32, u64),
    ChargeTimeout(usize, u32, usize, u64),
    Tick(usize, u32),
}

/// A call that waits for its answer at the caller.
#[derive(Clone, Debug)]
enum PendingCall {
    Permit(Request, usize),
    Take(PendingTake),
    Time(usize),
}

#[derive(Clone, Debug)]
struct PendingTake {
    group: usize,
    take: QuotaCall,
    /// Time that was kept because the owner's clock is not known.
    unsent: Vec<TimePart>,
    owner: usize,
    tried: Vec<usize>,
}

/// A permit request that waits to be charged at a pool's owner.
#[derive(Clone, Debug)]
struct Waiter {
    number: u64,
    call: u64,
    permit: u64,
    request: Request,
}

struct Process {
    is_running: bool,
    incarnation: u32,
    started_us: u64,
    time: TimeLedger,
    caches: Vec<CreditCache>,
    ledgers: Vec<QuotaLedger>,
    waiters: Vec<Vec<Waiter>>,
    calls: HashMap<u64, PendingCall>,
    /// By instance: the time until which it is not called, and the failures in a row.
    backoffs: HashMap<usize, (u64, u32)>,
    /// Number of instances that it knows; 0 before it has a list.
    known: u32,
}

impl Process {
    fn new(incarnation: u32, started_us: u64) -> Self {
        Self {
            is_running: true,
            incarnation,
            started_us,
            time: TimeLedger::default(),
            caches: vec![CreditCache::default(); GROUP_COUNT],
            ledgers: vec![QuotaLedger::default(); GROUP_COUNT],
            waiters: vec![Vec::new(); GROUP_COUNT],
            calls: HashMap::new(),
            backoffs: HashMap::new(),
            known: 0,
        }
    }
}

struct Fleet<'a> {
    plan: &'a Plan,
    now_us: u64,
    rng: fastrand::Rng,
    processes: Vec<Process>,
    events: BTreeMap<(u64, u64), Event>,
    next_number: u64,
    /// By instance: when the store last heard of it.
    last_seen_us: Vec<u64>,
    /// By pool and by group: instances in the order of ownership.
    pool_orders: Vec<Vec<usize>>,
    group_orders: Vec<Vec<usize>>,
    record: Record,
}

/// Plays a run.
pub(crate) fn play(seed: u64, plan: &Plan) -> Record {
    let mut rng = fastrand::Rng::with_seed(seed);
    let all: Vec<usize> = (0..plan.instances).collect();
    let in_data_centre = |number: usize| -> Vec<usize> {
        let members = all.iter().copied();
        members
            .filter(|instance| instance % plan.data_centres == number)
            .collect()
    };
    let pool_orders = (0..SERVICES * plan.data_centres)
        .map(|pool| owner_order(&mut rng, plan, &in_data_centre(pool % plan.data_centres)))
        .collect();
    let group_orders = (0..GROUP_COUNT)
        .map(|_| owner_order(&mut rng, plan, &all))
        .collect();
    let mut fleet = Fleet {
        plan,
        now_us: 0,
        rng,
        processes: all.iter().map(|_| Process::new(1, 0)).collect(),
        events: BTreeMap::new(),
        next_number: 0,
        last_seen_us: vec![0; plan.instances],
        pool_orders,
        group_orders,
        record: Record {
            outcomes: vec![Outcome::default(); plan.accounts.len()],
            ..Record::default()
        },
    };
    fleet.schedule_requests();
    for instance in 0..plan.instances {
        fleet.start_ticks(instance);
    }
    fleet.run();
    for outcome in &mut fleet.record.outcomes {
        outcome.runs.sort_by_key(|run| run.sent_ms);
    }
    fleet.record
}

/// Draws an order of ownership; the weight of an instance is the cube of its capacity.
fn owner_order(rng: &mut fastrand::Rng, plan: &Plan, members: &[usize]) -> Vec<usize> {
    let mut weighed: Vec<(f64, usize)> = Vec::new();
    for &instance in members {
        let capacity: f64 = if instance < plan.large { 0.5 } else { 0.07 };
        let uniform = rng.f64().max(f64::MIN_POSITIVE);
        weighed.push((capacity.powi(3) / -uniform.ln(), instance));
    }
    weighed.sort_by(|left, right| right.0.total_cmp(&left.0));
    weighed.into_iter().map(|(_, instance)| instance).collect()
}

impl Fleet<'_> {
    fn schedule(&mut self, delay_us: u64, event: Event) {
        self.schedule_at(self.now_us + delay_us, event);
    }

    fn schedule_at(&mut self, at_us: u64, event: Event) {
        self.next_number += 1;
        self.events.insert((at_us, self.next_number), event);
    }

    fn start_ticks(&mut self, instance: usize) {
        let delay_us = self.rng.u64(0..TICK_MS * 1_000);
        let incarnation = self.processes[instance].incarnation;
        self.schedule(delay_us, Event::Tick(instance, incarnation));
    }

    fn schedule_requests(&mut self) {
        let plan = self.plan;
        for (number, account) in plan.accounts.iter().enumerate() {
            let first_entry = self.rng.usize(..plan.instances);
            let mut at_ms = 0.0;
            loop {
                let (from_ms, to_ms, factor) = account.surge;
                let is_surge = (from_ms as f64..to_ms as f64).contains(&at_ms);
                let per_s = account.demand_per_s * if is_surge { factor } else { 1.0 };
                at_ms += -self.rng.f64().max(1e-12).ln() / per_s * 1_000.0;
                if at_ms >= plan.duration_ms as f64 {
                    break;
                }
                let entry = (first_entry + 7 * self.rng.usize(..account.entries)) % plan.instances;
                let area = if self.rng.f64() < REMOTE_SHARE {
                    self.rng.usize(..plan.data_centres)
                } else {
                    entry % plan.data_centres
                };
                let service = self.rng.usize(..SERVICES);
                let request = Request {
                    account: number,
                    entry,
                    sent_us: (at_ms * 1_000.0) as u64,
                    pool: service * plan.data_centres + area,
                    polls: 0,
                    owners_tried: Vec::new(),
                };
                self.schedule_at(request.sent_us, Event::Arrive(request));
            }
        }
    }

    fn run(&mut self) {
        let mut next_check_us = 0;
        while let Some(((at_us, _), event)) = self.events.pop_first() {
            if at_us > self.plan.duration_ms * 1_000 {
                return;
            }
            while next_check_us <= at_us {
                self.now_us = next_check_us;
                self.apply_faults();
                next_check_us += 10_000;
            }
            self.now_us = at_us;
            self.handle(event);
        }
    }

    fn has_fault(&self, instance: usize, kinds: &[FaultKind]) -> bool {
        let now_ms = self.now_us / 1_000;
        let mut faults = self.plan.faults.iter();
        faults.any(|fault| kinds.contains(&fault.kind) && fault.is_active(instance, now_ms))
    }

    fn is_cut_from_store(&self, instance: usize) -> bool {
        let kinds = [
            FaultKind::Cut,
            FaultKind::Partition,
            FaultKind::CutIn,
            FaultKind::CutOut,
        ];
        self.has_fault(instance, &kinds)
    }

    fn are_partitioned(&self, one: usize, other: usize) -> bool {
        let kinds = [FaultKind::Partition];
        self.has_fault(one, &kinds) != self.has_fault(other, &kinds)
    }

    /// Kills and restarts processes, and updates the number of instances that each knows.
    fn apply_faults(&mut self) {
        for instance in 0..self.plan.instances {
            let is_down = self.has_fault(instance, &[FaultKind::Kill]);
            let process = &mut self.processes[instance];
            if is_down && process.is_running {
                process.is_running = false;
            } else if !is_down && !process.is_running {
                *process = Process::new(process.incarnation + 1, self.now_us);
                self.start_ticks(instance);
            }
            let is_alive = self.processes[instance].is_running
                && !self.has_fault(instance, &[FaultKind::Freeze])
                && !self.is_cut_from_store(instance);
            if is_alive {
                self.last_seen_us[instance] = self.now_us;
            }
        }
        let now_us = self.now_us;
        let seen = self.last_seen_us.iter();
        let is_listed = |seen_us: &&u64| now_us - **seen_us < LISTED_MS * 1_000;
        let listed = seen.filter(is_listed).count() as u32;
        for instance in 0..self.plan.instances {
            let uptime_us = now_us.saturating_sub(self.processes[instance].started_us);
            let is_partial = self.plan.has_partial_lists && uptime_us < PARTIAL_LIST_MS * 1_000;
            let is_new = self.processes[instance].known == 0;
            if is_new || !self.is_cut_from_store(instance) {
                self.processes[instance].known = if is_partial {
                    listed.div_ceil(2)
                } else {
                    listed
                };
            }
        }
    }

    fn frozen_until_us(&self, instance: usize) -> Option<u64> {
        let now_ms = self.now_us / 1_000;
        let faults = self.plan.faults.iter();
        let active = faults
            .filter(|fault| fault.kind == FaultKind::Freeze && fault.is_active(instance, now_ms));
        active.map(|fault| fault.end_ms() * 1_000).max()
    }

    fn handle(&mut self, event: Event) {
        let instance = match &event {
            Event::Arrive(request) => request.entry,
            Event::Deliver(_, to, _) => *to,
            Event::CallTimeout(instance, ..)
            | Event::ChargeTimeout(instance, ..)
            | Event::Tick(instance, _) => *instance,
        };
        if !self.processes[instance].is_running {
            return;
        }
        if let Some(until_us) = self.frozen_until_us(instance) {
            return self.schedule_at(until_us.max(self.now_us + 1), event);
        }
        let current = self.processes[instance].incarnation;
        match event {
            Event::Arrive(request) => self.ask_pool(request),
            Event::Deliver(from, to, body) => self.deliver(from, to, body),
            Event::CallTimeout(_, incarnation, call) if incarnation == current => {
                self.time_out(instance, call);
            }
            Event::ChargeTimeout(_, incarnation, group, number) if incarnation == current => {
                let waiters = &mut self.processes[instance].waiters[group];
                let at = waiters.iter().position(|waiter| waiter.number == number);
                if let Some(at) = at {
                    let waiter = waiters.remove(at);
                    self.answer_permit(instance, &waiter.request, waiter.permit, Verdict::Pending);
                }
            }
            Event::Tick(_, incarnation) if incarnation == current => self.tick(instance),
            Event::CallTimeout(..) | Event::ChargeTimeout(..) | Event::Tick(..) => {}
        }
    }

    fn now_ms(&self, instance: usize) -> u64 {
        self.now_us
            .saturating_sub(self.processes[instance].started_us)
            / 1_000
    }

    fn send(&mut self, from: usize, to: usize, body: Body) {
        if from == to {
            return self.schedule(1, Event::Deliver(from, to, body));
        }
        let is_lost = self.has_fault(from, &[FaultKind::Cut, FaultKind::CutOut])
            || self.has_fault(to, &[FaultKind::Cut, FaultKind::CutIn])
            || self.are_partitioned(from, to);
        if is_lost {
            return;
        }
        let between_us = if from % self.plan.data_centres == to % self.plan.data_centres {
            200
        } else {
            1_100
        };
        let delay_us = between_us + self.rng.u64(0..2_000);
        self.schedule(delay_us, Event::Deliver(from, to, body));
    }

    fn take_time(&mut self, from: usize, to: usize) -> Option<ClockedShare> {
        let now_ms = self.now_ms(from);
        let process = &mut self.processes[from];
        let clock_ms = if from == to {
            now_ms
        } else {
            queries::peer_clock_ms(&process.time, &name(to), now_ms)?
        };
        let share = commands::take_share(&mut process.time, KnownFleet::new(process.known), now_ms);
        Some((clock_ms, share))
    }

    fn add_time(&mut self, instance: usize, (clock_ms, share): ClockedShare) {
        let now_ms = self.now_ms(instance);
        if let Some(age_ms) = queries::transit_ms(clock_ms, now_ms) {
            for cache in &mut self.processes[instance].caches {
                commands::add_share(&mut cache.time, share, age_ms, now_ms);
            }
        }
    }

    fn record_failure(&mut self, instance: usize, peer: usize) {
        let backoffs = &mut self.processes[instance].backoffs;
        let (until_us, failures) = backoffs.entry(peer).or_default();
        let backoff_ms = (BACKOFF_MS.0 << (*failures).min(16)).min(BACKOFF_MS.1);
        *until_us = self.now_us + backoff_ms * 1_000;
        *failures += 1;
        commands::forget_clock(&mut self.processes[instance].time, &name(peer));
    }

    /// Records what a response says about its sender.
    fn record_clock(&mut self, instance: usize, peer: usize, peer_ms: u64) {
        self.processes[instance].backoffs.remove(&peer);
        let own_ms = self.now_ms(instance);
        let clock = PeerClock { peer_ms, own_ms };
        commands::record_clock(&mut self.processes[instance].time, &name(peer), clock);
    }

    fn first_usable(&self, instance: usize, order: &[usize], tried: &[usize]) -> Option<usize> {
        let backoffs = &self.processes[instance].backoffs;
        let mut usable = order.iter().copied();
        usable.find(|owner| {
            let (until_us, _) = backoffs.get(owner).copied().unwrap_or_default();
            let is_listed = self.now_us - self.last_seen_us[*owner] < LISTED_MS * 1_000
                || self.is_cut_from_store(instance);
            is_listed && !tried.contains(owner) && until_us <= self.now_us
        })
    }

    /// Asks the pool's next owner for a slot; after two without an answer the instance charges the request itself.
    fn ask_pool(&mut self, mut request: Request) {
        let order = &self.pool_orders[request.pool];
        let owner = self.first_usable(request.entry, order, &request.owners_tried);
        let owner = owner.filter(|_| request.owners_tried.len() < OWNERS_MAX);
        let owner = owner.unwrap_or(request.entry);
        request.owners_tried.push(owner);
        self.send_permit(request, owner);
    }

    fn send_permit(&mut self, request: Request, owner: usize) {
        let entry = request.entry;
        let time = self.take_time(entry, owner);
        let call = PendingCall::Permit(request.clone(), owner);
        let number = self.begin_call(entry, call);
        self.send(entry, owner, Body::Permit(number, request, time));
    }

    fn begin_call(&mut self, instance: usize, call: PendingCall) -> u64 {
        self.next_number += 1;
        let number = self.next_number;
        let process = &mut self.processes[instance];
        process.calls.insert(number, call);
        let timeout = Event::CallTimeout(instance, process.incarnation, number);
        self.schedule(CALL_TIMEOUT_MS * 1_000, timeout);
        number
    }

    fn finish(&mut self, request: &Request, verdict: Verdict) {
        let arrived_ms = self.now_us / 1_000;
        let sent_ms = request.sent_us / 1_000;
        let outcome = &mut self.record.outcomes[request.account];
        match verdict {
            Verdict::Run => outcome.runs.push(Run {
                sent_ms,
                arrived_ms,
            }),
            Verdict::Refused => outcome.refused_ms.push(sent_ms),
            Verdict::Overloaded | Verdict::Pending => {}
        }
    }

    /// Returns the terms of an account by the limits that the instance knows; instances learn a change at different times.
    fn terms(&self, instance: usize, account: usize) -> QuotaTerms {
        let plan = &self.plan.accounts[account];
        let delay_ms = (instance as u64 * 619) % CHANGE_MS;
        let changes = plan.changes.iter();
        let mut known = changes.filter(|(at_ms, _)| (at_ms + delay_ms) * 1_000 <= self.now_us);
        let rate_milli = known.next_back().map_or(plan.rate_milli, |(_, rate)| *rate);
        QuotaTerms::new(&RULE, rate_milli, plan.burst_requests)
    }

    fn deliver(&mut self, from: usize, to: usize, body: Body) {
        let now_ms = self.now_ms(to);
        match body {
            Body::Permit(call, request, time) => {
                if let Some(time) = time {
                    self.add_time(to, time);
                }
                self.charge(to, request, call);
            }
            Body::PermitAnswer(call, verdict, clock_ms) => {
                if let Some(PendingCall::Permit(request, owner)) =
                    self.processes[to].calls.remove(&call)
                {
                    self.record_clock(to, from, clock_ms);
                    self.end_permit(request, owner, verdict);
                }
            }
            Body::Take(call, group, take, clock_ms) => {
                let age_ms = clock_ms.and_then(|clock_ms| queries::transit_ms(clock_ms, now_ms));
                if let Some(age_ms) = age_ms {
                    let ledger = &mut self.processes[to].ledgers[group];
                    commands::add_time(ledger, &take.parts, age_ms, now_ms);
                }
                let grants = self.grant(to, group, &take);
                self.send(to, from, Body::TakeAnswer(call, grants, now_ms));
            }
            Body::TakeAnswer(call, grants, clock_ms) => {
                if let Some(PendingCall::Take(pending)) = self.processes[to].calls.remove(&call) {
                    self.record_clock(to, from, clock_ms);
                    let age_ms = now_ms - pending.take.begun_ms;
                    let cache = &mut self.processes[to].caches[pending.group];
                    commands::add_parts(&mut cache.time, &pending.unsent, age_ms, now_ms);
                    self.end_take(to, pending.group, &pending.take, &grants);
                }
            }
            Body::Time(call, time) => {
                self.record.time_passes += 1;
                if let Some(time) = time {
                    self.add_time(to, time);
                }
                self.send(to, from, Body::TimeAnswer(call, now_ms));
            }
            Body::TimeAnswer(call, clock_ms) => {
                if self.processes[to].calls.remove(&call).is_some() {
                    self.record_clock(to, from, clock_ms);
                }
            }
        }
    }

    fn end_permit(&mut self, mut request: Request, owner: usize, verdict: Verdict) {
        match verdict {
            Verdict::Pending if request.polls < POLLS_MAX => {
                request.polls += 1;
                self.send_permit(request, owner);
            }
            Verdict::Pending => self.finish(&request, Verdict::Refused),
            Verdict::Run | Verdict::Overloaded | Verdict::Refused => {
                self.finish(&request, verdict);
            }
        }
    }

    fn grant(&mut self, instance: usize, group: usize, take: &QuotaCall) -> Vec<CreditGrant> {
        let now_ms = self.now_ms(instance);
        let mut grants = Vec::new();
        for ask in &take.asks {
            let terms = self.terms(instance, account_number(&ask.account));
            let ledger = &mut self.processes[instance].ledgers[group];
            grants.push(commands::take_credit(ledger, ask, &terms, now_ms).grant);
        }
        grants
    }

    /// Charges a request at a pool's owner.
    fn charge(&mut self, owner: usize, request: Request, permit: u64) {
        let account = account_name(request.account);
        let group = queries::account_group(&account);
        let terms = self.terms(owner, request.account);
        let now_ms = self.now_ms(owner);
        let cache = &mut self.processes[owner].caches[group];
        let outcome = commands::begin_charge(cache, &account, &terms, now_ms);
        self.end_charge(owner, group, request, permit, outcome);
    }

    fn end_charge(
        &mut self,
        owner: usize,
        group: usize,
        request: Request,
        permit: u64,
        outcome: ChargeOutcome,
    ) {
        match outcome {
            ChargeOutcome::Charged(valid_ms) => {
                let verdict = if self.rng.f64() < OVERLOADED_SHARE {
                    self.refund(owner, group, request.account, valid_ms);
                    Verdict::Overloaded
                } else {
                    Verdict::Run
                };
                self.answer_permit(owner, &request, permit, verdict);
            }
            ChargeOutcome::Refused(_) => {
                self.answer_permit(owner, &request, permit, Verdict::Refused);
            }
            ChargeOutcome::Wait(call) => {
                self.next_number += 1;
                let number = self.next_number;
                let process = &mut self.processes[owner];
                process.waiters[group].push(Waiter {
                    number,
                    call,
                    permit,
                    request,
                });
                let timeout = Event::ChargeTimeout(owner, process.incarnation, group, number);
                self.schedule(CHARGE_WAIT_MS * 1_000, timeout);
                self.start_take(owner, group);
            }
        }
    }

    fn refund(&mut self, owner: usize, group: usize, account: usize, valid_ms: u64) {
        let terms = self.terms(owner, account);
        let now_ms = self.now_ms(owner);
        let cache = &mut self.processes[owner].caches[group];
        commands::refund(cache, &account_name(account), &terms, valid_ms, now_ms);
    }

    fn answer_permit(&mut self, owner: usize, request: &Request, permit: u64, verdict: Verdict) {
        let clock_ms = self.now_ms(owner);
        let body = Body::PermitAnswer(permit, verdict, clock_ms);
        self.send(owner, request.entry, body);
    }

    fn start_take(&mut self, instance: usize, group: usize) {
        let now_ms = self.now_ms(instance);
        let cache = &mut self.processes[instance].caches[group];
        if let Some(take) = commands::begin_call(cache, now_ms) {
            self.send_take(instance, group, take, Vec::new());
        }
    }

    /// Calls the group's next owner; after two without an answer the instance uses the time that it has. What that does not pay
    /// for waits for the next call.
    fn send_take(
        &mut self,
        instance: usize,
        group: usize,
        mut take: QuotaCall,
        mut tried: Vec<usize>,
    ) {
        let now_ms = self.now_ms(instance);
        let next = self.first_usable(instance, &self.group_orders[group], &tried);
        let next = next.filter(|owner| *owner != instance);
        let owner = next.filter(|_| tried.len() < OWNERS_MAX);
        let elapsed_ms = now_ms - take.begun_ms;
        take.begun_ms = now_ms;
        for part in &mut take.parts {
            part.age_ms += elapsed_ms;
        }
        let Some(owner) = owner else {
            let ledger = &mut self.processes[instance].ledgers[group];
            commands::add_time(ledger, &take.parts, 0, now_ms);
            let mut grants = self.grant(instance, group, &take);
            if next.is_some() {
                // Another instance is the quota owner: nobody is refused yet.
                grants.iter_mut().for_each(|grant| grant.retry_after_ms = 0);
            }
            return self.end_take(instance, group, &take, &grants);
        };
        tried.push(owner);
        let clock_ms = queries::peer_clock_ms(&self.processes[instance].time, &name(owner), now_ms);
        let mut sent = take.clone();
        let unsent = match clock_ms {
            Some(_) => Vec::new(),
            None => std::mem::take(&mut sent.parts),
        };
        let call = PendingCall::Take(PendingTake {
            group,
            take,
            unsent,
            owner,
            tried,
        });
        let number = self.begin_call(instance, call);
        self.record.quota_takes += 1;
        self.send(instance, owner, Body::Take(number, group, sent, clock_ms));
    }

    fn end_take(
        &mut self,
        instance: usize,
        group: usize,
        take: &QuotaCall,
        grants: &[CreditGrant],
    ) {
        let now_ms = self.now_ms(instance);
        let cache = &mut self.processes[instance].caches[group];
        commands::add_grants(cache, take, grants, now_ms);
        for waiter in std::mem::take(&mut self.processes[instance].waiters[group]) {
            let account = account_name(waiter.request.account);
            let terms = self.terms(instance, waiter.request.account);
            let cache = &mut self.processes[instance].caches[group];
            let outcome = commands::charge(cache, &account, &terms, waiter.call, now_ms);
            if let ChargeOutcome::Wait(call) = outcome {
                let waiter = Waiter { call, ..waiter };
                self.processes[instance].waiters[group].push(waiter);
            } else {
                self.end_charge(instance, group, waiter.request, waiter.permit, outcome);
            }
        }
        if commands::is_call_due(&self.processes[instance].caches[group]) {
            self.start_take(instance, group);
        }
    }

    fn time_out(&mut self, instance: usize, number: u64) {
        let Some(call) = self.processes[instance].calls.remove(&number) else {
            return;
        };
        match call {
            PendingCall::Permit(request, owner) => {
                self.record_failure(instance, owner);
                self.ask_pool(request);
            }
            PendingCall::Time(gatherer) => {
                self.record_failure(instance, gatherer);
            }
            PendingCall::Take(pending) => {
                self.record_failure(instance, pending.owner);
                // What was sent is lost.
                let take = QuotaCall {
                    parts: pending.unsent,
                    ..pending.take
                };
                self.send_take(instance, pending.group, take, pending.tried);
            }
        }
    }

    fn tick(&mut self, instance: usize) {
        let incarnation = self.processes[instance].incarnation;
        self.schedule(TICK_MS * 1_000, Event::Tick(instance, incarnation));
        let now_ms = self.now_ms(instance);
        if queries::unpassed_ms(&self.processes[instance].time, now_ms) >= IDLE_PASS_MS {
            self.pass_idle_time(instance);
        }
        for group in 0..GROUP_COUNT {
            self.start_take(instance, group);
            let process = &mut self.processes[instance];
            commands::end_refusals(&mut process.ledgers[group], now_ms);
            commands::evict_idle_accounts(&mut process.caches[group], now_ms);
        }
    }

    fn pass_idle_time(&mut self, instance: usize) {
        let order = &self.pool_orders[instance % self.plan.data_centres];
        let Some(gatherer) = self.first_usable(instance, order, &[]) else {
            return;
        };
        let time = self.take_time(instance, gatherer);
        if gatherer != instance {
            let call = self.begin_call(instance, PendingCall::Time(gatherer));
            return self.send(instance, gatherer, Body::Time(call, time));
        }
        if let Some(time) = time {
            self.add_time(instance, time);
        }
    }
}

fn name(instance: usize) -> String {
    format!("i{instance}")
}

fn account_name(account: usize) -> String {
    format!("account-{account}")
}

fn account_number(name: &str) -> usize {
    let digits = name.trim_start_matches("account-");
    digits.parse().expect("the name of an account")
}
