//! Guards against entries that an operator takes for effective and that no request ever meets.

use config::{
    queries::{describe_changes, warnings},
    Account, CallerLimits, DetectionMode, Document, RequestKind, Route, Service,
};

fn service(name: &str) -> Service {
    Service {
        name: name.to_owned(),
        detection: DetectionMode::Fast,
        floor_slots: 1,
        deadline_ms: 1_000,
        retry_percent: 10,
        max_body_bytes: 1_000,
        hold_bytes: 1_000,
    }
}

fn route(prefix: &str, methods: &[&str]) -> Route {
    Route {
        methods: methods.iter().map(|&method| method.to_owned()).collect(),
        ..Route::new(prefix, "s", RequestKind::Safe)
    }
}

fn document(routes: Vec<Route>) -> Document {
    Document {
        services: vec![service("s")],
        routes,
        ..Document::default()
    }
}

fn paths(document: &Document) -> Vec<String> {
    let found = warnings(document).into_iter();
    found.map(|warning| warning.path).collect()
}

#[test]
fn warnings_none() {
    let routes = vec![
        route("/", &["GET"]),
        route("/", &["POST"]),
        route("/", &[]),
        route("/a/", &["GET"]),
    ];
    assert_eq!(paths(&document(routes)), Vec::<String>::new());
}

#[test]
fn warnings_route_never_matches() {
    let routes = vec![
        route("/", &["GET", "POST"]),
        route("/", &["POST"]),
        route("/", &["POST", "PUT"]),
        route("/", &[]),
        route("/", &["DELETE"]),
    ];
    assert_eq!(
        paths(&document(routes)),
        ["$.routes[1]", "$.routes[2].methods[0]", "$.routes[4]"]
    );
}

#[test]
fn warnings_service_without_route() {
    let mut document = document(vec![route("/", &[])]);
    document.services.push(service("unused"));
    assert_eq!(paths(&document), ["$.services[1]"]);
}

#[test]
fn warnings_contradicting_limits() {
    let slow = Route {
        timeout_ms: Some(2_000),
        target_ms: Some(1_500),
        ..route("/", &[])
    };
    let mut document = document(vec![slow]);
    document.services[0].retry_percent = 0;
    document.limits = Some(CallerLimits {
        header_bytes: 8_192,
        body_bytes: 500,
        header_timeout_ms: 3_000,
        idle_timeout_ms: 2_000,
    });
    assert_eq!(
        paths(&document),
        [
            "$.services[0].max_body_bytes",
            "$.routes[0].timeout_ms",
            "$.routes[0].target_ms",
            "$.routes[0].attempts_max",
            "$.limits.header_timeout_ms",
        ]
    );
}

#[test]
fn warnings_accounts() {
    let public = Route {
        is_public: true,
        ..route("/", &[])
    };
    let mut document = document(vec![public]);
    assert_eq!(paths(&document), ["$.routes[0].public"]);
    document.accounts.push(Account {
        burst_requests: 5,
        ..Account::new("a")
    });
    assert_eq!(
        paths(&document),
        ["$.accounts[0].key_digests", "$.accounts[0].burst"]
    );
}

/// A change of accounts was not described, so it could be approved unseen.
#[test]
fn describe_changes_accounts() {
    let with_accounts = |accounts| Document {
        accounts,
        ..document(vec![route("/", &[])])
    };
    let account = |name: &str, keys: &[u8]| Account {
        key_digests: keys.iter().map(|&key| [key; 32]).collect(),
        rate_milli: 1_500,
        ..Account::new(name)
    };
    let none = with_accounts(Vec::new());
    let old = with_accounts(vec![account("a", &[1, 2]), account("b", &[3])]);
    let changed = Account {
        priority: 2,
        rate_milli: 500,
        burst_requests: 3,
        ..account("a", &[2, 4])
    };
    let new = with_accounts(vec![changed, account("c", &[5])]);
    let all = |old, new| describe_changes(old, new).join("\n");
    let first = all(&none, &old);
    assert!(first.contains("need an API key"), "{first}");
    let next = all(&old, &new);
    for text in [
        "Account a: 1 key is added and 1 is removed",
        "Account a: rate changes from 1.5 to 0.5 requests a second",
        "Account a: burst changes from 0 to 3 requests",
        "Account a: priority changes from 0 to 2",
        "Account b goes: its callers are refused",
        "Account c is new",
    ] {
        assert!(next.contains(text), "{text:?} is not in:\n{next}");
    }
    let back = all(&new, &none);
    assert!(back.contains("need no API key"), "{back}");
}
