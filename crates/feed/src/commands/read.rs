//! Reads the platform's lists while this instance is one that does.

use {
    crate::{commands::apply, Feed},
    log::{info, warn},
    serde_json::json,
    std::{sync::Arc, time::Duration},
    stream::{Cursor, Read, ReadError, Reading},
    tokio::{sync::watch, time::sleep},
};

/// How long a read waits for a change, in milliseconds; bounds how long a connection that went silent is trusted.
const READ_WAIT_MS: u64 = 1_500;
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

/// Follows the configuration.
pub async fn read_configuration(feed: Arc<Feed>) {
    let take = |reading: &Reading<_>| apply::configuration(&feed, reading);
    read_list(
        &feed,
        "configuration",
        &feed.source.configuration,
        CONFIG_PACE_MS,
        take,
    )
    .await;
}

/// Follows the servers.
pub async fn read_servers(feed: Arc<Feed>) {
    let take = |reading: &Reading<_>| apply::servers(&feed, reading);
    read_list(&feed, "servers", &feed.source.servers, SERVER_PACE_MS, take).await;
}

/// Follows the instances.
pub async fn read_instances(feed: Arc<Feed>) {
    let take = |reading: &Reading<_>| apply::instances(&feed, reading);
    read_list(
        &feed,
        "instances",
        &feed.source.instances,
        INSTANCE_PACE_MS,
        take,
    )
    .await;
}

async fn read_list<Value, Take>(
    feed: &Feed,
    what: &str,
    read: &Read<Value>,
    pace_ms: u64,
    take: Take,
) where
    Take: Fn(&Reading<Value>),
{
    let mut reads = feed.reads.subscribe();
    loop {
        if reads.wait_for(|reads| *reads).await.is_err() {
            return;
        }
        read_while(&reads, what, read, pace_ms, &take).await;
    }
}

/// Reads the whole list and then its changes, until this instance no longer reads.
async fn read_while<Value, Take>(
    reads: &watch::Receiver<bool>,
    what: &str,
    read: &Read<Value>,
    pace_ms: u64,
    take: &Take,
) where
    Take: Fn(&Reading<Value>),
{
    let mut from = None;
    let mut failures: u32 = 0;
    while *reads.borrow() {
        let cursor = Cursor {
            from,
            wait_ms: READ_WAIT_MS,
        };
        match read(cursor).await {
            Ok(reading) => {
                if failures > 0 {
                    dependency(what, "regained", failures);
                }
                from = Some(reading.next);
                take(&reading);
                failures = 0;
                sleep(Duration::from_millis(pace_ms)).await;
            }
            // Its history is gone: the whole list is read next.
            Err(ReadError::Trimmed { .. }) if from.is_some() => from = None,
            Err(error) => {
                if failures == 0 {
                    warn!("reading the {what}: {error}");
                    dependency(what, "lost", 0);
                }
                failures += 1;
                let pause_ms = (AWAY_FIRST_MS << failures.min(5)).min(AWAY_MAX_MS);
                let jittered_ms = pause_ms / 2 + fastrand::u64(0..=pause_ms / 2);
                sleep(Duration::from_millis(jittered_ms)).await;
            }
        }
    }
}

fn dependency(what: &str, change: &str, failures: u32) {
    let line =
        json!({ "dependency": format!("platform {what}"), "change": change, "failures": failures });
    info!(target: "decision.dependency", "{line}");
}
