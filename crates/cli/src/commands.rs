//! Commands: changes of the configuration.

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

/// Reads a document from a file and validates it.
///
/// # Errors
///
/// The file can't be read or parsed, or the document is not valid; all validation errors are returned together.
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
/// The document is not valid, or the instance rejects it or can't be reached.
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
    let request = ProposeRequest {
        base_version,
        document,
    };
    post_change(target, "config/propose", to_json(&request)).await
}

/// Approves or rejects a proposal.
///
/// # Errors
///
/// The instance rejects the call or can't be reached.
pub async fn decide(
    target: &Target,
    approve: bool,
    proposal: &ProposalId,
) -> Result<AdminResponse, CliError> {
    let request = DecideRequest {
        offset: proposal.offset,
        digest: proposal.digest.clone(),
    };
    let path = if approve {
        "config/approve"
    } else {
        "config/reject"
    };
    post_change(target, path, to_json(&request)).await
}

async fn post_change(target: &Target, path: &str, body: String) -> Result<AdminResponse, CliError> {
    let text = call_admin(target, Method::POST, path, body).await?;
    let response: AdminResponse = from_json("receipt", &text)?;
    if !response.findings.is_empty() {
        return InvalidSnafu {
            findings: response.findings,
        }
        .fail();
    }
    if response.code == u32::from(ResultCode::Answered.number()) {
        Ok(response)
    } else {
        RefusedSnafu { response }.fail()
    }
}
