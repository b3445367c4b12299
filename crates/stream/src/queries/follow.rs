//! Follows one stream.

use {
    crate::{queries::read, PlatformClient, ReadError},
    std::time::Duration,
    tokio::time::sleep,
    wire::generated::ReadResponse,
};

/// Time for which one read waits for a record, in milliseconds.
const FOLLOW_WAIT_MS: u64 = 1_500;
/// Time between reads while the log is away, in milliseconds; jitter up to as much again is added.
const AWAY_PAUSE_MS: u64 = 200;

/// What a follower does with what it reads.
pub struct StreamHandler {
    /// Returns the offset to read next.
    pub next_offset: Box<dyn Fn() -> u64 + Send + Sync>,
    /// Takes in records, possibly none.
    pub handle_records: Box<dyn Fn(&ReadResponse) + Send + Sync>,
    /// Tells whether the stream is still to be followed.
    pub should_continue: Box<dyn Fn() -> bool + Send + Sync>,
    /// Learns that the stream now starts at a first offset and when that record was appended.
    pub on_trimmed: Box<dyn Fn(u64, u64) + Send + Sync>,
}

/// Follows `stream` for as long as it is wanted.
pub async fn follow(platform: &PlatformClient, stream: &str, follower: &StreamHandler) {
    while (follower.should_continue)() {
        match read(platform, stream, (follower.next_offset)(), FOLLOW_WAIT_MS).await {
            Ok(answer) => (follower.handle_records)(&answer),
            Err(ReadError::Trimmed {
                first_offset,
                first_at_ms,
            }) => (follower.on_trimmed)(first_offset, first_at_ms),
            Err(error) => {
                log::debug!("reading {stream}: {error}");
                let jitter_ms = fastrand::u64(0..=AWAY_PAUSE_MS);
                sleep(Duration::from_millis(AWAY_PAUSE_MS + jitter_ms)).await;
            }
        }
    }
}
