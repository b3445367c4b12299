//! Describes in sentences what a proposal changes and which risks it has.
//!
//! The reader is the person who approves the proposal, so each comparison starts with capacity that may be taken out of
//! service and requests that may be retried.

use crate::{Account, DetectionMode, Document, RequestKind, Route, Service};

/// Returns one sentence per change from `old_document` to `new_document`.
pub fn describe_changes(old_document: &Document, new_document: &Document) -> Vec<String> {
    let mut sentences = Vec::new();
    for service in &new_document.services {
        match find(&old_document.services, |old| old.name == service.name) {
            Some(old) => describe_service(old, service, &mut sentences),
            None => sentences.push(format!(
                "Service {} is new: ejections always leave it {} slots of healthy capacity.",
                service.name, service.floor_slots
            )),
        }
    }
    for old in &old_document.services {
        if find(&new_document.services, |service| service.name == old.name).is_none() {
            sentences.push(format!(
                "Service {} goes: its callers are refused.",
                old.name
            ));
        }
    }
    describe_routes(old_document, new_document, &mut sentences);
    describe_accounts(old_document, new_document, &mut sentences);
    if sentences.is_empty() {
        sentences.push("Nothing changes.".to_owned());
    }
    sentences
}

fn find<Item, Predicate>(items: &[Item], predicate: Predicate) -> Option<&Item>
where
    Predicate: Fn(&Item) -> bool,
{
    items.iter().find(|item| predicate(item))
}

fn describe_service(old: &Service, new: &Service, sentences: &mut Vec<String>) {
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
        let effect = match new.detection {
            DetectionMode::Fast => {
                "failing servers are found sooner, healthy ones may be set aside more often"
            }
            DetectionMode::Careful => {
                "healthy servers are set aside less often, failing ones are found later"
            }
        };
        sentences.push(format!("Service {}: {effect}.", new.name));
    }
    describe_service_limits(old, new, sentences);
}

fn describe_service_limits(old: &Service, new: &Service, sentences: &mut Vec<String>) {
    let changes = [
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
    for (label, old_value, new_value, unit) in changes {
        if old_value != new_value {
            sentences.push(format!(
                "Service {}: {label} changes from {old_value} to {new_value} {unit}.",
                new.name
            ));
        }
    }
}

fn describe_routes(old_document: &Document, new_document: &Document, sentences: &mut Vec<String>) {
    for route in &new_document.routes {
        match find(&old_document.routes, |old| has_same_match(old, route)) {
            None => sentences.push(format!(
                "Requests to {} go to {}; they {}.",
                route_pattern(route),
                route_destinations(route),
                retry_description(route.kind)
            )),
            Some(old) => describe_route(old, route, sentences),
        }
    }
    for old in &old_document.routes {
        if find(&new_document.routes, |route| has_same_match(old, route)).is_none() {
            sentences.push(format!(
                "Requests to {} lose their route.",
                route_pattern(old)
            ));
        }
    }
    if old_document.limits != new_document.limits {
        sentences.push(match &new_document.limits {
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

fn has_same_match(left: &Route, right: &Route) -> bool {
    left.host == right.host && left.prefix == right.prefix && left.methods == right.methods
}

fn route_pattern(route: &Route) -> String {
    format!("{}{}", route.host, route.prefix)
}

fn route_destinations(route: &Route) -> String {
    match route.destinations.as_slice() {
        [only] => format!("service {}", only.service),
        destinations => {
            let entries: Vec<String> = destinations
                .iter()
                .map(|destination| format!("{} ({})", destination.service, destination.weight))
                .collect();
            format!("services by weight: {}", entries.join(", "))
        }
    }
}

fn describe_route(old: &Route, new: &Route, sentences: &mut Vec<String>) {
    let route_pattern = route_pattern(new);
    if new.kind != old.kind {
        let becomes_idempotent = new.kind.is_idempotent() && !old.kind.is_idempotent();
        let subject = if becomes_idempotent {
            "COST: requests"
        } else {
            "Requests"
        };
        sentences.push(format!(
            "{subject} to {route_pattern} {}.",
            retry_description(new.kind)
        ));
    }
    if new.destinations != old.destinations {
        sentences.push(format!(
            "Requests to {route_pattern} move from {} to {}.",
            route_destinations(old),
            route_destinations(new)
        ));
    }
    if new.is_public != old.is_public {
        let needs = if new.is_public { "no" } else { "an" };
        sentences.push(format!("Requests to {route_pattern} need {needs} API key."));
    }
    let changes = [
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
    for (label, old_value, new_value, unit) in changes {
        if old_value != new_value {
            let format_value = |value: Option<u64>| {
                value.map_or_else(|| "none".to_owned(), |value| format!("{value}{unit}"))
            };
            sentences.push(format!(
                "Requests to {route_pattern}: {label} changes from {} to {}.",
                format_value(old_value),
                format_value(new_value)
            ));
        }
    }
}

fn retry_description(kind: RequestKind) -> &'static str {
    match kind {
        RequestKind::Safe => "may be repeated after a failure",
        RequestKind::Unsafe => "are never repeated once a backend server may have run them",
        RequestKind::Upload => {
            "are never repeated once a backend server may have run them, and may be long"
        }
    }
}

fn describe_accounts(
    old_document: &Document,
    new_document: &Document,
    sentences: &mut Vec<String>,
) {
    let had_accounts = !old_document.accounts.is_empty();
    let has_accounts = !new_document.accounts.is_empty();
    if has_accounts && !had_accounts {
        sentences.push(
            "COST: requests need an API key from now on, except on public routes.".to_owned(),
        );
    }
    if had_accounts && !has_accounts {
        sentences.push("COST: requests need no API key any more.".to_owned());
    }
    for account in &new_document.accounts {
        match find(&old_document.accounts, |old| old.name == account.name) {
            Some(old) => describe_account(old, account, sentences),
            None => sentences.push(format!(
                "Account {} is new, with {}, {} and priority {}.",
                account.name,
                key_count(account.key_digests.len()),
                rate_text(account),
                account.priority
            )),
        }
    }
    for old in &old_document.accounts {
        if find(&new_document.accounts, |account| account.name == old.name).is_none() {
            sentences.push(format!(
                "Account {} goes: its callers are refused.",
                old.name
            ));
        }
    }
}

fn key_count(count: usize) -> String {
    if count == 1 {
        "1 key".to_owned()
    } else {
        format!("{count} keys")
    }
}

fn rate_text(account: &Account) -> String {
    if account.rate_milli == 0 {
        return "no limit".to_owned();
    }
    format!(
        "{} requests a second, a burst of {}",
        account.rate_milli as f64 / 1_000.0,
        account.burst_requests
    )
}

fn describe_account(old: &Account, new: &Account, sentences: &mut Vec<String>) {
    let without = |keys: &Account, other: &Account| {
        let mut digests = keys.key_digests.iter();
        digests
            .by_ref()
            .filter(|key| !other.key_digests.contains(key))
            .count()
    };
    let (added, removed) = (without(new, old), without(old, new));
    if added > 0 || removed > 0 {
        let is_or_are = if added == 1 { "is" } else { "are" };
        sentences.push(format!(
            "Account {}: {} {is_or_are} added and {removed} {} removed.",
            new.name,
            key_count(added),
            if removed == 1 { "is" } else { "are" }
        ));
    }
    if new.rate_milli != old.rate_milli {
        sentences.push(format!(
            "Account {}: rate changes from {} to {} requests a second{}.",
            new.name,
            old.rate_milli as f64 / 1_000.0,
            new.rate_milli as f64 / 1_000.0,
            if new.rate_milli == 0 {
                ", which is no limit"
            } else {
                ""
            }
        ));
    }
    if new.burst_requests != old.burst_requests {
        sentences.push(format!(
            "Account {}: burst changes from {} to {} requests.",
            new.name, old.burst_requests, new.burst_requests
        ));
    }
    if new.priority != old.priority {
        sentences.push(format!(
            "Account {}: priority changes from {} to {}.",
            new.name, old.priority, new.priority
        ));
    }
}
