//! Shared state of one node.
//!
//! Invariant: no lock is held across an await. Values that are read often and change rarely (the membership
//! view, the active configuration) are immutable and replaced atomically as a whole.

use {
    crate::{clock::BootClock, commands::PassedTime, metrics::Metrics, Settings},
    account::KeyIndex,
    arc_swap::{ArcSwap, ArcSwapOption},
    claim::{ClaimReplica, KeyTable},
    config::{AcceptedConfig, ApplyOutcome, ConfigReplica, DocumentIndex},
    entry::StoredResponse,
    feed::Feed,
    jsonrpsee::ws_client::WsClient,
    member::{PeerBackoffs, ServerNotices, View},
    outlier::EjectionReplica,
    owner::Pools,
    permit::{CreditAccount, FleetSize, StallDetector},
    quota::{CreditCache, QuotaLedger, TimeLedger, GROUP_COUNT},
    std::{
        collections::{HashMap, VecDeque},
        sync::{
            atomic::{AtomicU64, AtomicU8, Ordering},
            Arc, OnceLock,
        },
        time::{SystemTime, UNIX_EPOCH},
    },
    stream::{Batcher, PlatformClient},
    tokio::sync::{watch, Notify, OnceCell},
    types::Shards,
};

/// Number of log streams over which claims are distributed.
pub(crate) const CLAIM_STREAM_COUNT: usize = 16;
/// Number of shards for state that is keyed by name or digest.
const SHARD_COUNT: usize = 16;

/// Lifecycle stage of a node; stages only advance.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[repr(u8)]
pub enum Stage {
    /// No configuration is known yet.
    Starting = 0,
    /// Accepts callers.
    Running = 1,
    /// No longer reports ready, but still accepts callers.
    Draining = 2,
    /// Accepts no new callers and completes the requests in flight.
    Stopping = 3,
}

/// Outcome of a record of the config stream; the nonce identifies the command that appended it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AppliedRecord {
    pub(crate) nonce: u64,
    pub(crate) offset: u64,
    pub(crate) outcome: ApplyOutcome,
}

/// Replica of the config stream's state, with this node's own bookkeeping.
#[derive(Debug, Default)]
pub(crate) struct ConfigState {
    pub(crate) replica: ConfigReplica,
    /// Outcomes of the latest records, oldest first.
    pub(crate) recent_outcomes: VecDeque<AppliedRecord>,
    /// When the log last contained the active document, in an approval or a snapshot, in milliseconds.
    pub(crate) last_snapshot_ms: u64,
    /// When the replica missed trimmed records, in milliseconds; `None` without a gap.
    pub(crate) gap_since_ms: Option<u64>,
}

/// The active configuration version, with the lookup indices of its document.
#[derive(Debug)]
pub(crate) struct ActiveConfig {
    pub(crate) accepted: AcceptedConfig,
    pub(crate) index: DocumentIndex,
    pub(crate) keys: KeyIndex,
}

/// Client of a peer, connected once by the first task that needs it.
pub(crate) type LazyClient = Arc<OnceCell<Arc<WsClient>>>;

/// Connection to a recently called peer.
#[derive(Debug, Default)]
pub(crate) struct PeerConnection {
    pub(crate) client: LazyClient,
    pub(crate) last_used_ms: u64,
}

/// This instance's own observations of a backend server.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LocalServerState {
    pub(crate) in_flight: u32,
    pub(crate) consecutive_failures: u32,
    /// End of the period in which the server is avoided after consecutive failures, in milliseconds.
    pub(crate) avoid_until_ms: u64,
    /// End of the period in which the server is excluded because connecting to it failed, in milliseconds.
    pub(crate) unreachable_until_ms: u64,
}

/// State that the front ends, the RPC server and the background tasks of a node share.
pub struct Node {
    /// Settings with which the node was started.
    pub settings: Settings,
    /// Distinguishes this process from earlier ones with the same instance name.
    pub incarnation: u64,
    pub(crate) clock: BootClock,
    pub(crate) stage: AtomicU8,
    pub(crate) platform: PlatformClient,
    /// Keeps the list of members and the configuration up to date; set only if the platform keeps them in a store.
    pub(crate) feed: OnceLock<Arc<Feed>>,
    /// Credit for retries that this instance issues, by service.
    pub(crate) credit_accounts: Shards<HashMap<String, CreditAccount>>,
    /// Number of instances among which the retry slack is divided.
    pub(crate) fleet_size: Shards<FleetSize>,
    /// Time that this instance has passed on for servers with limits, by service.
    pub(crate) passed_times: Shards<HashMap<String, PassedTime>>,
    /// Time that this instance has passed on for the quotas of accounts.
    pub(crate) quota_time: Shards<TimeLedger>,
    /// Time and credit that this instance holds as the owner of pools, by group of accounts.
    pub(crate) quota_caches: Shards<CreditCache>,
    /// Time and credit that this instance holds as a quota owner, by group of accounts.
    pub(crate) quota_ledgers: Shards<QuotaLedger>,
    /// Notified when a call of a group's quota owner ends, by group of accounts.
    pub(crate) quota_calls: [Notify; GROUP_COUNT],
    /// Detects that this process stood still.
    pub(crate) stall_detector: Shards<StallDetector>,
    /// Wakes the maintenance of pools, which sleeps while this node owns none; notified when a pool is opened.
    pub(crate) pool_opened: Notify,
    /// Instances and backend servers that the platform lists.
    pub(crate) view: ArcSwap<View>,
    pub(crate) peer_backoffs: Shards<PeerBackoffs>,
    /// Connections to other instances, by instance name.
    pub(crate) peers: Shards<HashMap<String, PeerConnection>>,
    pub(crate) config: Shards<ConfigState>,
    /// `None` until a configuration is known.
    pub(crate) active_config: ArcSwapOption<ActiveConfig>,
    /// Incremented after each valid record of the config stream, and each version merged from another source.
    pub(crate) config_changed: watch::Sender<u64>,
    /// Time of the last read of the config stream, in milliseconds.
    pub(crate) last_log_read_ms: AtomicU64,
    /// Replicas of the ejection streams, by service.
    pub(crate) ejections: Shards<HashMap<String, EjectionReplica>>,
    /// Replicas of the claim streams, by number.
    pub(crate) claim_replicas: Shards<ClaimReplica>,
    /// Writers of the claim streams, by number.
    pub(crate) claim_batchers: Vec<Batcher>,
    /// Idempotency keys of the requests on this instance, with the stored responses.
    pub(crate) keys: Shards<KeyTable<StoredResponse>>,
    /// Incremented each time a request with a key ends and its state in `keys` is final.
    pub(crate) keys_changed: watch::Sender<u64>,
    /// This instance's own observations, by server name.
    pub(crate) local_servers: Shards<HashMap<String, LocalServerState>>,
    /// What backend servers have told this instance, by server name.
    pub(crate) server_notices: Shards<ServerNotices>,
    /// Pools that this node owns or recently owned.
    pub(crate) pools: Pools,
    pub(crate) metrics: Metrics,
}

impl Node {
    /// Creates a node. Must be called within a Tokio runtime, because the claim batchers spawn tasks.
    ///
    /// # Errors
    ///
    /// The metrics can't be registered, which is a bug.
    pub fn new(settings: Settings) -> Result<Self, prometheus::Error> {
        let incarnation = fastrand::u64(1..);
        let platform = PlatformClient::new(settings.platform_address);
        let batcher = |index| {
            Batcher::new(
                platform.clone(),
                claim_stream_name(index),
                settings.instance.clone(),
                incarnation,
            )
        };
        Ok(Self {
            claim_batchers: (0..CLAIM_STREAM_COUNT).map(batcher).collect(),
            incarnation,
            clock: BootClock::new(),
            stage: AtomicU8::new(Stage::Starting as u8),
            feed: OnceLock::new(),
            credit_accounts: Shards::new(SHARD_COUNT),
            fleet_size: Shards::new(1),
            passed_times: Shards::new(SHARD_COUNT),
            quota_time: Shards::new(1),
            quota_caches: Shards::new(GROUP_COUNT),
            quota_ledgers: Shards::new(GROUP_COUNT),
            quota_calls: std::array::from_fn(|_| Notify::new()),
            stall_detector: Shards::new(1),
            pool_opened: Notify::new(),
            view: ArcSwap::default(),
            peer_backoffs: Shards::new(SHARD_COUNT),
            peers: Shards::new(SHARD_COUNT),
            config: Shards::new(1),
            active_config: ArcSwapOption::empty(),
            config_changed: watch::channel(0).0,
            last_log_read_ms: AtomicU64::new(0),
            ejections: Shards::new(SHARD_COUNT),
            claim_replicas: Shards::new(CLAIM_STREAM_COUNT),
            keys: Shards::new(SHARD_COUNT),
            keys_changed: watch::channel(0).0,
            local_servers: Shards::new(SHARD_COUNT),
            server_notices: Shards::new(SHARD_COUNT),
            pools: Pools::new(SHARD_COUNT),
            metrics: Metrics::new()?,
            platform,
            settings,
        })
    }

    /// Returns the time since the process started, in milliseconds, including the time for which the machine was
    /// suspended.
    pub fn now_ms(&self) -> u64 {
        self.clock.elapsed_ms()
    }

    /// Returns the lifecycle stage.
    pub fn stage(&self) -> Stage {
        match self.stage.load(Ordering::SeqCst) {
            0 => Stage::Starting,
            1 => Stage::Running,
            2 => Stage::Draining,
            _ => Stage::Stopping,
        }
    }

    /// Advances the lifecycle stage; does nothing if the node is already in `stage` or a later one.
    pub(crate) fn advance_stage(&self, stage: Stage) {
        self.stage.fetch_max(stage as u8, Ordering::SeqCst);
    }
}

/// Returns the wall-clock time, in milliseconds since the Unix epoch.
pub(crate) fn unix_time_ms() -> u64 {
    // A clock before the epoch was never set; ages computed from it would be wrong in any case.
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}

/// Returns the name of the claim stream with that number.
pub(crate) fn claim_stream_name(number: usize) -> String {
    format!("claims-{number:02}")
}
