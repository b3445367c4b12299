//! Commands: what changes the configuration.

use {
    crate::{
        error::{FileSnafu, InvalidSnafu, RefusedSnafu},
        queries::{call_admin, fetch_config},
        CliError, ProposalId, Target,
    },
    config::queries::validate,
    hyper::Method,
    snafu::ResultExt,
    std::path::Path,
    types::ResultCode,
    wire::{
        convert, from_json,
        generated::{AdminResponse, DecideRequest, DocumentJson, ProposeRequest},
        to_json,
    },
};

/// Reads a document and checks it.
///
/// # Errors
///
/// Every error of the document at once.
pub fn read_document(file: &Path) -> Result<DocumentJson, CliError> {
    let text = std::fs::read(file).context(FileSnafu { path: file })?;
    let document: DocumentJson = from_json("document", &text)?;
    let findings = validate(&convert::decode_document(&document));
    if findings.is_empty() {
        Ok(document)
    } else {
        InvalidSnafu {
            findings: convert::encode_findings(&findings),
        }
        .fail()
    }
}

/// Proposes the document in `file`.
///
/// # Errors
///
/// The document is wrong, or the instance refuses or can't be reached.
pub async fn propose(
    target: &Target,
    base: Option<u64>,
    file: &Path,
) -> Result<AdminResponse, CliError> {
    let document = read_document(file)?;
    let base_version = match base {
        Some(version) => version,
        None => fetch_config(target).await?.version,
    };
    let ask = ProposeRequest {
        base_version,
        document,
    };
    change(target, "config/propose", to_json(&ask)).await
}

/// Approves (`approves`) or rejects the proposal that was read.
///
/// # Errors
///
/// The instance refuses or can't be reached.
pub async fn decide(
    target: &Target,
    approves: bool,
    read: &ProposalId,
) -> Result<AdminResponse, CliError> {
    let ask = DecideRequest {
        offset: read.offset,
        digest: read.digest.clone(),
    };
    let path = if approves {
        "config/approve"
    } else {
        "config/reject"
    };
    change(target, path, to_json(&ask)).await
}

async fn change(target: &Target, path: &str, body: String) -> Result<AdminResponse, CliError> {
    let text = call_admin(target, Method::POST, path, body).await?;
    let receipt: AdminResponse = from_json("receipt", &text)?;
    if !receipt.findings.is_empty() {
        return InvalidSnafu {
            findings: receipt.findings,
        }
        .fail();
    }
    if receipt.code == u32::from(ResultCode::Answered.number()) {
        Ok(receipt)
    } else {
        RefusedSnafu { receipt }.fail()
    }
}
