//! Errors of the tool and their exit statuses.

use {
    crate::queries::{format_check, format_findings},
    snafu::Snafu,
    std::{io, net::SocketAddr, path::PathBuf},
    wire::{
        generated::{AdminResponse, CheckReport, FindingJson},
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
    /// The check of a document found errors or entries without effect.
    #[snafu(display("{}", format_check(report)))]
    Check {
        /// What the check found.
        report: CheckReport,
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
            Self::Check { report } if !report.errors.is_empty() => 3,
            Self::Check { .. } => 6,
            Self::Refused { .. } => 4,
            Self::Unreachable { .. } => 5,
        }
    }
}
