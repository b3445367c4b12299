//! Gets changes from other instances, and decides whether this instance reads the platform itself.

use {
    crate::{
        commands::{apply, directory, era::observe_era},
        queries::{self, REFRESH_AGE_MS, STALE_AFTER_MS, STARTUP_SYNC_MS},
        Feed,
    },
    futures_util::stream::{FuturesUnordered, StreamExt},
    log::info,
    member::Instance,
    serde_json::json,
    std::{sync::Arc, time::Duration},
    tokio::time::{sleep, timeout},
    types::exponential_backoff_ms,
};

/// How long a peer may delay its sync response until it has a change, in milliseconds. Together with [`SYNC_MARGIN_MS`]
/// it bounds the wait for a peer that has stopped responding.
const SYNC_WAIT_MS: u64 = 1_000;
/// Time allowed for a sync response in addition to [`SYNC_WAIT_MS`], in milliseconds: slow instances have a tenth of a
/// core, and a lost packet costs 200 ms.
const SYNC_MARGIN_MS: u64 = 600;
/// The same in a large fleet while this instance has no list: the first one is long, and a source may send it to many at
/// once.
const FIRST_LIST_MARGIN_MS: u64 = 3_000;
/// Sync backoff of a peer after its first missing response, in milliseconds.
const SYNC_BACKOFF_MIN_MS: u64 = 1_500;
/// The same while this instance has no list: sources that start at the same time will soon respond.
const FIRST_LIST_BACKOFF_MS: u64 = 150;
/// Longest sync backoff of a peer, in milliseconds.
const SYNC_BACKOFF_MAX_MS: u64 = 12_000;
/// Random peers asked besides the usual sources while the data is too old.
const RANDOM_PEERS_OLD_DATA: usize = 3;
/// Least time for which an instance reads the platform once it has begun, in milliseconds.
const MIN_READ_MS: u64 = 3_000;
/// Interval at which the first instance in rendezvous order checks whether it still is the first, in milliseconds.
const ROOT_CHECK_MS: u64 = 400;
/// Pause after a round without fresh data, in milliseconds; jitter of up to the same amount is added.
const RETRY_PAUSE_MS: u64 = 300;
/// Pause between rounds during [`STARTUP_SYNC_MS`], in milliseconds.
const STARTUP_PAUSE_MS: u64 = 60;
/// Rounds without a response from any source of the directory after which the list of instances is read.
const SILENT_ROUNDS_MAX: u32 = 2;

/// Runs the sync loop forever.
pub async fn pull(feed: Arc<Feed>) {
    directory::find_first_sources(&feed).await;
    let mut changed = feed.changed.subscribe();
    let mut silent_rounds = 0;
    let mut has_asked = false;
    loop {
        let known = queries::known_sources(&feed);
        let is_root = known.as_ref().is_some_and(Vec::is_empty);
        if is_root {
            set_reading(&feed, true, "first in rendezvous order");
            directory::maintain_directory(&feed).await;
        }
        // The platform's list doesn't contain the servers that left before this instance started; others may know them.
        let must_ask = is_root && !has_asked;
        if is_root && !must_ask && queries::source_age_ms(&feed) < STALE_AFTER_MS {
            // A change of the list may change which instance reads; a timeout is no error here.
            let _ = timeout(Duration::from_millis(ROOT_CHECK_MS), changed.changed()).await;
            // Limits the rate to that of instances that sync with peers.
            sleep(Duration::from_millis(ROOT_CHECK_MS)).await;
            continue;
        }
        // The first list is long, so it is requested from one peer at a time.
        let is_old =
            queries::has_server_list(&feed) && (must_ask || !queries::has_fresh_data(&feed));
        let peers = select_peers(&feed, known.unwrap_or_default(), is_old);
        let outcome = sync_with_any(&feed, &peers, is_old).await;
        has_asked = true;
        let is_fresh = queries::has_fresh_data(&feed);
        // The first configuration arrives after the list, in parts.
        let is_starting = !queries::is_initialized(&feed) && feed.uptime_ms() < STARTUP_SYNC_MS;
        if !is_fresh && is_starting {
            sleep(Duration::from_millis(STARTUP_PAUSE_MS)).await;
            continue;
        }
        follow_if_needed(&feed, is_root, is_fresh);
        silent_rounds = match outcome {
            SyncOutcome::NoResponse => silent_rounds + 1,
            _ => 0,
        };
        // Data that stays old although others have fresh data is on its way already.
        if outcome != SyncOutcome::Fresh || (is_old && !is_fresh) {
            let pause_ms = RETRY_PAUSE_MS + fastrand::u64(0..=RETRY_PAUSE_MS);
            sleep(Duration::from_millis(pause_ms)).await;
        }
        if !queries::has_instance_list(&feed) {
            search_sources(&feed, silent_rounds).await;
        }
    }
}

/// Makes this instance follow the platform, or ends that. Instances on which others depend, for changes or for slots, follow
/// it rather than rely on a stale source. Any other instance reads it when its own data has become too old.
fn follow_if_needed(feed: &Feed, is_root: bool, is_fresh: bool) {
    let is_source = feed.state.with(0, |state| state.is_source);
    let needs_fresh = is_source || (feed.hooks.owns_pools)();
    if needs_fresh && !is_fresh {
        set_reading(feed, true, "no other instance has fresh enough data");
    } else if !is_root {
        set_reading(feed, false, "other instances provide the changes");
    }
}

/// Looks for sources again: in the directory if it is not known yet, and in the list of instances if no source of the
/// directory has responded for some rounds.
async fn search_sources(feed: &Feed, silent_rounds: u32) {
    let has_directory = feed.state.with(0, |state| state.directory.is_some());
    if !has_directory {
        directory::find_sources(feed).await;
    } else if silent_rounds >= SILENT_ROUNDS_MAX {
        directory::read_instances(feed).await;
    }
}

/// Returns the peers to sync with, in order: the designated sources, then a random peer, which may have changes that
/// these lack, or several if this instance's data is too old. Leaves out peers in backoff; returns the seeds if no other
/// peer is left.
fn select_peers(feed: &Feed, preferred: Vec<Instance>, is_old: bool) -> Vec<Instance> {
    let now_ms = feed.now_ms();
    let (view, sync_backoffs) = feed.state.with(0, |state| {
        (Arc::clone(&state.view), state.sync_backoffs.clone())
    });
    let is_usable = |instance: &Instance| {
        let is_in_sync_backoff = sync_backoffs
            .get(&instance.name)
            .is_some_and(|(_, until_ms)| now_ms < *until_ms);
        !is_in_sync_backoff && !(feed.hooks.is_in_backoff)(&instance.name)
    };
    let mut peers = preferred;
    peers.retain(&is_usable);
    let mut others: Vec<&Instance> = member::queries::live_instances(&view)
        .filter(|other| is_usable(other))
        .filter(|other| other.name != feed.own.name && !peers.contains(other))
        .collect();
    let random_count = if is_old { RANDOM_PEERS_OLD_DATA } else { 1 };
    for _ in 0..random_count.min(others.len()) {
        peers.push(others.swap_remove(fastrand::usize(..others.len())).clone());
    }
    if peers.is_empty() {
        let addresses = feed.seeds.iter().copied();
        let seeds = addresses.filter(|address| *address != feed.own.rpc_address);
        peers.extend(seeds.map(|address| Instance::new(&format!("seed {address}"), "", address)));
    }
    peers
}

/// Result of syncing with a peer, worst first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum SyncOutcome {
    /// The peer did not respond in time.
    NoResponse,
    /// The peer's data is too old.
    Stale,
    /// The peer's data is young enough.
    Fresh,
}

/// Syncs with the first peer. If it has no fresh data, syncs with all others concurrently, so that several peers that
/// don't respond cost one timeout. If this instance's data is too old, syncs with all of them at once, without a wait
/// for further changes.
async fn sync_with_any(feed: &Feed, peers: &[Instance], is_old: bool) -> SyncOutcome {
    let Some((first, others)) = peers.split_first() else {
        return SyncOutcome::NoResponse;
    };
    let mut best_outcome = SyncOutcome::NoResponse;
    let (concurrent, wait_ms) = if is_old {
        (peers, 0)
    } else {
        best_outcome = sync_with(feed, first, SYNC_WAIT_MS).await;
        (others, SYNC_WAIT_MS)
    };
    if best_outcome == SyncOutcome::Fresh {
        return best_outcome;
    }
    let mut outcomes: FuturesUnordered<_> = concurrent
        .iter()
        .map(|peer| sync_with(feed, peer, wait_ms))
        .collect();
    while let Some(outcome) = outcomes.next().await {
        best_outcome = best_outcome.max(outcome);
        if best_outcome == SyncOutcome::Fresh {
            break;
        }
    }
    best_outcome
}

/// Syncs with one peer, which may wait `wait_ms` for a change, and applies its response.
async fn sync_with(feed: &Feed, peer: &Instance, wait_ms: u64) -> SyncOutcome {
    let request = queries::sync_request(feed, wait_ms);
    let is_short = feed.state.with(0, |state| {
        state.servers_as_of_ms.is_some() || queries::is_small_fleet(state)
    });
    let margin_ms = if is_short {
        SYNC_MARGIN_MS
    } else {
        FIRST_LIST_MARGIN_MS
    };
    let timeout_ms = wait_ms + margin_ms;
    let sent_ms = feed.now_ms();
    let responding = (feed.hooks.sync_peer)(peer.clone(), request.clone(), timeout_ms);
    let Some(response) = responding.await else {
        record_no_response(feed, &peer.name);
        return SyncOutcome::NoResponse;
    };
    feed.state
        .with(0, |state| state.sync_backoffs.remove(&peer.name));
    // A lower era only says that the peer has not noticed a loss yet; its list is ordered by its age.
    observe_era(feed, response.store_era, sent_ms, &peer.name);
    let list_ms = queries::response_as_of_ms(&response, sent_ms);
    let config_ms = queries::config_as_of_ms(&response, sent_ms);
    apply::peer_config(feed, peer, &request, &response, sent_ms);
    apply::peer_list(feed, &request, &response, list_ms);
    let now_ms = feed.now_ms();
    match list_ms.zip(config_ms) {
        Some((list_ms, config_ms))
            if now_ms.saturating_sub(list_ms.min(config_ms)) < REFRESH_AGE_MS =>
        {
            SyncOutcome::Fresh
        }
        _ => SyncOutcome::Stale,
    }
}

/// Starts or doubles the sync backoff of a peer that did not respond. It is longer than the backoff for slot requests,
/// because waiting for such a peer delays every change.
fn record_no_response(feed: &Feed, name: &str) {
    let now_ms = feed.now_ms();
    let first_ms = if queries::has_server_list(feed) {
        SYNC_BACKOFF_MIN_MS
    } else {
        FIRST_LIST_BACKOFF_MS
    };
    feed.state.with(0, |state| {
        let (failures, until_ms) = state.sync_backoffs.entry(name.to_owned()).or_default();
        *until_ms = now_ms + exponential_backoff_ms(first_ms, *failures, SYNC_BACKOFF_MAX_MS);
        *failures += 1;
    });
}

/// Starts or stops reading the platform. Once begun, reading continues for [`MIN_READ_MS`], since a single read may
/// return outdated state.
fn set_reading(feed: &Feed, is_reader: bool, reason: &str) {
    let now_ms = feed.now_ms();
    let must_continue = feed.state.with(0, |state| {
        if is_reader {
            state.read_until_ms = now_ms + MIN_READ_MS;
        }
        now_ms < state.read_until_ms
    });
    if !is_reader && must_continue {
        return;
    }
    let is_changed = feed
        .reads_platform
        .send_if_modified(|known| std::mem::replace(known, is_reader) != is_reader);
    if is_changed {
        let age_ms = queries::source_age_ms(feed);
        let line = json!({ "belief": "reads the platform", "holds": is_reader, "reason": reason, "age_ms": age_ms });
        info!(target: "decision.belief", "{line}");
    }
}
