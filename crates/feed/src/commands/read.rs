//! Reads the platform's lists while this instance is one that does.

use {
    crate::{
        commands::{apply, notify_waiters},
        Feed,
    },
    log::{info, warn},
    serde_json::json,
    std::{sync::Arc, time::Duration},
    stream::{Cursor, ListUpdate, ReadError, ReadList},
    tokio::{sync::watch, time::sleep},
    types::exponential_backoff_ms,
};

/// How long a read of the configuration or the servers waits for a change, in milliseconds; bounds how long a store
/// that went silent is trusted, since a change must be in force everywhere two seconds later.
const READ_WAIT_MS: u64 = 400;
/// How long a read of the instances waits for a change, in milliseconds.
const INSTANCE_WAIT_MS: u64 = 1_500;
/// Least time between reads of the configuration, in milliseconds; configurations may come in quick succession.
const CONFIG_PACE_MS: u64 = 100;
/// Least time between reads of the servers, in milliseconds: their own reports come all the time, and a server
/// that leaves must be known everywhere within two seconds.
const SERVER_PACE_MS: u64 = 400;
/// Least time between reads of the instances, in milliseconds.
const INSTANCE_PACE_MS: u64 = 400;
/// First pause after a read that failed, in milliseconds; doubles, with jitter.
const AWAY_FIRST_MS: u64 = 200;
/// Longest pause after a read that failed, in milliseconds; refused calls are paid for as well.
const AWAY_MAX_MS: u64 = 1_600;

/// One of the platform's lists and how it is read.
#[derive(Clone, Copy, Debug)]
struct Listing {
    name: &'static str,
    /// How long a read waits for a change, in milliseconds.
    wait_ms: u64,
    /// Least time between reads, in milliseconds.
    pace_ms: u64,
    /// Whether others must hear at once that it can't be read.
    is_urgent: bool,
}

/// Follows the configuration.
pub async fn read_configuration(feed: Arc<Feed>) {
    let listing = Listing {
        name: "configuration",
        wait_ms: READ_WAIT_MS,
        pace_ms: CONFIG_PACE_MS,
        is_urgent: true,
    };
    let take = |reading: &ListUpdate<_>| apply::configuration(&feed, reading);
    read_list(&feed, listing, &feed.source.configuration, take).await;
}

/// Follows the servers.
pub async fn read_servers(feed: Arc<Feed>) {
    let listing = Listing {
        name: "servers",
        wait_ms: READ_WAIT_MS,
        pace_ms: SERVER_PACE_MS,
        is_urgent: true,
    };
    let take = |reading: &ListUpdate<_>| apply::servers(&feed, reading);
    read_list(&feed, listing, &feed.source.servers, take).await;
}

/// Follows the instances.
pub async fn read_instances(feed: Arc<Feed>) {
    let listing = Listing {
        name: "instances",
        wait_ms: INSTANCE_WAIT_MS,
        pace_ms: INSTANCE_PACE_MS,
        is_urgent: false,
    };
    let take = |reading: &ListUpdate<_>| apply::instances(&feed, reading);
    read_list(&feed, listing, &feed.source.instances, take).await;
}

async fn read_list<Value, Take>(feed: &Feed, listing: Listing, read: &ReadList<Value>, take: Take)
where
    Take: Fn(&ListUpdate<Value>),
{
    let mut reads = feed.reads_platform.subscribe();
    loop {
        if reads.wait_for(|reads| *reads).await.is_err() {
            return;
        }
        read_while(feed, &reads, listing, read, &take).await;
        set_failing(feed, listing, false);
    }
}

/// Reads the whole list and then its changes, until this instance no longer reads.
async fn read_while<Value, Take>(
    feed: &Feed,
    reads: &watch::Receiver<bool>,
    listing: Listing,
    read: &ReadList<Value>,
    take: &Take,
) where
    Take: Fn(&ListUpdate<Value>),
{
    let mut from = None;
    let mut failures: u32 = 0;
    while *reads.borrow() {
        let cursor = Cursor {
            from,
            wait_ms: listing.wait_ms,
        };
        match read(cursor).await {
            Ok(reading) => {
                if failures > 0 {
                    dependency(listing.name, "regained", failures);
                }
                from = Some(reading.next_offset);
                take(&reading);
                set_failing(feed, listing, false);
                failures = 0;
                sleep(Duration::from_millis(listing.pace_ms)).await;
            }
            // Its history is gone: the whole list is read next.
            Err(ReadError::Trimmed { .. }) if from.is_some() => from = None,
            Err(error) => {
                if failures == 0 {
                    warn!("reading the {}: {error}", listing.name);
                    dependency(listing.name, "lost", 0);
                }
                set_failing(feed, listing, true);
                failures += 1;
                let pause_ms = exponential_backoff_ms(AWAY_FIRST_MS, failures, AWAY_MAX_MS);
                let jittered_ms = pause_ms / 2 + fastrand::u64(0..=pause_ms / 2);
                sleep(Duration::from_millis(jittered_ms)).await;
            }
        }
    }
}

/// Notes whether a list can be read; others that wait here for news are told when it can't.
fn set_failing(feed: &Feed, listing: Listing, fails: bool) {
    if !listing.is_urgent {
        return;
    }
    let is_new = feed.state.with(0, |state| {
        if fails {
            state.failing_lists.insert(listing.name)
        } else {
            state.failing_lists.remove(listing.name);
            false
        }
    });
    if is_new {
        notify_waiters(feed);
    }
}

fn dependency(what: &str, change: &str, failures: u32) {
    let line =
        json!({ "dependency": format!("platform {what}"), "change": change, "failures": failures });
    info!(target: "decision.dependency", "{line}");
}
