//! Accessors of the replica, and the check whether an approval would take effect.

use {
    crate::{AcceptedConfig, ConfigReplica, HistoryEntry, Proposal},
    types::ResultCode,
};

/// Borrows the accepted configuration, if there is one.
pub fn accepted_config(replica: &ConfigReplica) -> Option<&AcceptedConfig> {
    replica.accepted.as_ref()
}

/// Returns the accepted version; 0 before the first.
pub fn accepted_version(replica: &ConfigReplica) -> u64 {
    accepted_config(replica).map_or(0, |accepted| accepted.version)
}

/// Returns the offset of the next event to read.
pub fn next_offset(replica: &ConfigReplica) -> u64 {
    replica.next_offset
}

/// Returns whether events were trimmed from the log before this replica could apply them.
pub fn has_gap(replica: &ConfigReplica) -> bool {
    replica.gap
}

/// Borrows the open proposal at `offset`.
pub fn open_proposal(replica: &ConfigReplica, offset: u64) -> Option<&Proposal> {
    replica.proposals.get(&offset)
}

/// Iterates over the open proposals in log order.
pub fn open_proposals(replica: &ConfigReplica) -> impl Iterator<Item = &Proposal> {
    replica.proposals.values()
}

/// Borrows the history, oldest entry first.
pub fn history(replica: &ConfigReplica) -> &[HistoryEntry] {
    &replica.history
}

/// Checks whether `principal` may approve the proposal at `offset` with `digest` now.
///
/// # Errors
///
/// Returns the result code for the reason why the approval would not take effect.
pub fn check_approval<'a>(
    replica: &'a ConfigReplica,
    offset: u64,
    digest: &str,
    principal: &str,
) -> Result<&'a Proposal, ResultCode> {
    let proposal = open_proposal(replica, offset).ok_or(ResultCode::UnknownProposal)?;
    if proposal.digest != digest {
        return Err(ResultCode::DigestMismatch);
    }
    if proposal.proposer == principal {
        return Err(ResultCode::SamePrincipal);
    }
    if proposal.base_version != accepted_version(replica) {
        return Err(ResultCode::StaleBase);
    }
    Ok(proposal)
}
