//! Queries: the age of the data, and responses to other instances' sync requests.

mod age;

pub use self::age::{has_server_list, source_age_ms};

pub(crate) use self::age::{
    as_of_ms, data_age_ms, response_as_of_ms, until_config_refresh_ms, until_server_refresh_ms,
    REFRESH_AGE_MS, STALE_AFTER_MS, STARTUP_SYNC_MS,
};

use {
    self::age::{current_as_of_ms, is_failing, is_initialized},
    crate::Feed,
    member::queries as roster_queries,
    std::time::Duration,
    tokio::time::timeout,
    wire::{
        convert,
        generated::{SyncRequest, SyncResponse},
    },
};

/// By how much the data must have been refreshed since a sync request arrived for the response to be sent at once, in
/// milliseconds. The refreshed age then passes from instance to instance without adding up their waits.
const REFRESH_STEP_MS: u64 = 300;
/// Waits until a configuration and a full list of servers were received, for `timeout_ms` at most.
pub async fn wait_until_initialized(feed: &Feed, timeout_ms: u64) {
    let mut changed = feed.changed.subscribe();
    let wait = async { while !is_initialized(feed) && changed.changed().await.is_ok() {} };
    // The caller checks the state itself, so a timeout is no error here.
    let _ = timeout(Duration::from_millis(timeout_ms), wait).await;
}

/// Returns the changes for another instance's sync request, as soon as there are any or the request's wait has passed.
pub async fn sync_response(feed: &Feed, request: &SyncRequest) -> SyncResponse {
    let received_ms = feed.now_ms();
    let mut changed = feed.changed.subscribe();
    let requester_version = requester_version(feed, request);
    let as_of_ms = feed.state.with(0, |state| current_as_of_ms(state));
    let wait = async {
        while !has_changes(feed, request.known_version, requester_version)
            && !is_refreshed(feed, as_of_ms)
        {
            if changed.changed().await.is_err() {
                return;
            }
        }
    };
    // Without changes, the response still reports the age of the data.
    let _ = timeout(Duration::from_millis(request.wait_ms), wait).await;
    let now_ms = feed.now_ms();
    // Taken before the contents, which may be refreshed at any time.
    let source_age_ms = source_age_ms(feed);
    let delta = feed.state.with(0, |state| {
        roster_queries::delta(&state.roster, requester_version, now_ms)
    });
    SyncResponse {
        config: (feed.hooks.newer_config)(request.known_version),
        waited_ms: now_ms.saturating_sub(received_ms),
        ..convert::encode_delta(&delta, feed.id, source_age_ms)
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
    let now_ms = feed.now_ms();
    let is_changed = feed.state.with(0, |state| {
        is_failing(state, now_ms)
            || roster_queries::list_version(&state.roster) != requester_version
    });
    is_changed || (feed.hooks.active_config_version)() > known_version
}

/// Returns whether the data was refreshed by [`REFRESH_STEP_MS`] since it was current as of `since_ms`.
fn is_refreshed(feed: &Feed, since_ms: Option<u64>) -> bool {
    let as_of_ms = feed.state.with(0, |state| current_as_of_ms(state));
    since_ms
        .zip(as_of_ms)
        .is_some_and(|(since_ms, as_of_ms)| as_of_ms >= since_ms + REFRESH_STEP_MS)
}
