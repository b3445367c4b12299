//! Finds what is valid in a document but without effect: entries that can never match, and limits that contradict others.

use {
    crate::{Account, Document, Route, Service, ValidationError},
    std::collections::{HashMap, HashSet},
};

/// Returns every warning of a valid document, in document order.
pub fn warnings(document: &Document) -> Vec<ValidationError> {
    let mut warnings = Vec::new();
    warn_of_services(document, &mut warnings);
    warn_of_routes(document, &mut warnings);
    if let Some(limits) = &document.limits {
        if limits.header_timeout_ms > limits.idle_timeout_ms {
            add(
                &mut warnings,
                "$.limits.header_timeout_ms",
                "has no effect, since idle_timeout_ms is shorter",
            );
        }
    }
    for (index, account) in document.accounts.iter().enumerate() {
        warn_of_account(account, &format!("$.accounts[{index}]"), &mut warnings);
    }
    warnings
}

fn add(warnings: &mut Vec<ValidationError>, path: &str, message: &str) {
    warnings.push(ValidationError {
        path: path.to_owned(),
        message: message.to_owned(),
    });
}

fn warn_of_services(document: &Document, warnings: &mut Vec<ValidationError>) {
    let routed: HashSet<&str> = document
        .routes
        .iter()
        .flat_map(|route| &route.destinations)
        .map(|destination| destination.service.as_str())
        .collect();
    for (index, service) in document.services.iter().enumerate() {
        let path = format!("$.services[{index}]");
        if !routed.contains(service.name.as_str()) {
            add(
                warnings,
                &path,
                "gets no requests, since no route leads to it",
            );
        }
        let limit_bytes = document.limits.map(|limits| limits.body_bytes);
        if limit_bytes.is_some_and(|bytes| bytes < service.max_body_bytes) {
            let message = "has no effect, since limits.body_bytes is smaller";
            add(warnings, &format!("{path}.max_body_bytes"), message);
        }
    }
}

/// The methods that the routes of one host and prefix accept so far.
#[derive(Default)]
struct AcceptedMethods<'a> {
    has_all: bool,
    methods: HashSet<&'a str>,
}

fn warn_of_routes(document: &Document, warnings: &mut Vec<ValidationError>) {
    let services: HashMap<&str, &Service> = document
        .services
        .iter()
        .map(|service| (service.name.as_str(), service))
        .collect();
    let mut accepted: HashMap<(&str, &str), AcceptedMethods<'_>> = HashMap::new();
    for (index, route) in document.routes.iter().enumerate() {
        let path = format!("$.routes[{index}]");
        let pattern = (route.host.as_str(), route.prefix.as_str());
        warn_of_methods(route, accepted.entry(pattern).or_default(), &path, warnings);
        warn_of_times(route, &services, &path, warnings);
        if route.is_public && document.accounts.is_empty() {
            let message = "has no effect, since there are no accounts";
            add(warnings, &format!("{path}.public"), message);
        }
        let destinations = route.destinations.iter();
        let budgets: Vec<u32> = destinations
            .filter_map(|destination| services.get(destination.service.as_str()))
            .map(|service| service.retry_percent)
            .collect();
        if route.attempts_max > 1
            && !budgets.is_empty()
            && budgets.iter().all(|&budget| budget == 0)
        {
            let message =
                "only the fleet's slack pays for retries, since retry_percent of its services is 0";
            add(warnings, &format!("{path}.attempts_max"), message);
        }
    }
}

/// Warns of methods that an earlier route of the same host and prefix accepts: the first route that accepts a request wins.
fn warn_of_methods<'a>(
    route: &'a Route,
    accepted: &mut AcceptedMethods<'a>,
    path: &str,
    warnings: &mut Vec<ValidationError>,
) {
    let taken = |method: &str| accepted.has_all || accepted.methods.contains(method);
    if accepted.has_all || (!route.methods.is_empty() && route.methods.iter().all(|m| taken(m))) {
        let message =
            "never matches, since earlier routes of the same host and prefix accept its methods";
        add(warnings, path, message);
    } else {
        for (index, method) in route.methods.iter().enumerate() {
            if taken(method) {
                let message =
                    "never matches, since an earlier route of the same host and prefix accepts it";
                add(warnings, &format!("{path}.methods[{index}]"), message);
            }
        }
    }
    accepted.has_all |= route.methods.is_empty();
    accepted
        .methods
        .extend(route.methods.iter().map(String::as_str));
}

fn warn_of_times(
    route: &Route,
    services: &HashMap<&str, &Service>,
    path: &str,
    warnings: &mut Vec<ValidationError>,
) {
    let destinations = route.destinations.iter();
    let deadlines_ms = destinations
        .filter_map(|destination| services.get(destination.service.as_str()))
        .map(|service| service.deadline_ms);
    let Some(longest_ms) = deadlines_ms.max() else {
        return;
    };
    if route.timeout_ms.is_some_and(|ms| ms > longest_ms) {
        let message = "has no effect, since the deadline_ms of its services is shorter";
        add(warnings, &format!("{path}.timeout_ms"), message);
    }
    let timeout_ms = route.timeout_ms.unwrap_or(longest_ms).min(longest_ms);
    if route.target_ms.is_some_and(|ms| ms > timeout_ms) {
        let message = "can't be missed by a response, since the timeout is shorter";
        add(warnings, &format!("{path}.target_ms"), message);
    }
}

fn warn_of_account(account: &Account, path: &str, warnings: &mut Vec<ValidationError>) {
    if account.key_digests.is_empty() {
        let message = "no request can belong to it, since it has no key";
        add(warnings, &format!("{path}.key_digests"), message);
    }
    if account.rate_milli == 0 && account.burst_requests > 0 {
        let message = "has no effect, since without rate_per_s there is no limit";
        add(warnings, &format!("{path}.burst"), message);
    }
}
