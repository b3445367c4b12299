//! The state of an emulation and its statistics.

use {
    crate::Policy,
    config::{DetectionMode, Service},
    fastrand::Rng,
    member::{BackendServer, View},
    outlier::AttemptOutcome,
    owner::{
        commands::{apply_server_list, apply_service_config},
        PoolState,
    },
    permit::CreditAccount,
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, VecDeque},
        net::SocketAddr,
    },
    types::{PermitId, ServerIndex},
};

/// Name of the pool's service.
const SERVICE: &str = "orders";
/// Name of the pool's area.
const AREA: &str = "dc";

/// Result of one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// A complete response after this many milliseconds.
    Served(u64),
    /// A failure at a server.
    Failed,
    /// Refused without having run.
    Refused,
}

/// An attempt of a request at a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Attempt {
    /// Index of the server.
    pub server: usize,
    /// Time at which it was sent, in milliseconds.
    pub started_ms: u64,
    /// Time at which it ended, in milliseconds.
    pub ended_ms: u64,
    /// Whether it failed at the server.
    pub is_failed: bool,
    /// Whether its request may run more than once.
    pub is_idempotent: bool,
    /// Whether its request was sent to a server before.
    pub is_retry: bool,
    /// Whether its server was failing most of its requests when it was sent.
    pub is_to_failing: bool,
}

/// Statistics of one run.
#[derive(Clone, Debug, Default)]
pub struct RunStats {
    /// Outcome of each request with its arrival time, in milliseconds.
    pub outcomes: Vec<(u64, Outcome)>,
    /// Every attempt that has ended, in the order of their ends.
    pub attempts: Vec<Attempt>,
    /// Attempts sent to a server that was failing.
    pub sent_to_failing: u64,
    /// Attempts that a full server shed.
    pub shed: u64,
    /// Attempts after the first of a request.
    pub retries: u64,
}

/// A request that has not ended.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) arrived_ms: u64,
    pub(crate) deadline_ms: u64,
    pub(crate) idempotent: bool,
    pub(crate) attempts: u32,
    pub(crate) tried_servers: Vec<ServerIndex>,
}

/// Result of an attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptResult {
    /// Whether it completed.
    pub(crate) is_completed: bool,
    /// Whether a full server shed it.
    pub(crate) is_shed: bool,
    /// Whether its server was failing most of its requests when it was sent.
    pub(crate) is_to_failing: bool,
    /// Time from its start, in milliseconds.
    pub(crate) duration_ms: u64,
}

/// An event of the simulation.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    /// The next request arrives.
    Arrival,
    /// The set of failing servers is redrawn.
    GrayRotation,
    /// The first owner is replaced by one without knowledge of the pool, which keeps the queue.
    OwnerLoss,
    /// The server that is added during the run is listed by the owners.
    ServerAdded,
    /// The owners run their pool maintenance.
    Tick,
    /// An attempt ends: owner, permit, server, request, result.
    Completion(usize, PermitId, ServerIndex, Box<Request>, AttemptResult),
    /// The outcome of an attempt reaches its owner: owner, permit, server, outcome, response time in microseconds.
    OutcomeArrival(usize, PermitId, ServerIndex, AttemptOutcome, Option<u64>),
}

/// An event with its time; events of the same time are processed in the order of scheduling.
#[derive(Debug)]
pub(crate) struct ScheduledEvent {
    pub(crate) at_ms: u64,
    /// Number of the event in the order of scheduling.
    pub(crate) sequence: u64,
    pub(crate) event: Event,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.at_ms, self.sequence) == (other.at_ms, other.sequence)
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at_ms, self.sequence).cmp(&(other.at_ms, other.sequence))
    }
}

/// An owner of the pool with its queue of requests.
pub(crate) struct Owner {
    pub(crate) state: PoolState,
    pub(crate) queue: VecDeque<Request>,
    /// Credit for retries that the requests at this owner earn.
    pub(crate) credit: CreditAccount,
}

impl Owner {
    pub(crate) fn new(servers: usize, slots: u32, now_ms: u64) -> Self {
        let mut state = PoolState::new(SERVICE, AREA, now_ms);
        let service = Service {
            name: SERVICE.to_owned(),
            detection: DetectionMode::Fast,
            floor_slots: 0,
            deadline_ms: 0,
            retry_percent: 0,
            max_body_bytes: 0,
            hold_bytes: 0,
        };
        apply_service_config(&mut state, 1, Some(&service));
        let mut owner = Self {
            state,
            queue: VecDeque::new(),
            credit: CreditAccount::default(),
        };
        owner.list_servers(servers, slots, now_ms);
        owner
    }

    /// Applies a list of this many servers, which has their number as its version.
    pub(crate) fn list_servers(&mut self, servers: usize, slots: u32, now_ms: u64) {
        let address = SocketAddr::from(([10, 0, 0, 1], 1));
        let server = |number| {
            let name = format!("b{number}");
            BackendServer::new(&name, SERVICE, AREA, address, slots)
        };
        let listed = (0..servers).map(server).collect();
        let view = View::new(servers as u64, Vec::new(), listed);
        apply_server_list(&mut self.state, &view, now_ms);
    }
}

/// State of a running emulation.
pub(crate) struct Emulation {
    pub(crate) rng: Rng,
    pub(crate) policy: Policy,
    pub(crate) owners: Vec<Owner>,
    /// Whether each server currently fails most of its requests.
    pub(crate) is_gray: Vec<bool>,
    /// Requests in flight at each server, from all owners.
    pub(crate) in_flight: Vec<u32>,
    pub(crate) events: BinaryHeap<Reverse<ScheduledEvent>>,
    /// Number of events scheduled so far.
    pub(crate) sequence: u64,
    pub(crate) stats: RunStats,
}

impl Emulation {
    pub(crate) fn schedule(&mut self, at_ms: u64, event: Event) {
        self.sequence += 1;
        let sequence = self.sequence;
        self.events.push(Reverse(ScheduledEvent {
            at_ms,
            sequence,
            event,
        }));
    }
}
