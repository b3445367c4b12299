//! Commands: what changes the configuration.

use {
    crate::{
        error::{FileSnafu, InvalidSnafu, RefusedSnafu},
        queries::{config_view, send},
        Read, Target, ToolError,
    },
    config::queries::validate,
    hyper::Method,
    snafu::ResultExt,
    std::path::Path,
    types::ResultCode,
    wire::{
        convert, from_text,
        generated::{DecideAsk, DocumentText, ProposeAsk, Receipt},
        to_text,
    },
};

/// Reads a document and checks it.
///
/// # Errors
///
/// Every error of the document at once.
pub fn read_document(file: &Path) -> Result<DocumentText, ToolError> {
    let text = std::fs::read(file).context(FileSnafu { path: file })?;
    let document: DocumentText = from_text("document", &text)?;
    let findings = validate(&convert::document_from_text(&document));
    if findings.is_empty() {
        Ok(document)
    } else {
        InvalidSnafu {
            findings: convert::finding_texts(&findings),
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
) -> Result<Receipt, ToolError> {
    let document = read_document(file)?;
    let base_version = match base {
        Some(version) => version,
        None => config_view(target).await?.version,
    };
    let ask = ProposeAsk {
        base_version,
        document,
    };
    change(target, "config/propose", to_text(&ask)).await
}

/// Approves (`approves`) or rejects the proposal that was read.
///
/// # Errors
///
/// The instance refuses or can't be reached.
pub async fn decide(target: &Target, approves: bool, read: &Read) -> Result<Receipt, ToolError> {
    let ask = DecideAsk {
        offset: read.offset,
        digest: read.digest.clone(),
    };
    let path = if approves {
        "config/approve"
    } else {
        "config/reject"
    };
    change(target, path, to_text(&ask)).await
}

async fn change(target: &Target, path: &str, body: String) -> Result<Receipt, ToolError> {
    let text = send(target, Method::POST, path, body).await?;
    let receipt: Receipt = from_text("receipt", &text)?;
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
