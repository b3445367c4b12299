//! Proposes, approves and rejects documents for a principal.
//!
//! Invariant: a change is reported as done only after this node read it back from the log.

use {
    crate::{
        commands::fold_config::CONFIG_STREAM,
        node::{AppliedRecord, ConfigState},
        queries::wait_for_value,
        Node,
    },
    config::{queries, ApplyOutcome, ConfigEvent, Decision, Proposal},
    std::{sync::Arc, time::Duration},
    stream::{commands::append, AppendError},
    tokio::time::Instant,
    types::ResultCode,
    wire::{
        convert,
        generated::{AdminResponse, DecideRequest, ProposeRequest},
        to_json,
    },
};

/// Time for which an appended record is looked for in the log, in milliseconds.
const READ_BACK_MS: u64 = 4_000;

/// Proposes a document.
pub(crate) async fn propose(
    node: Arc<Node>,
    principal: String,
    ask: ProposeRequest,
) -> AdminResponse {
    let document = convert::decode_document(&ask.document);
    let findings = queries::validate(&document);
    if !findings.is_empty() {
        return AdminResponse {
            findings: convert::encode_findings(&findings),
            ..receipt(&node, ResultCode::InvalidDocument)
        };
    }
    let version = node
        .config
        .with(0, |state| queries::accepted_version(&state.replica));
    if ask.base_version != version {
        return receipt(&node, ResultCode::StaleBase);
    }
    let digest = queries::document_digest(&document);
    let entry = ConfigEvent::Propose(Proposal {
        offset: 0,
        base_version: ask.base_version,
        digest: digest.clone(),
        proposer: principal,
        document,
    });
    AdminResponse {
        digest,
        ..append_and_see(&node, &entry).await
    }
}

/// Approves a proposal.
pub(crate) async fn approve(
    node: Arc<Node>,
    principal: String,
    ask: DecideRequest,
) -> AdminResponse {
    let checked = node.config.with(0, |state| {
        queries::check_approval(&state.replica, ask.offset, &ask.digest, &principal).cloned()
    });
    match checked {
        Ok(proposal) => {
            let decision = Decision {
                principal,
                proposal,
            };
            append_and_see(&node, &ConfigEvent::Approve(decision)).await
        }
        Err(code) => receipt(&node, code),
    }
}

/// Rejects a proposal.
pub(crate) async fn reject(
    node: Arc<Node>,
    principal: String,
    ask: DecideRequest,
) -> AdminResponse {
    let found = node.config.with(0, |state| {
        queries::open_proposal(&state.replica, ask.offset).cloned()
    });
    match found {
        None => receipt(&node, ResultCode::UnknownProposal),
        Some(proposal) if proposal.digest != ask.digest => {
            receipt(&node, ResultCode::DigestMismatch)
        }
        Some(proposal) => {
            let decision = Decision {
                principal,
                proposal,
            };
            append_and_see(&node, &ConfigEvent::Reject(decision)).await
        }
    }
}

async fn append_and_see(node: &Node, entry: &ConfigEvent) -> AdminResponse {
    let nonce = fastrand::u64(1..);
    let text = to_json(&convert::encode_config_event(entry, nonce));
    // A lost answer is no failure: the record is looked for by its nonce.
    if append(&node.platform, CONFIG_STREAM, &text).await == Err(AppendError::Refused) {
        return AdminResponse {
            text: "The platform's log refused the record; nothing changed.".to_owned(),
            ..receipt(node, ResultCode::LogAway)
        };
    }
    let until = Instant::now() + Duration::from_millis(READ_BACK_MS);
    let look = || node.config.with(0, |state| find_taken(state, nonce));
    match wait_for_value(&node.config_changed, until, look).await {
        Some(taken) => AdminResponse {
            offset: taken.offset,
            ..receipt(node, code(taken.outcome))
        },
        None => receipt(node, ResultCode::LogAway),
    }
}

fn find_taken(state: &ConfigState, nonce: u64) -> Option<AppliedRecord> {
    state
        .recent_outcomes
        .iter()
        .find(|taken| taken.nonce == nonce)
        .copied()
}

fn code(verdict: ApplyOutcome) -> ResultCode {
    match verdict {
        ApplyOutcome::Opened | ApplyOutcome::InForce | ApplyOutcome::Rejected => {
            ResultCode::Answered
        }
        ApplyOutcome::StaleBase | ApplyOutcome::Gap => ResultCode::StaleBase,
        ApplyOutcome::SamePrincipal => ResultCode::SamePrincipal,
        ApplyOutcome::Ignored => ResultCode::UnknownProposal,
    }
}

fn receipt(node: &Node, code: ResultCode) -> AdminResponse {
    let text = if code == ResultCode::Answered {
        "Done; the record was read back from the log."
    } else {
        code.message()
    };
    AdminResponse {
        code: code.number().into(),
        text: text.to_owned(),
        offset: 0,
        digest: String::new(),
        version: node
            .config
            .with(0, |state| queries::accepted_version(&state.replica)),
        findings: Vec::new(),
    }
}
