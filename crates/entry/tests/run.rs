//! Tests of the request path against small stand-ins, with fakes in place of owner and log.

use {
    bytes::Bytes,
    config::{DetectionMode, Document, DocumentIndex, RequestKind, Route, Service},
    entry::{
        commands::handle_request, AttemptOutcome, CallerResponse, ClaimOutcome, Claims,
        ConnectionPool, ForwardedResponse, Grant, HeaderConventions, IncomingRequest, Proxy,
        Refusal, Release, RequestHead, RoutingConfig, SlotPolicy,
    },
    http_body_util::{BodyExt, Full},
    hyper::{HeaderMap, Method},
    standin::{Backend, BackendKnobs, FaultProxy, Gray},
    std::{
        convert::Infallible,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    types::ResultCode,
};

/// A request path over a fixed list of servers, tried in their order.
struct Fixture {
    path: Arc<Proxy>,
    releases: Arc<Mutex<Vec<Release>>>,
}

fn fixture(addresses: &[SocketAddr]) -> Fixture {
    paused_fixture(addresses, Duration::ZERO)
}

/// As [`fixture`], in a process that is paused for `pause` while it acquires a slot.
fn paused_fixture(addresses: &[SocketAddr], pause: Duration) -> Fixture {
    named_fixture(addresses, pause, HeaderConventions::new())
}

/// As [`paused_fixture`], with other names of headers.
fn named_fixture(
    addresses: &[SocketAddr],
    pause: Duration,
    conventions: HeaderConventions,
) -> Fixture {
    let addresses = addresses.to_vec();
    let releases = Arc::new(Mutex::new(Vec::new()));
    let kept = Arc::clone(&releases);
    let slots = SlotPolicy {
        acquire: Box::new(move |ask| {
            let next = (0..addresses.len()).find(|n| !ask.exclude.contains(&n.to_string()));
            let grant = next.map(|number| Grant {
                service: ask.service.clone(),
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
        release: Box::new(move |release| kept.lock().expect("no panic").push(release)),
    };
    let claims = Claims {
        claim: Box::new(|_, _, _| Box::pin(async { ClaimOutcome::Claimed(1) })),
        settle: Box::new(|_, _, _| {}),
    };
    let path = Arc::new(Proxy {
        slots,
        claims,
        connections: ConnectionPool::new(),
        conventions,
        on_retry: Box::new(|_, _| {}),
        on_response: Box::new(|_, _, _| {}),
    });
    Fixture { path, releases }
}

fn document() -> Document {
    let route = |method: &str, kind| Route {
        methods: vec![method.into()],
        ..Route::new("/", "s", kind)
    };
    Document {
        services: vec![Service {
            name: "s".into(),
            detection: DetectionMode::Fast,
            floor_slots: 0,
            deadline_ms: 1_500,
            retry_percent: 10,
            max_body_bytes: 1_000,
            hold_bytes: 1_000,
        }],
        routes: vec![
            route("GET", RequestKind::Safe),
            route("POST", RequestKind::Unsafe),
        ],
        limits: None,
    }
}

fn incoming(
    method: Method,
    headers: &[(&'static str, &str)],
    body: &'static str,
) -> IncomingRequest {
    let mut map = HeaderMap::new();
    for (name, value) in headers {
        map.insert(*name, value.parse().expect("a value"));
    }
    let full = Full::new(Bytes::from_static(body.as_bytes()));
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
    }
}

async fn backend(gray: Gray) -> Backend {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let knobs = BackendKnobs {
        gray,
        service_us: 1_000,
        ..BackendKnobs::default()
    };
    Backend::new("b", any, knobs).await.expect("a server")
}

async fn run_one(fixture: &Fixture, incoming: IncomingRequest) -> CallerResponse {
    let document = document();
    let rules = RoutingConfig {
        version: 1,
        document: &document,
        index: &DocumentIndex::new(&document),
    };
    handle_request(&fixture.path, rules, incoming).await
}

fn run_count(backend: &Backend) -> u32 {
    backend.runs().values().map(|runs| runs.count).sum()
}

async fn nobody() -> SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port");
    listener.local_addr().expect("an address")
}

#[tokio::test]
async fn run_keyless_cut() {
    let (cut, good) = (backend(Gray::Cut).await, backend(Gray::None).await);
    let fixture = fixture(&[cut.address, good.address]);
    let ask = incoming(Method::POST, &[("x-answer-bytes", "500")], "order");
    let answer = run_one(&fixture, ask).await;
    assert_eq!(answer.code(), ResultCode::OutcomeUnknown);
    assert_eq!((run_count(&cut), run_count(&good)), (1, 0));
}

#[tokio::test]
async fn run_read_cut() {
    let (cut, good) = (backend(Gray::Cut).await, backend(Gray::None).await);
    let fixture = fixture(&[cut.address, good.address]);
    let ask = incoming(Method::GET, &[("x-answer-bytes", "500")], "");
    let answer = run_one(&fixture, ask).await;
    assert_eq!(answer.code(), ResultCode::Answered);
    let releases = fixture.releases.lock().expect("no panic");
    assert_eq!(releases[0].outcome, AttemptOutcome::Failed);
}

#[tokio::test]
async fn run_keyless_shed() {
    let (full, good) = (backend(Gray::None).await, backend(Gray::None).await);
    full.turn(|knobs| knobs.slots = 0);
    let fixture = fixture(&[full.address, good.address]);
    let answer = run_one(&fixture, incoming(Method::POST, &[], "order")).await;
    assert_eq!(answer.code(), ResultCode::Answered);
    assert_eq!((run_count(&full), run_count(&good)), (0, 1));
}

#[tokio::test]
async fn run_keyless_all_shed() {
    let full = backend(Gray::None).await;
    full.turn(|knobs| knobs.slots = 0);
    let fixture = fixture(&[full.address]);
    let answer = run_one(&fixture, incoming(Method::POST, &[], "order")).await;
    assert_eq!(
        answer.code().execution_status(),
        types::ExecutionStatus::NotRun
    );
    assert_eq!(run_count(&full), 0);
}

#[tokio::test]
async fn run_keyless_refused() {
    let good = backend(Gray::None).await;
    let fixture = fixture(&[nobody().await, good.address]);
    let answer = run_one(&fixture, incoming(Method::POST, &[], "order")).await;
    assert_eq!(answer.code(), ResultCode::Answered);
    assert_eq!(run_count(&good), 1);
}

#[tokio::test]
async fn run_keyless_hang() {
    let (hung, good) = (backend(Gray::Hang).await, backend(Gray::None).await);
    let fixture = fixture(&[hung.address, good.address]);
    let answer = run_one(&fixture, incoming(Method::POST, &[], "order")).await;
    assert_eq!(answer.code(), ResultCode::DeadlineUnknown);
    assert_eq!((run_count(&hung), run_count(&good)), (1, 0));
}

#[tokio::test]
async fn run_read_hang() {
    let (hung, good) = (backend(Gray::Hang).await, backend(Gray::None).await);
    let fixture = fixture(&[hung.address, good.address]);
    let answer = run_one(&fixture, incoming(Method::GET, &[], "")).await;
    assert_eq!(answer.code(), ResultCode::Answered);
    assert_eq!(run_count(&good), 1);
}

#[tokio::test]
async fn run_mixed_and_unmeasured() {
    for gray in [Gray::Mixed, Gray::Unmeasured] {
        let wrong = backend(gray).await;
        let fixture = fixture(&[wrong.address]);
        let ask = incoming(Method::POST, &[("x-bench-id", "mine")], "order");
        let answer = run_one(&fixture, ask).await;
        assert_eq!(answer.code(), ResultCode::OutcomeUnknown, "{gray:?}");
    }
}

#[tokio::test]
async fn run_streamed_answer_cut() {
    let cut = backend(Gray::Cut).await;
    let fixture = fixture(&[cut.address]);
    let ask = incoming(Method::POST, &[("x-answer-bytes", "400000")], "order");
    match run_one(&fixture, ask).await {
        CallerResponse::Forwarded(ForwardedResponse::Streamed(response)) => {
            assert!(
                response.into_body().collect().await.is_err(),
                "a cut answer ended as if whole"
            );
        }
        CallerResponse::Generated(code, _) => assert_eq!(code, ResultCode::OutcomeUnknown),
        CallerResponse::Forwarded(ForwardedResponse::Buffered(stored)) => {
            panic!("held {} bytes", stored.body.len())
        }
    }
}

#[tokio::test]
async fn run_read_silent_connection() {
    let good = backend(Gray::None).await;
    let proxy = FaultProxy::new(good.address).await.expect("a proxy");
    let fixture = fixture(&[proxy.address]);
    for silent in [false, true, false] {
        if silent {
            proxy.silence();
        }
        let answer = run_one(&fixture, incoming(Method::GET, &[], "")).await;
        assert_eq!(answer.code(), ResultCode::Answered);
    }
    // Three whole answers, and the slot of the silent exchange, which says nothing about the server.
    let releases = fixture.releases.lock().expect("no panic");
    let count = |outcome| releases.iter().filter(|r| r.outcome == outcome).count();
    assert_eq!(
        (
            count(AttemptOutcome::Completed),
            count(AttemptOutcome::Inconclusive)
        ),
        (3, 1)
    );
    assert_eq!(releases.len(), 4);
}

#[tokio::test]
async fn run_each_refusal() {
    let good = backend(Gray::None).await;
    let fixture = fixture(&[good.address]);
    let cases = [
        (incoming(Method::PUT, &[], ""), ResultCode::NoRoute),
        (
            incoming(Method::GET, &[("x-deadline-ms", "soon")], ""),
            ResultCode::BadRequest,
        ),
        (
            incoming(Method::POST, &[("idempotency-key", "")], ""),
            ResultCode::KeyInvalid,
        ),
    ];
    for (ask, code) in cases {
        let answer = run_one(&fixture, ask).await;
        assert_eq!(answer.code(), code);
    }
    let mut large = incoming(Method::POST, &[], "x");
    large.content_length_bytes = Some(1_001);
    let answer = run_one(&fixture, large).await;
    assert_eq!(answer.code(), ResultCode::BodyTooLarge);
    assert_eq!(run_count(&good), 0);
}

#[tokio::test]
async fn run_second_try_shed_keeps_permit() {
    // One slot: the second try over a new connection is shed while the first still runs.
    let slow = backend(Gray::None).await;
    slow.turn(|knobs| {
        knobs.slots = 1;
        knobs.gray = Gray::Hang;
    });
    let good = backend(Gray::None).await;
    let fixture = fixture(&[slow.address, good.address]);
    let answer = run_one(&fixture, incoming(Method::GET, &[], "")).await;
    assert_eq!(answer.code(), ResultCode::Answered);
    let releases = fixture.releases.lock().expect("no panic");
    let of_slow: Vec<AttemptOutcome> = releases
        .iter()
        .filter(|release| release.grant.server == "0")
        .map(|release| release.outcome)
        .collect();
    assert!(
        !of_slow.contains(&AttemptOutcome::Shed),
        "released while in use: {of_slow:?}"
    );
}

#[tokio::test]
async fn run_paused_past_deadline() {
    let good = backend(Gray::None).await;
    let fixture = paused_fixture(&[good.address], Duration::from_millis(1_600));
    let answer = run_one(&fixture, incoming(Method::POST, &[], "order")).await;
    assert_eq!(answer.code(), ResultCode::DeadlineNotRun);
    assert_eq!(run_count(&good), 0);
}
