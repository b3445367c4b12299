//! Reads one stretch of a stream, or the list of members.

use {
    crate::{PlatformClient, ReadError, RequestBody},
    bytes::Bytes,
    hyper::{Method, StatusCode},
    wire::{
        from_json,
        generated::{MemberList, ReadResponse},
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
    platform: &PlatformClient,
    stream: &str,
    from: u64,
    wait_ms: u64,
) -> Result<ReadResponse, ReadError> {
    let path = format!("streams/{stream}?from={from}&wait_ms={wait_ms}");
    let (status, text) = get(platform, &path, wait_ms + READ_TIMEOUT_MS).await?;
    let answer: ReadResponse = from_json("read answer", &text)?;
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
/// [`ReadError::Unavailable`] or [`ReadError::Decode`].
pub async fn read_members(
    platform: &PlatformClient,
    known_version: u64,
) -> Result<Option<MemberList>, ReadError> {
    let path = format!("members?known={known_version}");
    let (status, text) = get(platform, &path, READ_TIMEOUT_MS).await?;
    if status == StatusCode::NOT_MODIFIED {
        return Ok(None);
    }
    Ok(Some(from_json("member list", &text)?))
}

async fn get(
    platform: &PlatformClient,
    path: &str,
    limit_ms: u64,
) -> Result<(StatusCode, Bytes), ReadError> {
    let called = platform.call(Method::GET, path, RequestBody::Empty, limit_ms);
    let (status, text) = called.await.map_err(|_| ReadError::Unavailable)?;
    let expected = [StatusCode::OK, StatusCode::GONE, StatusCode::NOT_MODIFIED];
    if !expected.contains(&status) {
        return Err(ReadError::Unavailable);
    }
    Ok((status, text))
}
