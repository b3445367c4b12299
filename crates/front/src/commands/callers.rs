//! Serves callers over HTTP/1.1.
//!
//! Invariants: a slow or malformed request affects only its own connection; no request is handled on a connection that
//! its caller has closed; when the instance stops, requests in flight are completed before their connections are closed.

use {
    crate::{
        commands::read_ahead::{discard_rest, read_ahead, READ_AHEAD_BYTES},
        CallerHandlers,
    },
    entry::{BoxedBody, CallerConnection, IncomingRequest, MeasuredBody, RequestHead},
    http_body_util::BodyExt,
    hyper::{
        body::{Body as _, Incoming as HyperBody},
        header::{HeaderValue, CONNECTION},
        server::conn::http1,
        service::service_fn,
        Request, Response,
    },
    hyper_util::{
        rt::{TokioIo, TokioTimer},
        server::graceful::GracefulShutdown,
    },
    memory::Phase,
    socket2::SockRef,
    std::{
        convert::Infallible,
        future::Future,
        io,
        net::IpAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        io::{join, simplex},
        net::{TcpListener, TcpStream},
        task::yield_now,
        time::{sleep, timeout},
    },
};

/// Smallest read buffer that hyper accepts, in bytes; lower limits for request heads are raised to it.
const MIN_BUFFER_BYTES: usize = 8_192;
/// Response on a connection that can't be served; its request is not read. The numbers are those of `NoRoom`.
const NO_PLACE: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\ncatkinhitch-code: 1209\r\n\
    catkinhitch-outcome: not-run\r\nretry-after: 1\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
/// Delay after a failed accept, in milliseconds.
const ACCEPT_RETRY_DELAY_MS: u64 = 10;

/// Serves callers on `listener` until `stop` completes, then waits up to `shutdown_timeout_ms` for the requests in
/// flight.
pub async fn serve_callers<Stop>(
    listener: TcpListener,
    callers: Arc<CallerHandlers>,
    stop: Stop,
    shutdown_timeout_ms: u64,
) where
    Stop: Future<Output = ()>,
{
    let graceful = GracefulShutdown::new();
    limit_socket_buffers(&listener, &callers);
    tokio::pin!(stop);
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, peer)) => {
                    serve_connection(stream, peer.ip(), &callers, &graceful);
                    // Lets an evicted connection close before the next one is accepted.
                    yield_now().await;
                }
                // Most likely the process is out of file descriptors, and other connections must close first.
                Err(_) => sleep(Duration::from_millis(ACCEPT_RETRY_DELAY_MS)).await,
            },
            () = &mut stop => break,
        }
    }
    drop(listener);
    let shutdown_timeout = Duration::from_millis(shutdown_timeout_ms);
    if timeout(shutdown_timeout, graceful.shutdown())
        .await
        .is_err()
    {
        log::warn!(
            "requests still in flight {shutdown_timeout_ms} ms after the listener was closed"
        );
    }
}

/// Limits what the kernel holds for the connections that are accepted, since it counts toward the instance's memory.
fn limit_socket_buffers(listener: &TcpListener, callers: &CallerHandlers) {
    let socket = SockRef::from(listener);
    let buffer_bytes = callers.memory.limits().socket_buffer_bytes as usize;
    let limited = socket
        .set_recv_buffer_size(buffer_bytes)
        .and_then(|()| socket.set_send_buffer_size(buffer_bytes));
    if let Err(error) = limited {
        log::warn!("failed to limit the socket buffers of callers' connections: {error}");
    }
}

fn serve_connection(
    stream: TcpStream,
    source: IpAddr,
    callers: &Arc<CallerHandlers>,
    graceful: &GracefulShutdown,
) {
    let Some(open) = callers.memory.open(source) else {
        // Whether the caller gets it makes no difference: nothing was run.
        let _ = stream.try_write(NO_PLACE);
        return;
    };
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("failed to set TCP_NODELAY on a caller's connection: {error}");
        return;
    }
    let callers = Arc::clone(callers);
    let limits = (callers.limits)();
    let connection = Arc::clone(open.connection());
    let service = service_fn(move |request| {
        let (callers, connection) = (Arc::clone(&callers), Arc::clone(&connection));
        async move { Ok::<_, Infallible>(handle_request(&callers, connection, request).await) }
    });
    let (mut reader, writer) = stream.into_split();
    let (requests, mut sink) = simplex(READ_AHEAD_BYTES);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // Counts from the end of the previous response, so it also limits how long a connection may be idle.
        .header_read_timeout(Duration::from_millis(limits.idle_timeout_ms))
        .max_buf_size(limits.header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(join(requests, writer)), service);
    let watched = graceful.watch(connection);
    tokio::spawn(async move {
        // Dropping the connection also cancels the request that is being handled.
        let served = tokio::select! {
            served = watched => served,
            () = open.connection().must_close() => return,
            () = read_ahead(&mut reader, &mut sink) => return,
        };
        match served {
            Ok(()) => tokio::select! {
                () = open.connection().must_close() => {}
                () = discard_rest(&mut reader) => {}
            },
            Err(error) => log::debug!("caller's connection failed: {error}"),
        }
    });
}

async fn handle_request(
    callers: &CallerHandlers,
    connection: Arc<CallerConnection>,
    request: Request<HyperBody>,
) -> Response<BoxedBody> {
    let received = Instant::now();
    let content_length_bytes = request.body().size_hint().exact();
    let (head, body) = request.into_parts();
    let incoming = IncomingRequest {
        head: RequestHead {
            method: head.method,
            uri: head.uri,
            headers: head.headers,
        },
        body: body.map_err(io::Error::other).boxed_unsync(),
        content_length_bytes,
        received,
        connection: Arc::clone(&connection),
    };
    let response = (callers.handle)(incoming).await.into_response();
    connection.begin_phase(Phase::Open);
    let mut response =
        response.map(|body| MeasuredBody::of_response(body, &connection).boxed_unsync());
    if (callers.is_draining)() || connection.is_evicted() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}
