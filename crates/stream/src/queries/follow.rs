//! Follows a stream.

use {
    crate::{queries::read, PlatformClient, ReadError},
    std::time::Duration,
    tokio::time::sleep,
    wire::generated::ReadResponse,
};

/// How long one read waits for a record, in milliseconds.
const FOLLOW_WAIT_MS: u64 = 1_500;
/// Pause between reads while the log is unavailable, in milliseconds; jitter of up to the same amount is added.
const RETRY_PAUSE_MS: u64 = 200;

/// Callbacks of [`follow`].
pub struct StreamHandler {
    /// Returns the offset to read next.
    pub next_offset: Box<dyn Fn() -> u64 + Send + Sync>,
    /// Handles the records of one read, possibly none.
    pub handle_records: Box<dyn Fn(&ReadResponse) + Send + Sync>,
    /// Returns whether to continue following the stream.
    pub should_continue: Box<dyn Fn() -> bool + Send + Sync>,
    /// Handles a trimmed stream, given its first kept offset and the time at which that record was appended, in
    /// milliseconds of the log's clock.
    pub on_trimmed: Box<dyn Fn(u64, u64) + Send + Sync>,
}

/// Follows `stream` until `handler.should_continue` returns false. A failed read is repeated after a pause.
pub async fn follow(platform: &PlatformClient, stream: &str, handler: &StreamHandler) {
    while (handler.should_continue)() {
        match read(platform, stream, (handler.next_offset)(), FOLLOW_WAIT_MS).await {
            Ok(part) => (handler.handle_records)(&part.response),
            Err(ReadError::Trimmed {
                first_offset,
                first_at_ms,
                ..
            }) => (handler.on_trimmed)(first_offset, first_at_ms),
            Err(error) => {
                log::debug!("failed to read stream {stream}: {error}");
                let jitter_ms = fastrand::u64(0..=RETRY_PAUSE_MS);
                sleep(Duration::from_millis(RETRY_PAUSE_MS + jitter_ms)).await;
            }
        }
    }
}
