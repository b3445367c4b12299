//! The roster: a versioned table of the known servers and instances, with tombstones for removed ones.
//!
//! Invariants:
//! - An older report of the same server or instance never replaces an entry, nor does it restore a removed one.
//! - A server is removed after its newest known report and returns with a newer one, whichever path either arrives by. Of a
//!   report and a removal of the same version the one with the later `as_of_ms` wins.
//! - After a loss of the store's records, a known removal counts as later than the report before it, so that the store's older
//!   copy of that report doesn't restore the server. The known report may not be the last one that the store had, so the
//!   first report after the loss may be from the copy, too. A newer one than both does restore the server.
//! - An entry received from another instance may lack the server's last reports, since reports that change nothing else
//!   are not passed on. So a listed report that is older than the known removal doesn't show whether the server has
//!   returned. It is refused, and the sender receives the removal with the next request: it then removes the server too, or
//!   sends its newer report. Until the one or the other is known to be true, others don't take the server's absence from this
//!   list for its removal.
//! - The roster's version increases with each change that other instances must learn of, and each entry holds the
//!   version of its last change.

use {
    crate::{BackendServer, Instance},
    std::collections::{BTreeMap, BTreeSet, VecDeque},
};

/// Orders the reports of one server or instance: by the start of its process, then by sequence number.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct ReportVersion {
    /// Start of the process, in milliseconds since the Unix epoch; 0 if unknown.
    pub started_at_ms: u64,
    /// Sequence number of the report within the process; 0 if unknown.
    pub sequence: u64,
    /// Whether this is the version of a removal that follows the report and whose record the store has lost.
    pub is_lost_removal: bool,
}

impl ReportVersion {
    /// Returns whether this version is older than `other`; false if either has no start time.
    pub(crate) fn is_older(self, other: Self) -> bool {
        self.started_at_ms != 0 && other.started_at_ms != 0 && self < other
    }
}

/// Returns the version of a server's report.
pub(crate) fn report_version(server: &BackendServer) -> ReportVersion {
    ReportVersion {
        started_at_ms: server.started_at_ms,
        sequence: server.sequence,
        is_lost_removal: false,
    }
}

/// A server or instance as last reported.
#[derive(Clone, Debug)]
pub(crate) struct Entry<Value> {
    pub(crate) value: Value,
    pub(crate) report_version: ReportVersion,
    /// Latest time at which it was known to be listed, in milliseconds of the local clock; 0 for an instance.
    pub(crate) as_of_ms: u64,
    /// Version of the roster at its last change.
    pub(crate) changed_version: u64,
    /// Time at which it is removed unless it is reported again, in milliseconds; none while it is listed.
    pub(crate) expires_at_ms: Option<u64>,
}

/// A removed server or instance.
#[derive(Clone, Debug)]
pub(crate) struct Tombstone {
    pub(crate) name: String,
    pub(crate) is_server: bool,
    pub(crate) report_version: ReportVersion,
    /// Time at which it was known to be gone, in milliseconds of the local clock; 0 for an instance.
    pub(crate) as_of_ms: u64,
    /// Version of the roster at its removal.
    pub(crate) changed_version: u64,
    /// Whether the next report may be one that the store had before the removal, whose record it has lost.
    pub(crate) awaits_copied_report: bool,
}

/// A versioned table of the known servers and instances.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    pub(crate) version: u64,
    pub(crate) servers: BTreeMap<String, Entry<BackendServer>>,
    pub(crate) instances: BTreeMap<String, Entry<Instance>>,
    /// Tombstones of removed servers and instances, newest last; bounded.
    pub(crate) tombstones: VecDeque<Tombstone>,
    /// Version up to which tombstones were discarded; a delta from an earlier version must be the full list.
    pub(crate) compacted_version: u64,
    /// Removed servers that another instance listed with a report older than their removal. None of them is listed here,
    /// and it is not known whether they have returned.
    pub(crate) refused_servers: BTreeSet<String>,
    /// End of the grace period after a platform outage, in milliseconds. Until then, a missing server may only have
    /// lapsed because it could not report during the outage.
    pub(crate) grace_until_ms: u64,
    /// End of the grace period after the last loss of the store's records, in milliseconds; 0 before the first.
    pub(crate) loss_grace_until_ms: u64,
}

impl Roster {
    /// Creates an empty roster.
    pub fn new() -> Self {
        Self::default()
    }
}

/// The changes since an earlier version of a roster, or its full contents.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Delta {
    /// Version of the sender's roster that the receiver has after applying this.
    pub version: u64,
    /// Whether this is the full contents instead of the changes.
    pub is_full: bool,
    /// Whether a server that is missing from the full contents is gone for certain; false during the sender's grace
    /// period.
    pub removals_final: bool,
    /// New and changed servers.
    pub servers: Vec<BackendServer>,
    /// New and changed instances.
    pub instances: Vec<Instance>,
    /// Names of removed servers, each with the version of its last report.
    pub gone_servers: Vec<(String, ReportVersion)>,
    /// The sender's refused servers, each with the version of the last report before its removal. They are not listed, but
    /// may have returned.
    pub refused_servers: Vec<(String, ReportVersion)>,
    /// Names of removed instances.
    pub gone_instances: Vec<String>,
}
