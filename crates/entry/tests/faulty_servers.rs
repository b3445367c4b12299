//! Tests of the request path against servers that send bytes which are no answer, or another request's.

mod support;

use {
    bytes::Bytes,
    entry::{AttemptOutcome, CallerResponse, ForwardedResponse, HeaderConventions},
    futures_util::stream,
    http_body_util::{BodyExt, StreamBody},
    hyper::{body::Frame, header::HeaderName, Method},
    member::ServerNotice,
    socket2::SockRef,
    std::{
        fs, io,
        net::SocketAddr,
        sync::{
            atomic::{AtomicUsize, Ordering},
            Arc,
        },
        time::{Duration, Instant},
    },
    support::{fixture_with_conventions, incoming, send, send_upload, Fixture},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::sleep,
    },
    types::ResultCode,
};

/// Deadline of the requests, in milliseconds.
const DEADLINE_MS: u64 = 1_000;

/// A server that sends what it is told to, whatever it is asked.
struct RawServer {
    address: SocketAddr,
    /// Number of requests that it has read.
    requests: Arc<AtomicUsize>,
}

/// Starts a server that reads the head of each request and then calls `answer` with the connection, the number of the
/// request and its id.
async fn raw_server<Answer, Answering>(answer: Answer) -> RawServer
where
    Answer: Fn(TcpStream, usize, String) -> Answering + Clone + Send + 'static,
    Answering: std::future::Future<Output = Option<TcpStream>> + Send,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let requests = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&requests);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (answer, counter) = (answer.clone(), Arc::clone(&counter));
            tokio::spawn(async move {
                let mut open = Some(stream);
                while let Some(mut stream) = open.take() {
                    let Some(head) = read_head(&mut stream).await else {
                        return;
                    };
                    let number = counter.fetch_add(1, Ordering::SeqCst);
                    open = answer(stream, number, request_id(&head)).await;
                }
            });
        }
    });
    RawServer { address, requests }
}

async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).await.ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    String::from_utf8(head).ok()
}

fn request_id(head: &str) -> String {
    let mut lines = head.lines();
    let line = lines.find_map(|line| line.strip_prefix("request-id: "));
    line.unwrap_or_default().to_owned()
}

async fn write(stream: &mut TcpStream, text: &str) {
    // The reader may close the connection at any time.
    let _ = stream.write_all(text.as_bytes()).await;
}

/// The conventions of a platform whose servers sign their answers, echo ids and may end an answer with the connection.
fn conventions() -> HeaderConventions {
    HeaderConventions {
        request_id: HeaderName::from_static("request-id"),
        deadline: HeaderName::from_static("deadline-ms"),
        not_run: HeaderName::from_static("not-executed"),
        leaving: Some(HeaderName::from_static("server-leaving")),
        limit: Some(HeaderName::from_static("server-limit")),
        signature: Some(HeaderName::from_static("response-signature")),
        target_server: Some(HeaderName::from_static("target-instance")),
        accept_close_delimited: true,
        status_implies_not_run: true,
        ..HeaderConventions::new()
    }
}

fn fixture_of(servers: &[&RawServer]) -> Fixture {
    let addresses: Vec<SocketAddr> = servers.iter().map(|server| server.address).collect();
    fixture_with_conventions(&addresses, Duration::ZERO, conventions())
}

async fn request(fixture: &Fixture, method: Method, id: &str) -> CallerResponse {
    let deadline = DEADLINE_MS.to_string();
    let headers = [("request-id", id), ("deadline-ms", deadline.as_str())];
    send(fixture, incoming(method, &headers, "")).await
}

fn answer_of(id: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

fn refusal_of(id: &str) -> String {
    format!("HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
}

/// A server wrote an earlier refusal once more, and the caller was told that a request had not run that it was running.
#[tokio::test]
async fn handle_request_earlier_refusal_again() {
    for status in ["503 Service Unavailable", "421 Misdirected Request"] {
        let server = raw_server(move |mut stream, _, id| async move {
            let refusal = refusal_of("earlier").replace("503 Service Unavailable", status);
            write(&mut stream, &refusal).await;
            write(&mut stream, &answer_of(&id, "done")).await;
            Some(stream)
        })
        .await;
        let other = raw_server(|mut stream, _, id| async move {
            write(&mut stream, &answer_of(&id, "done")).await;
            Some(stream)
        })
        .await;
        let fixture = fixture_of(&[&server, &other]);
        let response = request(&fixture, Method::POST, "mine").await;
        assert_eq!(response.code(), ResultCode::OutcomeUnknown, "{status}");
        let runs = other.requests.load(Ordering::SeqCst);
        assert_eq!(runs, 0, "{status}: run by a second server");
    }
}

/// On a kept connection too, only a refusal of the request itself proves that it has not run.
#[tokio::test]
async fn handle_request_earlier_refusal_kept_connection() {
    let server = raw_server(|mut stream, number, id| async move {
        let earlier = if number == 0 {
            String::new()
        } else {
            refusal_of("earlier")
        };
        write(&mut stream, &earlier).await;
        write(&mut stream, &answer_of(&id, "done")).await;
        Some(stream)
    })
    .await;
    let fixture = fixture_of(&[&server]);
    let first = request(&fixture, Method::GET, "first").await;
    assert_eq!(first.code(), ResultCode::Answered);
    sleep(Duration::from_millis(50)).await;
    let second = request(&fixture, Method::GET, "second").await;
    assert_eq!(second.code(), ResultCode::OutcomeUnknown);
}

/// A server stopped in the middle of its answer's head and closed the connection.
#[tokio::test]
async fn handle_request_head_ends_early() {
    let whole = answer_of("mine", "done");
    let head_bytes = whole.len() - "done".len();
    for sent_bytes in 1..head_bytes {
        let part = whole[..sent_bytes].to_owned();
        let server = raw_server(move |mut stream, _, _| {
            let part = part.clone();
            async move {
                write(&mut stream, &part).await;
                None
            }
        })
        .await;
        let fixture = fixture_of(&[&server]);
        let response = request(&fixture, Method::POST, "mine").await;
        assert_eq!(
            response.code(),
            ResultCode::OutcomeUnknown,
            "after {sent_bytes} bytes"
        );
    }
}

/// A server sent a head without end.
#[tokio::test]
async fn handle_request_endless_head() {
    let lines = ["X-More: x\r\n", "x", "HTTP/1.1 100 Continue\r\n\r\n"];
    for line in lines {
        let server = raw_server(move |mut stream, _, _| async move {
            if line != lines[2] {
                write(&mut stream, "HTTP/1.1 200 OK\r\n").await;
            }
            while stream.write_all(line.repeat(100).as_bytes()).await.is_ok() {
                sleep(Duration::from_millis(1)).await;
            }
            None
        })
        .await;
        let fixture = fixture_of(&[&server]);
        let started = Instant::now();
        let response = request(&fixture, Method::POST, "mine").await;
        let execution = response.code().execution_status();
        assert_eq!(execution, types::ExecutionStatus::Unknown, "{line}");
        assert!(
            started.elapsed() < Duration::from_millis(DEADLINE_MS + 300),
            "{line}"
        );
    }
}

/// Returns the memory that the process uses, in kilobytes.
fn memory_kb() -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("a status");
    let used = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let digits = used.expect("a size").trim().trim_end_matches(" kB");
    digits.parse().expect("a number")
}

/// Bytes without end were kept until the caller's instance had no memory left, whatever they stood for.
#[tokio::test(flavor = "multi_thread")]
async fn handle_request_endless_bytes_not_kept() {
    let head = "HTTP/1.1 200 OK\r\nRequest-Id: mine\r\nResponse-Signature: s\r\n";
    let chunked = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
    let cases = [
        ("lines of a head", head.to_owned(), "X-More: x\r\n"),
        ("a line of a head", format!("{head}X-More: "), "x"),
        ("a status line", "HTTP/1.1 200 ".to_owned(), "x"),
        ("no answer", String::new(), "x"),
        (
            "interim answers",
            String::new(),
            "HTTP/1.1 100 Continue\r\n\r\n",
        ),
        ("a body", format!("{head}\r\n"), "x"),
        ("chunks", chunked.clone(), "1\r\nx\r\n"),
        ("the size of a chunk", chunked.clone(), "0"),
        ("a chunk's extension", format!("{chunked}1;"), "x"),
        ("trailers", format!("{chunked}0\r\n"), "X-More: x\r\n"),
        ("after an answer", answer_of("mine", "done"), "x"),
    ];
    for (name, start, repeated) in cases {
        let data = repeated.repeat(65_536 / repeated.len());
        let server = raw_server(move |mut stream, _, _| {
            let (start, data) = (start.clone(), data.clone());
            async move {
                write(&mut stream, &start).await;
                while stream.write_all(data.as_bytes()).await.is_ok() {}
                None
            }
        })
        .await;
        let fixture = fixture_of(&[&server]);
        let before_kb = memory_kb();
        // The caller doesn't read an answer that is forwarded while it is received.
        let response = request(&fixture, Method::GET, "mine").await;
        sleep(Duration::from_millis(300)).await;
        let kept_kb = memory_kb().saturating_sub(before_kb);
        assert!(kept_kb < 16 * 1_024, "{name}: {kept_kb} kB");
        drop(response);
    }
}

/// A server sent a body without end, and the caller's answer went on past every deadline.
#[tokio::test]
async fn handle_request_endless_body() {
    for framing in ["", "Transfer-Encoding: chunked\r\n"] {
        let server = raw_server(move |mut stream, _, id| async move {
            let head = format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\n{framing}\r\n"
            );
            write(&mut stream, &head).await;
            let data = if framing.is_empty() {
                "x".repeat(100)
            } else {
                format!("64\r\n{}\r\n", "x".repeat(100))
            };
            while stream.write_all(data.as_bytes()).await.is_ok() {
                sleep(Duration::from_millis(1)).await;
            }
            None
        })
        .await;
        let fixture = fixture_of(&[&server]);
        let started = Instant::now();
        let response = request(&fixture, Method::GET, "mine").await;
        let CallerResponse::Forwarded(ForwardedResponse::Streamed(response)) = response else {
            panic!("{framing:?}: no streamed answer");
        };
        let body = response.into_body().collect().await;
        assert!(body.is_err(), "{framing:?}: ended as if it were whole");
        let elapsed = started.elapsed();
        assert!(
            elapsed < Duration::from_millis(DEADLINE_MS + 500),
            "{framing:?}: {elapsed:?}"
        );
        let releases = fixture.releases.lock().expect("no panic");
        assert_eq!(releases.len(), 1, "{framing:?}: the slot");
    }
}

/// What a server says about further requests counts if it says so in the answer to the request.
#[tokio::test]
async fn record_notice_of_answer() {
    let leaving = |is_leaving| ServerNotice {
        is_leaving,
        ..ServerNotice::default()
    };
    let wait = |wait_ms| ServerNotice {
        wait_ms: Some(wait_ms),
        ..ServerNotice::default()
    };
    let limit = |limit_milli| ServerNotice {
        limit_milli: Some(limit_milli),
        ..ServerNotice::default()
    };
    // An answer of the server without any of these headers ends its limit.
    let nothing = Some(ServerNotice::default());
    let ok = "200 OK";
    let unavailable = "503 Service Unavailable";
    let cases = [
        ("mine", ok, "Server-Leaving: 1", Some(leaving(true))),
        (
            "mine",
            "500 Internal Server Error",
            "Server-Leaving: 1",
            Some(leaving(true)),
        ),
        ("mine", ok, "Server-Leaving: 0", nothing),
        ("earlier", ok, "Server-Leaving: 1", None),
        ("mine", "421 Misdirected Request", "Server-Leaving: 1", None),
        ("mine", unavailable, "Retry-After: 3", Some(wait(3_000))),
        ("mine", unavailable, "Retry-After: 0.25", Some(wait(250))),
        ("mine", unavailable, "Retry-After: 0", Some(wait(0))),
        ("mine", unavailable, "Retry-After: -1", nothing),
        ("mine", unavailable, "Retry-After: inf", nothing),
        (
            "mine",
            unavailable,
            "Retry-After: Fri, 31 Dec 1999 23:59:59 GMT",
            nothing,
        ),
        ("mine", ok, "Retry-After: 3", nothing),
        ("earlier", unavailable, "Retry-After: 3", None),
        ("mine", ok, "Server-Limit: 2.4", Some(limit(2_400))),
        ("mine", unavailable, "Server-Limit: 0", Some(limit(1))),
        (
            "mine",
            ok,
            "Server-Limit: 1e300",
            Some(limit(1_000_000_000)),
        ),
        ("mine", ok, "Server-Limit: inf", nothing),
        ("mine", ok, "Server-Limit: many", nothing),
        ("earlier", ok, "Server-Limit: 2.4", None),
    ];
    for (id, status, header, expected) in cases {
        let server = raw_server(move |mut stream, _, _| async move {
            let answer = answer_of(id, "done").replace(ok, &format!("{status}\r\n{header}"));
            write(&mut stream, &answer).await;
            Some(stream)
        })
        .await;
        let fixture = fixture_of(&[&server]);
        request(&fixture, Method::POST, "mine").await;
        let notices = fixture.notices.lock().expect("no panic");
        let expected: Vec<_> = expected
            .map(|notice| ("0".to_owned(), notice))
            .into_iter()
            .collect();
        assert_eq!(*notices, expected, "{id}: {status}, {header}");
    }
}

/// In a planned stop, requests that came late were cut without an answer when the process ended.
#[tokio::test]
async fn handle_request_process_ends_during_exchange() {
    let server = raw_server(|stream, _, _| async move {
        sleep(Duration::from_secs(5)).await;
        Some(stream)
    })
    .await;
    let fixture = fixture_of(&[&server]);
    let started = Instant::now();
    let stop = async {
        sleep(Duration::from_millis(100)).await;
        let answer_by = Instant::now() + Duration::from_millis(200);
        fixture.proxy.answer_by.send_replace(Some(answer_by));
    };
    let (response, ()) = tokio::join!(request(&fixture, Method::POST, "mine"), stop);
    assert_eq!(response.code(), ResultCode::OutcomeUnknown);
    assert!(started.elapsed() < Duration::from_millis(600));
}

/// A request that can't be answered before the process ends must not begin to run.
#[tokio::test]
async fn handle_request_process_has_ended() {
    let server = raw_server(|stream, _, _| async move { Some(stream) }).await;
    let fixture = fixture_of(&[&server]);
    fixture.proxy.answer_by.send_replace(Some(Instant::now()));
    let response = request(&fixture, Method::POST, "mine").await;
    assert_eq!(response.status(), 503);
    assert_eq!(server.requests.load(Ordering::SeqCst), 0);
}

/// Starts a server that has forgotten each connection after its first answer: the next request on it is reset.
async fn forgetful_server() -> RawServer {
    raw_server(|mut stream, _, id| async move {
        write(&mut stream, &answer_of(&id, "done")).await;
        // Only a further request ends the connection, so that nobody notices before.
        let mut buffer = [0; 1];
        if stream.peek(&mut buffer).await.is_ok_and(|count| count > 0) {
            // Unread bytes reset the connection.
            drop(stream);
        }
        None
    })
    .await
}

/// A server that forgot an idle connection must not be blamed, and the caller gets its answer over another connection.
#[tokio::test]
async fn handle_request_idle_connection_forgotten_safe() {
    let server = forgetful_server().await;
    let fixture = fixture_of(&[&server]);
    for id in ["first", "second", "third"] {
        let response = request(&fixture, Method::GET, id).await;
        assert_eq!(response.code(), ResultCode::Answered, "{id}");
        sleep(Duration::from_millis(50)).await;
    }
    let releases = fixture.releases.lock().expect("no panic");
    let blames = releases.iter().filter(|release| {
        let outcome = release.outcome;
        outcome == AttemptOutcome::Failed || outcome == AttemptOutcome::Unreachable
    });
    assert_eq!(blames.count(), 0, "{releases:?}");
}

/// A request that may run only once is not sent over a connection that may have been forgotten: a reset would leave open
/// whether it has run.
#[tokio::test]
async fn handle_request_idle_connection_forgotten_unsafe() {
    let server = forgetful_server().await;
    let fixture = fixture_of(&[&server]);
    let first = request(&fixture, Method::GET, "first").await;
    assert_eq!(first.code(), ResultCode::Answered);
    sleep(Duration::from_millis(50)).await;
    for id in ["second", "third"] {
        let response = request(&fixture, Method::POST, id).await;
        assert_eq!(response.code(), ResultCode::Answered, "{id}");
    }
    assert_eq!(server.requests.load(Ordering::SeqCst), 3);
}

/// Sends an upload of 2 MiB that the caller doesn't complete before its last piece is asked for.
async fn upload(fixture: &Fixture, id: &str) -> CallerResponse {
    let pieces = 128;
    let piece = Bytes::from(vec![b'x'; 16 * 1024]);
    let deadline = DEADLINE_MS.to_string();
    let headers = [("request-id", id), ("deadline-ms", deadline.as_str())];
    let mut request = incoming(Method::POST, &headers, "");
    request.content_length_bytes = Some(pieces * 16 * 1024);
    let frames = stream::unfold(0, move |sent| {
        let piece = piece.clone();
        async move {
            sleep(Duration::from_micros(200)).await;
            (sent < pieces).then(|| (Ok::<_, io::Error>(Frame::data(piece)), sent + 1))
        }
    });
    request.body = StreamBody::new(frames).boxed_unsync();
    send_upload(fixture, request).await
}

/// Returns whether the caller gets a response that looks complete.
async fn looks_complete(response: CallerResponse) -> bool {
    match response {
        CallerResponse::Generated(..) => false,
        CallerResponse::Forwarded(ForwardedResponse::Buffered(_)) => true,
        CallerResponse::Forwarded(ForwardedResponse::Streamed(response)) => {
            response.into_body().collect().await.is_ok()
        }
    }
}

/// How a server ends the connection while it is being sent an upload.
#[derive(Clone, Copy, Debug)]
enum Ending {
    /// It resets the connection.
    Reset,
    /// It closes the connection; what is sent to it afterwards, or was not read, makes its system reset it.
    Close,
    /// It ends its side, and resets the connection a little later.
    EndThenReset,
}

/// A server that answers each request at once with a response without a length, of which it sends `part_bytes` bytes; then it
/// ends the connection after `pause_us`.
async fn early_server(part_bytes: usize, pause_us: u64, ending: Ending) -> RawServer {
    raw_server(move |mut stream, _, id| async move {
        let head = format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\n\r\n");
        write(&mut stream, &head).await;
        write(&mut stream, &"p".repeat(part_bytes)).await;
        sleep(Duration::from_micros(pause_us)).await;
        if matches!(ending, Ending::EndThenReset) {
            let _ = stream.shutdown().await;
            sleep(Duration::from_millis(5)).await;
        }
        if !matches!(ending, Ending::Close) {
            let reset = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            reset.expect("an option of the socket");
        }
        None
    })
    .await
}

/// A server answered an upload at once with a response without a length, sent a part of it and reset the connection while the
/// upload was still being written. Where the end of the connection was read before its reset, the part was taken for the
/// whole response.
#[tokio::test(flavor = "multi_thread")]
async fn handle_request_reset_during_upload() {
    // Of the parts, the first is buffered here and the second forwarded while it is received.
    for part_bytes in [100, 50_000] {
        for ending in [Ending::Reset, Ending::Close, Ending::EndThenReset] {
            for pause_us in [0, 100, 500, 1_000, 2_000, 5_000, 10_000, 20_000] {
                for trial in 0..3 {
                    let server = early_server(part_bytes, pause_us, ending).await;
                    let fixture = fixture_of(&[&server]);
                    let response = upload(&fixture, "mine").await;
                    assert!(
                        !looks_complete(response).await,
                        "{part_bytes} bytes, {ending:?} after {pause_us} us, trial {trial}"
                    );
                }
            }
        }
    }
}

/// A response without a length is complete if the connection ends after the whole upload was sent.
#[tokio::test]
async fn handle_request_close_delimited_after_upload() {
    let server = raw_server(|mut stream, _, id| async move {
        let (mut received, mut buffer) = (Vec::new(), vec![0; 64 * 1024]);
        while !received.ends_with(b"\r\n0\r\n\r\n") {
            let count = stream
                .read(&mut buffer)
                .await
                .ok()
                .filter(|count| *count > 0)?;
            received.extend_from_slice(&buffer[..count]);
        }
        let head = format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\n\r\n");
        write(&mut stream, &head).await;
        write(&mut stream, "whole").await;
        None
    })
    .await;
    let fixture = fixture_of(&[&server]);
    let response = upload(&fixture, "mine").await;
    assert!(looks_complete(response).await);
}

/// A server in trouble sent the status 000, and others sent statuses that HTTP does not have; callers got them.
#[tokio::test]
async fn handle_request_no_http_status() {
    for status in ["000", "001", "099", "101", "600", "700", "999"] {
        let server = raw_server(move |mut stream, _, id| async move {
            let answer = answer_of(&id, "done").replace("200 OK", &format!("{status} Trouble"));
            write(&mut stream, &answer).await;
            Some(stream)
        })
        .await;
        let fixture = fixture_of(&[&server]);
        let response = request(&fixture, Method::POST, "mine").await;
        assert_eq!(response.code(), ResultCode::OutcomeUnknown, "{status}");
        let releases = fixture.releases.lock().expect("no panic");
        let outcomes: Vec<AttemptOutcome> = releases.iter().map(|one| one.outcome).collect();
        assert_eq!(outcomes, [AttemptOutcome::Failed], "{status}");
    }
}

/// A status below 200 announces another response, and must not be taken for the final one if none follows.
#[tokio::test]
async fn handle_request_informational_only() {
    let server = raw_server(|mut stream, _, id| async move {
        let answer = answer_of(&id, "done").replace("200 OK", "199 Trouble");
        write(&mut stream, &answer).await;
        Some(stream)
    })
    .await;
    let fixture = fixture_of(&[&server]);
    let response = request(&fixture, Method::POST, "mine").await;
    assert_eq!(response.code(), ResultCode::OutcomeUnknown);
}
