//! Writes this instance's record to the platform, and deletes it.

use {
    crate::{
        commands::{
            era::{observe_era, wait_for_announcement},
            publish_view,
        },
        queries::era_changes,
        Feed,
    },
    log::{info, warn},
    member::commands::apply_instance_report,
    serde_json::json,
    std::{
        sync::{atomic::Ordering, Arc},
        time::Duration,
    },
    tokio::time::sleep,
    types::EraObservation,
};

/// Mean of the first pause after an unconfirmed write, in milliseconds; doubles each time. Jitter varies a pause by up
/// to half its mean.
const RETRY_FIRST_MS: u64 = 300;
/// Longest mean of a pause after an unconfirmed write, in milliseconds; calls count towards a rate limit that all
/// instances share.
const RETRY_MAX_MS: u64 = 5_000;

/// Writes the record until it is confirmed, and once more each time the store has lost records.
pub async fn announce(feed: Arc<Feed>) {
    feed.state.with(0, |state| {
        apply_instance_report(&mut state.roster, &feed.own);
    });
    publish_view(&feed);
    while !feed.is_leaving.load(Ordering::SeqCst) {
        let announced_changes = write_own_record(&feed).await;
        let line = json!({ "belief": "announced", "instance": feed.own.name });
        info!(target: "decision.belief", "{line}");
        wait_for_announcement(&feed, announced_changes).await;
    }
}

/// Writes the record until it is confirmed; returns the number of changes of the store's era up to which it is there.
async fn write_own_record(feed: &Feed) -> u64 {
    let mut pause_ms = RETRY_FIRST_MS;
    loop {
        let (sent_ms, sent_changes) = (feed.now_ms(), era_changes(feed));
        match (feed.source.announce)(&feed.own).await {
            Ok(era) => match observe_era(feed, era, sent_ms, "announcement") {
                EraObservation::Changed => return era_changes(feed),
                EraObservation::Unchanged => return sent_changes,
                EraObservation::Outdated => {}
            },
            Err(error) => warn!("failed to announce this instance: {error}"),
        }
        sleep(Duration::from_millis(
            pause_ms / 2 + fastrand::u64(0..=pause_ms),
        ))
        .await;
        pause_ms = (pause_ms * 2).min(RETRY_MAX_MS);
    }
}

/// Marks this instance as leaving, so that its pools move to other instances, and tries once to delete its record. If
/// that fails, other instances detect its absence through failed calls.
pub async fn withdraw(feed: &Feed) {
    feed.is_leaving.store(true, Ordering::SeqCst);
    let own = feed.current_instance();
    feed.state
        .with(0, |state| apply_instance_report(&mut state.roster, &own));
    publish_view(feed);
    if let Err(error) = (feed.source.withdraw)(&feed.own.name).await {
        warn!("failed to withdraw this instance: {error}");
    }
}
