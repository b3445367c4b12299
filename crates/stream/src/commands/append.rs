//! Appends a record to a stream.

use {
    crate::{AppendError, CallError, PlatformClient, RequestBody},
    bytes::Bytes,
    hyper::{Method, StatusCode},
    wire::{from_json, generated::AppendResponse},
};

/// Time allowed for an append, including the response, in milliseconds.
const APPEND_TIMEOUT_MS: u64 = 1_000;

/// Appends `body` to `stream` and returns its offset.
///
/// # Errors
///
/// [`AppendError::Refused`] only if the record is certainly not in the log.
pub async fn append(
    platform: &PlatformClient,
    stream: &str,
    body: &str,
) -> Result<u64, AppendError> {
    let path = format!("streams/{stream}");
    let content = RequestBody::Bytes(Bytes::copy_from_slice(body.as_bytes()));
    let call = platform.call(Method::POST, &path, content, APPEND_TIMEOUT_MS);
    let answer = call.await.map_err(|error| match error {
        CallError::NotSent => AppendError::Refused,
        CallError::ResponseLost => AppendError::ResponseLost,
    })?;
    if answer.status == StatusCode::SERVICE_UNAVAILABLE {
        return Err(AppendError::Refused);
    }
    let response: AppendResponse =
        from_json("append response", &answer.body).map_err(|_| AppendError::ResponseLost)?;
    Ok(response.offset)
}
