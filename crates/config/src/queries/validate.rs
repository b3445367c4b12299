//! Checks a whole document and names the place of each error.
//!
//! Invariant: every error is reported in one pass; an empty result means that the document may be proposed.

use {
    crate::{CallerLimits, Document, Route, Service, ValidationError},
    std::collections::HashSet,
};

/// Longest name of a service, in characters.
const NAME_MAX_CHARS: usize = 64;
/// Longest deadline, in milliseconds.
const DEADLINE_MAX_MS: u64 = 600_000;
/// Largest share of retries, in percent.
const RETRY_MAX_PERCENT: u32 = 100;
/// Largest body of a request, in bytes.
const BODY_MAX_BYTES: u64 = 1 << 34;
/// Largest answer held until whole, in bytes.
const HOLD_MAX_BYTES: u64 = 4 << 20;
/// Least urgent priority.
const PRIORITY_MAX: u32 = 1_000;
/// Most attempts of one request that a route may ask for.
const ATTEMPTS_MAX: u32 = 16;
/// Bounds of the largest head of a request, in bytes.
const HEADER_MIN_BYTES: u64 = 1 << 10;
/// See [`HEADER_MIN_BYTES`].
const HEADER_MAX_BYTES: u64 = 1 << 20;
/// Methods a route may name.
const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

/// Returns every error of the document, in the order of its text.
pub fn validate(document: &Document) -> Vec<ValidationError> {
    let mut findings = Vec::new();
    if document.services.is_empty() {
        report(
            &mut findings,
            "$.services",
            "at least one service is needed",
        );
    }
    verify_services(&document.services, &mut findings);
    verify_routes(document, &mut findings);
    if let Some(limits) = &document.limits {
        verify_limits(limits, &mut findings);
    }
    findings
}

fn report(findings: &mut Vec<ValidationError>, path: &str, sentence: &str) {
    findings.push(ValidationError {
        path: path.to_owned(),
        message: sentence.to_owned(),
    });
}

fn verify_services(services: &[Service], findings: &mut Vec<ValidationError>) {
    let mut seen = HashSet::new();
    for (index, service) in services.iter().enumerate() {
        let place = format!("$.services[{index}]");
        if !seen.insert(service.name.as_str()) {
            let sentence = format!("the name {:?} is used twice", service.name);
            report(findings, &format!("{place}.name"), &sentence);
        }
        verify_service(service, &place, findings);
    }
}

fn verify_service(service: &Service, place: &str, findings: &mut Vec<ValidationError>) {
    let mut check = |holds: bool, field: &str, sentence: &str| {
        if !holds {
            report(findings, &format!("{place}.{field}"), sentence);
        }
    };
    check(
        is_name(&service.name),
        "name",
        "a name has 1 to 64 characters of a-z, 0-9 and -",
    );
    check(
        (1..=DEADLINE_MAX_MS).contains(&service.deadline_ms),
        "deadline_ms",
        "a deadline lies between 1 and 600000 ms",
    );
    check(
        service.retry_percent <= RETRY_MAX_PERCENT,
        "retry_percent",
        "a share lies between 0 and 100 percent",
    );
    check(
        service.max_body_bytes <= BODY_MAX_BYTES,
        "max_body_bytes",
        "a body has at most 17179869184 bytes",
    );
    check(
        service.hold_bytes <= HOLD_MAX_BYTES,
        "hold_bytes",
        "an answer of at most 4194304 bytes can be held",
    );
}

fn is_name(name: &str) -> bool {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    (1..=NAME_MAX_CHARS).contains(&name.len()) && name.chars().all(allowed)
}

fn verify_routes(document: &Document, findings: &mut Vec<ValidationError>) {
    let names: HashSet<&str> = document.services.iter().map(|s| s.name.as_str()).collect();
    let mut seen = HashSet::new();
    for (index, route) in document.routes.iter().enumerate() {
        let place = format!("$.routes[{index}]");
        verify_route(route, &place, &names, findings);
        verify_numbers(route, &place, findings);
        let matched = (
            route.host.as_str(),
            route.prefix.as_str(),
            route.methods.as_slice(),
        );
        if !seen.insert(matched) {
            report(
                findings,
                &place,
                "another route has the same host, prefix and methods",
            );
        }
    }
}

fn verify_route(
    route: &Route,
    place: &str,
    names: &HashSet<&str>,
    findings: &mut Vec<ValidationError>,
) {
    if route.host.contains([':', '/']) || route.host.chars().any(char::is_uppercase) {
        report(
            findings,
            &format!("{place}.host"),
            "a host is in lower case and has no port",
        );
    }
    if !route.prefix.starts_with('/') {
        report(
            findings,
            &format!("{place}.prefix"),
            "a prefix starts with /",
        );
    }
    verify_parts(route, place, names, findings);
    for (at, method) in route.methods.iter().enumerate() {
        if !METHODS.contains(&method.as_str()) {
            let sentence = format!("{method:?} is not one of {}", METHODS.join(", "));
            report(findings, &format!("{place}.methods[{at}]"), &sentence);
        }
    }
}

fn verify_parts(
    route: &Route,
    place: &str,
    names: &HashSet<&str>,
    findings: &mut Vec<ValidationError>,
) {
    if route.destinations.is_empty() {
        report(
            findings,
            &format!("{place}.service"),
            "a service or a split is needed",
        );
    }
    for (at, part) in route.destinations.iter().enumerate() {
        let field = if route.destinations.len() == 1 {
            format!("{place}.service")
        } else {
            format!("{place}.split[{at}]")
        };
        if !names.contains(part.service.as_str()) {
            let sentence = format!("no service is named {:?}", part.service);
            report(findings, &field, &sentence);
        }
        if part.weight == 0 {
            report(findings, &field, "a weight is at least 1");
        }
    }
}

fn verify_numbers(route: &Route, place: &str, findings: &mut Vec<ValidationError>) {
    let mut check = |holds: bool, field: &str, sentence: &str| {
        if !holds {
            report(findings, &format!("{place}.{field}"), sentence);
        }
    };
    check(
        route
            .timeout_ms
            .is_none_or(|ms| (1..=DEADLINE_MAX_MS).contains(&ms)),
        "timeout_ms",
        "a timeout lies between 1 and 600000 ms",
    );
    check(
        route
            .target_ms
            .is_none_or(|ms| (1..=DEADLINE_MAX_MS).contains(&ms)),
        "target_ms",
        "a target lies between 1 and 600000 ms",
    );
    check(
        route.priority <= PRIORITY_MAX,
        "priority",
        "a priority is at most 1000",
    );
    check(
        (1..=ATTEMPTS_MAX).contains(&route.attempts_max),
        "attempts_max",
        "attempts lie between 1 and 16",
    );
}

fn verify_limits(limits: &CallerLimits, findings: &mut Vec<ValidationError>) {
    let mut check = |holds: bool, field: &str, sentence: &str| {
        if !holds {
            report(findings, &format!("$.limits.{field}"), sentence);
        }
    };
    check(
        (HEADER_MIN_BYTES..=HEADER_MAX_BYTES).contains(&limits.header_bytes),
        "header_bytes",
        "a head has 1024 to 1048576 bytes",
    );
    check(
        limits.body_bytes <= BODY_MAX_BYTES,
        "body_bytes",
        "a body has at most 17179869184 bytes",
    );
    check(
        (1..=DEADLINE_MAX_MS).contains(&limits.header_timeout_ms),
        "header_timeout_ms",
        "a timeout lies between 1 and 600000 ms",
    );
    check(
        (1..=DEADLINE_MAX_MS).contains(&limits.idle_timeout_ms),
        "idle_timeout_ms",
        "a timeout lies between 1 and 600000 ms",
    );
}
