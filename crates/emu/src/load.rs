//! What is emulated: the load, its faults, and the policy under test.

/// A load on one pool.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Servers of the pool.
    pub servers: usize,
    /// Requests that a server runs at a time; more are shed.
    pub slots: u32,
    /// Requests a second.
    pub per_s: f64,
    /// Mean time of a request at a server, in milliseconds; log-normal with a spread of one half.
    pub work_ms: f64,
    /// Deadline of a request, in milliseconds.
    pub deadline_ms: u64,
    /// Share of requests that may be repeated.
    pub safe_share: f64,
    /// Share of the servers that fail at a time.
    pub gray_share: f64,
    /// Time after which the servers that fail are drawn anew, in milliseconds.
    pub gray_every_ms: u64,
    /// Share of its requests that a failing server fails, at once.
    pub gray_fails: f64,
    /// Share of its requests that any server fails.
    pub own_fails: f64,
    /// From when to when the load is multiplied, in milliseconds, and by how much.
    pub burst: Option<(u64, u64, f64)>,
    /// From when to when all servers take longer, in milliseconds, and how many times as long.
    pub slow: Option<(u64, u64, f64)>,
    /// When the owner is lost and its successor begins with nothing, in milliseconds.
    pub owner_lost_ms: Option<u64>,
    /// Length, in milliseconds.
    pub length_ms: u64,
}

impl Load {
    /// Returns a load like that of the users' ordering service: 12 servers of 4 slots, 49 requests a second of 300 ms
    /// that must not be repeated, a third of the servers failing 85 % of their work for nine seconds at a time.
    pub fn new() -> Self {
        Self {
            servers: 12,
            slots: 4,
            per_s: 49.0,
            work_ms: 300.0,
            deadline_ms: 2_500,
            safe_share: 0.0,
            gray_share: 0.3,
            gray_every_ms: 9_000,
            gray_fails: 0.85,
            own_fails: 0.012,
            burst: None,
            slow: None,
            owner_lost_ms: None,
            length_ms: 60_000,
        }
    }
}

impl Default for Load {
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
    pub evidence_delay_ms: u64,
    /// How work is spread over servers that got none.
    pub spread: permit::Spread,
    /// Whether requests wait for a better server rather than take a suspect.
    pub spurns: bool,
    /// Whether servers are chosen by evidence at all, rather than by use alone.
    pub weighs_evidence: bool,
}

impl Policy {
    /// Returns the policy in use.
    pub fn new() -> Self {
        Self {
            owners: 1,
            evidence_delay_ms: 5,
            spread: permit::Spread::new(),
            spurns: true,
            weighs_evidence: true,
        }
    }
}

impl Default for Policy {
    fn default() -> Self {
        Self::new()
    }
}
