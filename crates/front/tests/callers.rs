//! Tests of callers that send further requests before the first one is answered, over loopback connections.

use {
    bytes::Bytes,
    entry::{CallerResponse, ForwardedResponse, IncomingRequest, MemoryBudget, StoredResponse},
    front::{commands::serve_callers, CallerHandlers, CallerLimits},
    futures_util::stream,
    http_body_util::{BodyExt, StreamBody},
    hyper::{body::Frame, HeaderMap, Response, StatusCode},
    memory::Limits,
    std::{
        future::pending,
        io,
        net::SocketAddr,
        sync::{
            atomic::{AtomicBool, Ordering},
            Arc, Mutex,
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::{sleep, timeout},
    },
    types::ResultCode,
};

/// Time that the front end needs at most to answer a request that is handled at once, in milliseconds.
const ANSWER_MS: u64 = 2_000;
/// Size of the body of `/large`, in bytes; larger than what the sockets of a connection hold.
const LARGE_BYTES: usize = 16 * 1024 * 1024;

/// What the front end passed on.
#[derive(Default)]
struct Handled {
    paths: Mutex<Vec<String>>,
    completed: Mutex<Vec<String>>,
    is_draining: AtomicBool,
}

impl Handled {
    fn paths(&self) -> Vec<String> {
        self.paths.lock().expect("no panic").clone()
    }

    fn completed(&self) -> Vec<String> {
        self.completed.lock().expect("no panic").clone()
    }
}

fn stored(body: Vec<u8>) -> CallerResponse {
    CallerResponse::Forwarded(ForwardedResponse::Buffered(StoredResponse {
        status: StatusCode::OK,
        headers: HeaderMap::new(),
        body: Bytes::from(body),
    }))
}

/// Returns a response whose body breaks off after its first bytes.
fn cut_off() -> CallerResponse {
    let frames = [
        Ok(Frame::data(Bytes::from_static(b"part"))),
        Err(io::Error::from(io::ErrorKind::ConnectionReset)),
    ];
    let body = StreamBody::new(stream::iter(frames)).boxed_unsync();
    CallerResponse::Forwarded(ForwardedResponse::Streamed(Box::new(Response::new(body))))
}

/// Answers by the path: `/slow` takes 300 ms, `/refused` is a refusal, `/cut` breaks off, `/large` has a large body.
async fn answer(handled: Arc<Handled>, request: IncomingRequest) -> CallerResponse {
    let path = request.head.uri.path().to_owned();
    handled.paths.lock().expect("no panic").push(path.clone());
    if path.starts_with("/slow") {
        sleep(Duration::from_millis(300)).await;
    }
    handled
        .completed
        .lock()
        .expect("no panic")
        .push(path.clone());
    match path.as_str() {
        "/refused" => CallerResponse::generated(ResultCode::Overloaded),
        "/cut" => cut_off(),
        "/large" => stored(vec![b'x'; LARGE_BYTES]),
        _ => stored(path.into_bytes()),
    }
}

async fn start() -> (SocketAddr, Arc<Handled>) {
    start_with(Limits::new(4_096, 16_384)).await
}

async fn start_with(limits: Limits) -> (SocketAddr, Arc<Handled>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let handled = Arc::new(Handled::default());
    let (for_handle, for_draining) = (Arc::clone(&handled), Arc::clone(&handled));
    let handlers = CallerHandlers {
        handle: Box::new(move |request| Box::pin(answer(Arc::clone(&for_handle), request))),
        limits: Box::new(|| CallerLimits {
            header_bytes: 8_192,
            idle_timeout_ms: 10_000,
        }),
        memory: Arc::new(MemoryBudget::new(limits, Box::new(|_, _, _| {}))),
        is_draining: Box::new(move || for_draining.is_draining.load(Ordering::SeqCst)),
    };
    tokio::spawn(serve_callers(
        listener,
        Arc::new(handlers),
        pending::<()>(),
        1_000,
    ));
    (address, handled)
}

fn requests(paths: &[&str]) -> Vec<u8> {
    let requests = paths
        .iter()
        .map(|path| format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n"));
    requests.collect::<String>().into_bytes()
}

/// Reads until the connection ends, or until nothing comes for `ANSWER_MS`; returns what came, and whether it has ended.
async fn read_to_end(stream: &mut TcpStream) -> (String, bool) {
    let mut received = Vec::new();
    let mut buffer = vec![0; 65_536];
    loop {
        let reading = stream.read(&mut buffer);
        match timeout(Duration::from_millis(ANSWER_MS), reading).await {
            Ok(Ok(count)) if count > 0 => received.extend_from_slice(&buffer[..count]),
            Ok(_) => return (String::from_utf8_lossy(&received).into_owned(), true),
            Err(_) => return (String::from_utf8_lossy(&received).into_owned(), false),
        }
    }
}

/// Returns the positions of the texts, which must all be there.
fn positions(received: &str, texts: &[&str]) -> Vec<usize> {
    let positions = texts.iter().map(|text| received.find(text));
    positions.map(|at| at.expect("the text is there")).collect()
}

/// The answer to a later request must not be sent before that of a slower one in front of it.
#[tokio::test]
async fn pipeline_answers_in_order() {
    let (address, handled) = start().await;
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let all = requests(&["/slow/1", "/2", "/refused", "/4"]);
    stream.write_all(&all).await.expect("sent");
    let (received, _) = read_to_end(&mut stream).await;
    let at = positions(&received, &["/slow/1", "/2", " 503 ", "/4"]);
    assert!(at.is_sorted(), "{received}");
    assert_eq!(handled.paths(), ["/slow/1", "/2", "/refused", "/4"]);
}

/// A request that is sent in two pieces, the second behind another request, is handled as one.
#[tokio::test]
async fn pipeline_request_in_pieces() {
    let (address, handled) = start().await;
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let all = requests(&["/slow/1", "/2", "/3"]);
    for piece in all.chunks(7) {
        stream.write_all(piece).await.expect("sent");
        sleep(Duration::from_millis(2)).await;
    }
    let (received, _) = read_to_end(&mut stream).await;
    assert!(
        positions(&received, &["/slow/1", "/2", "/3"]).is_sorted(),
        "{received}"
    );
    assert_eq!(handled.paths(), ["/slow/1", "/2", "/3"]);
}

/// An answer that breaks off ends the connection, and what was sent behind it is not passed on.
#[tokio::test]
async fn pipeline_answer_cut_off() {
    let (address, handled) = start().await;
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let all = requests(&["/cut", "/2"]);
    stream.write_all(&all).await.expect("sent");
    let (received, has_ended) = read_to_end(&mut stream).await;
    assert!(has_ended, "{received}");
    assert!(!received.ends_with("0\r\n\r\n"), "looks complete");
    assert_eq!(handled.paths(), ["/cut"]);
}

/// Behind an answer that closes the connection nothing is passed on: the caller sends those requests again.
#[tokio::test]
async fn pipeline_behind_close() {
    let (address, handled) = start().await;
    handled.is_draining.store(true, Ordering::SeqCst);
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let all = requests(&["/slow/1", "/2"]);
    stream.write_all(&all).await.expect("sent");
    let (received, has_ended) = read_to_end(&mut stream).await;
    assert!(has_ended, "{received}");
    assert!(received.contains("connection: close"), "{received}");
    assert!(received.ends_with("/slow/1"), "{received}");
    assert_eq!(handled.paths(), ["/slow/1"]);
}

/// A connection that was closed with unread requests was reset, and the caller lost the rest of the answer that it was
/// receiving.
#[tokio::test]
async fn pipeline_sent_at_close() {
    let (address, handled) = start().await;
    handled.is_draining.store(true, Ordering::SeqCst);
    let stream = TcpStream::connect(address).await.expect("a connection");
    let (mut reading, mut writing) = stream.into_split();
    writing
        .write_all(&requests(&["/large"]))
        .await
        .expect("sent");
    let sending = tokio::spawn(async move {
        // Fails once the connection has ended.
        while writing.write_all(&requests(&["/2"])).await.is_ok() {
            sleep(Duration::from_millis(5)).await;
        }
    });
    let mut received_bytes = 0;
    let mut buffer = vec![0; 65_536];
    loop {
        sleep(Duration::from_millis(1)).await;
        match timeout(Duration::from_millis(ANSWER_MS), reading.read(&mut buffer)).await {
            Ok(Ok(count)) if count > 0 => received_bytes += count,
            _ => break,
        }
    }
    sending.abort();
    assert!(received_bytes > LARGE_BYTES, "{received_bytes} bytes");
    assert_eq!(handled.paths(), ["/large"]);
}

/// A caller that leaves was not noticed while a further request of it was in the buffer: the first one ran to its end, and
/// the further one was passed on after the caller had left.
#[tokio::test]
async fn pipeline_caller_leaves() {
    let (address, handled) = start().await;
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let all = requests(&["/slow/1", "/2"]);
    stream.write_all(&all).await.expect("sent");
    sleep(Duration::from_millis(100)).await;
    drop(stream);
    sleep(Duration::from_millis(600)).await;
    assert_eq!(handled.paths(), ["/slow/1"]);
    assert!(handled.completed().is_empty(), "the request was cancelled");
}

/// Limits of an instance with two connections.
fn two_connections() -> Limits {
    Limits {
        connections_max: 2,
        source_connections_max: 2,
        ..Limits::new(4_096, 16_384)
    }
}

async fn connect_and_send(address: SocketAddr, text: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.write_all(text).await.expect("sent");
    stream
}

/// The number of connections was not limited. One too many is refused as not run, and the others go on.
#[tokio::test]
async fn serve_callers_no_place() {
    let (address, handled) = start_with(two_connections()).await;
    let mut served = Vec::new();
    for path in ["/slow1", "/slow2"] {
        served.push(connect_and_send(address, &requests(&[path])).await);
    }
    sleep(Duration::from_millis(100)).await;
    let mut third = TcpStream::connect(address).await.expect("a connection");
    let (refusal, has_ended) = read_to_end(&mut third).await;
    assert!(refusal.starts_with("HTTP/1.1 503 "), "{refusal}");
    assert!(refusal.contains("catkinhitch-outcome: not-run\r\n"));
    let code = format!("catkinhitch-code: {}\r\n", ResultCode::NoRoom.number());
    assert!(refusal.contains(&code), "{refusal}");
    assert!(has_ended);
    for (stream, path) in served.iter_mut().zip(["/slow1", "/slow2"]) {
        assert!(read_to_end(stream).await.0.ends_with(path));
    }
    assert_eq!(handled.completed().len(), 2);
}

/// Callers that never completed a request kept their connections from others.
#[tokio::test]
async fn serve_callers_incomplete_requests_make_place() {
    let (address, handled) = start_with(two_connections()).await;
    let mut incomplete = Vec::new();
    for _ in 0..2 {
        incomplete.push(connect_and_send(address, b"GET / HTTP/1.1\r\nHost: a\r\n").await);
    }
    sleep(Duration::from_millis(1_500)).await;
    let mut ordinary = connect_and_send(address, &requests(&["/ordinary"])).await;
    let (response, _) = read_to_end(&mut ordinary).await;
    assert!(response.ends_with("/ordinary"), "{response}");
    assert_eq!(handled.paths(), ["/ordinary"]);
    let (_, has_ended) = read_to_end(&mut incomplete[0]).await;
    assert!(has_ended, "the evicted connection is open");
}

/// An idle connection is closed for a new one, and its caller sees a regular end.
#[tokio::test]
async fn serve_callers_idle_makes_place() {
    let (address, _) = start_with(two_connections()).await;
    let mut idle = Vec::new();
    for path in ["/first", "/second"] {
        let mut stream = connect_and_send(address, &requests(&[path])).await;
        let mut response = vec![0; 1_024];
        let count = stream.read(&mut response).await.expect("a response");
        assert!(String::from_utf8_lossy(&response[..count]).ends_with(path));
        idle.push(stream);
    }
    let mut third = connect_and_send(address, &requests(&["/third"])).await;
    assert!(read_to_end(&mut third).await.0.ends_with("/third"));
    assert_eq!(read_to_end(&mut idle[0]).await, (String::new(), true));
    assert!(!read_to_end(&mut idle[1]).await.1);
}
