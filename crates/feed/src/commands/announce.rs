//! Writes this instance's record, and takes it back.

use {
    crate::{commands::publish_view, Feed},
    log::{info, warn},
    member::commands::apply_instance_report,
    serde_json::json,
    std::{
        sync::{atomic::Ordering, Arc},
        time::Duration,
    },
    tokio::time::sleep,
};

/// First pause after a write that was not confirmed, in milliseconds; doubles, with jitter.
const RETRY_FIRST_MS: u64 = 300;
/// Longest pause after a write that was not confirmed, in milliseconds; calls count against a rate that all
/// instances share.
const RETRY_MAX_MS: u64 = 5_000;

/// Writes the record until it is confirmed.
pub async fn announce(feed: Arc<Feed>) {
    feed.state.with(0, |state| {
        apply_instance_report(&mut state.roster, &feed.own);
    });
    publish_view(&feed);
    let mut pause_ms = RETRY_FIRST_MS;
    while let Err(error) = (feed.source.announce)(&feed.own).await {
        warn!("announcing this instance: {error}");
        sleep(Duration::from_millis(
            pause_ms / 2 + fastrand::u64(0..=pause_ms),
        ))
        .await;
        pause_ms = (pause_ms * 2).min(RETRY_MAX_MS);
    }
    info!(target: "decision.belief", "{}", json!({ "belief": "announced", "instance": feed.own.name }));
}

/// Takes the record back once; if that fails others find out by themselves. Pools of this instance go to others.
pub async fn withdraw(feed: &Feed) {
    feed.is_leaving.store(true, Ordering::SeqCst);
    let own = feed.current_instance();
    feed.state
        .with(0, |state| apply_instance_report(&mut state.roster, &own));
    publish_view(feed);
    if let Err(error) = (feed.source.withdraw)(&feed.own.name).await {
        warn!("withdrawing this instance: {error}");
    }
}
