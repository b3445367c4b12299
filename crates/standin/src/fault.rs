//! A TCP proxy that injects faults between two ends.
//!
//! Every connection remembers the epoch in which it was opened; when the epoch moves on, older
//! connections go silent for good while new ones work.

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

/// Size of the buffer of one direction, in bytes.
const BUFFER_BYTES: usize = 16 * 1024;
/// Buffers in flight of one direction.
const BUFFERS: usize = 64;

/// What can be turned while the proxy runs.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultKnobs {
    /// Delay of each direction, in microseconds.
    pub delay_us: u64,
    /// Whether bytes towards the target are swallowed.
    #[serde(rename = "cut_up")]
    pub drop_to_target: bool,
    /// Whether bytes back from the target are swallowed.
    #[serde(rename = "cut_down")]
    pub drop_from_target: bool,
    /// Whether new connections are refused and open ones reset.
    pub reset: bool,
    /// Connections opened before this epoch are silent for good.
    pub epoch: u64,
}

/// A running fault proxy.
#[derive(Debug)]
pub struct FaultProxy {
    /// Where it listens.
    pub address: SocketAddr,
    knobs: Arc<watch::Sender<FaultKnobs>>,
    forwarded_bytes: Arc<AtomicU64>,
    _running: AbortOnDrop,
}

impl FaultProxy {
    /// Starts a proxy on a free loopback port in front of `target`.
    ///
    /// # Errors
    ///
    /// No port can be bound.
    pub async fn new(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let knobs = Arc::new(watch::channel(FaultKnobs::default()).0);
        let forwarded_bytes = Arc::new(AtomicU64::new(0));
        let link = Link {
            knobs: Arc::clone(&knobs),
            forwarded_bytes: Arc::clone(&forwarded_bytes),
        };
        let task = tokio::spawn(accept(listener, target, link));
        Ok(Self {
            address,
            knobs,
            forwarded_bytes,
            _running: AbortOnDrop(task),
        })
    }

    /// Turns knobs.
    pub fn update_knobs<Update>(&self, update: Update)
    where
        Update: FnOnce(&mut FaultKnobs),
    {
        self.knobs.send_modify(update);
    }

    /// Lets all open connections go silent for good; new ones work.
    pub fn silence_open_connections(&self) {
        self.update_knobs(|knobs| knobs.epoch += 1);
    }

    /// Serves `PUT /knobs` on a free loopback port until the runtime ends, and returns its address.
    ///
    /// # Errors
    ///
    /// No port can be bound.
    pub async fn serve_control(&self) -> io::Result<SocketAddr> {
        let knobs = Arc::clone(&self.knobs);
        let handle = move |request| control(Arc::clone(&knobs), request);
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Ok(serve(any, handle).await?.0)
    }

    /// Returns the bytes carried so far, both directions together.
    pub fn forwarded_bytes(&self) -> u64 {
        self.forwarded_bytes.load(Ordering::Relaxed)
    }
}

async fn control(
    knobs: Arc<watch::Sender<FaultKnobs>>,
    request: Request<Incoming>,
) -> Option<HttpResponse> {
    if request.method() != Method::PUT || request.uri().path() != "/knobs" {
        return Some(full_response(404, "only PUT /knobs"));
    }
    let text = request.into_body().collect().await.ok()?.to_bytes();
    Some(match from_json::<FaultKnobs>("knobs", &text) {
        Ok(wanted) => {
            knobs.send_replace(wanted);
            full_response(200, "ok")
        }
        Err(error) => full_response(400, error.to_string()),
    })
}

/// What all connections of a proxy share.
#[derive(Clone, Debug)]
struct Link {
    knobs: Arc<watch::Sender<FaultKnobs>>,
    forwarded_bytes: Arc<AtomicU64>,
}

async fn accept(listener: TcpListener, target: SocketAddr, link: Link) {
    loop {
        let Ok((near, _)) = listener.accept().await else {
            continue;
        };
        tokio::spawn(join(near, target, link.clone()));
    }
}

async fn join(near: TcpStream, target: SocketAddr, link: Link) {
    let mut knobs = link.knobs.subscribe();
    let epoch = knobs.borrow().epoch;
    if knobs.borrow().reset {
        return reset(&near);
    }
    let Ok(far) = TcpStream::connect(target).await else {
        return reset(&near);
    };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let up = carry(near_read, far_write, &link, epoch, |knobs| {
        knobs.drop_to_target
    });
    let down = carry(far_read, near_write, &link, epoch, |knobs| {
        knobs.drop_from_target
    });
    let resetting = async move {
        // A closed channel means that the proxy is gone, which ends its connections too.
        let _ = knobs.wait_for(|knobs| knobs.reset).await;
    };
    tokio::select! {
        _ = async { tokio::join!(up, down) } => {}
        () = resetting => {}
    }
}

fn reset(stream: &TcpStream) {
    // Lingering for no time makes the close a reset.
    let _ = stream.set_zero_linger();
}

async fn carry<Cut>(mut from: OwnedReadHalf, to: OwnedWriteHalf, link: &Link, epoch: u64, cut: Cut)
where
    Cut: Fn(&FaultKnobs) -> bool,
{
    let knobs = link.knobs.subscribe();
    let (sender, receiver) = mpsc::channel(BUFFERS);
    let writing = write(to, receiver);
    let reading = async move {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let count = from.read(&mut buffer).await.unwrap_or(0);
            let (delay_us, swallowed, silent) = {
                let now = knobs.borrow();
                (now.delay_us, cut(&now), now.epoch != epoch)
            };
            if silent {
                // Not even the close gets through.
                std::future::pending::<()>().await;
            }
            if count == 0 {
                return;
            }
            if swallowed {
                continue;
            }
            link.forwarded_bytes
                .fetch_add(count as u64, Ordering::Relaxed);
            let due = Instant::now() + Duration::from_micros(delay_us);
            if sender.send((due, buffer[..count].to_vec())).await.is_err() {
                return;
            }
        }
    };
    tokio::join!(reading, writing);
}

async fn write(mut to: OwnedWriteHalf, mut receiver: mpsc::Receiver<(Instant, Vec<u8>)>) {
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
