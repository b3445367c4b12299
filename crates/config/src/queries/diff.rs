//! Says in sentences what a proposal changes and what it can cost.
//!
//! Written for the person who approves: capacity that may be taken out of service and requests that may be
//! repeated come first in each comparison.

use crate::{DetectionMode, Document, RequestKind, Route, Service};

/// Returns one sentence per change from `before` to `after`.
pub fn describe_changes(before: &Document, after: &Document) -> Vec<String> {
    let mut sentences = Vec::new();
    for service in &after.services {
        match find(&before.services, |old| old.name == service.name) {
            Some(old) => explain_service(old, service, &mut sentences),
            None => sentences.push(format!(
                "Service {} is new: ejections always leave it {} slots of healthy capacity.",
                service.name, service.floor_slots
            )),
        }
    }
    for old in &before.services {
        if find(&after.services, |service| service.name == old.name).is_none() {
            sentences.push(format!(
                "Service {} goes: its callers are refused.",
                old.name
            ));
        }
    }
    explain_routes(before, after, &mut sentences);
    if sentences.is_empty() {
        sentences.push("Nothing changes.".to_owned());
    }
    sentences
}

fn find<Item, Test>(items: &[Item], test: Test) -> Option<&Item>
where
    Test: Fn(&Item) -> bool,
{
    items.iter().find(|item| test(item))
}

fn explain_service(old: &Service, new: &Service, sentences: &mut Vec<String>) {
    if new.floor_slots < old.floor_slots {
        sentences.push(format!(
            "COST: service {} may be left with {} slots of healthy capacity, {} fewer than now.",
            new.name,
            new.floor_slots,
            old.floor_slots - new.floor_slots
        ));
    }
    if new.floor_slots > old.floor_slots {
        sentences.push(format!(
            "Service {} always keeps {} slots of healthy capacity, {} more than now; a failing server may stay longer.",
            new.name,
            new.floor_slots,
            new.floor_slots - old.floor_slots
        ));
    }
    if new.detection != old.detection {
        let cost = match new.detection {
            DetectionMode::Fast => {
                "failing servers are found sooner, healthy ones may be set aside more often"
            }
            DetectionMode::Careful => {
                "healthy servers are set aside less often, failing ones are found later"
            }
        };
        sentences.push(format!("Service {}: {cost}.", new.name));
    }
    explain_limits(old, new, sentences);
}

fn explain_limits(old: &Service, new: &Service, sentences: &mut Vec<String>) {
    let rows = [
        ("deadline", old.deadline_ms, new.deadline_ms, "ms"),
        (
            "share of retries",
            u64::from(old.retry_percent),
            u64::from(new.retry_percent),
            "percent",
        ),
        (
            "largest body",
            old.max_body_bytes,
            new.max_body_bytes,
            "bytes",
        ),
        (
            "largest held answer",
            old.hold_bytes,
            new.hold_bytes,
            "bytes",
        ),
    ];
    for (what, was, is, unit) in rows {
        if was != is {
            sentences.push(format!(
                "Service {}: {what} changes from {was} to {is} {unit}.",
                new.name
            ));
        }
    }
}

fn explain_routes(before: &Document, after: &Document, sentences: &mut Vec<String>) {
    for route in &after.routes {
        match find(&before.routes, |old| is_same(old, route)) {
            None => sentences.push(format!(
                "Requests to {} go to {}; they {}.",
                place(route),
                services(route),
                repeat_words(route.kind)
            )),
            Some(old) => explain_route(old, route, sentences),
        }
    }
    for old in &before.routes {
        if find(&after.routes, |route| is_same(old, route)).is_none() {
            sentences.push(format!("Requests to {} lose their route.", place(old)));
        }
    }
    if before.limits != after.limits {
        sentences.push(match &after.limits {
            Some(limits) => format!(
                "Callers may send heads of {} and bodies of {} bytes, take {} ms for a head and stay idle for {} ms.",
                limits.header_bytes,
                limits.body_bytes,
                limits.header_timeout_ms,
                limits.idle_timeout_ms
            ),
            None => "What callers may send is left to the services.".to_owned(),
        });
    }
}

fn is_same(left: &Route, right: &Route) -> bool {
    left.host == right.host && left.prefix == right.prefix && left.methods == right.methods
}

fn place(route: &Route) -> String {
    format!("{}{}", route.host, route.prefix)
}

fn services(route: &Route) -> String {
    match route.destinations.as_slice() {
        [only] => format!("service {}", only.service),
        parts => {
            let words: Vec<String> = parts
                .iter()
                .map(|part| format!("{} ({})", part.service, part.weight))
                .collect();
            format!("services by weight: {}", words.join(", "))
        }
    }
}

fn explain_route(old: &Route, new: &Route, sentences: &mut Vec<String>) {
    let place = place(new);
    if new.kind != old.kind {
        let repeatable = new.kind.is_idempotent() && !old.kind.is_idempotent();
        let cost = if repeatable {
            "COST: requests"
        } else {
            "Requests"
        };
        sentences.push(format!("{cost} to {place} {}.", repeat_words(new.kind)));
    }
    if new.destinations != old.destinations {
        sentences.push(format!(
            "Requests to {place} move from {} to {}.",
            services(old),
            services(new)
        ));
    }
    let rows = [
        ("timeout", old.timeout_ms, new.timeout_ms, " ms"),
        ("target", old.target_ms, new.target_ms, " ms"),
        (
            "priority",
            Some(u64::from(old.priority)),
            Some(u64::from(new.priority)),
            "",
        ),
        (
            "most attempts",
            Some(u64::from(old.attempts_max)),
            Some(u64::from(new.attempts_max)),
            "",
        ),
    ];
    for (what, was, is, unit) in rows {
        if was != is {
            let words = |value: Option<u64>| {
                value.map_or_else(|| "none".to_owned(), |value| format!("{value}{unit}"))
            };
            sentences.push(format!(
                "Requests to {place}: {what} changes from {} to {}.",
                words(was),
                words(is)
            ));
        }
    }
}

fn repeat_words(kind: RequestKind) -> &'static str {
    match kind {
        RequestKind::Safe => "may be repeated after a failure",
        RequestKind::Unsafe => "are never repeated once a backend server may have run them",
        RequestKind::Upload => {
            "are never repeated once a backend server may have run them, and may be long"
        }
    }
}
