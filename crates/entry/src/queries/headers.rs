//! End-to-end and hop-by-hop headers, and validity checks of responses.

use {
    crate::{Grant, HeaderConventions, RequestHead, RequestPlan},
    account::queries::bearer_key,
    hyper::{
        body::Body,
        header::{
            HeaderName, HeaderValue, AUTHORIZATION, CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH,
            EXPECT, HOST, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, RETRY_AFTER, TE, TRAILER,
            TRANSFER_ENCODING, UPGRADE,
        },
        HeaderMap, Method, Response, StatusCode, Version,
    },
    member::ServerNotice,
    std::time::Instant,
};

/// Largest limit that counts, in thousandths of a request a second; a faulty server may name any number.
const LIMIT_MAX_MILLI: u64 = 1_000_000_000;

/// Lowest status of a final response.
const FINAL_STATUS_MIN: u16 = 200;
/// Highest status that HTTP has.
const FINAL_STATUS_MAX: u16 = 599;

/// Hop-by-hop headers.
const HOP_BY_HOP_HEADERS: [HeaderName; 7] = [
    CONNECTION,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Copies `headers` without the hop-by-hop ones, including those named in `Connection`.
pub fn without_hop_by_hop_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = headers.clone();
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP_HEADERS) {
        forwarded.remove(name);
    }
    forwarded.remove("keep-alive");
    forwarded
}

/// Returns the headers sent to a backend server: the caller's with the host, the remaining time, the request id, the
/// target server and the client account.
pub fn upstream_headers(
    head: &RequestHead,
    plan: &RequestPlan,
    conventions: &HeaderConventions,
    grant: &Grant,
    authority: &str,
) -> HeaderMap {
    let mut headers = without_hop_by_hop_headers(&head.headers);
    headers.remove(CONTENT_LENGTH);
    headers.remove(EXPECT);
    if plan.has_accounts {
        replace_key_by_account(&mut headers, plan, conventions);
    }
    if !headers.contains_key(HOST) {
        insert_text(&mut headers, &HOST, authority);
    }
    let remaining_ms = plan
        .deadline
        .saturating_duration_since(Instant::now())
        .as_millis() as u64;
    headers.insert(&conventions.deadline, HeaderValue::from(remaining_ms));
    insert_text(&mut headers, &conventions.request_id, &plan.request_id);
    if let Some(name) = &conventions.target_server {
        insert_text(&mut headers, name, &grant.server);
    }
    headers
}

/// Names the request's account instead of its API key. Callers can't name an account themselves, and no key reaches a
/// server, not even one that a caller sends without need.
fn replace_key_by_account(
    headers: &mut HeaderMap,
    plan: &RequestPlan,
    conventions: &HeaderConventions,
) {
    let has_key = headers
        .get_all(AUTHORIZATION)
        .iter()
        .any(|value| value.to_str().is_ok_and(|text| bearer_key(text).is_some()));
    if has_key || plan.account.is_some() {
        headers.remove(AUTHORIZATION);
    }
    headers.remove(&conventions.account);
    if let Some(account) = &plan.account {
        insert_text(headers, &conventions.account, account);
    }
}

/// Inserts a header, or leaves it out if `text` is not a valid header value, which can't come from a valid request or
/// member list.
fn insert_text(headers: &mut HeaderMap, name: &HeaderName, text: &str) {
    if let Ok(value) = HeaderValue::from_str(text) {
        headers.insert(name, value);
    }
}

/// Returns whether a status is that of a final HTTP response. The HTTP library itself rejects those below 100.
pub fn is_final_status(status: StatusCode) -> bool {
    (FINAL_STATUS_MIN..=FINAL_STATUS_MAX).contains(&status.as_u16())
}

/// Returns whether a response was made by the server for this request. A response that echoes another request id is
/// not. If signatures are required, the id must be echoed, and a successful response must be signed and have no content
/// encoding, which an intermediary may have added; otherwise the id may be absent.
pub fn is_matching_response<Body>(
    response: &Response<Body>,
    conventions: &HeaderConventions,
    request_id: &str,
) -> bool {
    let headers = response.headers();
    let is_signed = conventions.signature.as_ref().is_none_or(|signature| {
        !response.status().is_success()
            || (headers.contains_key(signature) && !headers.contains_key(CONTENT_ENCODING))
    });
    is_signed && echoes_request(response, conventions, request_id)
}

/// Returns whether a response belongs to this request: it echoes its id. The id may be absent if responses aren't signed.
pub fn echoes_request<Body>(
    response: &Response<Body>,
    conventions: &HeaderConventions,
    request_id: &str,
) -> bool {
    match response.headers().get(&conventions.request_id) {
        Some(echoed_id) => echoed_id == request_id,
        None => conventions.signature.is_none(),
    }
}

/// Returns what a server says in a response about further requests: that it is leaving, with status 503 for how long it
/// wants none, and its limit.
pub fn server_notice<Body>(
    response: &Response<Body>,
    conventions: &HeaderConventions,
) -> ServerNotice {
    let headers = response.headers();
    let leaving = conventions
        .leaving
        .as_ref()
        .and_then(|name| headers.get(name));
    let is_unavailable = response.status() == StatusCode::SERVICE_UNAVAILABLE;
    let retry_after = headers.get(RETRY_AFTER).filter(|_| is_unavailable);
    let limit = conventions
        .limit
        .as_ref()
        .and_then(|name| headers.get(name));
    ServerNotice {
        is_leaving: leaving.is_some_and(|value| value == "1" || value == "true"),
        wait_ms: retry_after.and_then(parse_retry_after_ms),
        limit_milli: limit.and_then(parse_limit_milli),
    }
}

/// Returns a limit in thousandths of a request a second. The header gives it as a decimal number of requests a second.
fn parse_limit_milli(value: &HeaderValue) -> Option<u64> {
    let per_s: f64 = value.to_str().ok()?.trim().parse().ok()?;
    // A server that takes nothing still has to be asked whether it does again.
    (per_s.is_finite() && per_s >= 0.0)
        .then(|| ((per_s * 1_000.0) as u64).clamp(1, LIMIT_MAX_MILLI))
}

/// Returns the time of a `Retry-After` header in milliseconds. It is given in seconds, which may have a fraction; a date is
/// not understood.
fn parse_retry_after_ms(value: &HeaderValue) -> Option<u64> {
    let seconds: f64 = value.to_str().ok()?.trim().parse().ok()?;
    (seconds.is_finite() && seconds >= 0.0).then(|| (seconds * 1_000.0).ceil() as u64)
}

/// Returns whether the message framing distinguishes a complete response from a truncated one.
pub fn has_reliable_framing<Content>(
    response: &Response<Content>,
    conventions: &HeaderConventions,
    method: &Method,
) -> bool
where
    Content: Body,
{
    conventions.accept_close_delimited || !is_close_delimited(response, method)
}

/// Returns whether the end of the connection is the only end of a response.
pub fn is_close_delimited<Content>(response: &Response<Content>, method: &Method) -> bool
where
    Content: Body,
{
    let chunked = response.headers().contains_key(TRANSFER_ENCODING);
    let without_body = *method == Method::HEAD
        || response.status() == StatusCode::NO_CONTENT
        || response.status() == StatusCode::NOT_MODIFIED;
    let known_length = response.body().size_hint().exact().is_some();
    !(without_body || known_length || (chunked && response.version() == Version::HTTP_11))
}

/// Returns whether a status code alone tells callers that the request was not run and will not be.
pub fn implies_not_run(status: StatusCode) -> bool {
    [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::MISDIRECTED_REQUEST,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ]
    .contains(&status)
}
