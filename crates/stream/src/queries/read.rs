//! Reads records of a stream, or the member list.

use {
    crate::{PlatformClient, PlatformResponse, ReadError, RequestBody},
    hyper::{Method, StatusCode},
    wire::{
        from_json,
        generated::{MemberList, ReadResponse},
    },
};

/// Time allowed for a read in addition to its wait, in milliseconds.
const READ_TIMEOUT_MS: u64 = 1_000;

/// Records of a stream.
#[derive(Clone, Debug)]
pub struct StreamPart {
    /// The platform's response.
    pub response: ReadResponse,
    /// Era of the platform's data; none if the platform didn't state it.
    pub era: Option<u64>,
}

/// Reads `stream` from offset `from`; waits up to `wait_ms` for a first record.
///
/// # Errors
///
/// [`ReadError::Trimmed`] if `from` lies before the first kept record or behind the end.
pub async fn read(
    platform: &PlatformClient,
    stream: &str,
    from: u64,
    wait_ms: u64,
) -> Result<StreamPart, ReadError> {
    let path = format!("streams/{stream}?from={from}&wait_ms={wait_ms}");
    let PlatformResponse { status, body, era } =
        get(platform, &path, wait_ms + READ_TIMEOUT_MS).await?;
    let response: ReadResponse = from_json("read response", &body)?;
    if status == StatusCode::GONE {
        return Err(ReadError::Trimmed {
            first_offset: response.first_offset,
            first_at_ms: response.first_at_ms,
            era,
        });
    }
    Ok(StreamPart { response, era })
}

/// Reads the platform's member list; returns none if its version is still `known_version`.
///
/// # Errors
///
/// [`ReadError::Unavailable`] or [`ReadError::Decode`].
pub async fn read_members(
    platform: &PlatformClient,
    known_version: u64,
) -> Result<Option<MemberList>, ReadError> {
    let path = format!("members?known={known_version}");
    let PlatformResponse { status, body, .. } = get(platform, &path, READ_TIMEOUT_MS).await?;
    if status == StatusCode::NOT_MODIFIED {
        return Ok(None);
    }
    Ok(Some(from_json("member list", &body)?))
}

async fn get(
    platform: &PlatformClient,
    path: &str,
    timeout_ms: u64,
) -> Result<PlatformResponse, ReadError> {
    let call = platform.call(Method::GET, path, RequestBody::Empty, timeout_ms);
    let response = call.await.map_err(|_| ReadError::Unavailable)?;
    let expected = [StatusCode::OK, StatusCode::GONE, StatusCode::NOT_MODIFIED];
    if !expected.contains(&response.status) {
        return Err(ReadError::Unavailable);
    }
    Ok(response)
}
