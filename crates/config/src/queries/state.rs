//! Plain reads of the fold's state.

use {
    crate::{AcceptedConfig, ConfigReplica, HistoryEntry, Proposal},
    types::ResultCode,
};

/// Borrows the version in force, if any.
pub fn accepted_config(state: &ConfigReplica) -> Option<&AcceptedConfig> {
    state.accepted.as_ref()
}

/// Returns the version in force, 0 before the first.
pub fn accepted_version(state: &ConfigReplica) -> u64 {
    accepted_config(state).map_or(0, |accepted| accepted.version)
}

/// Returns the offset from which the log is to be read next.
pub fn next_offset(state: &ConfigReplica) -> u64 {
    state.next_offset
}

/// Tells whether records were trimmed before this state could fold them.
pub fn has_gap(state: &ConfigReplica) -> bool {
    state.gap
}

/// Borrows the open proposal at `offset`.
pub fn open_proposal(state: &ConfigReplica, offset: u64) -> Option<&Proposal> {
    state.proposals.get(&offset)
}

/// Walks the open proposals in log order.
pub fn open_proposals(state: &ConfigReplica) -> impl Iterator<Item = &Proposal> {
    state.proposals.values()
}

/// Borrows the kept history, oldest first.
pub fn history(state: &ConfigReplica) -> &[HistoryEntry] {
    &state.history
}

/// Checks whether `principal` may approve the proposal at `offset` with `digest` now.
///
/// # Errors
///
/// Returns the result code that says why the approval would not take effect.
pub fn check_approval<'a>(
    state: &'a ConfigReplica,
    offset: u64,
    digest: &str,
    principal: &str,
) -> Result<&'a Proposal, ResultCode> {
    let open = open_proposal(state, offset).ok_or(ResultCode::UnknownProposal)?;
    if open.digest != digest {
        return Err(ResultCode::DigestMismatch);
    }
    if open.proposer == principal {
        return Err(ResultCode::SamePrincipal);
    }
    if open.base_version != accepted_version(state) {
        return Err(ResultCode::StaleBase);
    }
    Ok(open)
}
