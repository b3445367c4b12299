//! Finds the route, the destination, the service and the limited account of a request.

use crate::{Account, Destination, Document, DocumentIndex, Route, Service};

/// Borrows the route with the longest matching prefix that accepts the method, among the routes of the host and those
/// for every host. If two prefixes are equally long, the route of the host wins.
pub fn find_route<'a>(
    document: &'a Document,
    index: &DocumentIndex,
    host: &str,
    method: &str,
    path: &str,
) -> Option<&'a Route> {
    let host_routes = index.routes_by_host.get(host);
    let wildcard_routes = index.routes_by_host.get("").filter(|_| !host.is_empty());
    segment_prefixes(path)
        .flat_map(|prefix| {
            [host_routes, wildcard_routes].map(|routes| routes.and_then(|map| map.get(prefix)))
        })
        .flatten()
        .find_map(|positions| {
            let mut routes = positions
                .iter()
                .filter_map(|&position| document.routes.get(position));
            routes.find(|route| accepts_method(route, method))
        })
}

/// Borrows the service with the given name.
pub fn find_service<'a>(
    document: &'a Document,
    index: &DocumentIndex,
    name: &str,
) -> Option<&'a Service> {
    document.services.get(*index.services_by_name.get(name)?)
}

/// Borrows the account with the given name if its requests are limited.
pub fn find_limited_account<'a>(
    document: &'a Document,
    index: &DocumentIndex,
    name: &str,
) -> Option<&'a Account> {
    document.accounts.get(*index.limited_accounts.get(name)?)
}

/// Returns whether the requests of any account are limited.
pub fn has_limited_accounts(index: &DocumentIndex) -> bool {
    !index.limited_accounts.is_empty()
}

/// Borrows the destination of a request by weighted choice, where `hash` is random or derived from the request.
pub fn pick_destination(route: &Route, hash: u64) -> Option<&Destination> {
    let total: u64 = route
        .destinations
        .iter()
        .map(|destination| u64::from(destination.weight))
        .sum();
    let mut remaining = hash % total.max(1);
    route.destinations.iter().find(|destination| {
        let weight = u64::from(destination.weight);
        let is_picked = remaining < weight;
        remaining = remaining.saturating_sub(weight);
        is_picked
    })
}

fn accepts_method(route: &Route, method: &str) -> bool {
    route.methods.is_empty() || route.methods.iter().any(|allowed| allowed == method)
}

/// Iterates over the prefixes of `path` that end at a segment boundary, longest first.
fn segment_prefixes(path: &str) -> impl Iterator<Item = &str> {
    let bytes = path.as_bytes();
    (1..=path.len())
        .rev()
        .filter(move |&end| {
            let is_whole_path = end == bytes.len();
            is_whole_path || bytes[end] == b'/' || bytes[end - 1] == b'/'
        })
        .map(move |end| &path[..end])
}
