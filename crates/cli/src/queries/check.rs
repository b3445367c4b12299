//! Checks a document before it is proposed.

use {
    crate::{error::FileSnafu, queries::fetch_config, CliError, Target},
    config::{queries, Document},
    snafu::ResultExt,
    std::{net::SocketAddr, path::Path},
    wire::{
        convert, from_json,
        generated::{CheckReport, DocumentJson, FindingJson},
    },
};

/// Returns the errors of the document in `file`, its entries without effect, and with an instance's address what differs
/// from the version that is active there.
///
/// # Errors
///
/// The file can't be read or parsed, or the instance can't be reached.
pub async fn check_document(
    file: &Path,
    admin: Option<SocketAddr>,
) -> Result<CheckReport, CliError> {
    let text = std::fs::read(file).context(FileSnafu { path: file })?;
    let json: DocumentJson = from_json("document", &text)?;
    let document = convert::decode_document(&json);
    let errors = queries::validate(&document);
    // What an invalid document would do is not certain.
    let warnings = if errors.is_empty() {
        queries::warnings(&document)
    } else {
        Vec::new()
    };
    let mut report = CheckReport {
        errors: convert::encode_findings(&errors),
        warnings: convert::encode_findings(&warnings),
        active_version: None,
        changes: Vec::new(),
    };
    if let Some(admin) = admin {
        let target = Target {
            admin,
            token: String::new(),
        };
        let view = fetch_config(&target).await?;
        let active = view.document.as_ref().map(convert::decode_document);
        let active = active.unwrap_or_else(Document::default);
        report.active_version = Some(view.version);
        report.changes = queries::describe_changes(&active, &document);
    }
    Ok(report)
}

/// Formats the result of a check, one line for each finding and change.
pub fn format_check(report: &CheckReport) -> String {
    let mut lines = Vec::new();
    if report.errors.is_empty() {
        lines.push("No errors.".to_owned());
    } else {
        lines.push(format_findings(&report.errors));
    }
    let warnings = report.warnings.iter();
    lines.extend(warnings.map(|warning| format!("warning: {}", format_finding(warning))));
    if let Some(version) = report.active_version {
        lines.push(format!("Against version {version}:"));
        lines.extend(report.changes.iter().map(|change| format!("  {change}")));
    }
    lines.join("\n")
}

/// Formats findings, one on each line.
pub fn format_findings(findings: &[FindingJson]) -> String {
    let lines: Vec<String> = findings.iter().map(format_finding).collect();
    lines.join("\n")
}

fn format_finding(finding: &FindingJson) -> String {
    format!("{}: {}", finding.path, finding.sentence)
}
