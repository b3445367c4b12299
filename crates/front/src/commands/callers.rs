//! Serves callers over HTTP/1.1.
//!
//! Invariants: a slow or malformed caller costs its own connection only; when the instance stops, each open
//! exchange is finished before its connection is closed.

use {
    crate::CallerHandlers,
    entry::{BoxedBody, IncomingRequest, RequestHead},
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
    std::{
        convert::Infallible,
        future::Future,
        io,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        net::{TcpListener, TcpStream},
        time::{sleep, timeout},
    },
};

/// Least size of a connection's buffer, in bytes; the library asks for it.
const BUFFER_LEAST_BYTES: usize = 8_192;
/// Pause after a failed accept, in milliseconds.
const ACCEPT_PAUSE_MS: u64 = 10;

/// Serves callers on `listener` until `stop` ends, then finishes what is in flight within `finish_ms`.
pub async fn serve_callers<Stop>(
    listener: TcpListener,
    callers: Arc<CallerHandlers>,
    stop: Stop,
    finish_ms: u64,
) where
    Stop: Future<Output = ()>,
{
    let graceful = GracefulShutdown::new();
    tokio::pin!(stop);
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => open(stream, &callers, &graceful),
                // Out of descriptors, most likely: others must close first.
                Err(_) => sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await,
            },
            () = &mut stop => break,
        }
    }
    drop(listener);
    let limit = Duration::from_millis(finish_ms);
    if timeout(limit, graceful.shutdown()).await.is_err() {
        log::warn!("some exchanges did not end in {finish_ms} ms");
    }
}

fn open(stream: TcpStream, callers: &Arc<CallerHandlers>, graceful: &GracefulShutdown) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("caller's socket: {error}");
        return;
    }
    let callers = Arc::clone(callers);
    let limits = (callers.limits)();
    let service = service_fn(move |request| {
        let callers = Arc::clone(&callers);
        async move { Ok::<_, Infallible>(answer(&callers, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // Counts from the end of the answer before, so it bounds the wait for a request as well.
        .header_read_timeout(Duration::from_millis(limits.idle_timeout_ms))
        .max_buf_size(limits.header_bytes.max(BUFFER_LEAST_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let watched = graceful.watch(connection);
    tokio::spawn(async move {
        if let Err(error) = watched.await {
            log::debug!("caller's connection: {error}");
        }
    });
}

async fn answer(callers: &CallerHandlers, request: Request<HyperBody>) -> Response<BoxedBody> {
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
    };
    let mut response = (callers.handle)(incoming).await.into_response();
    if (callers.is_draining)() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}
