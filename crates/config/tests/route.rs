//! Tests of the choice of route and destination.

use {
    config::{
        queries::{find_route, pick_destination},
        Destination, Document, DocumentIndex, RequestKind, Route,
    },
    quickcheck::quickcheck,
};

fn route(prefix: &str, methods: &[&str], kind: RequestKind) -> Route {
    Route {
        methods: methods.iter().map(|&method| method.into()).collect(),
        ..Route::new(prefix, "s", kind)
    }
}

fn document(routes: Vec<Route>) -> Document {
    Document {
        routes,
        ..Document::default()
    }
}

#[test]
fn find_route_longest_prefix() {
    let document = document(vec![
        route("/", &[], RequestKind::Safe),
        route("/orders", &["POST"], RequestKind::Unsafe),
    ]);
    let index = DocumentIndex::new(&document);
    let kind =
        |method, path| find_route(&document, &index, "", method, path).map(|route| route.kind);
    assert_eq!(kind("POST", "/orders/1"), Some(RequestKind::Unsafe));
    assert_eq!(kind("GET", "/orders/1"), Some(RequestKind::Safe));
    assert_eq!(kind("POST", "/ordersmore"), Some(RequestKind::Safe));
}

#[test]
fn find_route_no_match() {
    let document = document(vec![route("/orders", &[], RequestKind::Safe)]);
    assert!(find_route(
        &document,
        &DocumentIndex::new(&document),
        "",
        "GET",
        "/other"
    )
    .is_none());
}

#[test]
fn find_route_host() {
    let route_for_host = |host: &str, prefix: &str| Route {
        host: host.into(),
        ..Route::new(prefix, host, RequestKind::Safe)
    };
    let document = document(vec![
        route_for_host("a.example", "/x/"),
        route_for_host("b.example", "/x/"),
        route_for_host("", "/x/y/"),
        route_for_host("", "/x/"),
    ]);
    let index = DocumentIndex::new(&document);
    let found = |host, path| {
        find_route(&document, &index, host, "GET", path).map(|route| route.host.as_str())
    };
    assert_eq!(found("a.example", "/x/1"), Some("a.example"));
    assert_eq!(found("b.example", "/x/1"), Some("b.example"));
    assert_eq!(found("c.example", "/x/1"), Some(""));
    assert_eq!(found("a.example", "/x/y/1"), Some(""));
    assert_eq!(found("a.example", "/z"), None);
}

#[test]
fn pick_destination_by_weight() {
    let destination = |service: &str, weight| Destination {
        service: service.into(),
        weight,
    };
    let split = Route {
        destinations: vec![destination("a", 90), destination("b", 10)],
        ..Route::new("/", "", RequestKind::Safe)
    };
    let picked_b = (0..1_000)
        .filter(|&hash| {
            pick_destination(&split, hash).is_some_and(|destination| destination.service == "b")
        })
        .count();
    assert_eq!(picked_b, 100);
    let no_destinations = Route {
        destinations: Vec::new(),
        ..split
    };
    assert!(pick_destination(&no_destinations, 3).is_none());
}

/// Reference implementation of the longest prefix match, which scans all routes.
fn find_route_by_scan<'a>(document: &'a Document, path: &str) -> Option<&'a Route> {
    let matches = |prefix: &str| {
        path.strip_prefix(prefix)
            .is_some_and(|rest| prefix.ends_with('/') || rest.is_empty() || rest.starts_with('/'))
    };
    let found = document
        .routes
        .iter()
        .filter(|route| matches(&route.prefix));
    found.max_by_key(|route| route.prefix.len())
}

quickcheck! {
    fn find_route_matches_definition(prefixes: Vec<Vec<u8>>, path: Vec<u8>) -> bool {
        let to_path = |letters: &[u8]| -> String {
            let letters = letters.iter().map(|letter| ['/', 'a', 'b', 'é'][usize::from(*letter) % 4]);
            std::iter::once('/').chain(letters).collect()
        };
        let mut prefixes: Vec<String> = prefixes.iter().map(|prefix| to_path(prefix)).collect();
        prefixes.sort();
        prefixes.dedup();
        let routes = prefixes.iter().map(|prefix| route(prefix, &[], RequestKind::Safe)).collect();
        let document = document(routes);
        let path = to_path(&path);
        find_route(&document, &DocumentIndex::new(&document), "", "GET", &path) == find_route_by_scan(&document, &path)
    }
}
