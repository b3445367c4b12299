//! The tool's errors and their exit statuses.

use {
    snafu::Snafu,
    std::{io, net::SocketAddr, path::PathBuf},
    wire::{
        generated::{AdminResponse, FindingJson},
        CodecError,
    },
};

/// Why a command did not succeed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CliError {
    /// The file can't be read.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The text is not what it should be.
    #[snafu(display("{source}"), context(false))]
    Parse {
        /// What is wrong.
        source: CodecError,
    },
    /// The document has errors.
    #[snafu(display("{}", list(findings)))]
    Invalid {
        /// Each error with its place.
        findings: Vec<FindingJson>,
    },
    /// The instance can't be reached or does not answer as expected.
    #[snafu(display("{address}: {reason}"))]
    Unreachable {
        /// The instance's admin address.
        address: SocketAddr,
        /// Why.
        reason: String,
    },
    /// The instance refused the change.
    #[snafu(display("{} ({})", receipt.text, receipt.code))]
    Refused {
        /// What it said.
        receipt: AdminResponse,
    },
}

impl CliError {
    /// Returns the exit status; docs/OPERATIONS.md lists them.
    pub fn exit_status(&self) -> u8 {
        match self {
            Self::File { .. } | Self::Parse { .. } => 2,
            Self::Invalid { .. } => 3,
            Self::Refused { .. } => 4,
            Self::Unreachable { .. } => 5,
        }
    }
}

fn list(findings: &[FindingJson]) -> String {
    let lines: Vec<String> = findings
        .iter()
        .map(|finding| format!("{}: {}", finding.path, finding.sentence))
        .collect();
    lines.join("\n")
}
