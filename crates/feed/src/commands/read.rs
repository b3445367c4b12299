//! Reads the platform's lists while this instance is one of the readers, and whenever its data has become too old.
//!
//! Invariant: an instance that the platform answers holds no configuration or list of servers older than
//! [`queries::REFRESH_AGE_MS`] and the duration of a read, whatever other instances do. One on which others depend reads
//! sooner, so that they need not.

use {
    crate::{
        commands::{
            apply,
            era::{is_void, observe_end, observe_era},
            notify_waiters,
        },
        queries::{self, as_of_ms, era_changes, CONFIG_LIST, SERVER_LIST},
        Feed,
    },
    log::{info, warn},
    member::{
        queries::{has_missing_server, has_returning_server, server_count},
        BackendServer,
    },
    serde_json::json,
    std::{future::Future, sync::Arc, time::Duration},
    stream::{Cursor, ListUpdate, ReadError, ReadList},
    tokio::{
        sync::watch,
        time::{sleep, timeout},
    },
    types::{exponential_backoff_ms, EraObservation},
};

/// How long a read of the configuration or the servers waits for a change, in milliseconds. It bounds the time until an
/// unresponsive platform is noticed, since a change must be active everywhere within two seconds.
const READ_WAIT_MS: u64 = 500;
/// How long a read of the instances waits for a change, in milliseconds.
const INSTANCE_WAIT_MS: u64 = 1_500;
/// Least time between reads of the configuration, in milliseconds; short, as configurations may follow one another
/// quickly.
const CONFIG_INTERVAL_MS: u64 = 100;
/// Least time between reads of the servers, in milliseconds. It limits the calls, as servers report all the time, but a
/// leaving server must be known everywhere within two seconds.
const SERVER_INTERVAL_MS: u64 = 400;
/// Least time between reads of the instances, in milliseconds.
const INSTANCE_INTERVAL_MS: u64 = 400;
/// Time beyond its wait after which a read counts as failing although it may still be answered, in milliseconds. Other
/// instances then turn to another source before this read has timed out.
const LATE_AFTER_MS: u64 = 300;
/// Longest pause after the first failed read of an instance that follows the platform, in milliseconds; doubles with each
/// further failure. Jitter takes up to half of it away.
const RETRY_FIRST_MS: u64 = 200;
/// Longest pause after a failed read, in milliseconds; rejected calls are charged for too.
const RETRY_MAX_MS: u64 = 1_600;
/// Jitter of the pause after a failed refresh, in milliseconds; instances refresh their data at different times anyway.
const REFRESH_JITTER_MS: u64 = 100;
/// Interval of the servers' heartbeats, in milliseconds; the changes of a longer time are more than the full list.
const HEARTBEAT_MS: u64 = 1_500;
/// Records for each server that are read of the history, those of 12 s. A late write is executed up to 6 s after the server
/// sent it, and the record then lapses after 4.5 s.
const HISTORY_RECORDS: u64 = 8;
/// The same after a removal, which is at most a few seconds old.
const REMOVAL_RECORDS: u64 = 3;
/// Size from which a read of changes is logged, in bytes.
const LARGE_READ_BYTES: u64 = 16_384;
/// Shortest time until the age of a list is checked again, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 50;
/// Longest time until it is checked again before the first list, in milliseconds.
const START_CHECK_MS: u64 = 100;

/// How one of the platform's lists is read.
#[derive(Clone, Copy, Debug)]
struct ListOptions {
    name: &'static str,
    /// How long a read waits for a change, in milliseconds.
    wait_ms: u64,
    /// Least time from the begin of a successful read to that of the next one, in milliseconds.
    min_interval_ms: u64,
    /// Whether a failure to read it is reported at once to waiting sync requests.
    is_urgent: bool,
    /// Returns whether the full list has to be read instead of the changes since the last read, which was made that many
    /// milliseconds ago.
    needs_full: fn(&Feed, u64) -> bool,
    /// Returns the offset up to which other instances have told this one the contents, if any.
    known_offset: fn(&Feed) -> Option<u64>,
    /// Returns the time until the list has to be read although this instance does not follow the platform, in
    /// milliseconds; none if it only has to be read while it does.
    until_refresh_ms: fn(&Feed) -> Option<u64>,
}

/// Follows the configuration whenever this instance reads the platform, and reads it whenever it has become too old.
pub async fn read_configuration(feed: Arc<Feed>) {
    let list = ListOptions {
        name: CONFIG_LIST,
        wait_ms: READ_WAIT_MS,
        min_interval_ms: CONFIG_INTERVAL_MS,
        is_urgent: true,
        needs_full: |_, _| false,
        known_offset: |feed| feed.state.with(0, |state| state.config_offset),
        until_refresh_ms: queries::until_config_refresh_ms,
    };
    let apply_update = |update: &ListUpdate<_>, as_of_ms| {
        apply::configuration(&feed, update, as_of_ms);
        true
    };
    read_list(&feed, list, &feed.source.configuration, apply_update).await;
}

/// Follows the list of servers whenever this instance reads the platform, and reads it whenever it has become too old.
pub async fn read_servers(feed: Arc<Feed>) {
    let list = ListOptions {
        name: SERVER_LIST,
        wait_ms: READ_WAIT_MS,
        min_interval_ms: SERVER_INTERVAL_MS,
        is_urgent: true,
        needs_full: |feed, since_ms| since_ms > HEARTBEAT_MS || !queries::is_from_platform(feed),
        known_offset: |_| None,
        until_refresh_ms: queries::until_server_refresh_ms,
    };
    let apply_update = |update: &ListUpdate<_>, as_of_ms| apply::servers(&feed, update, as_of_ms);
    let reading = Arc::clone(&feed);
    let read: ReadList<BackendServer> = Box::new(move |cursor| {
        let feed = Arc::clone(&reading);
        Box::pin(async move {
            let update = (feed.source.servers)(cursor).await?;
            if needs_history(&feed, &update) {
                read_history(&feed, &update, HISTORY_RECORDS).await;
            } else if removes_unseen(&feed, &update) {
                // The removals apply without delay; only a later report is compared with the history.
                let (feed, update) = (Arc::clone(&feed), update.clone());
                tokio::spawn(async move { read_history(&feed, &update, REMOVAL_RECORDS).await });
            }
            Ok(update)
        })
    });
    read_list(&feed, list, &read, apply_update).await;
}

/// Returns whether the update may contain a report that the server sent before its removal: a removed server would return,
/// or this instance has just started and knows of no removals. If a large fleet starts again, the platform can't send the
/// history to all, so only instances that follow the platform read it then, and none if the fleet is new.
fn needs_history(feed: &Feed, update: &ListUpdate<BackendServer>) -> bool {
    let follows = *feed.reads_platform.borrow();
    let reports = update.changes.iter().filter_map(|it| it.value.as_ref());
    feed.state.with(0, |state| {
        let is_first = state.servers_as_of_ms.is_none();
        let must_know_removals =
            is_first && !state.is_new_fleet && (follows || queries::is_small_fleet(state));
        must_know_removals || has_returning_server(&state.roster, reports)
    })
}

/// Returns whether the update is a full list that lacks known servers, so that their last reports before the removal may not
/// have been seen. Only instances that follow the platform read the history then, and others learn of it from them.
fn removes_unseen(feed: &Feed, update: &ListUpdate<BackendServer>) -> bool {
    let follows = *feed.reads_platform.borrow();
    let names = update.changes.iter().map(|change| change.name.as_str());
    follows
        && update.is_full
        && feed
            .state
            .with(0, |state| has_missing_server(&state.roster, names))
}

/// Reads the part of the list's history that precedes the end of `update`, `records` for each server, and applies the removals
/// in it. If it can't be read, the update applies as it is.
async fn read_history(feed: &Feed, update: &ListUpdate<BackendServer>, records: u64) {
    let known = feed.state.with(0, |state| server_count(&state.roster));
    let end = update.next_offset;
    let servers = known.max(update.changes.len()) as u64;
    let mut from = end.saturating_sub(servers * records);
    while from < end {
        let cursor = Cursor {
            from: Some(from),
            wait_ms: 0,
        };
        match (feed.source.servers)(cursor).await {
            // Offsets of another era belong to other records.
            Ok(history) if history.era != update.era => return,
            Ok(history) if history.next_offset > from => {
                from = history.next_offset;
                apply::history(feed, &history);
            }
            // The platform has not kept that much.
            Err(ReadError::Trimmed { .. }) => from = end - (end - from) / 2,
            Ok(_) => return,
            Err(error) => return warn!("failed to read the history of the servers: {error}"),
        }
    }
}

/// Follows the list of instances whenever this instance reads the platform.
pub async fn read_instances(feed: Arc<Feed>) {
    let list = ListOptions {
        name: "instances",
        wait_ms: INSTANCE_WAIT_MS,
        min_interval_ms: INSTANCE_INTERVAL_MS,
        is_urgent: false,
        needs_full: |_, _| false,
        known_offset: |_| None,
        until_refresh_ms: |_| None,
    };
    let apply_update = |update: &ListUpdate<_>, _| {
        apply::instances(&feed, update);
        true
    };
    read_list(&feed, list, &feed.source.instances, apply_update).await;
}

/// Why a list is read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Purpose {
    /// This instance follows the platform.
    Follow,
    /// The list has become too old, although this instance does not follow the platform.
    Refresh,
}

/// How far a list has been read.
#[derive(Clone, Copy, Debug, Default)]
struct Progress {
    /// Offset at which the next read begins; none for the full list.
    from: Option<u64>,
    /// Whether the next read is of the full list, whatever others have told this instance.
    must_be_full: bool,
    /// Time of the last successful read, in milliseconds.
    read_ms: u64,
    /// Failed reads since then.
    failures: u32,
    /// Number of changes of the store's era up to which the offset applies.
    era_changes: u64,
}

/// Reads a list whenever there is a purpose. All reads of a list are made here, one after the other, so that none of them
/// undoes a later one.
async fn read_list<Value, Apply>(
    feed: &Feed,
    list: ListOptions,
    read: &ReadList<Value>,
    apply_update: Apply,
) where
    Apply: Fn(&ListUpdate<Value>, u64) -> bool,
{
    let mut is_reader = feed.reads_platform.subscribe();
    let mut progress = Progress::default();
    loop {
        let Some(purpose) = wait_for_purpose(feed, list, &mut is_reader).await else {
            return;
        };
        let pause_ms = read_once(feed, list, purpose, &mut progress, read, &apply_update).await;
        if !*is_reader.borrow() {
            // A list that is not followed does not count as failing.
            set_list_failing(feed, list, false);
        }
        let pause = Duration::from_millis(pause_ms);
        match purpose {
            Purpose::Follow => sleep(pause).await,
            // Others may come to depend on this instance during the pause, which then ends.
            Purpose::Refresh => {
                let _ = timeout(pause, is_reader.wait_for(|is_reader| *is_reader)).await;
            }
        }
    }
}

/// Waits until the list has to be read; returns none if the feed ends.
async fn wait_for_purpose(
    feed: &Feed,
    list: ListOptions,
    is_reader: &mut watch::Receiver<bool>,
) -> Option<Purpose> {
    loop {
        if *is_reader.borrow() {
            return Some(Purpose::Follow);
        }
        let until_refresh_ms = (list.until_refresh_ms)(feed);
        if until_refresh_ms == Some(0) {
            return Some(Purpose::Refresh);
        }
        let following = is_reader.wait_for(|is_reader| *is_reader);
        let followed = match until_refresh_ms {
            Some(until_ms) => {
                let until_ms = if queries::has_server_list(feed) {
                    until_ms.max(CHECK_INTERVAL_MS)
                } else {
                    // The fleet's size, which the time depends on, may become known.
                    until_ms.clamp(CHECK_INTERVAL_MS, START_CHECK_MS)
                };
                timeout(Duration::from_millis(until_ms), following).await
            }
            None => Ok(following.await),
        };
        if let Ok(Err(_)) = followed {
            return None;
        }
    }
}

/// Reads the changes, or the full list, and applies them, for which `apply_update` returns false if the full list has to be
/// read instead; returns the pause until the next read, in milliseconds.
async fn read_once<Value, Apply>(
    feed: &Feed,
    list: ListOptions,
    purpose: Purpose,
    progress: &mut Progress,
    read: &ReadList<Value>,
    apply_update: &Apply,
) -> u64
where
    Apply: Fn(&ListUpdate<Value>, u64) -> bool,
{
    let sent_ms = feed.now_ms();
    let sent_changes = era_changes(feed);
    if progress.era_changes != sent_changes {
        (progress.from, progress.era_changes) = (None, sent_changes);
        progress.must_be_full = true;
    }
    let needs_full =
        progress.must_be_full || (list.needs_full)(feed, sent_ms.saturating_sub(progress.read_ms));
    let known = progress.from.max((list.known_offset)(feed));
    let cursor = Cursor {
        from: known.filter(|_| !needs_full),
        wait_ms: if purpose == Purpose::Follow {
            list.wait_ms
        } else {
            0
        },
    };
    let result = read_and_report(feed, list, purpose, read(cursor)).await;
    log_read(list, purpose, cursor, &result, feed.now_ms() - sent_ms);
    let (stated, observation) = match &result {
        Ok(ListUpdate { era, .. }) | Err(ReadError::Trimmed { era, .. }) => {
            (*era, observe_era(feed, *era, sent_ms, list.name))
        }
        Err(_) => (None, EraObservation::Unchanged),
    };
    if let Ok(update) = &result {
        if update.is_full && update.era.is_none() {
            observe_end(feed, update.next_offset, progress.from, list.name);
        }
    }
    let is_from_offset = cursor.from.is_some();
    match result {
        Ok(_)
            if is_void(
                feed,
                observation,
                is_from_offset,
                stated.is_some(),
                sent_changes,
            ) =>
        {
            progress.must_be_full = true;
            0
        }
        Ok(update) => {
            if progress.failures > 0 {
                log_dependency(list.name, "regained", progress.failures);
            }
            let now_ms = feed.now_ms();
            *progress = Progress {
                from: Some(update.next_offset),
                must_be_full: false,
                read_ms: now_ms,
                failures: 0,
                era_changes: era_changes(feed),
            };
            let is_applied = apply_update(&update, as_of_ms(&cursor, &update, sent_ms, now_ms));
            set_list_failing(feed, list, false);
            if is_applied {
                list.min_interval_ms.saturating_sub(now_ms - sent_ms)
            } else {
                progress.must_be_full = true;
                CHECK_INTERVAL_MS
            }
        }
        // The store doesn't have the offset, so the full list is read next.
        Err(ReadError::Trimmed { .. }) if cursor.from.is_some() => {
            progress.must_be_full = true;
            0
        }
        Err(error) => {
            if progress.failures == 0 {
                warn!("failed to read the {}: {error}", list.name);
                log_dependency(list.name, "lost", 0);
            }
            progress.failures += 1;
            if purpose == Purpose::Follow {
                set_list_failing(feed, list, true);
            }
            retry_pause_ms(feed, purpose, progress.failures)
        }
    }
}

/// Awaits a read. If this instance follows the platform, a read that takes unusually long is reported as failing before
/// its end.
async fn read_and_report<Value, Reading>(
    feed: &Feed,
    list: ListOptions,
    purpose: Purpose,
    mut reading: Reading,
) -> Result<ListUpdate<Value>, ReadError>
where
    Reading: Future<Output = Result<ListUpdate<Value>, ReadError>> + Unpin,
{
    let usual_limit = Duration::from_millis(list.wait_ms + LATE_AFTER_MS);
    match timeout(usual_limit, &mut reading).await {
        Ok(result) => result,
        Err(_) => {
            if purpose == Purpose::Follow {
                set_list_failing(feed, list, true);
            }
            reading.await
        }
    }
}

/// Returns the pause after a failed read, in milliseconds. Many instances may refresh their data during an outage, so
/// their pause is the longest from the first failure on. Those that have started together and have no data yet spread their
/// reads, or the platform would get all of them at once again.
fn retry_pause_ms(feed: &Feed, purpose: Purpose, failures: u32) -> u64 {
    let (pause_ms, jitter_ms) = match purpose {
        Purpose::Follow => {
            let pause_ms = exponential_backoff_ms(RETRY_FIRST_MS, failures, RETRY_MAX_MS);
            (pause_ms, pause_ms / 2)
        }
        Purpose::Refresh if queries::has_server_list(feed) => (RETRY_MAX_MS, REFRESH_JITTER_MS),
        Purpose::Refresh => {
            let spread_ms = feed
                .state
                .with(0, |state| queries::first_read_spread_ms(state));
            (RETRY_MAX_MS + spread_ms, REFRESH_JITTER_MS + spread_ms)
        }
    };
    pause_ms - jitter_ms + fastrand::u64(0..=jitter_ms)
}

/// Records whether a list can be read; wakes waiting sync requests with each failure.
fn set_list_failing(feed: &Feed, list: ListOptions, is_failing: bool) {
    if !list.is_urgent {
        return;
    }
    feed.state.with(0, |state| {
        if is_failing {
            state.failing_lists.insert(list.name);
        } else {
            state.failing_lists.remove(list.name);
        }
    });
    if is_failing {
        notify_waiters(feed);
    }
}

/// Logs a read that failed or brought a full list or much else: its size, and how long it took.
fn log_read<Value>(
    list: ListOptions,
    purpose: Purpose,
    cursor: Cursor,
    result: &Result<ListUpdate<Value>, ReadError>,
    took_ms: u64,
) {
    let received_bytes = result.as_ref().map_or(0, |update| update.received_bytes);
    let is_large = cursor.from.is_none() || received_bytes >= LARGE_READ_BYTES;
    if result.is_ok() && !is_large {
        return;
    }
    let line = json!({
        "list": list.name,
        "purpose": format!("{purpose:?}"),
        "full": cursor.from.is_none(),
        "answered": result.is_ok(),
        "bytes": received_bytes,
        "took_ms": took_ms,
    });
    info!(target: "decision.read", "{line}");
}

fn log_dependency(list_name: &str, change: &str, failures: u32) {
    let line = json!({ "dependency": format!("platform {list_name}"), "change": change, "failures": failures });
    info!(target: "decision.dependency", "{line}");
}
