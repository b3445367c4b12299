//! Reads the platform's lists while this instance is one of the readers.

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

/// How long a read of the configuration or the servers waits for a change, in milliseconds. It bounds the time until an
/// unresponsive platform is noticed, since a change must be active everywhere within two seconds.
const READ_WAIT_MS: u64 = 400;
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
/// Least pause after the first failed read, in milliseconds; doubles with each further failure. Jitter of up to the
/// same amount is added.
const RETRY_FIRST_MS: u64 = 200;
/// Longest pause after a failed read, in milliseconds; rejected calls are charged for too.
const RETRY_MAX_MS: u64 = 1_600;

/// How one of the platform's lists is read.
#[derive(Clone, Copy, Debug)]
struct ListOptions {
    name: &'static str,
    /// How long a read waits for a change, in milliseconds.
    wait_ms: u64,
    /// Pause after a successful read, in milliseconds.
    min_interval_ms: u64,
    /// Whether a failure to read it is reported at once to waiting sync requests.
    is_urgent: bool,
}

/// Follows the configuration whenever this instance reads the platform.
pub async fn read_configuration(feed: Arc<Feed>) {
    let list = ListOptions {
        name: "configuration",
        wait_ms: READ_WAIT_MS,
        min_interval_ms: CONFIG_INTERVAL_MS,
        is_urgent: true,
    };
    let apply_update = |update: &ListUpdate<_>| apply::configuration(&feed, update);
    read_list(&feed, list, &feed.source.configuration, apply_update).await;
}

/// Follows the list of servers whenever this instance reads the platform.
pub async fn read_servers(feed: Arc<Feed>) {
    let list = ListOptions {
        name: "servers",
        wait_ms: READ_WAIT_MS,
        min_interval_ms: SERVER_INTERVAL_MS,
        is_urgent: true,
    };
    let apply_update = |update: &ListUpdate<_>| apply::servers(&feed, update);
    read_list(&feed, list, &feed.source.servers, apply_update).await;
}

/// Follows the list of instances whenever this instance reads the platform.
pub async fn read_instances(feed: Arc<Feed>) {
    let list = ListOptions {
        name: "instances",
        wait_ms: INSTANCE_WAIT_MS,
        min_interval_ms: INSTANCE_INTERVAL_MS,
        is_urgent: false,
    };
    let apply_update = |update: &ListUpdate<_>| apply::instances(&feed, update);
    read_list(&feed, list, &feed.source.instances, apply_update).await;
}

/// Reads a list whenever this instance reads the platform; a list that is not read does not count as failing.
async fn read_list<Value, Apply>(
    feed: &Feed,
    list: ListOptions,
    read: &ReadList<Value>,
    apply_update: Apply,
) where
    Apply: Fn(&ListUpdate<Value>),
{
    let mut is_reader = feed.reads_platform.subscribe();
    loop {
        if is_reader.wait_for(|is_reader| *is_reader).await.is_err() {
            return;
        }
        read_while(feed, &is_reader, list, read, &apply_update).await;
        set_list_failing(feed, list, false);
    }
}

/// Reads the full list and then its changes, until this instance stops reading the platform.
async fn read_while<Value, Apply>(
    feed: &Feed,
    is_reader: &watch::Receiver<bool>,
    list: ListOptions,
    read: &ReadList<Value>,
    apply_update: &Apply,
) where
    Apply: Fn(&ListUpdate<Value>),
{
    let mut from = None;
    let mut failures: u32 = 0;
    while *is_reader.borrow() {
        let cursor = Cursor {
            from,
            wait_ms: list.wait_ms,
        };
        match read(cursor).await {
            Ok(update) => {
                if failures > 0 {
                    log_dependency(list.name, "regained", failures);
                }
                from = Some(update.next_offset);
                apply_update(&update);
                set_list_failing(feed, list, false);
                failures = 0;
                sleep(Duration::from_millis(list.min_interval_ms)).await;
            }
            // The changes since `from` are no longer kept, so the full list is read next.
            Err(ReadError::Trimmed { .. }) if from.is_some() => from = None,
            Err(error) => {
                if failures == 0 {
                    warn!("failed to read the {}: {error}", list.name);
                    log_dependency(list.name, "lost", 0);
                }
                set_list_failing(feed, list, true);
                failures += 1;
                let pause_ms = exponential_backoff_ms(RETRY_FIRST_MS, failures, RETRY_MAX_MS);
                let jittered_ms = pause_ms / 2 + fastrand::u64(0..=pause_ms / 2);
                sleep(Duration::from_millis(jittered_ms)).await;
            }
        }
    }
}

/// Records whether a list can be read; wakes waiting sync requests when it no longer can.
fn set_list_failing(feed: &Feed, list: ListOptions, is_failing: bool) {
    if !list.is_urgent {
        return;
    }
    let is_new = feed.state.with(0, |state| {
        if is_failing {
            state.failing_lists.insert(list.name)
        } else {
            state.failing_lists.remove(list.name);
            false
        }
    });
    if is_new {
        notify_waiters(feed);
    }
}

fn log_dependency(list_name: &str, change: &str, failures: u32) {
    let line = json!({ "dependency": format!("platform {list_name}"), "change": change, "failures": failures });
    info!(target: "decision.dependency", "{line}");
}
