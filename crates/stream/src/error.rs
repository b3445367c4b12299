//! Errors of the platform's service.

use {snafu::Snafu, wire::CodecError};

/// Why an append was not confirmed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum AppendError {
    /// The platform refused the record, or could not be connected to; it is not in the log.
    #[snafu(display("the log refused the record"))]
    Refused,
    /// The answer was lost; the record may stand in the log now or later.
    #[snafu(display("the log's answer was lost"))]
    ResponseLost,
}

/// Why a read gave nothing.
#[derive(Debug, Snafu)]
pub enum ReadError {
    /// The platform did not answer in time or answered with an error.
    #[snafu(display("the platform is away"))]
    Unavailable,
    /// The asked offset was trimmed.
    #[snafu(display("the stream starts at offset {first_offset}"))]
    Trimmed {
        /// First offset still kept.
        first_offset: u64,
        /// When the first kept record was appended, by the log's clock in milliseconds.
        first_at_ms: u64,
    },
    /// The answer is not what the protocol says.
    #[snafu(display("{source}"), context(false))]
    Decode {
        /// What is wrong with it.
        source: CodecError,
    },
}
