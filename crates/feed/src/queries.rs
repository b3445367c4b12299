//! Queries: how old what is known is, and what another instance is told.

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

/// Age from which another instance's list is no news, in milliseconds.
pub(crate) const STALE_AFTER_MS: u64 = 2_500;
/// Age given for a list that was never whole, in milliseconds; a day.
pub(crate) const UNKNOWN_AGE_MS: u64 = 86_400_000;

/// Tells whether the list of servers was known whole at some time.
pub fn has_server_list(feed: &Feed) -> bool {
    feed.state.with(0, |state| state.servers_as_of_ms.is_some())
}

/// Tells whether both a configuration and a whole list of servers are known.
fn is_initialized(feed: &Feed) -> bool {
    (feed.hooks.active_config_version)() > 0 && has_server_list(feed)
}

/// Returns the time since both the list of servers and the configuration were heard of the platform, in milliseconds.
pub fn source_age_ms(feed: &Feed) -> u64 {
    let now_ms = feed.now_ms();
    let (as_of_ms, is_failing) = feed.state.with(0, |state| {
        let both = state.servers_as_of_ms.zip(state.config_as_of_ms);
        let as_of_ms = both.map(|(list_ms, config_ms)| list_ms.min(config_ms));
        (as_of_ms, !state.failing_lists.is_empty())
    });
    let age_ms = as_of_ms.map_or(UNKNOWN_AGE_MS, |as_of_ms| now_ms.saturating_sub(as_of_ms));
    // Whoever fails to read says so at once, so that others need not wait until its news are old.
    age_ms.max(if is_failing { STALE_AFTER_MS } else { 0 })
}

/// Waits until a configuration and a whole list of servers are known, for `limit_ms` at most.
pub async fn wait_until_initialized(feed: &Feed, limit_ms: u64) {
    let mut changed = feed.changed.subscribe();
    let wait = async { while !is_initialized(feed) && changed.changed().await.is_ok() {} };
    // Who waits looks for itself at what is known then.
    let _ = timeout(Duration::from_millis(limit_ms), wait).await;
}

/// Tells another instance what changed, as soon as something has or the time that it gives has passed.
pub async fn sync_response(feed: &Feed, request: &SyncRequest) -> SyncResponse {
    let mut changed = feed.changed.subscribe();
    let known_list = known_list(feed, request);
    let wait = async {
        while !has_news(feed, request.known_version, known_list) {
            if changed.changed().await.is_err() {
                return;
            }
        }
    };
    // Without news the answer still tells how old what is known is.
    let _ = timeout(Duration::from_millis(request.wait_ms), wait).await;
    let now_ms = feed.now_ms();
    let delta = feed.state.with(0, |state| {
        roster_queries::delta(&state.roster, known_list, now_ms)
    });
    SyncResponse {
        config: (feed.hooks.newer_config)(request.known_version),
        ..convert::encode_delta(&delta, feed.id, source_age_ms(feed))
    }
}

/// The version of this feed's list that the asker has: the one it took, or the present one if its list is the same.
fn known_list(feed: &Feed, request: &SyncRequest) -> u64 {
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

fn has_news(feed: &Feed, known_version: u64, known_list: u64) -> bool {
    if known_version == 0 && !is_initialized(feed) {
        // Both have just started: half of the news would send the asker elsewhere, and the rest is on its way.
        return feed.state.with(0, |state| !state.failing_lists.is_empty());
    }
    let is_changed = feed.state.with(0, |state| {
        !state.failing_lists.is_empty() || roster_queries::list_version(&state.roster) != known_list
    });
    is_changed || (feed.hooks.active_config_version)() > known_version
}
