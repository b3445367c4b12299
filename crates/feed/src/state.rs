//! The state of a feed, and what it needs of the node around it.

use {
    futures_util::future::BoxFuture,
    member::{Instance, Presence, Roster, View},
    std::{
        collections::{HashMap, HashSet},
        net::SocketAddr,
        sync::{
            atomic::{AtomicBool, Ordering},
            Arc,
        },
        time::Instant,
    },
    stream::{PublishedConfig, Source},
    tokio::sync::watch,
    types::Shards,
    wire::generated::{ConfigResponse, SyncRequest, SyncResponse},
};

/// Asks another instance what changed; nothing if it did not answer in time, given in milliseconds.
pub type SyncPeer = Box<
    dyn Fn(Instance, SyncRequest, u64) -> BoxFuture<'static, Option<SyncResponse>> + Send + Sync,
>;

/// What a feed needs of the node around it.
pub struct Hooks {
    /// Asks another instance what changed.
    pub sync_peer: SyncPeer,
    /// Tells whether an instance is passed over for now, by its name.
    pub is_in_backoff: Box<dyn Fn(&str) -> bool + Send + Sync>,
    /// Returns the version of the configuration in force; 0 before the first.
    pub active_config_version: Box<dyn Fn() -> u64 + Send + Sync>,
    /// Puts a configuration of the platform in force, unless a newer one is.
    pub activate_config: Box<dyn Fn(&PublishedConfig) + Send + Sync>,
    /// Puts another instance's configuration in force, unless a newer one is.
    pub activate_peer_config: Box<dyn Fn(&ConfigResponse) + Send + Sync>,
    /// Returns the configuration in force if it is newer than a version.
    pub newer_config: Box<dyn Fn(u64) -> Option<ConfigResponse> + Send + Sync>,
    /// Tells whether this instance owns pools, so that a server's leaving must reach it in time.
    pub owns_pools: Box<dyn Fn() -> bool + Send + Sync>,
    /// Takes the list of servers and instances whenever it changed.
    pub publish_view: Box<dyn Fn(Arc<View>) + Send + Sync>,
}

/// What is known of the lists.
#[derive(Debug, Default)]
pub(crate) struct FeedState {
    pub(crate) roster: Roster,
    /// The roster, indexed; made anew with each change.
    pub(crate) view: Arc<View>,
    /// Digest of the roster; made anew with each change.
    pub(crate) digest: u64,
    /// Failures in a row of instances that gave no answer, and until when each is not asked, in milliseconds.
    pub(crate) sync_backoffs: HashMap<String, (u32, u64)>,
    /// As of when the list of servers is known, in milliseconds of the feed's clock; none before the first whole
    /// list.
    pub(crate) servers_as_of_ms: Option<u64>,
    /// As of when the configuration is known, in milliseconds of the feed's clock; none before it was heard of.
    pub(crate) config_as_of_ms: Option<u64>,
    /// Lists whose last reading failed while this instance reads the platform.
    pub(crate) failing_lists: HashSet<&'static str>,
    /// Until when this instance goes on reading the platform, in milliseconds of the feed's clock.
    pub(crate) read_until_ms: u64,
    /// The process that the list was taken from last, and the version of its list.
    pub(crate) last_sync: (u64, u64),
}

/// Keeps an instance's knowledge up to date.
pub struct Feed {
    /// This instance.
    pub own: Instance,
    /// Addresses of instances to ask while no other is known.
    pub(crate) seeds: Vec<SocketAddr>,
    /// Tells this process from others to whom its list's versions mean nothing.
    pub id: u64,
    pub(crate) source: Source,
    pub(crate) hooks: Hooks,
    pub(crate) started: Instant,
    pub(crate) state: Shards<FeedState>,
    /// Rises with each change of the list or the configuration.
    pub(crate) changed: watch::Sender<u64>,
    /// Whether this instance is leaving.
    pub(crate) is_leaving: AtomicBool,
    /// Whether this instance reads the platform.
    pub(crate) reads_platform: watch::Sender<bool>,
}

impl Feed {
    /// Creates a feed that knows only its own instance.
    pub fn new(own: Instance, seeds: &[SocketAddr], source: Source, hooks: Hooks) -> Self {
        Self {
            seeds: seeds.to_vec(),
            own,
            id: fastrand::u64(1..),
            source,
            hooks,
            started: Instant::now(),
            state: Shards::new(1),
            changed: watch::channel(0).0,
            is_leaving: AtomicBool::new(false),
            reads_platform: watch::channel(false).0,
        }
    }

    /// Returns this instance as others are to know it.
    pub(crate) fn current_instance(&self) -> Instance {
        let presence = if self.is_leaving.load(Ordering::SeqCst) {
            Presence::Leaving
        } else {
            Presence::Live
        };
        Instance {
            presence,
            ..self.own.clone()
        }
    }

    /// Returns the time since the feed was created, in milliseconds.
    pub(crate) fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}
