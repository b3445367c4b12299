//! Reacts to the store's return from an older copy of its data, which the store's era shows.
//!
//! Invariant: an offset applies only as long as the number of changes of the era is the one that was known when its read was
//! sent.

use {
    crate::{
        queries::{era_changes, known_instances},
        state::FeedState,
        Feed,
    },
    log::warn,
    member::commands::outlast_rollback,
    serde_json::json,
    std::time::Duration,
    tokio::time::sleep,
    types::EraObservation,
};

/// Time over which the instances spread their announcements after a loss, in milliseconds for each instance of the fleet:
/// an append takes 2 ms, and others need the store at that time as well.
const ANNOUNCE_SPREAD_MS: u64 = 10;
/// Time that instances have to notice a loss and to repeat failed announcements, in milliseconds.
const ANNOUNCE_MARGIN_MS: u64 = 10_000;

/// Records the era that a response to a request sent at `sent_ms` states; `source` is who sent the response. If the store has
/// lost records, discards the known offsets, and has the instances' own records written again.
pub(crate) fn observe_era(
    feed: &Feed,
    stated: Option<u64>,
    sent_ms: u64,
    source: &str,
) -> EraObservation {
    let now_ms = feed.now_ms();
    let observation = feed.state.with(0, |state| {
        let observation = state.store_era.observe(stated, sent_ms, now_ms);
        if observation == EraObservation::Changed {
            start_over(state, now_ms);
        }
        observation
    });
    if observation == EraObservation::Changed {
        report_loss(feed, stated, source);
    }
    observation
}

/// Records a loss that the end offset of a full list shows although its response states no era.
pub(crate) fn observe_end(feed: &Feed, end: u64, known: Option<u64>, list: &str) {
    if known.is_none_or(|known| end >= known) {
        return;
    }
    let now_ms = feed.now_ms();
    feed.state.with(0, |state| {
        state.store_era.record_loss();
        start_over(state, now_ms);
    });
    report_loss(feed, None, list);
}

/// Discards the known offsets, and keeps what is known of servers and instances.
fn start_over(state: &mut FeedState, now_ms: u64) {
    state.config_offset = None;
    if let Some(announced) = state.announced.as_mut() {
        announced.offset = None;
    }
    outlast_rollback(&mut state.roster, now_ms);
    state.keep_instances_until_ms = now_ms + announce_spread_ms(state) + ANNOUNCE_MARGIN_MS;
}

/// Logs a loss, and wakes the task that announces this instance.
fn report_loss(feed: &Feed, era: Option<u64>, source: &str) {
    let (losses, spread_ms) = feed.state.with(0, |state| {
        (state.store_era.changes(), announce_spread_ms(state))
    });
    let line = json!({
        "event": "store has lost records",
        "era": era,
        "from": source,
        "losses": losses,
        "announces_within_ms": spread_ms,
    });
    warn!(target: "decision.dependency", "{line}");
    feed.era_changes.send_replace(losses);
}

/// Returns the time over which the fleet's announcements are spread after a loss, in milliseconds.
fn announce_spread_ms(state: &FeedState) -> u64 {
    known_instances(state) as u64 * ANNOUNCE_SPREAD_MS
}

/// Waits until the store has lost records since the given number of changes of its era, then for this instance's part of the
/// time over which the announcements are spread.
pub(crate) async fn wait_for_announcement(feed: &Feed, announced_changes: u64) {
    let mut changes = feed.era_changes.subscribe();
    // The sender is in the feed, so the channel is not closed.
    let _ = changes
        .wait_for(|changes| *changes != announced_changes)
        .await;
    let spread_ms = feed.state.with(0, |state| announce_spread_ms(state));
    sleep(Duration::from_millis(fastrand::u64(0..=spread_ms))).await;
}

/// Returns whether a response can't be used: it was made before a loss that is known now, or may belong to another era than
/// the offset that it was read from, `sent_changes` being the number of changes when its request was sent.
pub(crate) fn is_void(
    feed: &Feed,
    observation: EraObservation,
    is_from_offset: bool,
    states_era: bool,
    sent_changes: u64,
) -> bool {
    let has_changed = era_changes(feed) != sent_changes;
    observation == EraObservation::Outdated || (has_changed && (is_from_offset || !states_era))
}
