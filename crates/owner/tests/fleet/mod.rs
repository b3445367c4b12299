//! A fleet of instances that send requests of one service to servers that fail nearly all of them, without network.
//!
//! Every instance may own the service's pool, by its own view, and acquires permits and credit as the daemon does. Calls are
//! lost, delayed and answered in vain on schedule. The servers record what arrives.

use {
    faults::{FaultTerms, RandomFault},
    member::{queries::owner_order, BackendServer, Instance, View},
    outlier::AttemptOutcome,
    owner::{
        commands::{acquire, apply_limit_share, apply_server_list, release},
        AcquireOutcome, AcquireRequest, LimitShare, NamedLimit, PoolState, Release,
    },
    permit::{
        commands::{
            add_credit, issue_credit, record_activity, record_fleet_size, try_spend_credit,
        },
        CreditAccount, CreditTerms, FleetSize, StallDetector, ACTIVITY_INTERVAL_MS,
    },
    std::collections::{BTreeMap, VecDeque},
    types::Priority,
};

/// Length of the retry window, in milliseconds.
pub(crate) const WINDOW_MS: u64 = 10_000;
/// Retries that are allowed in a window, as a percentage of the requests.
pub(crate) const PERCENT: u32 = 20;
/// Retries that are allowed in a window beyond the percentage.
pub(crate) const SLACK: u32 = 60;
/// Number of instances.
pub(crate) const INSTANCES: usize = 10;
/// Length of a run, in milliseconds. Faults begin once a window has passed.
pub(crate) const DURATION_MS: u64 = 45_000;
const STEP_MS: u64 = 5;
const REQUESTS_PER_S: f64 = 60.0;
/// Share of the attempts that fail.
const FAILED_SHARE: f64 = 0.9;
const ATTEMPTS_MAX: u32 = 4;
/// Time until a failed attempt is tried again, in milliseconds.
const RETRY_DELAY_MS: u64 = 20;
/// Time for which an instance does not call another one that did not respond, in milliseconds.
const BACKOFF_MS: u64 = 1_000;
/// Owners that are called before the server is chosen without one.
const OWNERS_MAX: usize = 2;
/// Number of servers.
pub(crate) const SERVERS: usize = 4;
/// Time after an answer that names a limit from which it binds the instance that got it, in milliseconds.
const TOLD_MS: u64 = 500;
const SERVICE: &str = "orders";
const AREA: &str = "dc";

/// What goes wrong.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum FaultKind {
    /// The instances' processes are killed at the begin and run again at the end.
    Kill,
    /// The instances' processes stand still; calls to them are handled afterwards.
    Freeze,
    /// No call between these instances and others arrives.
    Cut,
    /// The instances' answers to others are lost.
    AnswersLost,
    /// The other instances do not know these ones, so that pools have two owners.
    Unknown,
}

pub(crate) type Fault = faults::Fault<FaultKind>;

const KINDS: [FaultKind; 5] = [
    FaultKind::Kill,
    FaultKind::Freeze,
    FaultKind::Cut,
    FaultKind::AnswersLost,
    FaultKind::Unknown,
];
/// Most faults of a random run.
pub(crate) const RANDOM_FAULTS: usize = 8;

/// Returns a fault that begins once a window has passed.
pub(crate) fn random_fault(random: &RandomFault) -> Fault {
    let kind = random.kind(&KINDS);
    let terms = FaultTerms {
        begin_ms: WINDOW_MS..DURATION_MS - WINDOW_MS,
        duration_ms: 100..6_100,
        instances: INSTANCES,
        affected_max: match kind {
            // An instance serves nobody before it has a list, and few are missing in a list.
            FaultKind::Unknown => INSTANCES / 2,
            _ => INSTANCES,
        },
        stride: 3,
    };
    random.to_fault(kind, &terms)
}

/// What the servers saw.
#[derive(Clone, Debug, Default)]
pub(crate) struct Record {
    /// Times at which callers sent a request, in milliseconds.
    pub(crate) requests_ms: Vec<u64>,
    /// Times at which a request arrived once more, in milliseconds.
    pub(crate) repeats_ms: Vec<u64>,
    /// By server: times at which requests arrived from instances that it had told its limit, in milliseconds.
    pub(crate) limited_ms: [Vec<u64>; SERVERS],
    /// Requests that were never granted a slot.
    pub(crate) refused: usize,
}

/// A request at the instance that received it.
#[derive(Clone, Debug)]
struct Request {
    entry: usize,
    incarnation: u64,
    is_first_call: bool,
    attempts: u32,
}

/// A permit request that waits at an instance that stands still.
#[derive(Clone, Copy, Debug)]
struct DelayedCall {
    entry: usize,
    is_retry: bool,
    credit_milli: u64,
}

struct Process {
    incarnation: u64,
    started_ms: u64,
    is_running: bool,
    pool: Option<PoolState>,
    account: CreditAccount,
    fleet_size: FleetSize,
    stall_detector: StallDetector,
    delayed: Vec<DelayedCall>,
    /// By instance: the time until which it is not called, in milliseconds.
    backoff_until_ms: BTreeMap<usize, u64>,
    /// By server: time of its first answer that named a limit, in milliseconds.
    told_ms: [Option<u64>; SERVERS],
    /// Time up to which it has passed its part of the limits on, in milliseconds.
    passed_ms: u64,
}

impl Process {
    fn new(incarnation: u64, started_ms: u64) -> Self {
        Self {
            incarnation,
            started_ms,
            is_running: true,
            pool: None,
            account: CreditAccount::default(),
            fleet_size: FleetSize::default(),
            stall_detector: StallDetector::default(),
            delayed: Vec::new(),
            backoff_until_ms: BTreeMap::new(),
            told_ms: [None; SERVERS],
            passed_ms: started_ms,
        }
    }
}

struct Fleet {
    now_ms: u64,
    rng: fastrand::Rng,
    faults: Vec<Fault>,
    processes: Vec<Process>,
    /// Requests that are tried at a time, in milliseconds.
    due: BTreeMap<u64, VecDeque<Request>>,
    record: Record,
    /// By server: its limit, in thousandths of a request a second; 0 for none.
    limits_milli: [u64; SERVERS],
}

/// Plays a run with these faults, in which the servers name limits in thousandths of a request a second, 0 for none; returns
/// what the servers saw.
pub(crate) fn play(seed: u64, faults: &[Fault], limits_milli: [u64; SERVERS]) -> Record {
    let mut fleet = Fleet {
        limits_milli,
        now_ms: 0,
        rng: fastrand::Rng::with_seed(seed),
        faults: faults.to_vec(),
        processes: (0..INSTANCES).map(|_| Process::new(1, 0)).collect(),
        due: BTreeMap::new(),
        record: Record::default(),
    };
    while fleet.now_ms < DURATION_MS {
        fleet.apply_faults();
        fleet.accept_requests();
        fleet.try_due_requests();
        fleet.now_ms += STEP_MS;
    }
    fleet.record
}

impl Fleet {
    fn has_fault(&self, instance: usize, kinds: &[FaultKind]) -> bool {
        let mut faults = self.faults.iter();
        faults.any(|fault| kinds.contains(&fault.kind) && fault.is_active(instance, self.now_ms))
    }

    fn apply_faults(&mut self) {
        for instance in 0..INSTANCES {
            let is_running = self.processes[instance].is_running;
            let is_down = self.has_fault(instance, &[FaultKind::Kill]);
            if is_down && is_running {
                let process = &mut self.processes[instance];
                process.is_running = false;
                process.pool = None;
            } else if !is_down && !is_running {
                let incarnation = self.processes[instance].incarnation + 1;
                self.processes[instance] = Process::new(incarnation, self.now_ms);
            }
            if !self.has_fault(instance, &[FaultKind::Freeze]) {
                if self.now_ms.is_multiple_of(ACTIVITY_INTERVAL_MS) {
                    self.is_catching_up(instance);
                }
                for call in std::mem::take(&mut self.processes[instance].delayed) {
                    // The caller has given up, so a permit is granted in vain.
                    self.acquire_at(call.entry, instance, call.is_retry, call.credit_milli, 0);
                }
            }
        }
    }

    fn accept_requests(&mut self) {
        let count = REQUESTS_PER_S * STEP_MS as f64 / 1_000.0;
        if self.rng.f64() >= count {
            return;
        }
        self.record.requests_ms.push(self.now_ms);
        let entry = self.rng.usize(..INSTANCES);
        if self.processes[entry].is_running {
            let request = Request {
                entry,
                incarnation: self.processes[entry].incarnation,
                is_first_call: true,
                attempts: 0,
            };
            self.due.entry(self.now_ms).or_default().push_back(request);
        }
    }

    fn try_due_requests(&mut self) {
        while let Some(entry) = self
            .due
            .first_entry()
            .filter(|due| *due.key() <= self.now_ms)
        {
            for request in entry.remove() {
                self.try_request(request);
            }
        }
    }

    fn schedule(&mut self, request: Request, delay_ms: u64) {
        let at_ms = self.now_ms + delay_ms.max(STEP_MS);
        self.due.entry(at_ms).or_default().push_back(request);
    }

    /// Acquires a permit for a request and sends it, unless the process that received it has ended.
    fn try_request(&mut self, mut request: Request) {
        let entry = request.entry;
        let process = &self.processes[entry];
        if !process.is_running || process.incarnation != request.incarnation {
            return;
        }
        if self.has_fault(entry, &[FaultKind::Freeze]) {
            return self.schedule(request, STEP_MS);
        }
        let is_retry = request.attempts > 0;
        let mut credit_milli = if request.is_first_call {
            self.issue(entry)
        } else {
            0
        };
        request.is_first_call = false;
        let mut granted = None;
        let view = self.view_of(entry);
        let owners = owner_order(&view, SERVICE, AREA);
        let owners: Vec<usize> = owners.iter().map(|owner| index_of(&owner.name)).collect();
        let usable = owners
            .into_iter()
            .filter(|owner| !self.is_in_backoff(entry, *owner));
        let usable: Vec<usize> = usable.take(OWNERS_MAX).collect();
        for owner in usable {
            granted = self.call_owner(entry, owner, is_retry, &mut credit_milli);
            if granted.is_some() {
                break;
            }
            let until_ms = self.now_ms + BACKOFF_MS;
            let backoffs = &mut self.processes[entry].backoff_until_ms;
            backoffs.insert(owner, until_ms);
        }
        let granted = granted.unwrap_or_else(|| self.choose_locally(entry, is_retry));
        self.keep_credit(entry, credit_milli);
        match granted {
            Some(server) => self.send(request, server),
            None if !is_retry => self.record.refused += 1,
            None => {}
        }
    }

    fn send(&mut self, mut request: Request, server: usize) {
        if self.limits_milli[server] > 0 {
            let told_ms = self.processes[request.entry].told_ms[server].get_or_insert(self.now_ms);
            if *told_ms + TOLD_MS <= self.now_ms {
                self.record.limited_ms[server].push(self.now_ms);
            }
        }
        if request.attempts > 0 {
            self.record.repeats_ms.push(self.now_ms);
        }
        request.attempts += 1;
        if request.attempts < ATTEMPTS_MAX && self.rng.f64() < FAILED_SHARE {
            self.schedule(request, RETRY_DELAY_MS);
        }
    }

    fn is_in_backoff(&self, entry: usize, owner: usize) -> bool {
        let until_ms = self.processes[entry].backoff_until_ms.get(&owner);
        until_ms.is_some_and(|&until_ms| self.now_ms < until_ms)
    }

    /// Calls an owner; returns none if no answer arrives, otherwise the server that it granted a permit for, if any.
    fn call_owner(
        &mut self,
        entry: usize,
        owner: usize,
        is_retry: bool,
        credit_milli: &mut u64,
    ) -> Option<Option<usize>> {
        if !self.processes[owner].is_running {
            // The connection is refused, so the credit has not left the entry.
            return None;
        }
        let passed_milli = std::mem::take(credit_milli);
        let process = &mut self.processes[entry];
        let share_ms = self.now_ms - std::mem::replace(&mut process.passed_ms, self.now_ms);
        let is_remote = entry != owner;
        let cut = [FaultKind::Cut];
        if is_remote && (self.has_fault(entry, &cut) || self.has_fault(owner, &cut)) {
            return None;
        }
        if self.has_fault(owner, &[FaultKind::Freeze]) {
            let call = DelayedCall {
                entry,
                is_retry,
                credit_milli: passed_milli,
            };
            self.processes[owner].delayed.push(call);
            return None;
        }
        let granted = self.acquire_at(entry, owner, is_retry, passed_milli, share_ms);
        let is_lost = is_remote && self.has_fault(owner, &[FaultKind::AnswersLost]);
        (!is_lost).then_some(granted)
    }

    /// Acquires a permit at an owner, which opens the pool if needed, and releases it at once; returns its server.
    fn acquire_at(
        &mut self,
        entry: usize,
        owner: usize,
        is_retry: bool,
        credit_milli: u64,
        share_ms: u64,
    ) -> Option<usize> {
        if !self.processes[owner].is_running {
            return None;
        }
        let is_catching_up = self.is_catching_up(owner);
        let (credit_milli, share_ms) = if is_catching_up {
            (0, 0)
        } else {
            (credit_milli, share_ms)
        };
        let now_ms = self.now_ms;
        let names: Vec<String> = (0..SERVERS).map(|number| format!("s{number}")).collect();
        let told = names.iter().enumerate().filter_map(|(number, server)| {
            let named_ms = self.processes[entry].told_ms[number]?;
            Some(NamedLimit {
                server,
                limit_milli: self.limits_milli[number],
                started_at_ms: 0,
                named_ms,
            })
        });
        let limits: Vec<NamedLimit<'_>> = told.collect();
        let share = LimitShare {
            limits: &limits,
            share_ms,
            instances: self.known_instances(entry),
        };
        let request = AcquireRequest {
            acquire_id: 1,
            ticket: None,
            is_retry,
            credit_milli,
            idempotent: true,
            deadline_ms: now_ms + 1_000,
            account: None,
            priority: Priority::default(),
            data_centre: AREA,
            body_bytes: 0,
            may_queue: false,
            exclude: &[],
        };
        let pool = &mut self.processes[owner].pool;
        let state = pool.get_or_insert_with(|| new_pool(now_ms));
        apply_limit_share(state, &share, now_ms);
        match acquire(state, &request, now_ms) {
            AcquireOutcome::Granted(permit, server) => {
                let server = state.pool.names.name(server).to_owned();
                let ended = Release {
                    permit: Some(permit),
                    acquire_id: 1,
                    server: &server,
                    outcome: AttemptOutcome::Inconclusive,
                    response_us: None,
                    is_leaving: false,
                };
                release(state, &ended, now_ms);
                Some(index_of(&server))
            }
            _ => None,
        }
    }

    /// Returns whether a process works off what arrived while it stood still.
    fn is_catching_up(&mut self, instance: usize) -> bool {
        let process = &mut self.processes[instance];
        let uptime_ms = self.now_ms - process.started_ms;
        record_activity(&mut process.stall_detector, uptime_ms)
    }

    /// Issues the credit for a request that an instance has received.
    fn issue(&mut self, entry: usize) -> u64 {
        if self.is_catching_up(entry) {
            return 0;
        }
        let now_ms = self.now_ms;
        let instances = self.known_instances(entry);
        let process = &mut self.processes[entry];
        let terms = CreditTerms {
            window_ms: WINDOW_MS,
            percent: PERCENT,
            fleet_slack: SLACK,
            instances,
        };
        issue_credit(&mut process.account, terms, now_ms - process.started_ms)
    }

    /// Returns the largest number of instances that an instance has known within a window.
    fn known_instances(&mut self, instance: usize) -> u32 {
        let known = member::queries::instance_count(&self.view_of(instance)) as u32;
        let now_ms = self.now_ms;
        let process = &mut self.processes[instance];
        record_fleet_size(&mut process.fleet_size, known, WINDOW_MS, now_ms)
    }

    /// Chooses a server without a limit that this instance knows of.
    fn choose_locally(&mut self, entry: usize, is_retry: bool) -> Option<usize> {
        let process = &mut self.processes[entry];
        let server = process.told_ms.iter().position(Option::is_none)?;
        let is_allowed = !is_retry || try_spend_credit(&mut process.account.budget, self.now_ms);
        is_allowed.then_some(server)
    }

    fn keep_credit(&mut self, entry: usize, credit_milli: u64) {
        let budget = &mut self.processes[entry].account.budget;
        add_credit(budget, credit_milli, self.now_ms);
    }

    /// Returns the instances that an instance knows; it always knows itself.
    fn view_of(&self, instance: usize) -> View {
        let known = (0..INSTANCES)
            .filter(|&other| other == instance || !self.has_fault(other, &[FaultKind::Unknown]));
        let address = ([127, 0, 0, 1], 1).into();
        let known = known.map(|other| Instance::new(&format!("i{other}"), AREA, address));
        View::new(1, known.collect(), Vec::new())
    }
}

fn index_of(name: &str) -> usize {
    let number = name.trim_start_matches(['i', 's']).parse();
    number.expect("instances and servers are named by their number")
}

fn new_pool(now_ms: u64) -> PoolState {
    let mut state = PoolState::new(SERVICE, AREA, now_ms);
    let address = ([127, 0, 0, 1], 2).into();
    let servers = (0..SERVERS)
        .map(|number| BackendServer::new(&format!("s{number}"), SERVICE, AREA, address, 100_000));
    let view = View::new(1, Vec::new(), servers.collect());
    apply_server_list(&mut state, &view, now_ms);
    state
}
