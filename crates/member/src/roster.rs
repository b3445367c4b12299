//! What was learnt of servers and instances, one entry at a time.
//!
//! Invariants: an entry is never replaced by an older report of the same machine, also after it is gone; of a report
//! and an end that come by different ways, whichever was known later counts, since who hears of changes only does not
//! hear of every report; the version rises with each change that others must hear of, and each entry knows the version of its last change.

use {
    crate::{BackendServer, Instance},
    std::collections::{HashMap, VecDeque},
};

/// Orders the reports of one machine: by the start of its process, then by the count of its reports.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct ReportVersion {
    /// Start of the process, in milliseconds since 1970; 0 if not known.
    pub started_at_ms: u64,
    /// Count of its reports; 0 if not known.
    pub sequence: u64,
}

impl ReportVersion {
    /// Tells whether a report with this stamp is older than one with `other`; without a start nothing is.
    pub(crate) fn is_older(self, other: Self) -> bool {
        self.started_at_ms != 0 && other.started_at_ms != 0 && self < other
    }
}

/// One machine as last reported.
#[derive(Clone, Debug)]
pub(crate) struct Entry<Value> {
    pub(crate) value: Value,
    pub(crate) report_version: ReportVersion,
    /// As of when it was known to be there, in milliseconds of this process.
    pub(crate) as_of_ms: u64,
    /// Version of the roster at its last change.
    pub(crate) changed_version: u64,
    /// When it counts as gone unless it is reported again, in milliseconds; none if nothing speaks for it.
    pub(crate) expires_at_ms: Option<u64>,
}

/// A machine that is gone.
#[derive(Clone, Debug)]
pub(crate) struct Tombstone {
    pub(crate) name: String,
    pub(crate) is_server: bool,
    pub(crate) report_version: ReportVersion,
    /// As of when it was known to be gone, in milliseconds of this process.
    pub(crate) as_of_ms: u64,
    /// Version of the roster that it left with.
    pub(crate) changed_version: u64,
}

/// All that was learnt of servers and instances.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    pub(crate) version: u64,
    pub(crate) servers: HashMap<String, Entry<BackendServer>>,
    pub(crate) instances: HashMap<String, Entry<Instance>>,
    /// Machines that are gone, the latest last; bounded.
    pub(crate) tombstones: VecDeque<Tombstone>,
    /// Version up to which graves were dropped, so that no shorter list than the whole can be given from there.
    pub(crate) compacted_version: u64,
    /// Until when an entry that is missing may only have lapsed while the platform was away, in milliseconds.
    pub(crate) grace_until_ms: u64,
}

impl Roster {
    /// Creates an empty roster.
    pub fn new() -> Self {
        Self::default()
    }
}

/// What changed since an earlier version, or everything.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Delta {
    /// Version that the receiver has afterwards.
    pub version: u64,
    /// Whether this is everything, so that what is missing is gone.
    pub is_full: bool,
    /// Whether what a whole list lacks is gone for certain.
    pub removals_final: bool,
    /// New and changed servers.
    pub servers: Vec<BackendServer>,
    /// New and changed instances.
    pub instances: Vec<Instance>,
    /// Names of servers that are gone, each with its last report.
    pub gone_servers: Vec<(String, ReportVersion)>,
    /// Names of instances that are gone.
    pub gone_instances: Vec<String>,
}
