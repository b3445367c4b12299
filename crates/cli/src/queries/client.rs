//! Calls an instance's administration API.

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

/// Time allowed for a call, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 10_000;

/// Returns the configuration as the instance sees it.
///
/// # Errors
///
/// The instance can't be reached or answers something else.
pub async fn fetch_config(target: &Target) -> Result<ConfigView, CliError> {
    let text = call_admin(target, Method::GET, "config", String::new()).await?;
    Ok(from_json("configuration", &text)?)
}

/// Returns the history as the instance kept it.
///
/// # Errors
///
/// As [`fetch_config`].
pub async fn fetch_history(target: &Target) -> Result<Vec<HistoryJson>, CliError> {
    let text = call_admin(target, Method::GET, "history", String::new()).await?;
    Ok(from_json("history", &text)?)
}

/// Returns what the instance knows.
///
/// # Errors
///
/// As [`fetch_config`].
pub async fn fetch_status(target: &Target) -> Result<StatusReport, CliError> {
    let text = call_admin(target, Method::GET, "status", String::new()).await?;
    Ok(from_json("status", &text)?)
}

/// Sends one call and returns the body of its answer, whatever its status.
///
/// # Errors
///
/// The instance can't be reached.
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
    let exchange = async {
        let answer = client
            .request(request)
            .await
            .map_err(|error| error.to_string())?;
        let body = answer.into_body().collect().await;
        Ok::<Bytes, String>(body.map_err(|error| error.to_string())?.to_bytes())
    };
    match timeout(Duration::from_millis(CALL_TIMEOUT_MS), exchange).await {
        Ok(Ok(text)) => Ok(text),
        Ok(Err(error)) => unreachable(&error),
        Err(_) => unreachable(&"no answer in time"),
    }
}
