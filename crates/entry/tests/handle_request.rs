//! Tests of the request path against test servers, with closures in place of the pool owner and the log.

mod support;

use {
    account::KeyIndex,
    config::{Document, DocumentIndex},
    entry::{
        commands::handle_request, AttemptOutcome, CallerResponse, ForwardedResponse,
        HeaderConventions, RoutingConfig,
    },
    http_body_util::BodyExt,
    hyper::Method,
    standin::{Backend, BackendKnobs, FaultProxy, GrayFault},
    std::{net::SocketAddr, time::Duration},
    support::{fixture_with_conventions, incoming, send, Fixture},
    types::ResultCode,
};

fn fixture(addresses: &[SocketAddr]) -> Fixture {
    fixture_with_pause(addresses, Duration::ZERO)
}

/// As [`fixture`], but acquiring a slot blocks for `pause`, as in a suspended process.
fn fixture_with_pause(addresses: &[SocketAddr], pause: Duration) -> Fixture {
    fixture_with_conventions(addresses, pause, HeaderConventions::new())
}

async fn backend(gray: GrayFault) -> Backend {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let knobs = BackendKnobs {
        gray,
        service_us: 1_000,
        ..BackendKnobs::default()
    };
    Backend::new("b", any, knobs).await.expect("a server")
}

fn execution_count(backend: &Backend) -> u32 {
    backend.executions().values().map(|runs| runs.count).sum()
}

async fn unused_address() -> SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port");
    listener.local_addr().expect("an address")
}

/// An instance that could not read its configuration answered 404 for a route that had been added.
#[tokio::test]
async fn handle_request_no_route_old_configuration() {
    let fixture = fixture(&[unused_address().await]);
    let document = Document::default();
    for (is_current, code) in [
        (true, ResultCode::NoRoute),
        (false, ResultCode::OldConfiguration),
    ] {
        let config = RoutingConfig {
            version: 1,
            is_current,
            document: &document,
            index: &DocumentIndex::new(&document),
            keys: &KeyIndex::default(),
            accepts_keys: true,
        };
        let request = incoming(Method::GET, &[], "");
        let response = handle_request(&fixture.proxy, config, request).await;
        assert_eq!(response.code(), code);
    }
    let refusal = CallerResponse::generated(ResultCode::OldConfiguration).into_response();
    assert!(refusal.headers().contains_key("retry-after"));
}

#[tokio::test]
async fn handle_request_unkeyed_truncated() {
    let (truncating, healthy) = (
        backend(GrayFault::Cut).await,
        backend(GrayFault::None).await,
    );
    let fixture = fixture(&[truncating.address, healthy.address]);
    let request = incoming(Method::POST, &[("x-answer-bytes", "500")], "order");
    let response = send(&fixture, request).await;
    assert_eq!(response.code(), ResultCode::OutcomeUnknown);
    assert_eq!(
        (execution_count(&truncating), execution_count(&healthy)),
        (1, 0)
    );
}

#[tokio::test]
async fn handle_request_read_truncated() {
    let (truncating, healthy) = (
        backend(GrayFault::Cut).await,
        backend(GrayFault::None).await,
    );
    let fixture = fixture(&[truncating.address, healthy.address]);
    let request = incoming(Method::GET, &[("x-answer-bytes", "500")], "");
    let response = send(&fixture, request).await;
    assert_eq!(response.code(), ResultCode::Answered);
    let releases = fixture.releases.lock().expect("no panic");
    assert_eq!(releases[0].outcome, AttemptOutcome::Failed);
}

#[tokio::test]
async fn handle_request_unkeyed_shed() {
    let (full, healthy) = (
        backend(GrayFault::None).await,
        backend(GrayFault::None).await,
    );
    full.update_knobs(|knobs| knobs.slots = 0);
    let fixture = fixture(&[full.address, healthy.address]);
    let response = send(&fixture, incoming(Method::POST, &[], "order")).await;
    assert_eq!(response.code(), ResultCode::Answered);
    assert_eq!((execution_count(&full), execution_count(&healthy)), (0, 1));
    assert!(fixture.notices.lock().expect("no panic").is_empty());
}

#[tokio::test]
async fn handle_request_unkeyed_all_shed() {
    let full = backend(GrayFault::None).await;
    full.update_knobs(|knobs| knobs.slots = 0);
    let fixture = fixture(&[full.address]);
    let response = send(&fixture, incoming(Method::POST, &[], "order")).await;
    assert_eq!(
        response.code().execution_status(),
        types::ExecutionStatus::NotRun
    );
    assert_eq!(execution_count(&full), 0);
}

#[tokio::test]
async fn handle_request_unkeyed_refused() {
    let healthy = backend(GrayFault::None).await;
    let fixture = fixture(&[unused_address().await, healthy.address]);
    let response = send(&fixture, incoming(Method::POST, &[], "order")).await;
    assert_eq!(response.code(), ResultCode::Answered);
    assert_eq!(execution_count(&healthy), 1);
}

#[tokio::test]
async fn handle_request_unkeyed_hang() {
    let (hung, healthy) = (
        backend(GrayFault::Hang).await,
        backend(GrayFault::None).await,
    );
    let fixture = fixture(&[hung.address, healthy.address]);
    let response = send(&fixture, incoming(Method::POST, &[], "order")).await;
    assert_eq!(response.code(), ResultCode::DeadlineUnknown);
    assert_eq!((execution_count(&hung), execution_count(&healthy)), (1, 0));
}

#[tokio::test]
async fn handle_request_read_hang() {
    let (hung, healthy) = (
        backend(GrayFault::Hang).await,
        backend(GrayFault::None).await,
    );
    let fixture = fixture(&[hung.address, healthy.address]);
    let response = send(&fixture, incoming(Method::GET, &[], "")).await;
    assert_eq!(response.code(), ResultCode::Answered);
    assert_eq!(execution_count(&healthy), 1);
}

#[tokio::test]
async fn handle_request_invalid_response() {
    for gray in [GrayFault::Mixed, GrayFault::Unmeasured] {
        let faulty = backend(gray).await;
        let fixture = fixture(&[faulty.address]);
        let request = incoming(Method::POST, &[("x-bench-id", "mine")], "order");
        let response = send(&fixture, request).await;
        assert_eq!(response.code(), ResultCode::OutcomeUnknown, "{gray:?}");
    }
}

#[tokio::test]
async fn handle_request_streamed_response_truncated() {
    let truncating = backend(GrayFault::Cut).await;
    let fixture = fixture(&[truncating.address]);
    let request = incoming(Method::POST, &[("x-answer-bytes", "400000")], "order");
    match send(&fixture, request).await {
        CallerResponse::Forwarded(ForwardedResponse::Streamed(response)) => {
            assert!(
                response.into_body().collect().await.is_err(),
                "a truncated response ended without an error"
            );
        }
        CallerResponse::Generated(code, _) => assert_eq!(code, ResultCode::OutcomeUnknown),
        CallerResponse::Forwarded(ForwardedResponse::Buffered(stored)) => {
            panic!("buffered {} bytes", stored.body.len())
        }
    }
}

#[tokio::test]
async fn handle_request_read_unresponsive_connection() {
    let healthy = backend(GrayFault::None).await;
    let proxy = FaultProxy::new(healthy.address).await.expect("a proxy");
    let fixture = fixture(&[proxy.address]);
    for unresponsive in [false, true, false] {
        if unresponsive {
            proxy.silence_open_connections();
        }
        let response = send(&fixture, incoming(Method::GET, &[], "")).await;
        assert_eq!(response.code(), ResultCode::Answered);
    }
    // Three complete responses, and the slot of the exchange without a response, which is inconclusive.
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
async fn handle_request_each_refusal() {
    let healthy = backend(GrayFault::None).await;
    let fixture = fixture(&[healthy.address]);
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
    for (request, code) in cases {
        let response = send(&fixture, request).await;
        assert_eq!(response.code(), code);
    }
    let mut large = incoming(Method::POST, &[], "x");
    large.content_length_bytes = Some(1_001);
    let response = send(&fixture, large).await;
    assert_eq!(response.code(), ResultCode::BodyTooLarge);
    assert_eq!(execution_count(&healthy), 0);
}

#[tokio::test]
async fn handle_request_second_attempt_shed_keeps_permit() {
    // With one slot, the second attempt over a new connection is shed while the first one still runs.
    let slow = backend(GrayFault::None).await;
    slow.update_knobs(|knobs| {
        knobs.slots = 1;
        knobs.gray = GrayFault::Hang;
    });
    let healthy = backend(GrayFault::None).await;
    let fixture = fixture(&[slow.address, healthy.address]);
    let response = send(&fixture, incoming(Method::GET, &[], "")).await;
    assert_eq!(response.code(), ResultCode::Answered);
    let releases = fixture.releases.lock().expect("no panic");
    let slow_outcomes: Vec<AttemptOutcome> = releases
        .iter()
        .filter(|release| release.grant.server == "0")
        .map(|release| release.outcome)
        .collect();
    assert!(
        !slow_outcomes.contains(&AttemptOutcome::Shed),
        "released while in use: {slow_outcomes:?}"
    );
}

#[tokio::test]
async fn handle_request_paused_past_deadline() {
    let healthy = backend(GrayFault::None).await;
    let fixture = fixture_with_pause(&[healthy.address], Duration::from_millis(1_600));
    let response = send(&fixture, incoming(Method::POST, &[], "order")).await;
    assert_eq!(response.code(), ResultCode::DeadlineNotRun);
    assert_eq!(execution_count(&healthy), 0);
}
