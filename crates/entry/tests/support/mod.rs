//! A proxy whose slots, claims and servers are fixed, with closures in place of the pool owner and the log.

#![allow(dead_code)] // Each test binary uses only a part of this module.

use {
    account::KeyIndex,
    bytes::Bytes,
    config::{DetectionMode, Document, DocumentIndex, RequestKind, Route, Service},
    entry::{
        commands::handle_request, CallerResponse, ClaimOutcome, Claims, ConnectionPool, Grant,
        HeaderConventions, IncomingRequest, MemoryBudget, OpenConnection, Proxy, Refusal, Release,
        RequestHead, RoutingConfig, SlotPolicy, SlotShortage,
    },
    http_body_util::{BodyExt, Full},
    hyper::{HeaderMap, Method},
    member::ServerNotice,
    memory::Limits,
    std::{
        convert::Infallible,
        net::{IpAddr, SocketAddr},
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::sync::watch,
    types::ResultCode,
};

/// A proxy with a fixed list of servers, which are tried in order.
pub(crate) struct Fixture {
    pub(crate) proxy: Arc<Proxy>,
    pub(crate) releases: Arc<Mutex<Vec<Release>>>,
    /// What the servers said, with their numbers.
    #[allow(dead_code)] // Not each test binary looks at them.
    pub(crate) notices: Arc<Mutex<Vec<(String, ServerNotice)>>>,
}

/// Creates a proxy of the servers at these addresses; acquiring a slot blocks for `pause`, as in a suspended process.
pub(crate) fn fixture_with_conventions(
    addresses: &[SocketAddr],
    pause: Duration,
    conventions: HeaderConventions,
) -> Fixture {
    let addresses = addresses.to_vec();
    let releases = Arc::new(Mutex::new(Vec::new()));
    let recorded = Arc::clone(&releases);
    let notices = Arc::new(Mutex::new(Vec::new()));
    let noticed = Arc::clone(&notices);
    let slots = SlotPolicy {
        acquire: Box::new(move |request| {
            let number = (0..addresses.len()).find(|n| !request.exclude.contains(&n.to_string()));
            let grant = number.map(|number| Grant {
                service: request.service.clone(),
                area: "a".into(),
                owner: String::new(),
                permit_id: 1,
                server: number.to_string(),
                address: addresses[number],
                hedge_after_ms: 100,
                reason: "test",
            });
            let code = ResultCode::NoServer;
            std::thread::sleep(pause);
            Box::pin(async move { grant.ok_or(Refusal::new(code)) })
        }),
        release: Box::new(move |release| recorded.lock().expect("no panic").push(release)),
        record_notice: Box::new(move |grant, notice| {
            let mut noticed = noticed.lock().expect("no panic");
            noticed.push((grant.server.clone(), notice));
        }),
    };
    let claims = Claims {
        claim: Box::new(|_, _, _| Box::pin(async { ClaimOutcome::Claimed(1) })),
        settle: Box::new(|_, _, _| {}),
    };
    let proxy = Arc::new(Proxy {
        slots,
        claims,
        connections: ConnectionPool::new(),
        slot_shortage: SlotShortage::new(),
        conventions,
        answer_by: watch::channel(None).0,
        on_retry: Box::new(|_, _| {}),
        on_response: Box::new(|_, _, _| {}),
    });
    Fixture {
        proxy,
        releases,
        notices,
    }
}

/// The configuration of one service.
pub(crate) fn document(max_body_bytes: u64, deadline_ms: u64) -> Document {
    let route = |method: &str, kind| Route {
        methods: vec![method.into()],
        ..Route::new("/", "s", kind)
    };
    Document {
        services: vec![Service {
            name: "s".into(),
            detection: DetectionMode::Fast,
            floor_slots: 0,
            deadline_ms,
            retry_percent: 10,
            max_body_bytes,
            hold_bytes: 1_000,
        }],
        routes: vec![
            route("GET", RequestKind::Safe),
            route("POST", RequestKind::Unsafe),
        ],
        limits: None,
        accounts: Vec::new(),
    }
}

pub(crate) fn incoming(
    method: Method,
    headers: &[(&'static str, &str)],
    body: &'static str,
) -> IncomingRequest {
    let mut map = HeaderMap::new();
    for (name, value) in headers {
        map.insert(*name, value.parse().expect("a value"));
    }
    let full = Full::new(Bytes::from_static(body.as_bytes()));
    let connection = Arc::clone(Box::leak(Box::new(open_connection())).connection());
    IncomingRequest {
        head: RequestHead {
            method,
            uri: "/x".parse().expect("a path"),
            headers: map,
        },
        body: full
            .map_err(|never: Infallible| match never {})
            .boxed_unsync(),
        content_length_bytes: Some(body.len() as u64),
        received: Instant::now(),
        connection,
    }
}

/// Opens a connection of an instance with plenty of memory.
pub(crate) fn open_connection() -> OpenConnection {
    let budget = MemoryBudget::new(Limits::new(4_096, 16_384), Box::new(|_, _, _| {}));
    let source = IpAddr::from([127, 0, 0, 1]);
    Arc::new(budget).open(source).expect("a place")
}

pub(crate) async fn send(fixture: &Fixture, incoming: IncomingRequest) -> CallerResponse {
    send_with(fixture, incoming, &document(1_000, 1_500)).await
}

/// Sends an upload to a service that allows it.
#[allow(dead_code)] // Not each test binary sends uploads.
pub(crate) async fn send_upload(fixture: &Fixture, incoming: IncomingRequest) -> CallerResponse {
    send_with(fixture, incoming, &document(64 << 20, 5_000)).await
}

/// Sends a request that is handled with `document`.
pub(crate) async fn send_with(
    fixture: &Fixture,
    incoming: IncomingRequest,
    document: &Document,
) -> CallerResponse {
    let config = RoutingConfig {
        version: 1,
        is_current: true,
        document,
        index: &DocumentIndex::new(document),
        keys: &KeyIndex::new(&document.accounts),
        accepts_keys: true,
    };
    handle_request(&fixture.proxy, config, incoming).await
}
