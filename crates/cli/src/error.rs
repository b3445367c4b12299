//! Errors of the tool and their exit statuses.

use {
    snafu::Snafu,
    std::{io, net::SocketAddr, path::PathBuf},
    wire::{
        generated::{AdminResponse, FindingJson},
        CodecError,
    },
};

/// Error of a command.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CliError {
    /// The file can't be read.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// A document or a response can't be parsed.
    #[snafu(display("{source}"), context(false))]
    Parse {
        /// Cause.
        source: CodecError,
    },
    /// The document is not valid.
    #[snafu(display("{}", format_findings(findings)))]
    Invalid {
        /// All errors with their JSON paths.
        findings: Vec<FindingJson>,
    },
    /// The instance can't be reached or does not respond in time.
    #[snafu(display("{address}: {reason}"))]
    Unreachable {
        /// Admin address of the instance.
        address: SocketAddr,
        /// Cause.
        reason: String,
    },
    /// The instance rejected the change.
    #[snafu(display("{} ({})", response.text, response.code))]
    Refused {
        /// Response with the result code.
        response: AdminResponse,
    },
}

impl CliError {
    /// Returns the exit status, as documented in docs/OPERATIONS.md.
    pub fn exit_status(&self) -> u8 {
        match self {
            Self::File { .. } | Self::Parse { .. } => 2,
            Self::Invalid { .. } => 3,
            Self::Refused { .. } => 4,
            Self::Unreachable { .. } => 5,
        }
    }
}

fn format_findings(findings: &[FindingJson]) -> String {
    let lines: Vec<String> = findings
        .iter()
        .map(|finding| format!("{}: {}", finding.path, finding.sentence))
        .collect();
    lines.join("\n")
}
