//! The state of a feed, and the callbacks through which it uses the node.

use {
    crate::{
        queries::UNKNOWN_AGE_MS,
        transfer::{ConfigPatch, PatchStore, Uploads},
    },
    futures_util::future::BoxFuture,
    member::{Instance, Presence, Roster, View},
    std::{
        collections::{HashMap, HashSet, VecDeque},
        net::SocketAddr,
        sync::{
            atomic::{AtomicBool, Ordering},
            Arc,
        },
    },
    stream::{PublishedConfig, Source},
    tokio::sync::watch,
    types::{Shards, StoreEra},
    wire::generated::{ConfigPartRequest, ConfigPartResponse, SyncRequest, SyncResponse},
};

/// Sends a sync request to another instance; returns none if it does not respond within a timeout in milliseconds.
pub type SyncPeer = Box<
    dyn Fn(Instance, SyncRequest, u64) -> BoxFuture<'static, Option<SyncResponse>> + Send + Sync,
>;

/// Requests a part of a configuration from another instance; returns none if it does not respond within a timeout in
/// milliseconds.
pub type RequestConfigPart = Box<
    dyn Fn(Instance, ConfigPartRequest, u64) -> BoxFuture<'static, Option<ConfigPartResponse>>
        + Send
        + Sync,
>;

/// Activates a configuration, and returns the changes from the version that was active before.
pub type ActivateConfig = Box<dyn Fn(&PublishedConfig) -> Option<ConfigPatch> + Send + Sync>;

/// Activates the version that results from changes; returns why they can't be applied.
pub type ActivatePatch = Box<dyn Fn(&ConfigPatch) -> Result<(), String> + Send + Sync>;

/// Callbacks through which a feed uses the node.
pub struct Hooks {
    /// Returns the time of a clock that also counts while the machine is suspended, in milliseconds.
    pub now_ms: Box<dyn Fn() -> u64 + Send + Sync>,
    /// Sends a sync request to another instance.
    pub sync_peer: SyncPeer,
    /// Returns whether the instance of that name must not be called now because of recent failures.
    pub is_in_backoff: Box<dyn Fn(&str) -> bool + Send + Sync>,
    /// Returns the version of the active configuration; 0 before the first.
    pub active_config_version: Box<dyn Fn() -> u64 + Send + Sync>,
    /// Activates a configuration read from the platform, unless it or a newer one is active; returns the changes from the
    /// version that was active before.
    pub activate_config: ActivateConfig,
    /// Requests a part of a configuration from another instance.
    pub request_config_part: RequestConfigPart,
    /// Activates the version that results from the changes that another instance sent.
    pub activate_patch: ActivatePatch,
    /// Returns the whole active configuration, as changes of the empty document.
    pub whole_config: Box<dyn Fn() -> Option<ConfigPatch> + Send + Sync>,
    /// Returns whether this instance owns pools, and so must learn of leaving servers in time.
    pub owns_pools: Box<dyn Fn() -> bool + Send + Sync>,
    /// Passes a changed membership view to the node.
    pub publish_view: Box<dyn Fn(Arc<View>) + Send + Sync>,
}

/// What the list of servers was made from.
///
/// Changes apply only to the list that they were made for. Changes of several sources, applied in the order of their
/// arrival, could restore a server that is gone or drop one that has returned.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum ListBase {
    /// There is no list yet.
    #[default]
    Empty,
    /// The platform's list and changes.
    Platform,
    /// Another instance's list.
    Peer {
        /// Id of that instance's feed.
        feed: u64,
        /// Version of its list.
        version: u64,
    },
}

/// A version of the configuration that other instances have and this one doesn't.
#[derive(Clone, Debug)]
pub(crate) struct Announcement {
    pub(crate) version: u64,
    /// Time as of which that version was current, in milliseconds of the feed's clock.
    pub(crate) as_of_ms: u64,
    /// Offset at which a read of the platform continues after that version.
    pub(crate) offset: Option<u64>,
    /// Instances that have the version, in the order in which they are asked for it.
    pub(crate) sources: VecDeque<Instance>,
}

/// The platform's directory of sources.
#[derive(Clone, Debug, Default)]
pub(crate) struct Directory {
    /// The listed instances.
    pub(crate) view: View,
    /// Number of instances in the fleet, as far as it is known; 0 if it is not.
    pub(crate) fleet_instances: usize,
}

/// The mutable state of a feed.
#[derive(Debug, Default)]
pub(crate) struct FeedState {
    pub(crate) roster: Roster,
    /// View of the roster; rebuilt with each change.
    pub(crate) view: Arc<View>,
    /// Whether other instances get changes from this one; recomputed with each change of the view.
    pub(crate) is_source: bool,
    /// Digest of the roster; recomputed with each change.
    pub(crate) digest: u64,
    /// Digest of the roster's servers; recomputed with each change.
    pub(crate) server_digest: u64,
    /// Whether a full list of instances was received.
    pub(crate) has_instance_list: bool,
    /// The platform's directory of sources, as last read; none before the first read of one that is not empty.
    pub(crate) directory: Option<Arc<Directory>>,
    /// Whether the directory did not have the fleet's size when it was first read: all instances had just started, and none
    /// of them had seen a server leave.
    pub(crate) is_new_fleet: bool,
    /// Earliest time at which this instance may change the directory again, in milliseconds of the feed's clock.
    pub(crate) directory_check_ms: u64,
    /// What the list of servers was made from.
    pub(crate) base: ListBase,
    /// Time at which another instance's list was last applied, in milliseconds of the feed's clock; 0 before the first.
    pub(crate) peer_list_ms: u64,
    /// For each peer that did not respond: its consecutive failures, and the end of its sync backoff in milliseconds.
    pub(crate) sync_backoffs: HashMap<String, (u32, u64)>,
    /// Time at which the server list was current, in milliseconds of the feed's clock; none before the first full list.
    pub(crate) servers_as_of_ms: Option<u64>,
    /// Time at which the configuration was current, in milliseconds of the feed's clock; none before the first one.
    pub(crate) config_as_of_ms: Option<u64>,
    /// Offset at which a read of the platform's configuration continues after the active version, if known.
    pub(crate) config_offset: Option<u64>,
    /// Former versions, each with the time at which it was last known to be current, in milliseconds of the feed's clock.
    pub(crate) superseded: VecDeque<(u64, u64)>,
    /// A newer version that other instances have.
    pub(crate) announced: Option<Announcement>,
    /// Changes of configurations for other instances.
    pub(crate) patches: PatchStore,
    /// Instances that receive changes from this one.
    pub(crate) uploads: Uploads,
    /// Lists whose last read failed while this instance reads the platform.
    pub(crate) failing_lists: HashSet<&'static str>,
    /// Earliest time at which this instance may stop reading the platform, in milliseconds of the feed's clock.
    pub(crate) read_until_ms: u64,
    /// Era of the store's data.
    pub(crate) store_era: StoreEra,
    /// Number of changes of that era when the directory was last read.
    pub(crate) directory_changes: u64,
    /// Time until which instances that are missing from the store's list are kept, in milliseconds of the feed's clock: their
    /// announcements may be lost.
    pub(crate) keep_instances_until_ms: u64,
}

/// Keeps an instance's configuration, server list and instance list up to date.
pub struct Feed {
    /// Record of this instance, as it is announced.
    pub own: Instance,
    /// Addresses of instances to sync with while no other instance is known.
    pub(crate) seeds: Vec<SocketAddr>,
    /// Random id of this process. A list version is only meaningful together with the id of the feed that assigned it.
    pub id: u64,
    pub(crate) source: Source,
    pub(crate) hooks: Hooks,
    /// Time at which the feed was created, in milliseconds of the node's clock.
    pub(crate) created_ms: u64,
    /// Where this instance stands among those that start at the same time and have to read the platform, 0 to 1.
    pub(crate) start_position: f64,
    pub(crate) state: Shards<FeedState>,
    /// Counter that wakes waiting tasks; increases with each change of the list or the configuration, and when a list
    /// can no longer be read.
    pub(crate) changed: watch::Sender<u64>,
    /// Whether this instance is leaving, which its sync requests then report.
    pub(crate) is_leaving: AtomicBool,
    /// Whether this instance reads the platform; the tasks that read the lists wait for it.
    pub(crate) reads_platform: watch::Sender<bool>,
    /// Number of changes of the store's era; wakes the task that announces this instance.
    pub(crate) era_changes: watch::Sender<u64>,
}

impl Feed {
    /// Creates a feed that knows only its own instance.
    pub fn new(own: Instance, seeds: &[SocketAddr], source: Source, hooks: Hooks) -> Self {
        Self {
            seeds: seeds.to_vec(),
            own,
            id: fastrand::u64(1..),
            source,
            created_ms: (hooks.now_ms)(),
            start_position: fastrand::f64(),
            state: Shards::new(1),
            changed: watch::channel(0).0,
            is_leaving: AtomicBool::new(false),
            reads_platform: watch::channel(false).0,
            era_changes: watch::channel(0).0,
            hooks,
        }
    }

    /// Returns this instance's record with its current presence.
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
    pub(crate) fn uptime_ms(&self) -> u64 {
        (self.hooks.now_ms)().saturating_sub(self.created_ms)
    }

    /// Returns the time of the feed's clock, in milliseconds. It starts late enough for the times of data that is older
    /// than the feed.
    pub(crate) fn now_ms(&self) -> u64 {
        UNKNOWN_AGE_MS + self.uptime_ms()
    }
}
