//! Reads a caller's connection ahead of the requests that are being handled.
//!
//! The HTTP library reads nothing more while a further request is in its buffer, and so would not notice that a caller
//! that sent several requests at once has closed the connection.

use {
    std::time::Duration,
    tokio::{
        io::{copy, sink, AsyncRead, AsyncWrite},
        time::timeout,
    },
};

/// Bytes read ahead; a caller that has sent more has to wait until a request was handled.
pub(crate) const READ_AHEAD_BYTES: usize = 16 * 1024;
/// Time allowed for the caller to close its side of a connection that was closed here, in milliseconds.
const LINGER_MS: u64 = 1_000;

/// Passes on what the caller sends; returns once the caller has closed the connection.
pub(crate) async fn read_ahead<Reader, Writer>(reader: &mut Reader, writer: &mut Writer)
where
    Reader: AsyncRead + Unpin,
    Writer: AsyncWrite + Unpin,
{
    // Both an error and the end of the stream mean that the caller has left.
    let _ = copy(reader, writer).await;
}

/// Discards what the caller still sends on a connection that was closed here, until it has closed its side as well.
/// Closing a socket with unread data resets it, and the caller may then lose the end of the last response.
pub(crate) async fn discard_rest<Reader>(reader: &mut Reader)
where
    Reader: AsyncRead + Unpin,
{
    // After the timeout the caller has had enough time to receive the response.
    let _ = timeout(Duration::from_millis(LINGER_MS), copy(reader, &mut sink())).await;
}
