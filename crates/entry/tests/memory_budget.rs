//! Tests of requests for which there is too little room, or that others need more.

mod support;

use {
    bytes::Bytes,
    entry::{
        AttemptOutcome, BoxedBody, HeaderConventions, IncomingRequest, MemoryBudget, MemoryEvent,
        OpenConnection,
    },
    futures_util::{stream, StreamExt},
    http_body_util::{BodyExt, StreamBody},
    hyper::{body::Frame, Method},
    memory::{Limits, Phase},
    standin::{Backend, BackendKnobs},
    std::{
        io,
        net::{IpAddr, SocketAddr},
        sync::{Arc, Mutex},
        time::Duration,
    },
    support::{
        document, fixture_with_conventions, incoming, send, send_upload, send_with, Fixture,
    },
    tokio::time::{sleep, timeout},
    types::ResultCode,
};

/// Time after which a connection is judged by its progress, with some to spare, in milliseconds.
const JUDGED_MS: u64 = 1_300;
/// Time in which a refusal must come, in seconds.
const REFUSAL_S: u64 = 4;

/// A budget with what it reported.
struct Budget {
    budget: Arc<MemoryBudget>,
    events: Arc<Mutex<Vec<MemoryEvent>>>,
}

/// Creates a budget with `room_bytes` of room, all of which one connection may use.
fn budget(room_bytes: u64) -> Budget {
    let limits = Limits {
        room_bytes,
        connection_bytes: 2 * room_bytes,
        source_bytes: room_bytes,
        scarce_bytes: room_bytes,
        ..Limits::new(4_096, 16_384)
    };
    let events = Arc::new(Mutex::new(Vec::new()));
    let recorded = Arc::clone(&events);
    let on_event = move |event, _, _| recorded.lock().expect("no panic").push(event);
    Budget {
        budget: Arc::new(MemoryBudget::new(limits, Box::new(on_event))),
        events,
    }
}

impl Budget {
    fn open(&self) -> OpenConnection {
        let source = IpAddr::from([127, 0, 0, 1]);
        self.budget.open(source).expect("a place")
    }

    fn events(&self) -> Vec<MemoryEvent> {
        self.events.lock().expect("no panic").clone()
    }
}

async fn backend() -> Backend {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let knobs = BackendKnobs {
        service_us: 1_000,
        ..BackendKnobs::default()
    };
    Backend::new("b", any, knobs).await.expect("a server")
}

fn fixture(backend: &Backend, pause: Duration) -> Fixture {
    fixture_with_conventions(&[backend.address], pause, HeaderConventions::new())
}

/// Returns a body of `bytes` bytes; a stalled one stops before its end.
fn body_of(bytes: usize, is_stalled: bool) -> BoxedBody {
    let piece = Bytes::from(vec![b'x'; 16 * 1024]);
    let frames = stream::iter((0..bytes / piece.len()).map(move |_| piece.clone()))
        .map(|piece| Ok::<_, io::Error>(Frame::data(piece)));
    if is_stalled {
        StreamBody::new(frames.chain(stream::pending())).boxed_unsync()
    } else {
        StreamBody::new(frames).boxed_unsync()
    }
}

fn request(open: &OpenConnection, body: BoxedBody, length: Option<u64>) -> IncomingRequest {
    let mut request = incoming(Method::POST, &[], "");
    request.connection = Arc::clone(open.connection());
    request.content_length_bytes = length;
    request.body = body;
    request
}

/// A refusal for want of room says that the request was not run, so no server may have got any of it.
#[tokio::test]
async fn handle_request_no_room() {
    let backend = backend().await;
    let fixture = fixture(&backend, Duration::ZERO);
    let budget = budget(64 << 10);
    let open = budget.open();
    for (bytes, length) in [(200 << 10, None), (1 << 20, Some(1 << 20))] {
        let response = send_upload(&fixture, request(&open, body_of(bytes, false), length)).await;
        assert_eq!(response.code(), ResultCode::NoRoom);
        assert_eq!(response.status(), 503);
        let response = response.into_response();
        assert_eq!(response.headers()["catkinhitch-outcome"], "not-run");
        assert!(response.headers().contains_key("retry-after"));
    }
    assert!(backend.arrivals().is_empty());
    assert_eq!(budget.budget.usage(), (0, 1));
    assert_eq!(budget.events(), [MemoryEvent::Refused; 2]);
    // A short body needs no room.
    let short = request(&open, body_of(16 << 10, false), None);
    let response = send_upload(&fixture, short).await;
    assert_eq!(response.code(), ResultCode::Answered);
}

/// What a request held was kept after its response.
#[tokio::test]
async fn handle_request_room_is_released() {
    let backend = backend().await;
    let fixture = fixture(&backend, Duration::ZERO);
    let budget = budget(512 << 10);
    let open = budget.open();
    for _ in 0..5 {
        for (bytes, length) in [(400 << 10, None), (1 << 20, Some(1 << 20))] {
            let body = body_of(bytes, false);
            let response = send_upload(&fixture, request(&open, body, length)).await;
            assert_eq!(response.code(), ResultCode::Answered);
        }
    }
    drop(open);
    for _ in 0..50 {
        if budget.budget.usage() == (0, 0) {
            return;
        }
        sleep(Duration::from_millis(20)).await;
    }
    panic!("still held: {:?}", budget.budget.usage());
}

/// A body that stopped short of its end kept its room from a request that needed it.
#[tokio::test]
async fn handle_request_stalled_body_evicted() {
    let backend = backend().await;
    let fixture = Arc::new(fixture(&backend, Duration::ZERO));
    let budget = budget(256 << 10);
    let (stalled, other) = (budget.open(), budget.open());
    let for_stalled = Arc::clone(&fixture);
    let connection = Arc::clone(stalled.connection());
    assert!(!connection.is_evicted());
    let refused = tokio::spawn(async move {
        let request = request(&stalled, body_of(200 << 10, true), None);
        send_upload(&for_stalled, request).await.code()
    });
    sleep(Duration::from_millis(JUDGED_MS)).await;
    let complete = request(&other, body_of(200 << 10, false), None);
    let response = send_upload(&fixture, complete).await;
    assert_eq!(response.code(), ResultCode::Answered);
    assert_eq!(refused.await.expect("no panic"), ResultCode::NoRoom);
    // Otherwise a further request on the connection would be refused as well.
    assert!(connection.is_evicted(), "the connection is kept");
    assert_eq!(budget.events(), [MemoryEvent::Evicted]);
    assert_eq!(backend.arrivals().len(), 1);
}

/// A long upload that stopped kept a server's slot until its deadline, also while other requests waited for one.
#[tokio::test(flavor = "multi_thread")]
async fn handle_request_stalled_upload_frees_slot() {
    for is_short in [true, false] {
        let backend = backend().await;
        // Acquiring a slot takes so long that the service counts as short of them.
        let pause = Duration::from_millis(if is_short { 100 } else { 0 });
        let fixture = Arc::new(fixture(&backend, pause));
        let budget = budget(4 << 20);
        let open = budget.open();
        let for_upload = Arc::clone(&fixture);
        let upload = tokio::spawn(async move {
            let request = request(&open, body_of(1 << 20, true), Some(2 << 20));
            send_upload(&for_upload, request).await.code()
        });
        let others = async {
            loop {
                send(&fixture, incoming(Method::GET, &[], "")).await;
                sleep(Duration::from_millis(100)).await;
            }
        };
        let ended = tokio::select! {
            ended = timeout(Duration::from_secs(REFUSAL_S), upload) => ended,
            () = others => unreachable!("it does not end"),
        };
        if !is_short {
            assert!(ended.is_err(), "stopped without need: {ended:?}");
            continue;
        }
        let code = ended.expect("it ends before its deadline");
        assert_eq!(code.expect("no panic"), ResultCode::BodyCut);
        assert_eq!(budget.events(), [MemoryEvent::HoldsSlot]);
        let releases = fixture.releases.lock().expect("no panic");
        let mut outcomes = releases.iter().map(|one| one.outcome);
        assert!(outcomes.any(|outcome| outcome == AttemptOutcome::Inconclusive));
    }
}

/// A response for which there is no room was refused after it had run; it is forwarded while it is received instead.
#[tokio::test]
async fn handle_request_no_room_for_response() {
    let backend = backend().await;
    let fixture = fixture(&backend, Duration::ZERO);
    let budget = budget(1 << 10);
    let open = budget.open();
    let mut get = incoming(Method::GET, &[("x-answer-bytes", "300000")], "");
    get.connection = Arc::clone(open.connection());
    let response = send(&fixture, get).await;
    assert_eq!(response.code(), ResultCode::Answered);
    let body = response.into_response().into_body().collect().await;
    let body = body.expect("a whole response").to_bytes();
    assert!(body.len() > 290_000 && body.ends_with(b"end\n"));
}

/// A response that its caller does not read was held outside the bound; it counts until it is read, and its connection is
/// closed when others need the room.
#[tokio::test]
async fn handle_request_unread_response_evicted() {
    let backend = backend().await;
    let fixture = fixture(&backend, Duration::ZERO);
    let budget = budget(512 << 10);
    let (unread, other) = (budget.open(), budget.open());
    let mut buffering = document(64 << 20, 5_000);
    buffering.services[0].hold_bytes = 512 << 10;
    let mut get = incoming(Method::GET, &[("x-answer-bytes", "400000")], "");
    get.connection = Arc::clone(unread.connection());
    let response = send_with(&fixture, get, &buffering).await;
    assert_eq!(response.code(), ResultCode::Answered);
    // As the front end does when the response is ready.
    unread.connection().begin_phase(Phase::Open);
    assert!(budget.budget.usage().0 > 350_000);
    sleep(Duration::from_millis(JUDGED_MS)).await;
    let must_close = unread.connection().must_close();
    let closing = async {
        must_close.await;
        drop(response);
    };
    let complete = request(&other, body_of(400 << 10, false), None);
    let (response, ()) = tokio::join!(send_upload(&fixture, complete), closing);
    assert_eq!(response.code(), ResultCode::Answered);
    assert_eq!(budget.events(), [MemoryEvent::Evicted]);
}
