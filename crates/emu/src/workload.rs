//! The emulated workload with its faults, and the policy under test.

/// A workload of one pool.
#[derive(Clone, Copy, Debug)]
pub struct Workload {
    /// Number of servers in the pool.
    pub servers: usize,
    /// Number of requests that a server runs concurrently; it sheds any more.
    pub slots: u32,
    /// Mean arrival rate of the Poisson process, in requests per second.
    pub requests_per_s: f64,
    /// Mean service time, in milliseconds; log-normally distributed with a standard deviation of the logarithm of 0.5.
    pub mean_service_ms: f64,
    /// Deadline of a request, in milliseconds.
    pub deadline_ms: u64,
    /// Share of the requests that are idempotent, 0 to 1.
    pub idempotent_share: f64,
    /// Share of the servers that are failing at any time, 0 to 1.
    pub gray_share: f64,
    /// Interval at which the failing servers are redrawn, in milliseconds.
    pub gray_rotation_ms: u64,
    /// Share of its requests that a failing server fails, 0 to 1; they fail without delay.
    pub gray_failure_rate: f64,
    /// Share of its requests that any other server fails, 0 to 1.
    pub base_failure_rate: f64,
    /// Start and end of a period of higher load, in milliseconds, and the factor on the arrival rate.
    pub burst: Option<(u64, u64, f64)>,
    /// Start and end of a period in which all servers are slower, in milliseconds, and the factor on the service time.
    pub slowdown: Option<(u64, u64, f64)>,
    /// Time at which the owner is lost and replaced by one without knowledge of the pool, in milliseconds.
    pub owner_lost_ms: Option<u64>,
    /// Time at which a cold server is added to the pool, in milliseconds.
    pub server_added_ms: Option<u64>,
    /// Duration of the run, in milliseconds.
    pub duration_ms: u64,
}

impl Workload {
    /// Returns a workload like that of the users' ordering service: 12 servers of 4 slots, 49 requests per second of
    /// 300 ms that are not idempotent, and 30 % of the servers failing 85 % of their requests for nine seconds at a
    /// time.
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
            server_added_ms: None,
            duration_ms: 60_000,
        }
    }

    /// Returns a workload like that of the examinations' submissions in one data centre on their quietest day: 20 servers
    /// of 4 slots, 70 requests per second of 260 ms that are not idempotent, with the same faults.
    pub fn submissions() -> Self {
        Self {
            servers: 20,
            requests_per_s: 70.0,
            mean_service_ms: 260.0,
            deadline_ms: 8_000,
            ..Self::new()
        }
    }
}

impl Default for Workload {
    fn default() -> Self {
        Self::new()
    }
}

/// The parameters of a policy that are varied.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Number of owners that share the workload without knowing of each other. One is normal operation; as many as
    /// there are instances means that each instance decides alone.
    pub owners: usize,
    /// Delay until an outcome reaches its owner, in milliseconds.
    pub outcome_delay_ms: u64,
    /// How requests are spread to idle servers.
    pub spread: permit::SpreadPolicy,
    /// Whether requests wait for a good server instead of using a suspect.
    pub avoid_suspects: bool,
    /// Whether servers are selected by their health; otherwise by utilisation alone.
    pub use_health: bool,
}

impl Policy {
    /// Returns the policy used in production.
    pub fn new() -> Self {
        Self {
            owners: 1,
            outcome_delay_ms: 5,
            spread: permit::SpreadPolicy::new(),
            avoid_suspects: true,
            use_health: true,
        }
    }
}

impl Default for Policy {
    fn default() -> Self {
        Self::new()
    }
}
