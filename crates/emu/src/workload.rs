//! What is emulated: the load, its faults, and the policy under test.

/// A load on one pool.
#[derive(Clone, Copy, Debug)]
pub struct Workload {
    /// Servers of the pool.
    pub servers: usize,
    /// Requests that a server runs at a time; more are shed.
    pub slots: u32,
    /// Requests a second.
    pub requests_per_s: f64,
    /// Mean time of a request at a server, in milliseconds; log-normal with a spread of one half.
    pub mean_service_ms: f64,
    /// Deadline of a request, in milliseconds.
    pub deadline_ms: u64,
    /// Share of requests that may be repeated.
    pub idempotent_share: f64,
    /// Share of the servers that fail at a time.
    pub gray_share: f64,
    /// Time after which the servers that fail are drawn anew, in milliseconds.
    pub gray_rotation_ms: u64,
    /// Share of its requests that a failing server fails, at once.
    pub gray_failure_rate: f64,
    /// Share of its requests that any server fails.
    pub base_failure_rate: f64,
    /// From when to when the load is multiplied, in milliseconds, and by how much.
    pub burst: Option<(u64, u64, f64)>,
    /// From when to when all servers take longer, in milliseconds, and how many times as long.
    pub slowdown: Option<(u64, u64, f64)>,
    /// When the owner is lost and its successor begins with nothing, in milliseconds.
    pub owner_lost_ms: Option<u64>,
    /// Length, in milliseconds.
    pub duration_ms: u64,
}

impl Workload {
    /// Returns a load like that of the users' ordering service: 12 servers of 4 slots, 49 requests a second of 300 ms
    /// that must not be repeated, a third of the servers failing 85 % of their work for nine seconds at a time.
    pub fn new() -> Self {
        Self {
            servers: 12,
            slots: 4,
            requests_per_s: 49.0,
            mean_service_ms: 300.0,
            deadline_ms: 2_500,
            idempotent_share: 0.0,
            gray_share: 0.3,
            gray_rotation_ms: 9_000,
            gray_failure_rate: 0.85,
            base_failure_rate: 0.012,
            burst: None,
            slowdown: None,
            owner_lost_ms: None,
            duration_ms: 60_000,
        }
    }
}

impl Default for Workload {
    fn default() -> Self {
        Self::new()
    }
}

/// What of the policy is varied.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Owners that share the load without knowing of each other; one is the fleet's owner, as many as there are
    /// instances is each instance alone.
    pub owners: usize,
    /// Time until an outcome reaches its owner, in milliseconds.
    pub outcome_delay_ms: u64,
    /// How work is spread over servers that got none.
    pub spread: permit::SpreadPolicy,
    /// Whether requests wait for a better server rather than take a suspect.
    pub avoid_suspects: bool,
    /// Whether servers are chosen by evidence at all, rather than by use alone.
    pub use_evidence: bool,
}

impl Policy {
    /// Returns the policy in use.
    pub fn new() -> Self {
        Self {
            owners: 1,
            outcome_delay_ms: 5,
            spread: permit::SpreadPolicy::new(),
            avoid_suspects: true,
            use_evidence: true,
        }
    }
}

impl Default for Policy {
    fn default() -> Self {
        Self::new()
    }
}
