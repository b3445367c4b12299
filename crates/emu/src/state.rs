//! The state of an emulation and what it counts.

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
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, VecDeque},
        net::SocketAddr,
    },
    types::{PermitId, ServerIndex},
};

/// Name of the pool's service, and of its area.
const SERVICE: &str = "orders";
/// See [`SERVICE`].
const AREA: &str = "dc";

/// How one request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// With a whole answer, after so many milliseconds.
    Served(u64),
    /// With a server's failure.
    Failed,
    /// Refused as not run.
    Refused,
}

/// What an emulation counted.
#[derive(Clone, Debug, Default)]
pub struct RunStats {
    /// Outcomes with the time at which each request came, in milliseconds.
    pub outcomes: Vec<(u64, Outcome)>,
    /// Requests given to a server that was failing.
    pub sent_to_failing: u64,
    /// Requests that servers shed.
    pub shed: u64,
    /// Attempts beyond the first.
    pub retries: u64,
}

/// A request on its way.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) arrived_ms: u64,
    pub(crate) deadline_ms: u64,
    pub(crate) idempotent: bool,
    pub(crate) attempts: u32,
    pub(crate) tried_servers: Vec<ServerIndex>,
}

/// What happens at a time.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    Arrival,
    GrayRotation,
    OwnerLoss,
    Tick,
    /// A server ends a request: owner, permit, server, request, whether whole, time at the server.
    Completion(usize, PermitId, ServerIndex, Box<Request>, bool, u64),
    /// An owner hears of an outcome.
    OutcomeArrival(usize, PermitId, ServerIndex, AttemptOutcome, Option<u64>),
}

#[derive(Debug)]
pub(crate) struct ScheduledEvent {
    pub(crate) at_ms: u64,
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

/// One owner with the requests that wait at it.
pub(crate) struct Owner {
    pub(crate) state: PoolState,
    pub(crate) queue: VecDeque<Request>,
}

impl Owner {
    pub(crate) fn new(servers: usize, slots: u32, now_ms: u64) -> Self {
        let mut state = PoolState::new(SERVICE, AREA, now_ms);
        let address = SocketAddr::from(([10, 0, 0, 1], 1));
        let server = |number| {
            let name = format!("b{number}");
            BackendServer::new(&name, SERVICE, AREA, address, slots)
        };
        let servers = (0..servers).map(server).collect();
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
        apply_server_list(&mut state, &View::new(1, Vec::new(), servers), now_ms);
        Self {
            state,
            queue: VecDeque::new(),
        }
    }
}

/// The whole emulation.
pub(crate) struct Emulation {
    pub(crate) rng: Rng,
    pub(crate) policy: Policy,
    pub(crate) owners: Vec<Owner>,
    pub(crate) is_gray: Vec<bool>,
    /// Requests at each server, whoever sent them.
    pub(crate) in_flight: Vec<u32>,
    pub(crate) events: BinaryHeap<Reverse<ScheduledEvent>>,
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
