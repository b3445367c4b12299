//! Finds the instances from which this one gets changes, and lists them for instances that start later.
//!
//! A starting instance reads the platform's directory of sources, whose size does not depend on the size of the fleet. In a
//! small fleet it then reads the list of all instances. In a larger one that list comes from a source: reads of it by all
//! instances at once would take a time that grows with the square of their number, and each waits until the announcements
//! before it have taken effect, one after the other. While the directory has none of a data centre, the first instances
//! there that find it so list themselves. If none of those listed responds, the list is read after all.
//!
//! Invariant: an instance that knows neither the directory nor the list does not take itself for the first in rendezvous
//! order.

use {
    crate::{
        commands::{apply, era::observe_era, publish_view},
        queries::{era_changes, is_small_fleet, known_instances},
        state::{Directory, FeedState},
        Feed,
    },
    log::{info, warn},
    member::{commands::apply_instance_report, queries, Instance, View},
    serde_json::json,
    std::{collections::BTreeMap, sync::Arc, time::Duration},
    stream::{Cursor, ListedSource},
    tokio::time::sleep,
    types::EraObservation,
};

/// Delay after the start before the directory is read, in milliseconds, so that other starting instances can announce
/// themselves; jitter of up to the same amount is added.
const STARTUP_DELAY_MS: u64 = 60;
/// Longest time for which an instance of [`LARGE_CAPACITY_PERMILLE`] or more that found nobody of its data centre in the
/// directory waits for another one to list itself, in milliseconds. Smaller ones wait longer, so that large ones come first.
const EMPTY_WAIT_MS: f64 = 30.0;
/// Capacity of a large instance, in thousandths of a core.
const LARGE_CAPACITY_PERMILLE: f64 = 500.0;
/// Time after which an instance that has listed itself reads who else did at the same time, in milliseconds.
const LISTED_WAIT_MS: u64 = 60;
/// Least time between two changes of the directory by the first instance in rendezvous order, in milliseconds.
const WRITE_INTERVAL_MS: u64 = 2_000;

/// Waits until other starting instances had time to announce themselves, then finds sources.
pub(crate) async fn find_first_sources(feed: &Feed) {
    sleep_with_jitter(STARTUP_DELAY_MS).await;
    let listed = read_directory(feed).await;
    let is_new_fleet = listed.as_ref().is_some_and(|it| it.fleet_instances == 0);
    feed.state
        .with(0, |state| state.is_new_fleet = is_new_fleet);
    find_sources_unless_listed(feed, listed.as_deref()).await;
}

/// Reads the directory of sources. If it has none of this instance's data centre for a while, this instance lists itself.
pub(crate) async fn find_sources(feed: &Feed) {
    let listed = read_directory(feed).await;
    find_sources_unless_listed(feed, listed.as_deref()).await;
}

async fn find_sources_unless_listed(feed: &Feed, listed: Option<&Directory>) {
    if !lacks_own_data_centre(feed, listed) {
        if feed.state.with(0, |state| is_small_fleet(state)) {
            read_instances(feed).await;
        }
        return;
    }
    sleep(empty_wait(feed)).await;
    if !lacks_own_data_centre(feed, read_directory(feed).await.as_deref()) {
        return;
    }
    log_directory("write", &[&feed.own.name], &[]);
    let own = ListedSource {
        instance: feed.own.clone(),
        fleet_instances: 0,
    };
    match (feed.source.write_directory)(std::slice::from_ref(&own), &[]).await {
        Ok(()) => {
            keep_directory(feed, Arc::new(new_directory(vec![own])));
            sleep(Duration::from_millis(LISTED_WAIT_MS)).await;
            read_directory(feed).await;
        }
        Err(error) => warn!("failed to write the directory: {error}"),
    }
}

/// Returns whether the directory has no instance of this one's data centre, and false if it could not be read.
fn lacks_own_data_centre(feed: &Feed, listed: Option<&Directory>) -> bool {
    let is_near = |other: &Instance| other.data_centre == feed.own.data_centre;
    listed.is_some_and(|listed| !queries::live_instances(&listed.view).any(is_near))
}

/// Returns the time for which this instance waits for another one to list itself.
fn empty_wait(feed: &Feed) -> Duration {
    let capacity_permille = f64::from(feed.own.capacity_permille.max(1));
    let longest_ms = EMPTY_WAIT_MS * (LARGE_CAPACITY_PERMILLE / capacity_permille).max(1.0);
    let least_ms = if longest_ms > EMPTY_WAIT_MS {
        2.0 * EMPTY_WAIT_MS
    } else {
        0.0
    };
    let wait_ms = least_ms + longest_ms * fastrand::f64();
    Duration::from_micros((wait_ms * 1_000.0) as u64)
}

/// Reads the list of all instances.
pub(crate) async fn read_instances(feed: &Feed) {
    let sent_ms = feed.now_ms();
    match (feed.source.instances)(Cursor::default()).await {
        Ok(update) => {
            if observe_era(feed, update.era, sent_ms, "instances") != EraObservation::Outdated {
                apply::instances(feed, &update);
            }
        }
        Err(error) => warn!("failed to read the instance list: {error}"),
    }
}

/// Brings the directory up to date if it has not what it should have by the list of instances. It is read again after the store
/// has lost records. Called by the first instance in rendezvous order.
pub(crate) async fn maintain_directory(feed: &Feed) {
    let now_ms = feed.now_ms();
    let changes = era_changes(feed);
    let is_due = feed.state.with(0, |state| {
        let is_current = state.directory_changes == changes
            && state
                .directory
                .as_deref()
                .is_some_and(|directory| is_directory_current(state, directory));
        let is_due = state.has_instance_list && now_ms >= state.directory_check_ms && !is_current;
        if is_due {
            state.directory_check_ms = now_ms + WRITE_INTERVAL_MS;
        }
        is_due
    });
    if !is_due {
        return;
    }
    let Some(listed) = read_directory(feed).await else {
        return;
    };
    let is_current = feed.state.with(0, |state| {
        state.directory_changes = changes;
        is_directory_current(state, &listed)
    });
    if !is_current {
        write_directory(feed).await;
    }
}

/// Returns whether the directory has what it should have by the list of instances.
fn is_directory_current(state: &FeedState, directory: &Directory) -> bool {
    let wanted = queries::source_directory(&state.view);
    listed_instances(directory) == by_name(&wanted)
        && is_near(directory.fleet_instances, known_instances(state))
}

/// Reads the directory and keeps it unless it is empty; returns none if it can't be read.
async fn read_directory(feed: &Feed) -> Option<Arc<Directory>> {
    let sent_ms = feed.now_ms();
    let update = (feed.source.directory)(Cursor::default()).await;
    let update = update
        .inspect_err(|error| warn!("failed to read the directory: {error}"))
        .ok()?;
    if observe_era(feed, update.era, sent_ms, "directory") == EraObservation::Outdated {
        return None;
    }
    for error in &update.record_errors {
        warn!("ignored an invalid record of the directory: {error}");
    }
    let changes = update.changes.into_iter();
    let listed: Vec<ListedSource> = changes.filter_map(|change| change.value).collect();
    let names: Vec<&str> = listed.iter().map(|it| it.instance.name.as_str()).collect();
    log_directory("read", &names, &[]);
    let is_empty = listed.is_empty();
    let directory = Arc::new(new_directory(listed));
    if !is_empty {
        keep_directory(feed, Arc::clone(&directory));
    }
    Some(directory)
}

fn new_directory(listed: Vec<ListedSource>) -> Directory {
    let fleet_instances = listed.iter().map(|it| it.fleet_instances).max();
    let instances = listed.into_iter().map(|it| it.instance);
    Directory {
        view: View::new(0, instances.collect(), Vec::new()),
        fleet_instances: fleet_instances.unwrap_or(0) as usize,
    }
}

/// Returns whether the known number of instances differs little from the listed one.
fn is_near(listed: usize, known: usize) -> bool {
    listed.abs_diff(known) * 10 <= known
}

/// Keeps the directory, and adds its instances to the roster.
fn keep_directory(feed: &Feed, directory: Arc<Directory>) {
    let changed = feed.state.with(0, |state| {
        let listed = queries::live_instances(&directory.view);
        let others = listed.filter(|it| it.name != feed.own.name);
        let changed = others.fold(false, |changed, instance| {
            apply_instance_report(&mut state.roster, instance) | changed
        });
        state.directory = Some(Arc::clone(&directory));
        changed
    });
    if changed {
        publish_view(feed);
    }
}

/// Writes the sources by the list of instances to the directory, and deletes all others.
async fn write_directory(feed: &Feed) {
    let (view, known, fleet_instances) = feed.state.with(0, |state| {
        let fleet_instances = known_instances(state);
        (
            Arc::clone(&state.view),
            state.directory.clone(),
            fleet_instances,
        )
    });
    let wanted = queries::source_directory(&view).into_iter();
    let wanted: Vec<ListedSource> = wanted
        .map(|instance| ListedSource {
            instance: instance.clone(),
            fleet_instances: fleet_instances as u32,
        })
        .collect();
    let names: Vec<&str> = wanted.iter().map(|it| it.instance.name.as_str()).collect();
    let listed = known.as_deref().map(listed_instances).unwrap_or_default();
    let former = listed.keys().filter(|name| !names.contains(name));
    let former: Vec<&str> = former.copied().collect();
    log_directory("write", &names, &former);
    match (feed.source.write_directory)(&wanted, &former).await {
        Ok(()) => keep_directory(feed, Arc::new(new_directory(wanted))),
        Err(error) => warn!("failed to write the directory: {error}"),
    }
}

fn listed_instances(directory: &Directory) -> BTreeMap<&str, &Instance> {
    let instances: Vec<&Instance> = queries::live_instances(&directory.view).collect();
    by_name(&instances)
}

fn by_name<'a>(instances: &[&'a Instance]) -> BTreeMap<&'a str, &'a Instance> {
    let named = instances.iter().map(|it| (it.name.as_str(), *it));
    named.collect()
}

fn log_directory(action: &str, listed: &[&str], removed: &[&str]) {
    let line = json!({ "directory": action, "listed": listed, "removed": removed });
    info!(target: "decision.directory", "{line}");
}

async fn sleep_with_jitter(ms: u64) {
    sleep(Duration::from_millis(ms + fastrand::u64(0..=ms))).await;
}
