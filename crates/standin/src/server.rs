//! Minimal HTTP/1 server for the test doubles.

use {
    bytes::Bytes,
    http_body_util::{combinators::BoxBody, BodyExt, Full},
    hyper::{body::Incoming, server::conn::http1, service::service_fn, Request, Response},
    hyper_util::rt::TokioIo,
    std::{
        convert::Infallible,
        future::Future,
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{SystemTime, UNIX_EPOCH},
    },
    tokio::{net::TcpListener, sync::watch, task::JoinHandle},
};

/// Response body; an error while it is streamed closes the connection before the response is complete.
pub type BoxedBody = BoxBody<Bytes, io::Error>;
/// Response of a test double.
pub type HttpResponse = Response<BoxedBody>;

/// Returns the system time, in milliseconds since the Unix epoch.
pub fn unix_time_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// Builds a response with a complete body.
pub fn full_response(status: u16, body: impl Into<Bytes>) -> HttpResponse {
    let body = Full::new(body.into()).map_err(|never: Infallible| match never {});
    let mut response = Response::new(body.boxed());
    *response.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    response
}

/// State shared by a test double and its request handlers, with a notification for handlers that wait for a change.
#[derive(Debug)]
pub(crate) struct SharedState<State> {
    state: Mutex<State>,
    pub(crate) changed: watch::Sender<u64>,
}

impl<State> SharedState<State> {
    pub(crate) fn new(state: State) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(state),
            changed: watch::channel(0).0,
        })
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notifies the handlers that wait for a change.
    pub(crate) fn notify_changed(&self) {
        self.changed.send_modify(|count| *count += 1);
    }
}

/// Aborts the task when dropped.
#[derive(Debug)]
pub(crate) struct AbortOnDrop(pub(crate) JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Accepts connections on `address` until the returned task is aborted. A request for which `handler` returns `None`
/// gets no response, and its connection is closed.
pub(crate) async fn serve<Handler, ResponseFuture>(
    address: SocketAddr,
    handler: Handler,
) -> io::Result<(SocketAddr, JoinHandle<()>)>
where
    Handler: Fn(Request<Incoming>) -> ResponseFuture + Clone + Send + Sync + 'static,
    ResponseFuture: Future<Output = Option<HttpResponse>> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let local_address = listener.local_addr()?;
    let task = tokio::spawn(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            let _ = stream.set_nodelay(true);
            let handler = handler.clone();
            tokio::spawn(async move {
                let service = service_fn(move |request| {
                    let response_future = handler(request);
                    async move {
                        let response = response_future.await;
                        response.ok_or_else(|| io::Error::from(io::ErrorKind::ConnectionAborted))
                    }
                });
                let _ = http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    });
    Ok((local_address, task))
}
