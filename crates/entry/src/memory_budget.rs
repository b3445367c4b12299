//! What this instance holds for its callers: the ledger of the crate `memory`, with time, waiting and signals.

use {
    crate::BoxedBody,
    bytes::Bytes,
    hyper::body::{Body, Frame, SizeHint},
    memory::{
        commands::{self, Eviction, Reservation},
        queries, ConnectionId, Ledger, Limits, Phase,
    },
    std::{
        fmt, io,
        net::IpAddr,
        pin::Pin,
        sync::Arc,
        task::{Context, Poll},
        time::{Duration, Instant},
    },
    tokio::{
        sync::{watch, Notify},
        time::timeout_at,
    },
    types::Shards,
};

/// Time for which a reservation waits for evicted connections to release what they hold, in milliseconds.
const RELEASE_WAIT_MS: u64 = 250;

/// What an evicted connection has to do.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Demand {
    /// Nothing.
    None,
    /// Stop receiving the request's body.
    StopReceiving,
    /// Close.
    Close,
}

type Signal = Arc<watch::Sender<Demand>>;

/// Why a caller was refused, or its connection evicted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemoryEvent {
    /// Another request or connection needs what a connection with less progress holds.
    Evicted,
    /// Room is scarce, and the connection makes too little progress.
    TooSlow,
    /// An upload stalls while other requests wait for slots.
    HoldsSlot,
    /// A connection was closed to make place for another one.
    Replaced,
    /// There was no room for a body or a response.
    Refused,
    /// There were too many connections.
    NotAccepted,
}

impl MemoryEvent {
    /// Returns the name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Evicted => "evicted",
            Self::TooSlow => "too_slow",
            Self::HoldsSlot => "holds_slot",
            Self::Replaced => "replaced",
            Self::Refused => "refused",
            Self::NotAccepted => "not_accepted",
        }
    }
}

/// Called for each event with the source address and the bytes that its connection holds.
pub type OnMemoryEvent = Box<dyn Fn(MemoryEvent, IpAddr, u64) + Send + Sync>;

/// What the instance may hold and holds.
pub struct MemoryBudget {
    limits: Limits,
    ledger: Shards<Ledger<Signal>>,
    /// Notified when something is released.
    released: Notify,
    started: Instant,
    on_event: OnMemoryEvent,
}

impl fmt::Debug for MemoryBudget {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_tuple("MemoryBudget")
            .field(&self.limits)
            .finish()
    }
}

impl MemoryBudget {
    /// Creates a budget of which nothing is used.
    pub fn new(limits: Limits, on_event: OnMemoryEvent) -> Self {
        Self {
            limits,
            ledger: Shards::single(Ledger::new(limits)),
            released: Notify::new(),
            started: Instant::now(),
            on_event,
        }
    }

    /// Returns the limits.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns the bytes that use room, and the number of open connections.
    pub fn usage(&self) -> (u64, usize) {
        self.with(|ledger, _| {
            (
                queries::used_room_bytes(ledger),
                queries::open_connections(ledger),
            )
        })
    }

    /// Adds a caller's connection. `None` if there are too many and none can make place; it has to be closed then.
    pub fn open(self: &Arc<Self>, source: IpAddr) -> Option<OpenConnection> {
        let signal = Arc::new(watch::channel(Demand::None).0);
        let handle = Arc::clone(&signal);
        let opened = self.with(|ledger, now_ms| commands::open(ledger, source, handle, now_ms));
        let Some(opened) = opened else {
            (self.on_event)(MemoryEvent::NotAccepted, source, 0);
            return None;
        };
        if let Some(eviction) = opened.evicted {
            eviction.handle.send_replace(Demand::Close);
            (self.on_event)(MemoryEvent::Replaced, eviction.source, eviction.held_bytes);
        }
        Some(OpenConnection(Arc::new(CallerConnection {
            budget: Arc::clone(self),
            id: opened.id,
            source,
            signal,
        })))
    }

    /// Evicts callers that make too little progress while room is scarce.
    pub fn evict_slow(&self) {
        let evictions = self.with(commands::evict_slow);
        self.signal_evictions(&evictions, MemoryEvent::TooSlow);
    }

    fn signal_evictions(&self, evictions: &[Eviction<Signal>], event: MemoryEvent) {
        for eviction in evictions {
            // A request whose body is being received can still be refused; in all other cases nothing can be sent.
            let demand = match eviction.phase {
                Phase::Receiving => Demand::StopReceiving,
                Phase::Open | Phase::Serving => Demand::Close,
            };
            eviction.handle.send_replace(demand);
            (self.on_event)(event, eviction.source, eviction.held_bytes);
        }
    }

    fn with<Output, Work>(&self, work: Work) -> Output
    where
        Work: FnOnce(&mut Ledger<Signal>, u64) -> Output,
    {
        let now_ms = self.started.elapsed().as_millis() as u64;
        self.ledger.with(0, |ledger| work(ledger, now_ms))
    }
}

/// An open connection; dropping it means that it is closed.
#[derive(Debug)]
pub struct OpenConnection(Arc<CallerConnection>);

impl OpenConnection {
    /// Returns the connection, for its requests.
    pub fn connection(&self) -> &Arc<CallerConnection> {
        &self.0
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let id = self.0.id;
        self.0.budget.with(|ledger, _| commands::close(ledger, id));
    }
}

/// A caller's connection, with what is held for it.
#[derive(Debug)]
pub struct CallerConnection {
    budget: Arc<MemoryBudget>,
    id: ConnectionId,
    source: IpAddr,
    signal: Signal,
}

impl CallerConnection {
    /// Records that a request or a response begins.
    pub fn begin_phase(&self, phase: Phase) {
        self.with(|ledger, now_ms| commands::begin_phase(ledger, self.id, phase, now_ms));
    }

    /// Records the account that the connection's request belongs to.
    pub fn assign_account(&self, account: Option<&str>) {
        self.with(|ledger, _| commands::assign_account(ledger, self.id, account));
    }

    /// Holds `bytes` bytes, which may wait for evicted connections; `None` if there is no room.
    pub(crate) async fn hold(self: &Arc<Self>, bytes: u64) -> Option<Hold> {
        let mut hold = Hold {
            connection: Arc::clone(self),
            bytes: 0,
        };
        hold.grow_to(bytes).await.then_some(hold)
    }

    /// Stops an upload that makes too little progress; called while other requests wait for slots.
    pub(crate) fn evict_if_slow(&self) {
        let eviction = self.with(|ledger, now_ms| commands::evict_if_slow(ledger, self.id, now_ms));
        let evictions: Vec<_> = eviction.into_iter().collect();
        self.budget
            .signal_evictions(&evictions, MemoryEvent::HoldsSlot);
    }

    /// Waits until the body must no longer be received.
    pub(crate) async fn must_stop_receiving(&self) {
        self.demanded(Demand::StopReceiving).await;
    }

    /// Returns whether the connection was evicted. It serves no further request then, since nothing is held for it any more.
    pub fn is_evicted(&self) -> bool {
        *self.signal.borrow() != Demand::None
    }

    /// Waits until the connection must be closed.
    pub async fn must_close(&self) {
        self.demanded(Demand::Close).await;
    }

    async fn demanded(&self, least: Demand) {
        let mut receiver = self.signal.subscribe();
        // The sender belongs to the connection, so it can't have been dropped.
        let _ = receiver.wait_for(|demand| *demand >= least).await;
    }

    fn with<Output, Work>(&self, work: Work) -> Output
    where
        Work: FnOnce(&mut Ledger<Signal>, u64) -> Output,
    {
        self.budget.with(work)
    }
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        self.with(|ledger, _| commands::remove(ledger, self.id));
    }
}

/// Bytes that are held for a connection; dropping it releases them.
#[derive(Debug)]
pub(crate) struct Hold {
    connection: Arc<CallerConnection>,
    bytes: u64,
}

impl Hold {
    /// Holds at least `bytes` bytes in all; returns whether there was room.
    pub(crate) async fn grow_to(&mut self, bytes: u64) -> bool {
        let Some(additional_bytes) = bytes.checked_sub(self.bytes).filter(|more| *more > 0) else {
            return true;
        };
        let budget = Arc::clone(&self.connection.budget);
        let until = Instant::now() + Duration::from_millis(RELEASE_WAIT_MS);
        loop {
            // Registered before the attempt, so that no release in between is missed.
            let released = budget.released.notified();
            let id = self.connection.id;
            let reservation = budget
                .with(|ledger, now_ms| commands::reserve(ledger, id, additional_bytes, now_ms));
            let waits = match reservation {
                Reservation::Granted => {
                    self.bytes = bytes;
                    return true;
                }
                Reservation::Pending(evictions) => {
                    budget.signal_evictions(&evictions, MemoryEvent::Evicted);
                    timeout_at(until.into(), released).await.is_ok()
                }
                Reservation::Refused => false,
            };
            if !waits {
                (budget.on_event)(MemoryEvent::Refused, self.connection.source, self.bytes);
                return false;
            }
        }
    }

    /// Returns `data`, which keeps the bytes held until it is dropped.
    pub(crate) fn attach_to(self, data: Bytes) -> Bytes {
        Bytes::from_owner(HeldBytes { data, _hold: self })
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        let (id, bytes) = (self.connection.id, self.bytes);
        self.connection
            .with(|ledger, _| commands::release(ledger, id, bytes));
        self.connection.budget.released.notify_waiters();
    }
}

/// Data with the hold that counts it.
struct HeldBytes {
    data: Bytes,
    _hold: Hold,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

/// A body whose progress is recorded, and what its connection waits for.
pub struct MeasuredBody {
    body: BoxedBody,
    connection: Arc<CallerConnection>,
    /// What the connection waits for while the body has no data, and while its data is processed.
    phases: (Phase, Phase),
    is_waiting: bool,
}

impl MeasuredBody {
    /// Measures a request's body, for whose data the caller is awaited.
    pub fn of_request(body: BoxedBody, connection: &Arc<CallerConnection>) -> Self {
        Self::new(body, connection, (Phase::Receiving, Phase::Serving))
    }

    /// Measures a response's body, for whose data the server is awaited, and the caller while it is sent.
    pub fn of_response(body: BoxedBody, connection: &Arc<CallerConnection>) -> Self {
        Self::new(body, connection, (Phase::Serving, Phase::Open))
    }

    fn new(body: BoxedBody, connection: &Arc<CallerConnection>, phases: (Phase, Phase)) -> Self {
        Self {
            body,
            connection: Arc::clone(connection),
            phases,
            is_waiting: false,
        }
    }
}

impl Body for MeasuredBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        let (was_waiting, is_waiting) = (self.is_waiting, polled.is_pending());
        self.is_waiting = is_waiting;
        let (while_waiting, otherwise) = self.phases;
        let phase = if is_waiting { while_waiting } else { otherwise };
        let received_bytes = match &polled {
            Poll::Ready(Some(Ok(frame))) => frame.data_ref().map_or(0, Bytes::len),
            _ => 0,
        };
        let id = self.connection.id;
        self.connection.with(|ledger, now_ms| {
            if was_waiting != is_waiting {
                commands::enter_phase(ledger, id, phase, now_ms);
            }
            if received_bytes > 0 {
                commands::record_progress(ledger, id, received_bytes as u64, now_ms);
            }
        });
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
