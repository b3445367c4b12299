//! Proposes, approves and rejects configuration documents on behalf of a principal.
//!
//! Invariant: a change is reported as done only after this node has read it back from the log.

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

/// Time allowed for reading an appended record back from the log, in milliseconds.
const READ_BACK_MS: u64 = 4_000;

/// Validates a document and proposes it, if `base_version` is still the accepted version.
pub(crate) async fn propose(
    node: Arc<Node>,
    principal: String,
    request: ProposeRequest,
) -> AdminResponse {
    let document = convert::decode_document(&request.document);
    let findings = queries::validate(&document);
    if !findings.is_empty() {
        return AdminResponse {
            findings: convert::encode_findings(&findings),
            ..admin_response(&node, ResultCode::InvalidDocument)
        };
    }
    let version = node
        .config
        .with(0, |state| queries::accepted_version(&state.replica));
    if request.base_version != version {
        return admin_response(&node, ResultCode::StaleBase);
    }
    let digest = queries::document_digest(&document);
    let event = ConfigEvent::Propose(Proposal {
        offset: 0,
        base_version: request.base_version,
        digest: digest.clone(),
        proposer: principal,
        document,
    });
    AdminResponse {
        digest,
        ..append_and_read_back(&node, &event).await
    }
}

/// Approves an open proposal, if its digest matches, its base version is current and another principal proposed it.
pub(crate) async fn approve(
    node: Arc<Node>,
    principal: String,
    request: DecideRequest,
) -> AdminResponse {
    let checked = node.config.with(0, |state| {
        queries::check_approval(&state.replica, request.offset, &request.digest, &principal)
            .cloned()
    });
    match checked {
        Ok(proposal) => {
            let decision = Decision {
                principal,
                proposal,
            };
            append_and_read_back(&node, &ConfigEvent::Approve(decision)).await
        }
        Err(code) => admin_response(&node, code),
    }
}

/// Rejects an open proposal, if its digest matches; its own proposer may do so, too.
pub(crate) async fn reject(
    node: Arc<Node>,
    principal: String,
    request: DecideRequest,
) -> AdminResponse {
    let found = node.config.with(0, |state| {
        queries::open_proposal(&state.replica, request.offset).cloned()
    });
    match found {
        None => admin_response(&node, ResultCode::UnknownProposal),
        Some(proposal) if proposal.digest != request.digest => {
            admin_response(&node, ResultCode::DigestMismatch)
        }
        Some(proposal) => {
            let decision = Decision {
                principal,
                proposal,
            };
            append_and_read_back(&node, &ConfigEvent::Reject(decision)).await
        }
    }
}

async fn append_and_read_back(node: &Node, event: &ConfigEvent) -> AdminResponse {
    let nonce = fastrand::u64(1..);
    let record = to_json(&convert::encode_config_event(event, nonce));
    // A lost response is not a failure: the record may be in the log and is looked up by its nonce.
    if append(&node.platform, CONFIG_STREAM, &record).await == Err(AppendError::Refused) {
        return AdminResponse {
            text: "The platform's log refused the record; nothing changed.".to_owned(),
            ..admin_response(node, ResultCode::LogAway)
        };
    }
    let deadline = Instant::now() + Duration::from_millis(READ_BACK_MS);
    let find = || node.config.with(0, |state| find_outcome(state, nonce));
    match wait_for_value(&node.config_changed, deadline, find).await {
        Some(applied) => AdminResponse {
            offset: applied.offset,
            ..admin_response(node, result_code(applied.outcome))
        },
        None => admin_response(node, ResultCode::LogAway),
    }
}

fn find_outcome(state: &ConfigState, nonce: u64) -> Option<AppliedRecord> {
    state
        .recent_outcomes
        .iter()
        .find(|applied| applied.nonce == nonce)
        .copied()
}

fn result_code(outcome: ApplyOutcome) -> ResultCode {
    match outcome {
        ApplyOutcome::Opened | ApplyOutcome::InForce | ApplyOutcome::Rejected => {
            ResultCode::Answered
        }
        ApplyOutcome::StaleBase | ApplyOutcome::Gap => ResultCode::StaleBase,
        ApplyOutcome::SamePrincipal => ResultCode::SamePrincipal,
        ApplyOutcome::Ignored => ResultCode::UnknownProposal,
    }
}

fn admin_response(node: &Node, code: ResultCode) -> AdminResponse {
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
