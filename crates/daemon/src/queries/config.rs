//! Returns the configuration to peers and operators.

use {
    crate::{Node, Settings},
    config::{queries, AcceptedConfig, Document, Proposal},
    feed::{ConfigPatch, Feed},
    std::sync::Arc,
    wire::{
        convert,
        generated::{ConfigResponse, ConfigView, HistoryJson, ProposalSummary},
        to_compressed_json,
    },
};

/// Returns the active version, with its document if it is newer than `known_version`.
///
/// The position in the log is that of the whole replica, so that the requester can close a gap of its own with
/// it; a replica with a gap has no such position, and no version is returned for it.
pub(crate) fn config_response(node: &Node, known_version: u64) -> ConfigResponse {
    node.config.with(0, |state| {
        let accepted =
            queries::accepted_config(&state.replica).filter(|_| !queries::has_gap(&state.replica));
        let newer = accepted.filter(|accepted| accepted.version > known_version);
        ConfigResponse {
            version: accepted.map_or(0, |accepted| accepted.version),
            digest: accepted.map_or_else(String::new, |accepted| accepted.digest.clone()),
            through_offset: queries::next_offset(&state.replica).saturating_sub(1),
            document: newer.map(|accepted| convert::encode_document(&accepted.document)),
        }
    })
}

/// Returns the whole active configuration, as changes of the empty document.
pub(crate) fn whole_config(node: &Node) -> Option<ConfigPatch> {
    let active = node.active_config.load_full()?;
    Some(encoded_patch(0, &Document::default(), &active.accepted))
}

/// Returns the encoded changes from `base`, the document of `base_version`, to an accepted version.
pub(crate) fn encoded_patch(
    base_version: u64,
    base: &Document,
    accepted: &AcceptedConfig,
) -> ConfigPatch {
    let patch = queries::document_patch(base, &accepted.document);
    let json = convert::encode_config_patch(base_version, accepted, &patch);
    let data = to_compressed_json(&json);
    ConfigPatch::new(base_version, accepted.version, data.into())
}

/// Returns whether the active configuration is not so old that a newer one must be active elsewhere. On a platform with a
/// log that is not known, so it counts as current.
pub(crate) fn is_config_current(node: &Node) -> bool {
    node.feed
        .get()
        .is_none_or(|feed| feed::queries::is_config_current(feed))
}

/// Returns whether API keys are accepted. With strict revocation they are not while the configuration has not been
/// confirmed for so long that a revoked key could still be in it.
pub(crate) fn accepts_keys(node: &Node) -> bool {
    let is_confirmed =
        |feed: &Arc<Feed>| feed::queries::config_age_ms(feed) <= node.settings.revocation_ms;
    !node.settings.has_strict_revocation || node.feed.get().is_none_or(is_confirmed)
}

/// Returns the configuration and the open proposals for operators.
pub(crate) fn config_view(node: &Node) -> ConfigView {
    node.config.with(0, |state| {
        let accepted = queries::accepted_config(&state.replica);
        let none = Document::default();
        let active = accepted.map_or(&none, |accepted| &accepted.document);
        ConfigView {
            version: queries::accepted_version(&state.replica),
            digest: accepted.map_or_else(String::new, |accepted| accepted.digest.clone()),
            document: accepted.map(|accepted| convert::encode_document(&accepted.document)),
            proposals: queries::open_proposals(&state.replica)
                .map(|proposal| proposal_summary(active, proposal))
                .collect(),
            gap: queries::has_gap(&state.replica),
        }
    })
}

fn proposal_summary(active: &Document, proposal: &Proposal) -> ProposalSummary {
    ProposalSummary {
        offset: proposal.offset,
        base_version: proposal.base_version,
        digest: proposal.digest.clone(),
        proposer: proposal.proposer.clone(),
        changes: queries::describe_changes(active, &proposal.document),
        document: convert::encode_document(&proposal.document),
    }
}

/// Returns the part of the configuration history that this node has kept.
pub(crate) fn history(node: &Node) -> Vec<HistoryJson> {
    node.config.with(0, |state| {
        queries::history(&state.replica)
            .iter()
            .map(|entry| HistoryJson {
                offset: entry.offset,
                principal: entry.principal.clone(),
                verdict: format!("{:?}", entry.outcome),
                version: entry.version,
            })
            .collect()
    })
}

/// Returns the name of the principal with the bearer token `token`.
pub(crate) fn authenticate(settings: &Settings, token: &str) -> Option<String> {
    settings
        .principals
        .iter()
        .find(|principal| equal_in_constant_time(principal.token.as_bytes(), token.as_bytes()))
        .map(|principal| principal.name.clone())
}

/// Compares in a time that does not depend on where the texts differ.
fn equal_in_constant_time(left: &[u8], right: &[u8]) -> bool {
    let differing = left.iter().zip(right).fold(0, |sum, (a, b)| sum | (a ^ b));
    left.len() == right.len() && differing == 0
}
