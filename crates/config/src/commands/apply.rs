//! Folds the records of the `config` stream in log order.
//!
//! Invariants: an approval takes effect only if its base is the version in force at its place in the
//! log; after a gap nothing but a snapshot or a peer's state that covers the gap takes effect.

use crate::{
    AcceptedConfig, ApplyOutcome, ConfigEvent, ConfigReplica, Decision, HistoryEntry, Proposal,
};

/// History rows kept, oldest dropped first.
const HISTORY_ROWS: usize = 256;
/// Open proposals kept, oldest dropped first.
const OPEN_PROPOSALS: usize = 64;

/// Folds the record at `offset`; records below the next expected offset are ignored.
pub fn apply_event(state: &mut ConfigReplica, offset: u64, entry: &ConfigEvent) -> ApplyOutcome {
    if offset < state.next_offset {
        return ApplyOutcome::Ignored;
    }
    state.next_offset = offset + 1;
    let verdict = match entry {
        ConfigEvent::Propose(proposal) => open(state, offset, proposal),
        ConfigEvent::Approve(decision) => approve(state, offset, decision),
        ConfigEvent::Reject(decision) => reject(state, decision),
        ConfigEvent::Snapshot(accepted) => restore(state, offset, accepted),
    };
    remember(state, offset, entry, verdict);
    verdict
}

/// Takes over a peer's accepted version; returns whether it was newer or closed a gap.
pub fn merge_accepted(state: &mut ConfigReplica, accepted: &AcceptedConfig) -> bool {
    let newer = accepted.version > version(state);
    let same = accepted.version == version(state);
    let closes_gap = state.gap && accepted.through_offset + 1 >= state.next_offset;
    let useful = newer || (same && closes_gap);
    if !useful {
        return false;
    }
    state.next_offset = state.next_offset.max(accepted.through_offset + 1);
    state.gap = state.gap && !closes_gap;
    if newer {
        put_in_force(state, accepted.clone());
    }
    true
}

/// Notes that the log now starts at `first_offset`; a record not yet read is lost.
pub fn skip_to(state: &mut ConfigReplica, first_offset: u64) {
    if first_offset > state.next_offset {
        state.next_offset = first_offset;
        state.gap = true;
    }
}

/// Passes over a record at `offset` that can't be read; all instances pass over it alike.
pub fn skip_malformed(state: &mut ConfigReplica, offset: u64) {
    state.next_offset = state.next_offset.max(offset + 1);
}

fn version(state: &ConfigReplica) -> u64 {
    state
        .accepted
        .as_ref()
        .map_or(0, |accepted| accepted.version)
}

fn put_in_force(state: &mut ConfigReplica, accepted: AcceptedConfig) {
    state
        .proposals
        .retain(|_, open| open.base_version >= accepted.version);
    state.accepted = Some(accepted);
}

fn open(state: &mut ConfigReplica, offset: u64, proposal: &Proposal) -> ApplyOutcome {
    let stored = Proposal {
        offset,
        ..proposal.clone()
    };
    state.proposals.insert(offset, stored);
    if state.proposals.len() > OPEN_PROPOSALS {
        state.proposals.pop_first();
    }
    ApplyOutcome::Opened
}

fn approve(state: &mut ConfigReplica, offset: u64, decision: &Decision) -> ApplyOutcome {
    let proposal = &decision.proposal;
    if state.gap {
        return ApplyOutcome::Gap;
    }
    if decision.principal == proposal.proposer {
        return ApplyOutcome::SamePrincipal;
    }
    if proposal.base_version != version(state) {
        return ApplyOutcome::StaleBase;
    }
    let accepted = AcceptedConfig {
        version: proposal.base_version + 1,
        digest: proposal.digest.clone(),
        through_offset: offset,
        document: proposal.document.clone(),
    };
    put_in_force(state, accepted);
    ApplyOutcome::InForce
}

fn reject(state: &mut ConfigReplica, decision: &Decision) -> ApplyOutcome {
    match state.proposals.remove(&decision.proposal.offset) {
        Some(_) => ApplyOutcome::Rejected,
        None => ApplyOutcome::Ignored,
    }
}

/// A snapshot is written by an instance that had folded all records before the one it repeats.
fn restore(state: &mut ConfigReplica, offset: u64, accepted: &AcceptedConfig) -> ApplyOutcome {
    if accepted.version < version(state) {
        return ApplyOutcome::Ignored;
    }
    let newer = accepted.version > version(state);
    state.gap = false;
    if !newer {
        return ApplyOutcome::Ignored;
    }
    let restored = AcceptedConfig {
        through_offset: offset,
        ..accepted.clone()
    };
    put_in_force(state, restored);
    ApplyOutcome::InForce
}

fn remember(state: &mut ConfigReplica, offset: u64, entry: &ConfigEvent, verdict: ApplyOutcome) {
    let principal = match entry {
        ConfigEvent::Propose(proposal) => proposal.proposer.as_str(),
        ConfigEvent::Approve(decision) | ConfigEvent::Reject(decision) => {
            decision.principal.as_str()
        }
        ConfigEvent::Snapshot(_) => "",
    };
    state.history.push(HistoryEntry {
        offset,
        principal: principal.to_owned(),
        outcome: verdict,
        version: version(state),
    });
    if state.history.len() > HISTORY_ROWS {
        state.history.remove(0);
    }
}
