//! The state of one pool: its servers, the outstanding permits and the queue.
//!
//! Invariants: a server's `held` equals the number of its outstanding permits; the queue is in the order
//! that its owner decides; a permit is reclaimed when its lease expires, so that a crashed entry instance can't leak slots.

use {
    crate::RateLimit,
    std::{
        collections::{HashMap, VecDeque},
        net::SocketAddr,
    },
    types::{AccountKey, EntityMap, Interner, PermitId, Priority, ServerIndex},
};

/// Health of a server according to the outlier detector, from best to worst.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Standing {
    /// Receives requests.
    Good,
    /// Receives requests only when no good server has a free slot.
    Suspect,
    /// Receives no requests.
    Ejected,
}

/// A backend server of the pool.
#[derive(Clone, Debug)]
pub struct Server {
    /// Address to which requests are sent.
    pub address: SocketAddr,
    /// Data centre of the server.
    pub data_centre: String,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Slots in use during warm-up after a cold start; equals `slots` once warm.
    pub usable_slots: u32,
    /// Number of outstanding permits.
    pub held: u32,
    /// Health according to the outlier detector.
    pub standing: Standing,
    /// Whether it is draining or no longer listed as live.
    pub leaving: bool,
    /// Whether the next idempotent request may be sent to it as a trial while it is suspect.
    pub trial_due: bool,
    /// Permits granted so far; breaks ties so that equally ranked servers take turns.
    pub granted_count: u64,
    /// Time of the last grant, in milliseconds; 0 before the first.
    pub last_granted_ms: u64,
    /// Time of the last failed request, in milliseconds; `None` if it never failed one.
    pub last_failed_ms: Option<u64>,
    /// Start of the last request that it completed, in milliseconds; `None` before the first. A request that began before a
    /// failure proves nothing about the time after it.
    pub last_succeeded_ms: Option<u64>,
    /// Expected cost of sending it a request, in thousandths of a lost request.
    pub cost_permille: u32,
    /// Limit on its requests a second that it has named.
    pub rate_limit: Option<RateLimit>,
    /// Whether there is no credit for a request to it; false without a limit.
    pub is_at_limit: bool,
}

impl Server {
    /// Creates a warm server in good standing without permits.
    pub fn new(address: SocketAddr, data_centre: &str, slots: u32) -> Self {
        Self {
            address,
            data_centre: data_centre.to_owned(),
            slots,
            usable_slots: slots,
            held: 0,
            standing: Standing::Good,
            leaving: false,
            trial_due: false,
            granted_count: 0,
            last_granted_ms: 0,
            last_failed_ms: None,
            last_succeeded_ms: None,
            cost_permille: 0,
            rate_limit: None,
            is_at_limit: false,
        }
    }
}

/// An outstanding permit: the right to run one request on a server.
#[derive(Clone, Copy, Debug)]
pub struct Permit {
    /// Server whose slot is held.
    pub server: ServerIndex,
    /// Id of the acquire request that it was granted to.
    pub acquire_id: u64,
    /// Time of the grant, in milliseconds.
    pub granted_ms: u64,
    /// Time at which it is reclaimed if not released, in milliseconds.
    pub expires_ms: u64,
    /// Whether the request was already reported as in flight for too long.
    pub overdue: bool,
    /// Whether the request may be retried if this attempt fails.
    pub retryable: bool,
}

/// Terms of a permit: which acquire request it is granted to, until when, and whether its request may be retried.
#[derive(Clone, Copy, Debug)]
pub struct Lease {
    /// Id of the acquire request that it is granted to.
    pub acquire_id: u64,
    /// Time at which it is reclaimed if not released, in milliseconds.
    pub expires_ms: u64,
    /// Whether the request may be retried if this attempt fails.
    pub retryable: bool,
}

/// Requirements and preferences of an entry instance's request for a slot.
#[derive(Clone, Debug, Default)]
pub struct SlotRequest {
    /// Whether the request may run more than once, so that it can serve as a trial of a suspect server.
    pub idempotent: bool,
    /// Whether the request was sent to a server before; it is then sent to proven servers.
    pub is_retry: bool,
    /// Deadline of the request, in milliseconds of the owner's clock.
    pub deadline_ms: u64,
    /// Priority.
    pub priority: Priority,
    /// Data centre of the entry instance; servers there are preferred.
    pub data_centre: String,
    /// Size of the request's body, in bytes.
    pub body_bytes: u64,
    /// Id of the acquire request, drawn by the entry instance.
    pub acquire_id: u64,
    /// A good server without grants since this time is preferred, in milliseconds of the owner's clock.
    pub idle_before_ms: u64,
    /// Whether to wait for a good server instead of using a suspect.
    pub avoid_suspects: bool,
    /// Client account, if the request belongs to one.
    pub account: Option<AccountKey>,
    /// Whether its account sent far more than its share when it arrived.
    pub is_above_share: bool,
    /// Whether it is served before the others because its kind or account was served too seldom.
    pub is_owed: bool,
    /// Servers that are not selected because the request was sent to them before.
    pub exclude: Vec<ServerIndex>,
}

/// A queued request for a slot.
#[derive(Clone, Debug)]
pub struct Waiter {
    /// Identifies the queue entry when the entry instance polls again.
    pub ticket: u64,
    /// Time until which the entry instance's poll stays open, so that a slot can be granted at once, in milliseconds.
    pub active_until_ms: u64,
    /// Time at which the entry expires unless the entry instance polls again, in milliseconds.
    pub expires_ms: u64,
    /// The queued request.
    pub request: SlotRequest,
}

/// When and how requests are spread to idle servers.
///
/// Users require that the sound servers of a service are used evenly while many of its requests fail. All requests in flight
/// may fail at any moment, so requests are spread to most servers at all times. A request that may run only once is lost if the
/// server fails it, so such requests are spread to no more servers and no sooner than the requirement makes necessary;
/// idempotent ones are spread sooner, and where there are enough of them, the others aren't spread at all.
#[derive(Clone, Copy, Debug)]
pub struct SpreadPolicy {
    /// Share of the servers without a recent failure that get idempotent requests, in percent.
    pub target_percent: u32,
    /// Failure rate of the pool from which the targets while many requests fail apply, in percent. A service of which more
    /// than a tenth of the requests fail is required to use its servers evenly.
    pub min_failed_percent: u32,
    /// Share of the servers without a recent failure that get idempotent requests while many fail, in percent.
    pub failing_target_percent: u32,
    /// Longest time after a grant for which a server counts as used to an idempotent request, in milliseconds.
    pub used_window_ms: u64,
    /// Share of the servers without a recent failure that get requests that may run only once, in percent, apart from
    /// `reserved_failures`; the required share.
    pub once_target_percent: u32,
    /// The same while many requests fail. Servers then fail faster than others take their place.
    pub once_failing_target_percent: u32,
    /// Used servers that may fail at about the same time without the use of the others falling below the share. A failure takes
    /// a server from those that are sound and used, and the next request can replace one at the soonest.
    pub reserved_failures: u32,
    /// Longest time after a grant for which a server counts as used to a request that may run only once, in milliseconds.
    pub once_used_window_ms: u64,
    /// Period over which the use of servers is measured, in milliseconds.
    pub period_ms: u64,
    /// Rounds, of one request to each server, for which there must be time between the moment from which a server counts as
    /// unused and the end of the period; more than one, since requests don't arrive evenly.
    pub rounds_reserved: f64,
    /// Time after a failure for which a server need not get idempotent requests, in milliseconds. For two seconds after a
    /// failure a server doesn't count as sound where the use of servers is measured; `used_window_ms` is added to that.
    pub failed_window_ms: u64,
    /// The same for requests that may run only once: until shortly before the server would count as sound and unused, so not
    /// later than twice the period.
    pub once_failed_window_ms: u64,
}

impl SpreadPolicy {
    /// Returns the policy used in production.
    pub fn new() -> Self {
        Self {
            target_percent: 85,
            min_failed_percent: 9,
            failing_target_percent: 100,
            used_window_ms: 1_000,
            once_target_percent: 70,
            once_failing_target_percent: 80,
            reserved_failures: 3,
            once_used_window_ms: 1_900,
            period_ms: 2_000,
            rounds_reserved: 2.0,
            failed_window_ms: 3_000,
            once_failed_window_ms: 3_900,
        }
    }
}

impl Default for SpreadPolicy {
    fn default() -> Self {
        Self::new()
    }
}

/// A server selected for a request, before the permit is granted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Selection {
    /// The selected server.
    pub server: ServerIndex,
    /// Whether the request is a trial of a suspect server.
    pub is_trial: bool,
}

/// Why no server was selected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SelectError {
    /// Every server of the pool is ejected, leaving or excluded by the request.
    NoServer,
    /// No slot is free, or only slots of avoided suspects are; waiting may help.
    Busy,
}

/// Servers, permits and queue of one service in one area.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    /// Names of the servers; the indices are those of `servers`.
    pub names: Interner<ServerIndex>,
    /// Servers by index; a server is never removed.
    pub servers: EntityMap<ServerIndex, Server>,
    /// Outstanding permits.
    pub(crate) permits: HashMap<PermitId, Permit>,
    /// Id of the next permit.
    pub(crate) next_permit: u64,
    /// Waiters, the first to be served first.
    pub(crate) queue: VecDeque<Waiter>,
    /// Ticket that was issued last; 0 before the first.
    pub(crate) last_ticket: u64,
    /// Moving average of the time to the complete response, in microseconds; 0 before the first.
    pub(crate) mean_service_us: f64,
}

impl Pool {
    /// Creates a pool without servers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates a pool whose permit ids begin at `first_permit`, so that permits of different owners of the pool can't
    /// be confused.
    pub fn with_first_permit(first_permit: u64) -> Self {
        Self {
            next_permit: first_permit,
            ..Self::default()
        }
    }
}
