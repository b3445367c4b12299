//! Reads one stretch of a stream, or the list of members.

use {
    crate::{Content, Platform, ReadError},
    bytes::Bytes,
    hyper::{Method, StatusCode},
    wire::{
        from_text,
        generated::{MemberList, ReadAnswer},
    },
};

/// Time allowed for a read beyond its wait, in milliseconds.
const READ_TIMEOUT_MS: u64 = 1_000;

/// Reads `stream` from `from` on; waits up to `wait_ms` for a first record.
///
/// # Errors
///
/// [`ReadError::Trimmed`] if `from` lies before the first kept record.
pub async fn read(
    platform: &Platform,
    stream: &str,
    from: u64,
    wait_ms: u64,
) -> Result<ReadAnswer, ReadError> {
    let path = format!("streams/{stream}?from={from}&wait_ms={wait_ms}");
    let (status, text) = get(platform, &path, wait_ms + READ_TIMEOUT_MS).await?;
    let answer: ReadAnswer = from_text("read answer", &text)?;
    if status == StatusCode::GONE {
        return Err(ReadError::Trimmed {
            first_offset: answer.first_offset,
            first_at_ms: answer.first_at_ms,
        });
    }
    Ok(answer)
}

/// Reads the platform's list; nothing if its version is still `known_version`.
///
/// # Errors
///
/// [`ReadError::Away`] or [`ReadError::Codec`].
pub async fn members(
    platform: &Platform,
    known_version: u64,
) -> Result<Option<MemberList>, ReadError> {
    let path = format!("members?known={known_version}");
    let (status, text) = get(platform, &path, READ_TIMEOUT_MS).await?;
    if status == StatusCode::NOT_MODIFIED {
        return Ok(None);
    }
    Ok(Some(from_text("member list", &text)?))
}

async fn get(
    platform: &Platform,
    path: &str,
    limit_ms: u64,
) -> Result<(StatusCode, Bytes), ReadError> {
    let called = platform.call(Method::GET, path, Content::None, limit_ms);
    let (status, text) = called.await.map_err(|_| ReadError::Away)?;
    let expected = [StatusCode::OK, StatusCode::GONE, StatusCode::NOT_MODIFIED];
    if !expected.contains(&status) {
        return Err(ReadError::Away);
    }
    Ok((status, text))
}
