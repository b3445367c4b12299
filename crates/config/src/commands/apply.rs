//! Applies the events of the `config` stream in log order.
//!
//! Invariants: an approval takes effect only if its base version is the active one at its position in the log; after a
//! gap no approval takes effect until a snapshot, or a peer's accepted version that covers the gap, closes it.

use crate::{
    AcceptedConfig, ApplyOutcome, ConfigEvent, ConfigReplica, Decision, HistoryEntry, Proposal,
};

/// Maximum number of history entries; the oldest are dropped first.
const MAX_HISTORY_ENTRIES: usize = 256;
/// Maximum number of open proposals; the oldest are dropped first.
const MAX_OPEN_PROPOSALS: usize = 64;

/// Applies the event at `offset`; events below the next expected offset are ignored.
pub fn apply_event(replica: &mut ConfigReplica, offset: u64, event: &ConfigEvent) -> ApplyOutcome {
    if offset < replica.next_offset {
        return ApplyOutcome::Ignored;
    }
    replica.next_offset = offset + 1;
    let outcome = match event {
        ConfigEvent::Propose(proposal) => open_proposal(replica, offset, proposal),
        ConfigEvent::Approve(decision) => approve(replica, offset, decision),
        ConfigEvent::Reject(decision) => reject(replica, decision),
        ConfigEvent::Snapshot(accepted) => restore_snapshot(replica, offset, accepted),
    };
    add_to_history(replica, offset, event, outcome);
    outcome
}

/// Merges a peer's accepted version. Returns whether it was newer or closed a gap.
pub fn merge_accepted(replica: &mut ConfigReplica, accepted: &AcceptedConfig) -> bool {
    let is_newer = accepted.version > accepted_version(replica);
    let is_same = accepted.version == accepted_version(replica);
    let closes_gap = replica.gap && accepted.through_offset + 1 >= replica.next_offset;
    let is_useful = is_newer || (is_same && closes_gap);
    if !is_useful {
        return false;
    }
    replica.next_offset = replica.next_offset.max(accepted.through_offset + 1);
    replica.gap = replica.gap && !closes_gap;
    if is_newer {
        activate(replica, accepted.clone());
    }
    true
}

/// Skips to `first_offset` after the log was trimmed; if that loses unread events, the replica has a gap.
pub fn skip_to(replica: &mut ConfigReplica, first_offset: u64) {
    if first_offset > replica.next_offset {
        replica.next_offset = first_offset;
        replica.gap = true;
    }
}

/// Starts over after the log has lost records: it is read from its start, and the active version stays. Its approval may be
/// lost, so that another document may get the same version: no approval takes effect until a snapshot of the active version or
/// of a newer one closes the gap.
pub fn start_over(replica: &mut ConfigReplica) {
    replica.next_offset = 0;
    replica.proposals.clear();
    if let Some(accepted) = replica.accepted.as_mut() {
        accepted.through_offset = 0;
        replica.gap = true;
    }
}

/// Skips the record at `offset` because it can't be decoded; every instance skips it, so the replicas stay equal.
pub fn skip_malformed(replica: &mut ConfigReplica, offset: u64) {
    replica.next_offset = replica.next_offset.max(offset + 1);
}

fn accepted_version(replica: &ConfigReplica) -> u64 {
    replica
        .accepted
        .as_ref()
        .map_or(0, |accepted| accepted.version)
}

fn activate(replica: &mut ConfigReplica, accepted: AcceptedConfig) {
    replica
        .proposals
        .retain(|_, proposal| proposal.base_version >= accepted.version);
    replica.accepted = Some(accepted);
}

fn open_proposal(replica: &mut ConfigReplica, offset: u64, proposal: &Proposal) -> ApplyOutcome {
    let stored = Proposal {
        offset,
        ..proposal.clone()
    };
    replica.proposals.insert(offset, stored);
    if replica.proposals.len() > MAX_OPEN_PROPOSALS {
        replica.proposals.pop_first();
    }
    ApplyOutcome::Opened
}

fn approve(replica: &mut ConfigReplica, offset: u64, decision: &Decision) -> ApplyOutcome {
    let proposal = &decision.proposal;
    if replica.gap {
        return ApplyOutcome::Gap;
    }
    if decision.principal == proposal.proposer {
        return ApplyOutcome::SamePrincipal;
    }
    if proposal.base_version != accepted_version(replica) {
        return ApplyOutcome::StaleBase;
    }
    let accepted = AcceptedConfig {
        version: proposal.base_version + 1,
        digest: proposal.digest.clone(),
        through_offset: offset,
        document: proposal.document.clone(),
    };
    activate(replica, accepted);
    ApplyOutcome::InForce
}

fn reject(replica: &mut ConfigReplica, decision: &Decision) -> ApplyOutcome {
    match replica.proposals.remove(&decision.proposal.offset) {
        Some(_) => ApplyOutcome::Rejected,
        None => ApplyOutcome::Ignored,
    }
}

/// Restores a snapshot and closes a gap, since the instance that wrote it had applied every event before the version
/// that it repeats.
fn restore_snapshot(
    replica: &mut ConfigReplica,
    offset: u64,
    accepted: &AcceptedConfig,
) -> ApplyOutcome {
    if accepted.version < accepted_version(replica) {
        return ApplyOutcome::Ignored;
    }
    let is_newer = accepted.version > accepted_version(replica);
    replica.gap = false;
    if !is_newer {
        return ApplyOutcome::Ignored;
    }
    let restored = AcceptedConfig {
        through_offset: offset,
        ..accepted.clone()
    };
    activate(replica, restored);
    ApplyOutcome::InForce
}

fn add_to_history(
    replica: &mut ConfigReplica,
    offset: u64,
    event: &ConfigEvent,
    outcome: ApplyOutcome,
) {
    let principal = match event {
        ConfigEvent::Propose(proposal) => proposal.proposer.as_str(),
        ConfigEvent::Approve(decision) | ConfigEvent::Reject(decision) => {
            decision.principal.as_str()
        }
        ConfigEvent::Snapshot(_) => "",
    };
    replica.history.push(HistoryEntry {
        offset,
        principal: principal.to_owned(),
        outcome,
        version: accepted_version(replica),
    });
    if replica.history.len() > MAX_HISTORY_ENTRIES {
        replica.history.remove(0);
    }
}
