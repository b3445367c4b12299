//! Validates a document and reports the path of each error.
//!
//! Invariant: one pass reports every error; an empty result means that the document may be proposed.

use {
    crate::{Account, ApiKeyDigest, CallerLimits, Document, Route, Service, ValidationError},
    std::collections::HashSet,
};

/// Maximum length of a service name, in characters.
const NAME_MAX_CHARS: usize = 64;
/// Maximum deadline, timeout or latency target, in milliseconds.
const DEADLINE_MAX_MS: u64 = 600_000;
/// Maximum ratio of retries to requests, in percent.
const RETRY_MAX_PERCENT: u32 = 100;
/// Upper bound of the maximum size of a request body, in bytes.
const BODY_MAX_BYTES: u64 = 1 << 34;
/// Upper bound of the size of a buffered response, in bytes.
const HOLD_MAX_BYTES: u64 = 4 << 20;
/// Largest priority value, which is the least urgent.
const PRIORITY_MAX: u32 = 1_000;
/// Upper bound of the attempts per request of a route.
const ATTEMPTS_MAX: u32 = 16;
/// Lower bound of the maximum size of a header section, in bytes.
const HEADER_MIN_BYTES: u64 = 1 << 10;
/// Upper bound of the maximum size of a header section, in bytes.
const HEADER_MAX_BYTES: u64 = 1 << 20;
/// Largest rate of an account, in thousandths of a request a second.
const RATE_MAX_MILLI: u64 = 1_000_000_000_000;
/// Largest burst of an account, in requests.
const BURST_MAX_REQUESTS: u64 = 1_000_000_000;
/// HTTP methods that a route may list.
const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

/// Returns every error of the document, in document order.
pub fn validate(document: &Document) -> Vec<ValidationError> {
    let mut errors = Vec::new();
    if document.services.is_empty() {
        add_error(&mut errors, "$.services", "at least one service is needed");
    }
    validate_services(&document.services, &mut errors);
    validate_routes(document, &mut errors);
    if let Some(limits) = &document.limits {
        validate_caller_limits(limits, &mut errors);
    }
    validate_accounts(&document.accounts, &mut errors);
    errors
}

fn add_error(errors: &mut Vec<ValidationError>, path: &str, message: &str) {
    errors.push(ValidationError {
        path: path.to_owned(),
        message: message.to_owned(),
    });
}

fn validate_services(services: &[Service], errors: &mut Vec<ValidationError>) {
    let mut seen = HashSet::new();
    for (index, service) in services.iter().enumerate() {
        let path = format!("$.services[{index}]");
        if !seen.insert(service.name.as_str()) {
            let message = format!("the name {:?} is used twice", service.name);
            add_error(errors, &format!("{path}.name"), &message);
        }
        validate_service(service, &path, errors);
    }
}

fn validate_service(service: &Service, path: &str, errors: &mut Vec<ValidationError>) {
    let mut require = |is_valid: bool, field: &str, message: &str| {
        if !is_valid {
            add_error(errors, &format!("{path}.{field}"), message);
        }
    };
    require(
        is_valid_name(&service.name),
        "name",
        "a name has 1 to 64 characters of a-z, 0-9 and -",
    );
    require(
        (1..=DEADLINE_MAX_MS).contains(&service.deadline_ms),
        "deadline_ms",
        "a deadline lies between 1 and 600000 ms",
    );
    require(
        service.retry_percent <= RETRY_MAX_PERCENT,
        "retry_percent",
        "a share lies between 0 and 100 percent",
    );
    require(
        service.max_body_bytes <= BODY_MAX_BYTES,
        "max_body_bytes",
        "a body has at most 17179869184 bytes",
    );
    require(
        service.hold_bytes <= HOLD_MAX_BYTES,
        "hold_bytes",
        "an answer of at most 4194304 bytes can be held",
    );
}

fn is_valid_name(name: &str) -> bool {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    (1..=NAME_MAX_CHARS).contains(&name.len()) && name.chars().all(allowed)
}

fn validate_routes(document: &Document, errors: &mut Vec<ValidationError>) {
    let service_names: HashSet<&str> = document.services.iter().map(|s| s.name.as_str()).collect();
    let mut seen = HashSet::new();
    for (index, route) in document.routes.iter().enumerate() {
        let path = format!("$.routes[{index}]");
        validate_route(route, &path, &service_names, errors);
        validate_route_limits(route, &path, errors);
        let pattern = (
            route.host.as_str(),
            route.prefix.as_str(),
            route.methods.as_slice(),
        );
        if !seen.insert(pattern) {
            add_error(
                errors,
                &path,
                "another route has the same host, prefix and methods",
            );
        }
    }
}

fn validate_route(
    route: &Route,
    path: &str,
    service_names: &HashSet<&str>,
    errors: &mut Vec<ValidationError>,
) {
    if route.host.contains([':', '/']) || route.host.chars().any(char::is_uppercase) {
        add_error(
            errors,
            &format!("{path}.host"),
            "a host is in lower case and has no port",
        );
    }
    if !route.prefix.starts_with('/') {
        add_error(errors, &format!("{path}.prefix"), "a prefix starts with /");
    }
    validate_destinations(route, path, service_names, errors);
    for (index, method) in route.methods.iter().enumerate() {
        if !METHODS.contains(&method.as_str()) {
            let message = format!("{method:?} is not one of {}", METHODS.join(", "));
            add_error(errors, &format!("{path}.methods[{index}]"), &message);
        }
    }
}

fn validate_destinations(
    route: &Route,
    path: &str,
    service_names: &HashSet<&str>,
    errors: &mut Vec<ValidationError>,
) {
    if route.destinations.is_empty() {
        add_error(
            errors,
            &format!("{path}.service"),
            "a service or a split is needed",
        );
    }
    for (index, destination) in route.destinations.iter().enumerate() {
        let field = if route.destinations.len() == 1 {
            format!("{path}.service")
        } else {
            format!("{path}.split[{index}]")
        };
        if !service_names.contains(destination.service.as_str()) {
            let message = format!("no service is named {:?}", destination.service);
            add_error(errors, &field, &message);
        }
        if destination.weight == 0 {
            add_error(errors, &field, "a weight is at least 1");
        }
    }
}

fn validate_route_limits(route: &Route, path: &str, errors: &mut Vec<ValidationError>) {
    let mut require = |is_valid: bool, field: &str, message: &str| {
        if !is_valid {
            add_error(errors, &format!("{path}.{field}"), message);
        }
    };
    require(
        route
            .timeout_ms
            .is_none_or(|ms| (1..=DEADLINE_MAX_MS).contains(&ms)),
        "timeout_ms",
        "a timeout lies between 1 and 600000 ms",
    );
    require(
        route
            .target_ms
            .is_none_or(|ms| (1..=DEADLINE_MAX_MS).contains(&ms)),
        "target_ms",
        "a target lies between 1 and 600000 ms",
    );
    require(
        route.priority <= PRIORITY_MAX,
        "priority",
        "a priority is at most 1000",
    );
    require(
        (1..=ATTEMPTS_MAX).contains(&route.attempts_max),
        "attempts_max",
        "attempts lie between 1 and 16",
    );
}

fn validate_caller_limits(limits: &CallerLimits, errors: &mut Vec<ValidationError>) {
    let mut require = |is_valid: bool, field: &str, message: &str| {
        if !is_valid {
            add_error(errors, &format!("$.limits.{field}"), message);
        }
    };
    require(
        (HEADER_MIN_BYTES..=HEADER_MAX_BYTES).contains(&limits.header_bytes),
        "header_bytes",
        "a head has 1024 to 1048576 bytes",
    );
    require(
        limits.body_bytes <= BODY_MAX_BYTES,
        "body_bytes",
        "a body has at most 17179869184 bytes",
    );
    require(
        (1..=DEADLINE_MAX_MS).contains(&limits.header_timeout_ms),
        "header_timeout_ms",
        "a timeout lies between 1 and 600000 ms",
    );
    require(
        (1..=DEADLINE_MAX_MS).contains(&limits.idle_timeout_ms),
        "idle_timeout_ms",
        "a timeout lies between 1 and 600000 ms",
    );
}

fn validate_accounts(accounts: &[Account], errors: &mut Vec<ValidationError>) {
    let mut names = HashSet::new();
    let mut digests = HashSet::new();
    for (index, account) in accounts.iter().enumerate() {
        let path = format!("$.accounts[{index}]");
        let mut require = |is_valid: bool, field: &str, message: &str| {
            if !is_valid {
                add_error(errors, &format!("{path}.{field}"), message);
            }
        };
        require(
            is_valid_name(&account.name),
            "name",
            "a name has 1 to 64 characters of a-z, 0-9 and -",
        );
        require(
            names.insert(account.name.as_str()),
            "name",
            "another account has the same name",
        );
        require(
            account.priority <= PRIORITY_MAX,
            "priority",
            "a priority is at most 1000",
        );
        require(
            account.rate_milli <= RATE_MAX_MILLI,
            "rate_per_s",
            "a rate is at most 1000000000 requests a second",
        );
        require(
            account.burst_requests <= BURST_MAX_REQUESTS,
            "burst",
            "a burst has at most 1000000000 requests",
        );
        for (key_index, digest) in account.key_digests.iter().enumerate() {
            require(
                *digest != ApiKeyDigest::default(),
                &format!("key_digests[{key_index}]"),
                "a digest has 64 hex digits",
            );
            require(
                digests.insert(digest),
                &format!("key_digests[{key_index}]"),
                "the same key belongs to this or another account already",
            );
        }
    }
}
