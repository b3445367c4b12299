//! Follows a stream.

use {
    crate::{queries::read, PlatformClient, ReadError},
    log::warn,
    std::time::Duration,
    tokio::time::{sleep, Instant},
    types::{EraObservation, StoreEra},
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
    /// Discards the offset after the platform has lost records; the stream is then read from its start again.
    pub on_rolled_back: Box<dyn Fn() + Send + Sync>,
}

/// Follows `stream` until `handler.should_continue` returns false. A failed read is repeated after a pause.
pub async fn follow(platform: &PlatformClient, stream: &str, handler: &StreamHandler) {
    let mut store_era = StoreEra::default();
    let started_at = Instant::now();
    let now_ms = || started_at.elapsed().as_millis() as u64;
    while (handler.should_continue)() {
        let (from, sent_ms) = ((handler.next_offset)(), now_ms());
        let result = read(platform, stream, from, FOLLOW_WAIT_MS).await;
        let (era, is_ahead) = match &result {
            Ok(part) => (part.era, false),
            Err(ReadError::Trimmed {
                first_offset, era, ..
            }) => (*era, from > 0 && *first_offset <= from),
            Err(_) => (None, false),
        };
        // An offset behind the end shows a loss also if the platform doesn't state its era.
        if store_era.observe(era, sent_ms, now_ms()) == EraObservation::Changed || is_ahead {
            warn!("the platform has lost records; reading stream {stream} again");
            (handler.on_rolled_back)();
            continue;
        }
        match result {
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
