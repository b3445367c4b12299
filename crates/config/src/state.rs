//! The replicated state of the `config` stream.
//!
//! Invariants: the version never decreases, and two instances that applied the same events hold the same version and
//! digest.

use {crate::Document, std::collections::BTreeMap};

/// An accepted document with its version and its position in the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AcceptedConfig {
    /// Version; 1 for the first accepted document.
    pub version: u64,
    /// Hex SHA-256 of the document's canonical text.
    pub digest: String,
    /// Offset up to which the log had been applied when this version was accepted.
    pub through_offset: u64,
    /// The accepted document.
    pub document: Document,
}

/// A proposed document that awaits a decision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Proposal {
    /// Offset of the proposal's record.
    pub offset: u64,
    /// Version that was active when the proposer made the proposal.
    pub base_version: u64,
    /// Hex SHA-256 of the document's canonical text.
    pub digest: String,
    /// Principal that made the proposal.
    pub proposer: String,
    /// The proposed document.
    pub document: Document,
}

/// An approval or a rejection of a proposal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Decision {
    /// Principal that decided.
    pub principal: String,
    /// The complete proposal, repeated so that a reader can apply the decision after the proposal was trimmed.
    pub proposal: Proposal,
}

/// One event of the `config` stream, independent of its encoding.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConfigEvent {
    /// A new document is proposed.
    Propose(Proposal),
    /// A proposal is approved.
    Approve(Decision),
    /// A proposal is rejected.
    Reject(Decision),
    /// The active version is repeated before the log's retention trims it.
    Snapshot(AcceptedConfig),
}

/// Result of applying one event. The variant names appear in logs and in the history.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ApplyOutcome {
    /// A proposal was opened.
    Opened,
    /// A document became the active version.
    InForce,
    /// A proposal was rejected.
    Rejected,
    /// The base version was no longer the active one.
    StaleBase,
    /// The proposer and the approver are the same principal.
    SamePrincipal,
    /// The event changed nothing.
    Ignored,
    /// Events before this one are missing, so it can't be evaluated.
    Gap,
}

/// One entry of the history.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HistoryEntry {
    /// Offset of the event.
    pub offset: u64,
    /// Principal that caused the event; empty for a snapshot.
    pub principal: String,
    /// Result of applying the event.
    pub outcome: ApplyOutcome,
    /// Active version after the event.
    pub version: u64,
}

/// Accepted version, open proposals and history, as replicated from the `config` stream.
#[derive(Clone, Debug, Default)]
pub struct ConfigReplica {
    pub(crate) accepted: Option<AcceptedConfig>,
    /// Open proposals by the offset of their record; bounded.
    pub(crate) proposals: BTreeMap<u64, Proposal>,
    /// Outcomes of the last events, oldest first; bounded.
    pub(crate) history: Vec<HistoryEntry>,
    /// Offset of the next record to read.
    pub(crate) next_offset: u64,
    /// Whether events were trimmed from the log before they could be applied.
    pub(crate) gap: bool,
}

impl ConfigReplica {
    /// Creates the state of an empty log.
    pub fn new() -> Self {
        Self::default()
    }
}
