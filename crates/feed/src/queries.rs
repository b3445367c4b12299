//! Queries: the age of the data, and responses to other instances' sync requests.

mod age;
mod transfer;

pub use self::age::{
    config_age_ms, has_instance_list, has_server_list, is_config_current,
    is_instance_list_complete, source_age_ms,
};

pub(crate) use self::{
    age::{
        as_of_ms, config_as_of_ms, first_read_spread_ms, has_fresh_data, is_initialized,
        is_small_fleet, known_instances, response_as_of_ms, superseded_as_of_ms,
        until_config_refresh_ms, until_server_refresh_ms, CONFIG_LIST, REFRESH_AGE_MS, SERVER_LIST,
        STALE_AFTER_MS, STARTUP_SYNC_MS, UNKNOWN_AGE_MS,
    },
    transfer::find_patch,
};

use {
    self::age::{age_ms, is_failing, server_age_ms},
    crate::{
        state::{FeedState, ListBase},
        Feed,
    },
    member::{queries as roster_queries, Delta, Instance},
    std::time::Duration,
    tokio::time::timeout,
    wire::{
        convert::{self, encode_instance, encode_removed_server},
        generated::{SyncRequest, SyncResponse},
    },
};

/// By how much this instance's data must be newer than the requester's for the response to a sync request to be sent at
/// once, in milliseconds. The refreshed age then passes from instance to instance without adding up their waits.
const REFRESH_STEP_MS: u64 = 500;

/// Waits until a configuration and a full list of servers were received, for `timeout_ms` at most.
pub async fn wait_until_initialized(feed: &Feed, timeout_ms: u64) {
    let mut changed = feed.changed.subscribe();
    let wait = async { while !is_initialized(feed) && changed.changed().await.is_ok() {} };
    // The caller checks the state itself, so a timeout is no error here.
    let _ = timeout(Duration::from_millis(timeout_ms), wait).await;
}

/// Returns the newest era of the store's data that is known, and how often the store has lost records since the start of the
/// process.
pub fn store_era(feed: &Feed) -> (Option<u64>, u64) {
    feed.state.with(0, |state| {
        (state.store_era.known(), state.store_era.changes())
    })
}

/// Returns how often the store has lost records since the start of the process.
pub(crate) fn era_changes(feed: &Feed) -> u64 {
    store_era(feed).1
}

/// Returns whether the list of servers was made from what this instance read from the platform.
pub(crate) fn is_from_platform(feed: &Feed) -> bool {
    feed.state.with(0, |state| state.base == ListBase::Platform)
}

/// Returns the instances from which this one gets changes, in order of preference, by the list of instances or, before that
/// is known, by the directory of sources. Returns an empty list if this instance reads the platform for others, and none if
/// it knows neither.
pub(crate) fn known_sources(feed: &Feed) -> Option<Vec<Instance>> {
    let own = &feed.own;
    feed.state.with(0, |state| {
        let sources = if state.has_instance_list {
            roster_queries::sync_sources(&state.view, &own.name)
        } else {
            let directory = state.directory.as_deref()?;
            roster_queries::listed_sources(&directory.view, &own.name, &own.data_centre)
        };
        Some(sources.into_iter().cloned().collect())
    })
}

/// Returns whether other instances get changes from this one.
pub(crate) fn is_source(feed: &Feed, state: &FeedState) -> bool {
    let own = feed.own.name.as_str();
    if state.has_instance_list {
        return roster_queries::is_sync_source(&state.view, own);
    }
    let listed = state.directory.as_deref();
    listed.is_some_and(|listed| roster_queries::find_instance(&listed.view, own).is_some())
}

/// Returns a request for what another instance has newer than this one; the other may wait `wait_ms` for a change.
pub(crate) fn sync_request(feed: &Feed, wait_ms: u64) -> SyncRequest {
    let now_ms = feed.now_ms();
    let own = encode_instance(&feed.current_instance());
    let known_version = (feed.hooks.active_config_version)();
    feed.state.with(0, |state| {
        let (from_feed, known_list) = match state.base {
            ListBase::Peer { feed, version } => (feed, version),
            ListBase::Empty | ListBase::Platform => (0, 0),
        };
        let announced = state.announced.as_ref().map_or(0, |it| it.version);
        let refused = roster_queries::refused_removals(&state.roster);
        SyncRequest {
            known_version,
            announced_version: announced.max(known_version),
            config_age_ms: age_ms(state.config_as_of_ms, now_ms),
            feed: from_feed,
            known_list,
            wait_ms,
            own,
            list_digest: state.digest,
            server_digest: state.server_digest,
            known_age_ms: age_ms(state.servers_as_of_ms, now_ms),
            refused_servers: refused.iter().map(encode_removed_server).collect(),
            store_era: state.store_era.known(),
        }
    })
}

/// Returns the changes for another instance's sync request, as soon as there are any or the request's wait has passed. A
/// requester whose list is as new as this one gets no list, which version 0 stands for, but the instances that changed. One
/// that has no other instance's list gets the removals of servers in any case.
pub async fn sync_response(feed: &Feed, request: &SyncRequest) -> SyncResponse {
    let received_ms = feed.now_ms();
    let mut changed = feed.changed.subscribe();
    let requester = Requester::new(feed, request);
    let wait = async { while !has_news(feed, &requester) && changed.changed().await.is_ok() {} };
    // Without news, the response still reports the age of the data.
    let _ = timeout(Duration::from_millis(request.wait_ms), wait).await;
    let now_ms = feed.now_ms();
    // Taken before the contents, which may be refreshed at any time.
    let server_age_ms = server_age_ms(feed);
    let config_age_ms = config_age_ms(feed);
    let config_version = (feed.hooks.active_config_version)();
    let mut delta = feed.state.with(0, |state| {
        if state.servers_as_of_ms <= Some(requester.servers_as_of_ms) {
            return instance_delta(state, request, &requester);
        }
        // One that has received every change and yet has other servers needs the full list.
        let is_different = requester.list_version == roster_queries::list_version(&state.roster)
            && request.server_digest != state.server_digest;
        let since = if is_different {
            0
        } else {
            requester.list_version
        };
        let delta = roster_queries::delta(&state.roster, since, now_ms);
        if request.server_digest == state.server_digest {
            // It has the same servers from elsewhere, which are most of the list.
            return without_servers(delta);
        }
        delta
    });
    if request.feed == 0 {
        delta.gone_servers = feed
            .state
            .with(0, |state| roster_queries::recent_removals(&state.roster));
    }
    let (config_offset, superseded_age_ms, store_era) = feed.state.with(0, |state| {
        let mut superseded = state.superseded.iter();
        let known = superseded.find(|(version, _)| *version == request.known_version);
        (
            state.config_offset,
            known.map(|(_, until_ms)| now_ms.saturating_sub(*until_ms)),
            state.store_era.known(),
        )
    });
    SyncResponse {
        config_version,
        config_age_ms,
        config_offset,
        superseded_age_ms,
        store_era,
        waited_ms: now_ms.saturating_sub(received_ms),
        ..convert::encode_delta(&delta, feed.id, server_age_ms)
    }
}

/// Returns the full list as the changes for a requester that has the same servers, and changes as they are.
fn without_servers(delta: Delta) -> Delta {
    if !delta.is_full {
        return delta;
    }
    Delta {
        is_full: false,
        servers: Vec::new(),
        ..delta
    }
}

/// Returns the changes of the instances for a requester whose list of servers is as new as this one.
fn instance_delta(state: &FeedState, request: &SyncRequest, requester: &Requester) -> Delta {
    let instance_digest = state.digest ^ state.server_digest;
    if request.list_digest ^ request.server_digest == instance_digest {
        return Delta::default();
    }
    let delta = roster_queries::delta(&state.roster, requester.list_version, 0);
    Delta {
        instances: delta.instances,
        gone_instances: delta.gone_instances,
        ..Delta::default()
    }
}

/// What the instance that sent a sync request has.
struct Requester {
    /// Version of its configuration.
    config_version: u64,
    /// Newest version that it has heard of.
    announced_version: u64,
    /// Latest time as of which its configuration may be current, in milliseconds of this feed's clock.
    config_as_of_ms: u64,
    /// Version of this feed's list that it has; 0 if it has another list.
    list_version: u64,
    /// Latest time as of which its list may be current, in milliseconds of this feed's clock.
    servers_as_of_ms: u64,
}

impl Requester {
    /// Determines what the requester has. It has the current list if its list has the same digest.
    fn new(feed: &Feed, request: &SyncRequest) -> Self {
        let now_ms = feed.now_ms();
        let list_version = feed.state.with(0, |state| {
            if request.feed == feed.id {
                request.known_list
            } else if request.list_digest == state.digest {
                roster_queries::list_version(&state.roster)
            } else {
                0
            }
        });
        Self {
            config_version: request.known_version,
            announced_version: request.announced_version.max(request.known_version),
            config_as_of_ms: now_ms.saturating_sub(request.config_age_ms),
            list_version,
            servers_as_of_ms: now_ms.saturating_sub(request.known_age_ms),
        }
    }
}

/// Returns whether a sync request should be answered now: with the announcement of a newer configuration, with changes of
/// the list or data that was refreshed since, or with the report that this instance fails to read the platform. A requester
/// whose list is as new as this one waits, since it could not use this one, and so does one that fetches the configuration.
fn has_news(feed: &Feed, requester: &Requester) -> bool {
    if requester.config_version == 0 && !is_initialized(feed) {
        // Both instances have just started. An incomplete response would make the requester turn to another instance,
        // although the rest arrives soon.
        return feed.state.with(0, |state| !state.failing_lists.is_empty());
    }
    let now_ms = feed.now_ms();
    let version = (feed.hooks.active_config_version)();
    let has_usable_age = version == requester.config_version;
    let has_news = feed.state.with(0, |state| {
        let servers_ms = state.servers_as_of_ms.unwrap_or(0);
        let (mut as_of_ms, mut known_ms) = (servers_ms, requester.servers_as_of_ms);
        if has_usable_age {
            as_of_ms = as_of_ms.min(state.config_as_of_ms.unwrap_or(0));
            known_ms = known_ms.min(requester.config_as_of_ms);
        }
        let has_changes = roster_queries::list_version(&state.roster) != requester.list_version;
        let is_refreshed = as_of_ms >= known_ms + REFRESH_STEP_MS;
        is_failing(state, SERVER_LIST, now_ms)
            || is_failing(state, CONFIG_LIST, now_ms)
            || is_refreshed
            || (has_changes && servers_ms > requester.servers_as_of_ms)
    });
    has_news || version > requester.announced_version
}
