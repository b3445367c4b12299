//! Classifies a request by the configuration in force.

use {
    crate::{
        HeaderConventions, IdempotencyKey, IncomingRequest, RequestHead, RequestPlan, RoutingConfig,
    },
    config::{queries, Route, Service},
    hyper::{header::HOST, HeaderMap},
    std::time::{Duration, Instant},
    types::{shard_hash, ResultCode},
    wire::key_digest,
};

/// Longest idempotency key, in bytes.
const KEY_MAX_BYTES: usize = 256;

/// Longest id of a request that is taken from its caller, in bytes.
const ID_MAX_BYTES: usize = 128;

/// Returns the caller's id of the request, or a new one if it gives none that can be used.
pub fn request_id(headers: &HeaderMap, conventions: &HeaderConventions) -> String {
    let given = headers.get(&conventions.request_id);
    let given = given.and_then(|value| value.to_str().ok());
    match given.filter(|id| !id.is_empty() && id.len() <= ID_MAX_BYTES) {
        Some(id) => id.to_owned(),
        None => format!("{:016x}", fastrand::u64(..)),
    }
}

/// Says how `incoming` is to be treated.
///
/// # Errors
///
/// The result code for a request that is refused before any work.
pub fn classify(
    rules: RoutingConfig<'_>,
    incoming: &IncomingRequest,
    conventions: &HeaderConventions,
    request_id: String,
) -> Result<RequestPlan, ResultCode> {
    let (document, lookup) = (rules.document, rules.index);
    let path = incoming.head.uri.path();
    let method = incoming.head.method.as_str();
    let host = host(&incoming.head);
    let route = queries::find_route(document, lookup, &host, method, path);
    let route = route.ok_or(ResultCode::NoRoute)?;
    let part =
        queries::pick_destination(route, shard_hash(&request_id)).ok_or(ResultCode::NoRoute)?;
    let service =
        queries::find_service(document, lookup, &part.service).ok_or(ResultCode::NoRoute)?;
    let limit_bytes = document.limits.map_or(u64::MAX, |limits| limits.body_bytes);
    let max_body_bytes = service.max_body_bytes.min(limit_bytes);
    if incoming
        .content_length_bytes
        .is_some_and(|bytes| bytes > max_body_bytes)
    {
        return Err(ResultCode::BodyTooLarge);
    }
    let idempotent = route.kind.is_idempotent();
    let key = if idempotent {
        None
    } else {
        key(incoming, conventions, &service.name)?
    };
    let received = incoming.received;
    Ok(RequestPlan {
        request_id,
        service: service.name.clone(),
        idempotent,
        key,
        deadline: deadline(
            &incoming.head.headers,
            conventions,
            service,
            route,
            received,
        )?,
        priority: route.priority,
        attempts_max: route.attempts_max,
        received,
        max_body_bytes,
        hold_bytes: service.hold_bytes,
    })
}

/// Returns the host that the caller asks for, in lower case and without a port.
fn host(head: &RequestHead) -> String {
    let named = head.headers.get(HOST).and_then(|value| value.to_str().ok());
    let host = named.or(head.uri.host()).unwrap_or_default();
    let without_port = match host.rsplit_once(':') {
        Some((name, port)) if port.chars().all(|c| c.is_ascii_digit()) => name,
        _ => host,
    };
    without_port.to_ascii_lowercase()
}

/// The smallest of what the caller gives, the route's timeout and the service's deadline.
fn deadline(
    headers: &HeaderMap,
    conventions: &HeaderConventions,
    service: &Service,
    route: &Route,
    received: Instant,
) -> Result<Instant, ResultCode> {
    let own_ms = service
        .deadline_ms
        .min(route.timeout_ms.unwrap_or(u64::MAX));
    let asked_ms = match headers.get(&conventions.deadline) {
        None => own_ms,
        Some(value) => {
            let text = value.to_str().map_err(|_| ResultCode::BadRequest)?;
            let asked: u64 = text.parse().map_err(|_| ResultCode::BadRequest)?;
            asked.min(own_ms)
        }
    };
    Ok(received + Duration::from_millis(asked_ms))
}

/// Two callers may use the same key, so the caller's credentials belong to the digest.
fn key(
    incoming: &IncomingRequest,
    conventions: &HeaderConventions,
    service: &str,
) -> Result<Option<IdempotencyKey>, ResultCode> {
    let named = conventions.idempotency_key.as_ref();
    let Some(value) = named.and_then(|name| incoming.head.headers.get(name)) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| ResultCode::KeyInvalid)?;
    if text.is_empty() || text.len() > KEY_MAX_BYTES {
        return Err(ResultCode::KeyInvalid);
    }
    let credentials = incoming.head.headers.get(hyper::header::AUTHORIZATION);
    let credentials = credentials.map_or(&[][..], |value| value.as_bytes());
    let path = incoming
        .head
        .uri
        .path_and_query()
        .map_or("", |path| path.as_str());
    let digest = key_digest(&[
        service.as_bytes(),
        incoming.head.method.as_str().as_bytes(),
        path.as_bytes(),
        credentials,
        text.as_bytes(),
    ]);
    Ok(Some(IdempotencyKey {
        digest,
        issued_ms: claim::queries::uuid_v7_timestamp_ms(text),
    }))
}
