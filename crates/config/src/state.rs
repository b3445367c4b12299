//! What the fold of the `config` stream keeps.
//!
//! Invariants: the version only rises, and two instances that folded the same records hold the same
//! version and digest.

use {crate::Document, std::collections::BTreeMap};

/// A document in force with its place in the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AcceptedConfig {
    /// Version, 1 for the first accepted document.
    pub version: u64,
    /// Hex SHA-256 of the document's canonical text.
    pub digest: String,
    /// Offset up to which the log was folded when this version came in force.
    pub through_offset: u64,
    /// The document itself.
    pub document: Document,
}

/// A proposal that waits for a decision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Proposal {
    /// Offset of the proposal's record.
    pub offset: u64,
    /// Version that the proposer saw in force.
    pub base_version: u64,
    /// Hex SHA-256 of the document's canonical text.
    pub digest: String,
    /// Who proposed it.
    pub proposer: String,
    /// The proposed document.
    pub document: Document,
}

/// An approval or a rejection of a proposal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Decision {
    /// Who decided.
    pub principal: String,
    /// The proposal, repeated in whole so that a reader past a trim can still apply it.
    pub proposal: Proposal,
}

/// One record of the `config` stream, free of its encoding.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConfigEvent {
    /// A new document is proposed.
    Propose(Proposal),
    /// A proposal is approved.
    Approve(Decision),
    /// A proposal is rejected.
    Reject(Decision),
    /// The version in force is repeated before the log's retention trims it.
    Snapshot(AcceptedConfig),
}

/// How the fold took one record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ApplyOutcome {
    /// A proposal was opened.
    Opened,
    /// A document came in force.
    InForce,
    /// A proposal was rejected.
    Rejected,
    /// The base version was no longer in force.
    StaleBase,
    /// Proposer and approver are the same principal.
    SamePrincipal,
    /// The record changes nothing.
    Ignored,
    /// Records before this one are missing, so it can't be judged.
    Gap,
}

/// One line of the history.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HistoryEntry {
    /// Offset of the record.
    pub offset: u64,
    /// Principal behind the record, empty for a snapshot.
    pub principal: String,
    /// How the record was taken.
    pub outcome: ApplyOutcome,
    /// Version in force after the record.
    pub version: u64,
}

/// The fold's state.
#[derive(Clone, Debug, Default)]
pub struct ConfigReplica {
    pub(crate) accepted: Option<AcceptedConfig>,
    pub(crate) proposals: BTreeMap<u64, Proposal>,
    pub(crate) history: Vec<HistoryEntry>,
    pub(crate) next_offset: u64,
    pub(crate) gap: bool,
}

impl ConfigReplica {
    /// Creates the state of an empty log.
    pub fn new() -> Self {
        Self::default()
    }
}
