//! The state of one node.
//!
//! Invariant: no lock is held over an await; what is read often and changed rarely (the list, the version
//! in force) is an immutable value that is swapped whole.

use {
    crate::{metrics::Metrics, Settings},
    arc_swap::{ArcSwap, ArcSwapOption},
    claim::{ClaimReplica, KeyTable},
    config::{AcceptedConfig, ApplyOutcome, ConfigReplica, DocumentIndex},
    entry::StoredResponse,
    feed::Feed,
    jsonrpsee::ws_client::WsClient,
    member::{PeerBackoffs, View},
    outlier::EjectionReplica,
    owner::Pools,
    std::{
        collections::{HashMap, VecDeque},
        sync::{
            atomic::{AtomicU64, AtomicU8, Ordering},
            Arc, OnceLock,
        },
        time::{Instant, SystemTime, UNIX_EPOCH},
    },
    stream::{Batcher, PlatformClient},
    tokio::sync::{watch, Notify, OnceCell},
    types::Shards,
};

/// Streams that claims are spread over.
pub(crate) const CLAIM_STREAM_COUNT: usize = 16;
/// Shards of state that is keyed by name or digest.
const SHARD_COUNT: usize = 16;

/// Where a node stands between its start and its end.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[repr(u8)]
pub enum Stage {
    /// Has not learnt a configuration yet.
    Starting = 0,
    /// Takes callers.
    Running = 1,
    /// Is not ready any more but still takes callers.
    Draining = 2,
    /// Takes no new callers and finishes what is in flight.
    Stopping = 3,
}

/// How the config stream took a record that this node appended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AppliedRecord {
    pub(crate) nonce: u64,
    pub(crate) offset: u64,
    pub(crate) outcome: ApplyOutcome,
}

/// The fold of the config stream with what this node adds.
#[derive(Debug, Default)]
pub(crate) struct ConfigState {
    pub(crate) replica: ConfigReplica,
    pub(crate) recent_outcomes: VecDeque<AppliedRecord>,
    pub(crate) last_snapshot_ms: u64,
    pub(crate) gap_since_ms: Option<u64>,
}

/// The version in force with the index over its document.
#[derive(Debug)]
pub(crate) struct ActiveConfig {
    pub(crate) accepted: AcceptedConfig,
    pub(crate) lookup: DocumentIndex,
}

/// A connection to a peer, made once by whoever needs it first.
pub(crate) type LazyClient = Arc<OnceCell<Arc<WsClient>>>;

/// A peer that this node talked to lately.
#[derive(Debug, Default)]
pub(crate) struct PeerConnection {
    pub(crate) client: LazyClient,
    pub(crate) last_used_ms: u64,
}

/// What this instance alone knows of a backend server.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LocalServerState {
    pub(crate) in_flight: u32,
    pub(crate) consecutive_failures: u32,
    pub(crate) avoid_until_ms: u64,
    /// Until when it is not asked for, since no connection to it could be opened, in milliseconds.
    pub(crate) unreachable_until_ms: u64,
}

/// One node.
pub struct Node {
    /// Its settings.
    pub settings: Settings,
    /// Tells this process from an earlier one of the same name.
    pub incarnation: u64,
    pub(crate) started: Instant,
    pub(crate) stage: AtomicU8,
    pub(crate) platform: PlatformClient,
    /// What keeps the lists up to date where the platform keeps them in a store.
    pub(crate) feed: OnceLock<Arc<Feed>>,
    /// When a retry was last allowed without an owner, in milliseconds; 0 before the first.
    pub(crate) last_fallback_retry_ms: AtomicU64,
    /// Wakes the ticks of pools when the first pool is opened.
    pub(crate) pool_opened: Notify,
    pub(crate) view: ArcSwap<View>,
    pub(crate) peer_backoffs: Shards<PeerBackoffs>,
    pub(crate) peers: Shards<HashMap<String, PeerConnection>>,
    pub(crate) config: Shards<ConfigState>,
    pub(crate) active_config: ArcSwapOption<ActiveConfig>,
    pub(crate) config_changed: watch::Sender<u64>,
    pub(crate) last_log_read_ms: AtomicU64,
    pub(crate) ejections: Shards<HashMap<String, EjectionReplica>>,
    pub(crate) claim_tables: Shards<ClaimReplica>,
    pub(crate) claim_batchers: Vec<Batcher>,
    pub(crate) keys: Shards<KeyTable<StoredResponse>>,
    pub(crate) keys_changed: watch::Sender<u64>,
    pub(crate) local_servers: Shards<HashMap<String, LocalServerState>>,
    /// Pools that this node owns or owned until lately.
    pub(crate) pools: Pools,
    pub(crate) metrics: Metrics,
}

impl Node {
    /// Creates a node; must be called inside a runtime, for the claim batchers' tasks.
    ///
    /// # Errors
    ///
    /// The metrics can't be registered, which is a fault of this program.
    pub fn new(settings: Settings) -> Result<Self, prometheus::Error> {
        let incarnation = fastrand::u64(1..);
        let platform = PlatformClient::new(settings.platform_address);
        let batcher = |number| {
            Batcher::new(
                platform.clone(),
                claim_stream_name(number),
                settings.instance.clone(),
                incarnation,
            )
        };
        Ok(Self {
            claim_batchers: (0..CLAIM_STREAM_COUNT).map(batcher).collect(),
            incarnation,
            started: Instant::now(),
            stage: AtomicU8::new(Stage::Starting as u8),
            feed: OnceLock::new(),
            last_fallback_retry_ms: AtomicU64::new(0),
            pool_opened: Notify::new(),
            view: ArcSwap::default(),
            peer_backoffs: Shards::new(SHARD_COUNT),
            peers: Shards::new(SHARD_COUNT),
            config: Shards::new(1),
            active_config: ArcSwapOption::empty(),
            config_changed: watch::channel(0).0,
            last_log_read_ms: AtomicU64::new(0),
            ejections: Shards::new(SHARD_COUNT),
            claim_tables: Shards::new(CLAIM_STREAM_COUNT),
            keys: Shards::new(SHARD_COUNT),
            keys_changed: watch::channel(0).0,
            local_servers: Shards::new(SHARD_COUNT),
            pools: Pools::new(SHARD_COUNT),
            metrics: Metrics::new()?,
            platform,
            settings,
        })
    }

    /// Returns the time since the process started, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Returns where the node stands.
    pub fn stage(&self) -> Stage {
        match self.stage.load(Ordering::SeqCst) {
            0 => Stage::Starting,
            1 => Stage::Running,
            2 => Stage::Draining,
            _ => Stage::Stopping,
        }
    }

    /// Moves the node on; it never goes back.
    pub(crate) fn advance_stage(&self, stage: Stage) {
        self.stage.fetch_max(stage as u8, Ordering::SeqCst);
    }
}

/// Returns the wall clock, in milliseconds since 1970.
pub(crate) fn unix_time_ms() -> u64 {
    // A clock before 1970 was never set; ages reckoned from it are wrong in any case.
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}

/// Returns the name of a claim stream.
pub(crate) fn claim_stream_name(number: usize) -> String {
    format!("claims-{number:02}")
}
