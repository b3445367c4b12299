//! Client of an instance's administration API.

use {
    crate::{error::UnreachableSnafu, CliError, Target},
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{header::AUTHORIZATION, Method, Request},
    hyper_util::{client::legacy::Client, rt::TokioExecutor},
    std::{fmt::Display, time::Duration},
    tokio::time::timeout,
    wire::{
        from_json,
        generated::{ConfigView, HistoryJson, StatusReport},
    },
};

/// Timeout of a call, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 10_000;

/// Returns the active version and the open proposals, as known to the instance.
///
/// # Errors
///
/// The instance can't be reached, or its response can't be parsed.
pub async fn fetch_config(target: &Target) -> Result<ConfigView, CliError> {
    let text = call_admin(target, Method::GET, "config", String::new()).await?;
    Ok(from_json("configuration", &text)?)
}

/// Returns the configuration history that the instance has.
///
/// # Errors
///
/// As [`fetch_config`].
pub async fn fetch_history(target: &Target) -> Result<Vec<HistoryJson>, CliError> {
    let text = call_admin(target, Method::GET, "history", String::new()).await?;
    Ok(from_json("history", &text)?)
}

/// Returns the instance's status.
///
/// # Errors
///
/// As [`fetch_config`].
pub async fn fetch_status(target: &Target) -> Result<StatusReport, CliError> {
    let text = call_admin(target, Method::GET, "status", String::new()).await?;
    Ok(from_json("status", &text)?)
}

/// Sends a request and returns the body of the response, for any status code.
///
/// # Errors
///
/// The instance can't be reached or does not respond in time.
pub async fn call_admin(
    target: &Target,
    method: Method,
    path: &str,
    body: String,
) -> Result<Bytes, CliError> {
    let unreachable = |reason: &dyn Display| -> Result<Bytes, CliError> {
        UnreachableSnafu {
            address: target.admin,
            reason: reason.to_string(),
        }
        .fail()
    };
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{}/{path}", target.admin))
        .header(AUTHORIZATION, format!("Bearer {}", target.token))
        .body(Full::new(Bytes::from(body)));
    let request = match request {
        Ok(request) => request,
        Err(error) => return unreachable(&error),
    };
    let client = Client::builder(TokioExecutor::new()).build_http();
    let call = async {
        let response = client
            .request(request)
            .await
            .map_err(|error| error.to_string())?;
        let body = response.into_body().collect().await;
        Ok::<Bytes, String>(body.map_err(|error| error.to_string())?.to_bytes())
    };
    match timeout(Duration::from_millis(CALL_TIMEOUT_MS), call).await {
        Ok(Ok(text)) => Ok(text),
        Ok(Err(error)) => unreachable(&error),
        Err(_) => unreachable(&"no response in time"),
    }
}
