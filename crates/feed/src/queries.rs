//! Queries: the list as a view, and what another instance is told.

use {
    crate::{state::Lists, Feed},
    member::{queries as roster_queries, View},
    std::time::Duration,
    tokio::time::timeout,
    wire::{
        convert,
        generated::{SyncAnswer, SyncAsk},
    },
};

/// Age given for a list that was never whole, in milliseconds; a day.
pub(crate) const NEVER_WHOLE_MS: u64 = 86_400_000;

/// Indexes the lists.
pub(crate) fn view(lists: &Lists) -> View {
    roster_queries::view(&lists.roster)
}

/// Tells whether the list of servers was known whole at some time.
pub fn is_complete(feed: &Feed) -> bool {
    feed.lists.with(0, |lists| lists.as_of_ms.is_some())
}

/// Returns the time since both the list of servers and the configuration were heard of the platform, in milliseconds.
pub fn source_age_ms(feed: &Feed) -> u64 {
    let now_ms = feed.now_ms();
    let as_of_ms = feed.lists.with(0, |lists| {
        let list_ms = lists.as_of_ms?;
        lists
            .config_as_of_ms
            .map(|config_ms| config_ms.min(list_ms))
    });
    as_of_ms.map_or(NEVER_WHOLE_MS, |as_of_ms| now_ms.saturating_sub(as_of_ms))
}

/// Tells another instance what changed, as soon as something has or the time that it gives has passed.
pub async fn sync_answer(feed: &Feed, ask: &SyncAsk) -> SyncAnswer {
    let mut changed = feed.changed.subscribe();
    let known_list = if ask.feed == feed.id {
        ask.known_list
    } else {
        0
    };
    let wait = async {
        while !has_news(feed, ask.known_version, known_list) {
            if changed.changed().await.is_err() {
                return;
            }
        }
    };
    // Without news the answer still tells how old what is known is.
    let _ = timeout(Duration::from_millis(ask.wait_ms), wait).await;
    let now_ms = feed.now_ms();
    let delta = feed.lists.with(0, |lists| {
        roster_queries::delta(&lists.roster, known_list, now_ms)
    });
    SyncAnswer {
        config: (feed.hooks.config_answer)(ask.known_version),
        ..convert::sync_answer(&delta, feed.id, source_age_ms(feed))
    }
}

fn has_news(feed: &Feed, known_version: u64, known_list: u64) -> bool {
    let list_version = feed
        .lists
        .with(0, |lists| roster_queries::list_version(&lists.roster));
    list_version != known_list || (feed.hooks.config_version)() > known_version
}
