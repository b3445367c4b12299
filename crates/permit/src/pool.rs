//! The state of one pool: its servers, the permits out, and the queue.
//!
//! Invariants: a server's `held` equals its permits out; the queue is in order of priority, then of arrival; a
//! permit whose expiry has passed is taken back, so a dead entry instance can't keep slots.

use {
    std::{
        collections::{HashMap, VecDeque},
        net::SocketAddr,
    },
    types::{EntityMap, Interner, PermitId, ServerIndex},
};

/// What the outlier detector thinks of a server.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Standing {
    /// Gets work.
    Good,
    /// Gets work only when no better server has a free slot.
    Suspect,
    /// Gets no work.
    Ejected,
}

/// One backend server of the pool.
#[derive(Clone, Debug)]
pub struct Server {
    /// Address that takes its requests.
    pub address: SocketAddr,
    /// Data centre that it stands in.
    pub data_centre: String,
    /// Requests it runs at a time.
    pub slots: u32,
    /// Slots it is given while it ramps up after a cold start; equals `slots` once warm.
    pub usable_slots: u32,
    /// Permits out.
    pub held: u32,
    /// The detector's opinion.
    pub standing: Standing,
    /// Whether it is leaving or no longer listed.
    pub leaving: bool,
    /// Whether one trial request is due.
    pub trial_due: bool,
    /// Count of permits granted, which spreads equal choices.
    pub granted_count: u64,
    /// When a permit was granted last, or the server was listed, in milliseconds.
    pub last_granted_ms: u64,
    /// When it last failed a request, in milliseconds; none if it never did.
    pub last_failed_ms: Option<u64>,
    /// What a request given to it is expected to cost, in thousandths of a lost request.
    pub cost_permille: u32,
}

impl Server {
    /// Creates a listed server without work.
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
            cost_permille: 0,
        }
    }
}

/// A permit that is out.
#[derive(Clone, Copy, Debug)]
pub struct Permit {
    /// The server whose slot is held.
    pub server: ServerIndex,
    /// Number of the ask that it was granted to.
    pub acquire_id: u64,
    /// When it was granted, in milliseconds.
    pub granted_ms: u64,
    /// When it is taken back unless returned, in milliseconds.
    pub expires_ms: u64,
    /// Whether its age was already reported as overdue.
    pub overdue: bool,
    /// Whether another try may make a failure good.
    pub retryable: bool,
}

/// The terms on which a slot is taken.
#[derive(Clone, Copy, Debug)]
pub struct Lease {
    /// Number of the ask that it is granted to.
    pub acquire_id: u64,
    /// When it is taken back unless returned, in milliseconds.
    pub expires_ms: u64,
    /// Whether another try may make a failure good.
    pub retryable: bool,
}

/// What an entry instance asks for.
#[derive(Clone, Debug, Default)]
pub struct SlotRequest {
    /// Whether the request may be given to a server under trial.
    pub idempotent: bool,
    /// When the request must be finished, in milliseconds of the owner's clock.
    pub deadline_ms: u64,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Data centre of the asker, whose servers are preferred.
    pub data_centre: String,
    /// Size of the request's body, in bytes.
    pub body_bytes: u64,
    /// Number of the ask, drawn by the asker.
    pub acquire_id: u64,
    /// A good server that got no work since is preferred, in milliseconds of the owner's clock.
    pub idle_before_ms: u64,
    /// Whether to wait for a better server rather than take a suspect.
    pub avoid_suspects: bool,
    /// Servers that the request already tried.
    pub exclude: Vec<ServerIndex>,
}

/// A request that waits for a slot.
#[derive(Clone, Debug)]
pub struct Waiter {
    /// Number the asker shows when it asks again.
    pub ticket: u64,
    /// Until when the asker waits at the owner and can take a slot at once, in milliseconds.
    pub active_until_ms: u64,
    /// When the asker is forgotten unless it asks again, in milliseconds.
    pub expires_ms: u64,
    /// What it asks for.
    pub request: SlotRequest,
}

/// When and how work is spread over servers that got none, while a good part of a service's work fails.
#[derive(Clone, Copy, Debug)]
pub struct SpreadPolicy {
    /// Share of failed work from which servers without work are used as well, in percent. A service whose failures
    /// pass a tenth must spread its work; below, spreading would only send work to servers that fail it, and keep the
    /// share up.
    pub min_failed_percent: u32,
    /// Window in which a server counts as used, in milliseconds; below the two seconds that are looked at.
    pub used_window_ms: u64,
    /// Time after a failure in which a server counts as used, in milliseconds: for two seconds it does not count as
    /// sound, and then it has a window of its own.
    pub failed_window_ms: u64,
    /// Share of a pool's servers that are to be used in that window, in percent; above the seven tenths asked for.
    pub target_used_percent: u32,
}

impl SpreadPolicy {
    /// Returns the spread in use.
    pub fn new() -> Self {
        Self {
            min_failed_percent: 9,
            used_window_ms: 1_700,
            failed_window_ms: 3_700,
            target_used_percent: 75,
        }
    }
}

impl Default for SpreadPolicy {
    fn default() -> Self {
        Self::new()
    }
}

/// A server picked for a wish, not yet taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Selection {
    /// The picked server.
    pub server: ServerIndex,
    /// Whether the pick is a trial of a suspect.
    pub is_trial: bool,
}

/// Why no server could be picked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SelectError {
    /// No server of the pool may take the request at all.
    NoServer,
    /// All slots are taken.
    Busy,
}

/// The pool of one service in one data centre.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    /// The servers' names.
    pub names: Interner<ServerIndex>,
    /// The servers.
    pub servers: EntityMap<ServerIndex, Server>,
    pub(crate) permits: HashMap<PermitId, Permit>,
    pub(crate) next_permit: u64,
    pub(crate) queue: VecDeque<Waiter>,
    pub(crate) next_ticket: u64,
    pub(crate) mean_service_us: f64,
}

impl Pool {
    /// Creates a pool without servers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates a pool whose permits are numbered from `first_permit`, so that a successor can't mistake them.
    pub fn with_first_permit(first_permit: u64) -> Self {
        Self {
            next_permit: first_permit,
            ..Self::default()
        }
    }
}
