//! A small HTTP server on loopback for the stand-ins.

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

/// Body of a stand-in's answer; an error cuts the connection.
pub type BoxedBody = BoxBody<Bytes, io::Error>;
/// A stand-in's answer.
pub type HttpResponse = Response<BoxedBody>;

/// Returns the wall clock, in milliseconds since 1970.
pub fn unix_time_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}

/// Makes a whole answer.
pub fn full_response(status: u16, body: impl Into<Bytes>) -> HttpResponse {
    let body = Full::new(body.into()).map_err(|never: Infallible| match never {});
    let mut answer = Response::new(body.boxed());
    *answer.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    answer
}

/// State that a stand-in shares with its calls, and the wake-up of those that wait for a change of it.
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

    /// Wakes whoever waits for a change.
    pub(crate) fn notify_changed(&self) {
        self.changed.send_modify(|count| *count += 1);
    }
}

/// A task that ends when this is dropped.
#[derive(Debug)]
pub(crate) struct AbortOnDrop(pub(crate) JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Serves `handle` on `address` until the task is aborted.
pub(crate) async fn serve<Handle, Answering>(
    address: SocketAddr,
    handle: Handle,
) -> io::Result<(SocketAddr, JoinHandle<()>)>
where
    Handle: Fn(Request<Incoming>) -> Answering + Clone + Send + Sync + 'static,
    Answering: Future<Output = Option<HttpResponse>> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let bound = listener.local_addr()?;
    let task = tokio::spawn(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            let _ = stream.set_nodelay(true);
            let handle = handle.clone();
            tokio::spawn(async move {
                let service = service_fn(move |request| {
                    let answering = handle(request);
                    async move {
                        let answer = answering.await;
                        answer.ok_or_else(|| io::Error::from(io::ErrorKind::ConnectionAborted))
                    }
                });
                let _ = http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    });
    Ok((bound, task))
}
