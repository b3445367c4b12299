//! Queries: the age of the data, and responses to other instances' sync requests.

use {
    crate::Feed,
    member::queries as roster_queries,
    std::time::Duration,
    tokio::time::timeout,
    wire::{
        convert,
        generated::{SyncRequest, SyncResponse},
    },
};

/// Age from which data is stale, in milliseconds: an instance then syncs with further peers to get fresher data.
pub(crate) const STALE_AFTER_MS: u64 = 2_500;
/// Age reported until both a configuration and a full list of servers were received, in milliseconds; a day.
pub(crate) const UNKNOWN_AGE_MS: u64 = 86_400_000;

/// Returns whether a full list of servers was ever received.
pub fn has_server_list(feed: &Feed) -> bool {
    feed.state.with(0, |state| state.servers_as_of_ms.is_some())
}

/// Returns whether both a configuration and a full list of servers were received.
fn is_initialized(feed: &Feed) -> bool {
    (feed.hooks.active_config_version)() > 0 && has_server_list(feed)
}

/// Returns the age of the older of server list and configuration, in milliseconds: the time since the platform was
/// read, here or by another instance. While this instance fails to read one of them, the age is at least that of stale
/// data.
pub fn source_age_ms(feed: &Feed) -> u64 {
    let now_ms = feed.now_ms();
    let (as_of_ms, is_failing) = feed.state.with(0, |state| {
        let both = state.servers_as_of_ms.zip(state.config_as_of_ms);
        let as_of_ms = both.map(|(list_ms, config_ms)| list_ms.min(config_ms));
        (as_of_ms, !state.failing_lists.is_empty())
    });
    let age_ms = as_of_ms.map_or(UNKNOWN_AGE_MS, |as_of_ms| now_ms.saturating_sub(as_of_ms));
    // Data counts as stale as soon as a read fails, so that other instances need not wait until it has aged.
    age_ms.max(if is_failing { STALE_AFTER_MS } else { 0 })
}

/// Waits until a configuration and a full list of servers were received, for `timeout_ms` at most.
pub async fn wait_until_initialized(feed: &Feed, timeout_ms: u64) {
    let mut changed = feed.changed.subscribe();
    let wait = async { while !is_initialized(feed) && changed.changed().await.is_ok() {} };
    // The caller checks the state itself, so a timeout is no error here.
    let _ = timeout(Duration::from_millis(timeout_ms), wait).await;
}

/// Returns the changes for another instance's sync request, as soon as there are any or the request's wait has passed.
pub async fn sync_response(feed: &Feed, request: &SyncRequest) -> SyncResponse {
    let mut changed = feed.changed.subscribe();
    let requester_version = requester_version(feed, request);
    let wait = async {
        while !has_changes(feed, request.known_version, requester_version) {
            if changed.changed().await.is_err() {
                return;
            }
        }
    };
    // Without changes, the response still reports the age of the data.
    let _ = timeout(Duration::from_millis(request.wait_ms), wait).await;
    let now_ms = feed.now_ms();
    let delta = feed.state.with(0, |state| {
        roster_queries::delta(&state.roster, requester_version, now_ms)
    });
    SyncResponse {
        config: (feed.hooks.newer_config)(request.known_version),
        ..convert::encode_delta(&delta, feed.id, source_age_ms(feed))
    }
}

/// Returns the version of this feed's list that the requester has: the one it received from here, or the current one if
/// its list has the same digest; otherwise 0.
fn requester_version(feed: &Feed, request: &SyncRequest) -> u64 {
    if request.feed == feed.id {
        return request.known_list;
    }
    feed.state.with(0, |state| {
        if request.list_digest == state.digest {
            roster_queries::list_version(&state.roster)
        } else {
            0
        }
    })
}

fn has_changes(feed: &Feed, known_version: u64, requester_version: u64) -> bool {
    if known_version == 0 && !is_initialized(feed) {
        // Both instances have just started. An incomplete response would make the requester turn to another instance,
        // although the rest arrives soon.
        return feed.state.with(0, |state| !state.failing_lists.is_empty());
    }
    let is_changed = feed.state.with(0, |state| {
        !state.failing_lists.is_empty()
            || roster_queries::list_version(&state.roster) != requester_version
    });
    is_changed || (feed.hooks.active_config_version)() > known_version
}
