//! Fault-injecting TCP proxy: delay, one-way loss, resets, and connections that go silent.
//!
//! Every connection keeps the epoch in which it was opened. Once the epoch changes, older connections forward nothing
//! any more, not even a close, while new connections work.

use {
    crate::server::{full_response, serve, AbortOnDrop, HttpResponse},
    http_body_util::BodyExt,
    hyper::{body::Incoming, Method, Request},
    serde::{Deserialize, Serialize},
    std::{
        io,
        net::SocketAddr,
        sync::{
            atomic::{AtomicU64, Ordering},
            Arc,
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{
            tcp::{OwnedReadHalf, OwnedWriteHalf},
            TcpListener, TcpStream,
        },
        sync::{mpsc, watch},
        time::{sleep_until, Instant},
    },
    wire::from_json,
};

/// Read buffer of one direction, in bytes.
const BUFFER_BYTES: usize = 16 * 1024;
/// Buffers that one direction holds at most while they are delayed.
const BUFFERS: usize = 64;

/// Faults to inject, adjustable at run time.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultKnobs {
    /// Delay of each direction, in microseconds.
    pub delay_us: u64,
    /// Whether bytes sent to the target are dropped.
    #[serde(rename = "cut_up")]
    pub drop_to_target: bool,
    /// Whether bytes received from the target are dropped.
    #[serde(rename = "cut_down")]
    pub drop_from_target: bool,
    /// Whether new connections are reset on accept and open ones are closed.
    pub reset: bool,
    /// Current epoch; connections that were opened in another one forward nothing any more.
    pub epoch: u64,
}

/// A running fault proxy; dropping it stops the listener.
#[derive(Debug)]
pub struct FaultProxy {
    /// Listening address.
    pub address: SocketAddr,
    knobs: Arc<watch::Sender<FaultKnobs>>,
    forwarded_bytes: Arc<AtomicU64>,
    _server_task: AbortOnDrop,
}

impl FaultProxy {
    /// Starts a proxy on a free loopback port in front of `target`.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn new(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let knobs = Arc::new(watch::channel(FaultKnobs::default()).0);
        let forwarded_bytes = Arc::new(AtomicU64::new(0));
        let state = ProxyState {
            knobs: Arc::clone(&knobs),
            forwarded_bytes: Arc::clone(&forwarded_bytes),
        };
        let task = tokio::spawn(accept_connections(listener, target, state));
        Ok(Self {
            address,
            knobs,
            forwarded_bytes,
            _server_task: AbortOnDrop(task),
        })
    }

    /// Changes the knobs.
    pub fn update_knobs<Update>(&self, update: Update)
    where
        Update: FnOnce(&mut FaultKnobs),
    {
        self.knobs.send_modify(update);
    }

    /// Silences all open connections for good; new ones work.
    pub fn silence_open_connections(&self) {
        self.update_knobs(|knobs| knobs.epoch += 1);
    }

    /// Serves `PUT /knobs` on a free loopback port until the runtime shuts down, and returns its address.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn serve_control(&self) -> io::Result<SocketAddr> {
        let knobs = Arc::clone(&self.knobs);
        let handler = move |request| replace_knobs(Arc::clone(&knobs), request);
        let free_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Ok(serve(free_port, handler).await?.0)
    }

    /// Returns the bytes forwarded so far, both directions together.
    pub fn forwarded_bytes(&self) -> u64 {
        self.forwarded_bytes.load(Ordering::Relaxed)
    }
}

async fn replace_knobs(
    knobs: Arc<watch::Sender<FaultKnobs>>,
    request: Request<Incoming>,
) -> Option<HttpResponse> {
    if request.method() != Method::PUT || request.uri().path() != "/knobs" {
        return Some(full_response(404, "only PUT /knobs"));
    }
    let text = request.into_body().collect().await.ok()?.to_bytes();
    Some(match from_json::<FaultKnobs>("knobs", &text) {
        Ok(new_knobs) => {
            knobs.send_replace(new_knobs);
            full_response(200, "ok")
        }
        Err(error) => full_response(400, error.to_string()),
    })
}

/// State shared by all connections of a proxy.
#[derive(Clone, Debug)]
struct ProxyState {
    knobs: Arc<watch::Sender<FaultKnobs>>,
    forwarded_bytes: Arc<AtomicU64>,
}

async fn accept_connections(listener: TcpListener, target: SocketAddr, state: ProxyState) {
    loop {
        let Ok((client_stream, _)) = listener.accept().await else {
            continue;
        };
        tokio::spawn(forward_connection(client_stream, target, state.clone()));
    }
}

async fn forward_connection(client_stream: TcpStream, target: SocketAddr, state: ProxyState) {
    let mut knobs = state.knobs.subscribe();
    let epoch = knobs.borrow().epoch;
    if knobs.borrow().reset {
        return reset(&client_stream);
    }
    let Ok(target_stream) = TcpStream::connect(target).await else {
        return reset(&client_stream);
    };
    let _ = client_stream.set_nodelay(true);
    let _ = target_stream.set_nodelay(true);
    let (client_read, client_write) = client_stream.into_split();
    let (target_read, target_write) = target_stream.into_split();
    let to_target = forward(client_read, target_write, &state, epoch, |knobs| {
        knobs.drop_to_target
    });
    let from_target = forward(target_read, client_write, &state, epoch, |knobs| {
        knobs.drop_from_target
    });
    let reset_requested = async move {
        // `wait_for` fails only if the channel closes, and `state` keeps its sender alive.
        let _ = knobs.wait_for(|knobs| knobs.reset).await;
    };
    tokio::select! {
        _ = async { tokio::join!(to_target, from_target) } => {}
        () = reset_requested => {}
    }
}

/// Lets `stream` send a reset instead of a regular close when it is dropped.
fn reset(stream: &TcpStream) {
    let _ = stream.set_zero_linger();
}

/// Forwards one direction; reads on while earlier buffers are delayed.
async fn forward<IsDropped>(
    mut from: OwnedReadHalf,
    to: OwnedWriteHalf,
    state: &ProxyState,
    epoch: u64,
    is_dropped: IsDropped,
) where
    IsDropped: Fn(&FaultKnobs) -> bool,
{
    let knobs = state.knobs.subscribe();
    let (sender, receiver) = mpsc::channel(BUFFERS);
    let writer = write_delayed(to, receiver);
    let reader = async move {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let count = from.read(&mut buffer).await.unwrap_or(0);
            let (delay_us, dropped, silenced) = {
                let knobs_now = knobs.borrow();
                (
                    knobs_now.delay_us,
                    is_dropped(&knobs_now),
                    knobs_now.epoch != epoch,
                )
            };
            if silenced {
                // The close is not forwarded either.
                std::future::pending::<()>().await;
            }
            if count == 0 {
                return;
            }
            if dropped {
                continue;
            }
            state
                .forwarded_bytes
                .fetch_add(count as u64, Ordering::Relaxed);
            let due = Instant::now() + Duration::from_micros(delay_us);
            if sender.send((due, buffer[..count].to_vec())).await.is_err() {
                return;
            }
        }
    };
    tokio::join!(reader, writer);
}

/// Writes each buffer when it is due, and shuts the stream down after the last.
async fn write_delayed(mut to: OwnedWriteHalf, mut receiver: mpsc::Receiver<(Instant, Vec<u8>)>) {
    while let Some((due, bytes)) = receiver.recv().await {
        if due > Instant::now() {
            sleep_until(due).await;
        }
        if to.write_all(&bytes).await.is_err() {
            return;
        }
    }
    let _ = to.shutdown().await;
}
