//! Classification of requests by the active configuration.

use {
    crate::{
        HeaderConventions, IdempotencyKey, IncomingRequest, RequestHead, RequestPlan, RoutingConfig,
    },
    account::{queries::admit, Admission, AuthorizationTerms},
    config::{queries, Account, Route, Service},
    hyper::{
        header::{AUTHORIZATION, HOST},
        HeaderMap,
    },
    std::time::{Duration, Instant},
    types::{shard_hash, Priority, ResultCode},
    wire::key_digest,
};

/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Longest request id that is accepted from a caller, in bytes.
const MAX_REQUEST_ID_BYTES: usize = 128;

/// Returns the caller's request id, or a random one if the caller sent none or one that is not valid.
pub fn request_id(headers: &HeaderMap, conventions: &HeaderConventions) -> String {
    let value = headers.get(&conventions.request_id);
    let value = value.and_then(|value| value.to_str().ok());
    match value.filter(|id| !id.is_empty() && id.len() <= MAX_REQUEST_ID_BYTES) {
        Some(id) => id.to_owned(),
        None => format!("{:016x}", fastrand::u64(..)),
    }
}

/// Determines how `incoming` is handled.
///
/// # Errors
///
/// The result code of a request that is rejected before any attempt.
pub fn classify(
    config: RoutingConfig<'_>,
    incoming: &IncomingRequest,
    conventions: &HeaderConventions,
    request_id: String,
) -> Result<RequestPlan, ResultCode> {
    let (document, index) = (config.document, config.index);
    let path = incoming.head.uri.path();
    let method = incoming.head.method.as_str();
    let host = host(&incoming.head);
    let route = queries::find_route(document, index, &host, method, path);
    let route = route.ok_or(if config.is_current {
        ResultCode::NoRoute
    } else {
        ResultCode::OldConfiguration
    })?;
    let account = find_account(config, &incoming.head.headers, route)?;
    let destination =
        queries::pick_destination(route, shard_hash(&request_id)).ok_or(ResultCode::NoRoute)?;
    let service =
        queries::find_service(document, index, &destination.service).ok_or(ResultCode::NoRoute)?;
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
        idempotency_key(incoming, conventions, &service.name)?
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
        account: account.map(|account| account.name.clone()),
        has_accounts: !document.accounts.is_empty(),
        priority: Priority::new(route.priority)
            .with_account(account.map_or(0, |account| account.priority)),
        attempts_max: route.attempts_max,
        received,
        max_body_bytes,
        hold_bytes: service.hold_bytes,
    })
}

/// Borrows the client account of a request; `None` if its route is public or there are no accounts.
fn find_account<'a>(
    config: RoutingConfig<'a>,
    headers: &HeaderMap,
    route: &Route,
) -> Result<Option<&'a Account>, ResultCode> {
    let mut values = headers.get_all(AUTHORIZATION).iter();
    // With several values it isn't known which one a server would have taken.
    let authorization = match (values.next(), values.next()) {
        (Some(value), None) => value.to_str().ok(),
        _ => None,
    };
    let terms = AuthorizationTerms {
        authorization,
        is_public: route.is_public,
        is_current: config.is_current,
        accepts_keys: config.accepts_keys,
    };
    match admit(&config.document.accounts, config.keys, terms) {
        Admission::Anonymous => Ok(None),
        Admission::Account(account) => Ok(Some(account)),
        Admission::Unknown => Err(ResultCode::UnknownKey),
        Admission::Unconfirmed => Err(ResultCode::KeysUnconfirmed),
    }
}

/// Returns the requested host in lower case and without the port.
fn host(head: &RequestHead) -> String {
    let header = head.headers.get(HOST).and_then(|value| value.to_str().ok());
    let host = header.or(head.uri.host()).unwrap_or_default();
    let without_port = match host.rsplit_once(':') {
        Some((name, port)) if port.chars().all(|c| c.is_ascii_digit()) => name,
        _ => host,
    };
    without_port.to_ascii_lowercase()
}

/// Returns the deadline: the smallest of the caller's, the route's timeout and the service's deadline. A deadline
/// header that is not a number of milliseconds is a bad request.
fn deadline(
    headers: &HeaderMap,
    conventions: &HeaderConventions,
    service: &Service,
    route: &Route,
    received: Instant,
) -> Result<Instant, ResultCode> {
    let max_ms = service
        .deadline_ms
        .min(route.timeout_ms.unwrap_or(u64::MAX));
    let timeout_ms = match headers.get(&conventions.deadline) {
        None => max_ms,
        Some(value) => {
            let text = value.to_str().map_err(|_| ResultCode::BadRequest)?;
            let requested_ms: u64 = text.parse().map_err(|_| ResultCode::BadRequest)?;
            requested_ms.min(max_ms)
        }
    };
    Ok(received + Duration::from_millis(timeout_ms))
}

/// Returns the idempotency key of a request, if it has one. Different callers may use the same key, so the digest
/// includes the caller's credentials.
fn idempotency_key(
    incoming: &IncomingRequest,
    conventions: &HeaderConventions,
    service: &str,
) -> Result<Option<IdempotencyKey>, ResultCode> {
    let name = conventions.idempotency_key.as_ref();
    let Some(value) = name.and_then(|name| incoming.head.headers.get(name)) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| ResultCode::KeyInvalid)?;
    if text.is_empty() || text.len() > MAX_KEY_BYTES {
        return Err(ResultCode::KeyInvalid);
    }
    let credentials = incoming.head.headers.get(AUTHORIZATION);
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
