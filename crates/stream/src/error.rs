//! Errors of the platform's service.

use {snafu::Snafu, wire::CodecError};

/// Why an append was not confirmed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum AppendError {
    /// The platform refused the record or the connection failed; the record is not in the log.
    #[snafu(display("the log refused the record"))]
    Refused,
    /// The response was lost; the record may be in the log now or later.
    #[snafu(display("the log's response was lost"))]
    ResponseLost,
}

/// Why a read failed.
#[derive(Debug, Snafu)]
pub enum ReadError {
    /// The platform did not respond in time or responded with an error.
    #[snafu(display("the platform is unavailable"))]
    Unavailable,
    /// The platform does not have the requested offset: it was trimmed, or lies behind the end after a loss of records.
    #[snafu(display("the stream starts at offset {first_offset}"))]
    Trimmed {
        /// First offset that is still kept.
        first_offset: u64,
        /// When the first kept record was appended, by the log's clock in milliseconds.
        first_at_ms: u64,
        /// Era of the platform's data; none if the platform didn't state it.
        era: Option<u64>,
    },
    /// The response does not follow the protocol.
    #[snafu(display("{source}"), context(false))]
    Decode {
        /// The decoding error.
        source: CodecError,
    },
}
