//! Headers that are passed on and headers that belong to one hop.

use {
    crate::{Grant, HeaderConventions, RequestHead, RequestPlan},
    hyper::{
        body::Body,
        header::{
            HeaderName, HeaderValue, CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, EXPECT, HOST,
            PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
        },
        HeaderMap, Method, Response, StatusCode, Version,
    },
    std::time::Instant,
};

/// Headers that belong to one hop.
const HOP_HEADERS: [HeaderName; 7] = [
    CONNECTION,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Copies `headers` without those of one hop, named in `Connection` or known.
pub fn without_hop_by_hop_headers(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_HEADERS) {
        kept.remove(name);
    }
    kept.remove("keep-alive");
    kept
}

/// Returns the headers for a backend server: the caller's, with the host, the time left, the request's id and the
/// server that is meant.
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
    if !headers.contains_key(HOST) {
        insert(&mut headers, &HOST, authority);
    }
    let left_ms = plan
        .deadline
        .saturating_duration_since(Instant::now())
        .as_millis() as u64;
    headers.insert(&conventions.deadline, HeaderValue::from(left_ms));
    insert(&mut headers, &conventions.request_id, &plan.request_id);
    if let Some(name) = &conventions.target_server {
        insert(&mut headers, name, &grant.server);
    }
    headers
}

/// A text that is no header value can't come from a valid request or list, so the header is left out.
fn insert(headers: &mut HeaderMap, name: &HeaderName, text: &str) {
    if let Ok(value) = HeaderValue::from_str(text) {
        headers.insert(name, value);
    }
}

/// Tells whether an answer is the server's own to this very request: it echoes the id, and a success bears the
/// proof that names ask for and is not encoded on its way.
pub fn is_matching_response<Body>(
    answer: &Response<Body>,
    conventions: &HeaderConventions,
    request_id: &str,
) -> bool {
    let headers = answer.headers();
    let echo = headers.get(&conventions.request_id);
    let Some(proof) = &conventions.signature else {
        return echo.is_none_or(|echo| echo == request_id);
    };
    let proved = !answer.status().is_success()
        || (headers.contains_key(proof) && !headers.contains_key(CONTENT_ENCODING));
    proved && echo.is_some_and(|echo| echo == request_id)
}

/// Tells whether the end of an answer can be told from a cut.
pub fn has_reliable_framing<Content>(
    answer: &Response<Content>,
    conventions: &HeaderConventions,
    method: &Method,
) -> bool
where
    Content: Body,
{
    let chunked = answer.headers().contains_key(TRANSFER_ENCODING);
    let bodiless = *method == Method::HEAD
        || answer.status() == StatusCode::NO_CONTENT
        || answer.status() == StatusCode::NOT_MODIFIED;
    let exact = answer.body().size_hint().exact().is_some();
    conventions.accept_close_delimited
        || bodiless
        || exact
        || (chunked && answer.version() == Version::HTTP_11)
}

/// Tells whether a status says by itself that the request was not run and never will be.
pub fn implies_not_run(status: StatusCode) -> bool {
    [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::MISDIRECTED_REQUEST,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ]
    .contains(&status)
}
