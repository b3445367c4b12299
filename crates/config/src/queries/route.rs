//! Finds the route and the service of a request.

use crate::{Destination, Document, DocumentIndex, Route, Service};

/// Borrows the route with the longest matching prefix that takes the method, among the routes of the host and
/// those of all hosts; of two as long, that of the host.
pub fn find_route<'a>(
    document: &'a Document,
    lookup: &DocumentIndex,
    host: &str,
    method: &str,
    path: &str,
) -> Option<&'a Route> {
    let named = lookup.routes_by_host.get(host);
    let general = lookup.routes_by_host.get("").filter(|_| !host.is_empty());
    prefixes(path)
        .flat_map(|prefix| [named, general].map(|routes| routes.and_then(|map| map.get(prefix))))
        .flatten()
        .find_map(|positions| {
            let mut routes = positions.iter().filter_map(|&at| document.routes.get(at));
            routes.find(|route| takes_method(route, method))
        })
}

/// Borrows the service with that name.
pub fn find_service<'a>(
    document: &'a Document,
    lookup: &DocumentIndex,
    name: &str,
) -> Option<&'a Service> {
    document.services.get(*lookup.services_by_name.get(name)?)
}

/// Borrows the part of the route that a request belongs to, by a number drawn or hashed for the request.
pub fn pick_destination(route: &Route, number: u64) -> Option<&Destination> {
    let total: u64 = route
        .destinations
        .iter()
        .map(|part| u64::from(part.weight))
        .sum();
    let mut left = number % total.max(1);
    route.destinations.iter().find(|part| {
        let weight = u64::from(part.weight);
        let found = left < weight;
        left = left.saturating_sub(weight);
        found
    })
}

fn takes_method(route: &Route, method: &str) -> bool {
    route.methods.is_empty() || route.methods.iter().any(|allowed| allowed == method)
}

/// Walks the prefixes of `path` that end at a segment's border, longest first.
fn prefixes(path: &str) -> impl Iterator<Item = &str> {
    let bytes = path.as_bytes();
    (1..=path.len())
        .rev()
        .filter(move |&end| {
            let at_end = end == bytes.len();
            at_end || bytes[end] == b'/' || bytes[end - 1] == b'/'
        })
        .map(move |end| &path[..end])
}
