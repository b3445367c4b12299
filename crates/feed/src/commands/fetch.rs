//! Fetches the document of a configuration version that another instance has announced.

use {
    crate::{
        commands::{apply, notify_waiters, send_part::store_patch},
        state::Announcement,
        transfer::ConfigPatch,
        Feed,
    },
    bytes::BytesMut,
    log::{info, warn},
    member::{queries::find_instance, Instance},
    serde_json::json,
    std::{sync::Arc, time::Duration},
    tokio::time::sleep,
    wire::{
        decode_data,
        generated::{ConfigPartRequest, ConfigPartResponse},
    },
};

/// Time allowed for a part, in milliseconds: a slow link that carries parts for as many others as may be served at a time
/// takes 70 ms, a lost packet costs 200 ms.
const PART_TIMEOUT_MS: u64 = 400;
/// Pause after a source had no capacity left and named no other instance, in milliseconds; jitter of up to the same amount
/// is added.
const BUSY_PAUSE_MS: u64 = 20;

/// The changes that are being received.
#[derive(Debug, Default)]
struct Download {
    /// Hash of the changes; 0 before the first part.
    patch: u64,
    data: BytesMut,
    /// Whether the changes could not be applied, so that the whole document is needed.
    needs_whole: bool,
    /// Requests without a part.
    unanswered: u32,
}

/// What became of a request for a part.
enum PartOutcome {
    /// A part arrived, and more are to come.
    Continues,
    /// All changes have arrived.
    Complete(ConfigPatch),
    /// The source sends to others; these instances have the changes as well.
    Busy(Vec<String>),
    /// The source did not respond or has no newer version.
    Unavailable,
}

/// Fetches announced versions forever.
pub(crate) async fn fetch_configurations(feed: Arc<Feed>) {
    let mut changed = feed.changed.subscribe();
    let mut download = Download::default();
    loop {
        let Some(source) = next_source(&feed) else {
            download = Download::default();
            if changed.changed().await.is_err() {
                return;
            }
            continue;
        };
        let begin_ms = feed.now_ms();
        match fetch_part(&feed, &source, &mut download).await {
            PartOutcome::Continues => {}
            PartOutcome::Complete(patch) => {
                log_download(&patch, &download, &source, feed.now_ms() - begin_ms);
                let is_valid = apply_patch(&feed, &source.name, patch);
                download = Download {
                    needs_whole: !is_valid,
                    ..Download::default()
                };
                if !is_valid {
                    drop_source(&feed, &source);
                }
            }
            PartOutcome::Busy(holders) => {
                download.unanswered += 1;
                if !prefer_holder(&feed, &source, &holders) {
                    let pause_ms = BUSY_PAUSE_MS + fastrand::u64(0..=BUSY_PAUSE_MS);
                    sleep(Duration::from_millis(pause_ms)).await;
                }
            }
            PartOutcome::Unavailable => {
                download.unanswered += 1;
                drop_source(&feed, &source);
            }
        }
    }
}

/// Returns the instance to request the announced version from; none if there is no newer version.
fn next_source(feed: &Feed) -> Option<Instance> {
    loop {
        let version = (feed.hooks.active_config_version)();
        let source = feed.state.with(0, |state| {
            let is_over = |it: &mut Announcement| it.version <= version || it.sources.is_empty();
            if state.announced.take_if(is_over).is_some() {
                // Without a source, the next sync response announces the version again.
                return None;
            }
            state.announced.as_ref()?.sources.front().cloned()
        })?;
        if !(feed.hooks.is_in_backoff)(&source.name) {
            return Some(source);
        }
        drop_source(feed, &source);
    }
}

async fn fetch_part(feed: &Feed, source: &Instance, download: &mut Download) -> PartOutcome {
    let active_version = (feed.hooks.active_config_version)();
    let request = ConfigPartRequest {
        requester: feed.own.name.clone(),
        known_version: if download.needs_whole {
            0
        } else {
            active_version
        },
        patch: download.patch,
        position: download.data.len() as u64,
    };
    let responding = (feed.hooks.request_config_part)(source.clone(), request, PART_TIMEOUT_MS);
    match responding.await {
        Some(response) if response.version > active_version => add_part(download, response),
        _ => PartOutcome::Unavailable,
    }
}

/// Adds a part to the changes received so far, or begins with other changes if the source has none of these.
fn add_part(download: &mut Download, response: ConfigPartResponse) -> PartOutcome {
    let data = match decode_data(&response.data) {
        Ok(data) => data,
        Err(error) => {
            warn!("invalid part of a configuration: {error}");
            return PartOutcome::Unavailable;
        }
    };
    if data.is_empty() {
        return PartOutcome::Busy(response.holders);
    }
    if response.patch != download.patch {
        download.patch = response.patch;
        download.data.clear();
    }
    if response.position != download.data.len() as u64 {
        // The source has begun again although it was asked for the rest.
        download.data.clear();
        if response.position > 0 {
            return PartOutcome::Unavailable;
        }
    }
    download.data.extend_from_slice(&data);
    if (download.data.len() as u64) < response.total_bytes {
        return PartOutcome::Continues;
    }
    let data = download.data.split().freeze();
    PartOutcome::Complete(ConfigPatch::new(
        response.base_version,
        response.version,
        data,
    ))
}

/// Activates the version that results from the changes and keeps them for other instances; returns false if they are not
/// valid. Changes of a version that is no longer active are valid, but of no use.
fn apply_patch(feed: &Feed, source: &str, patch: ConfigPatch) -> bool {
    let known_version = (feed.hooks.active_config_version)();
    if let Err(error) = (feed.hooks.activate_patch)(&patch) {
        warn!(
            "can't apply the changes from version {} to {}: {error}",
            patch.base_version, patch.version
        );
        return patch.base_version != known_version;
    }
    feed.state
        .with(0, |state| store_patch(&mut state.patches, patch));
    apply::record_activation(feed, known_version, source);
    notify_waiters(feed);
    true
}

/// Turns to one of the instances that have the changes as well; returns false if none of them is known.
fn prefer_holder(feed: &Feed, source: &Instance, holders: &[String]) -> bool {
    feed.state.with(0, |state| {
        let is_other = |name: &&String| **name != feed.own.name && **name != source.name;
        let known = holders.iter().filter(is_other);
        let known: Vec<&Instance> = known
            .filter_map(|name| find_instance(&state.view, name))
            .collect();
        let Some(announced) = state.announced.as_mut() else {
            return false;
        };
        // The others are as likely to be free.
        announced.sources.rotate_left(1);
        if known.is_empty() {
            return false;
        }
        let holder = known[fastrand::usize(..known.len())];
        add_source(announced, holder, true);
        true
    })
}

fn drop_source(feed: &Feed, source: &Instance) {
    feed.state.with(0, |state| {
        if let Some(announced) = state.announced.as_mut() {
            announced.sources.retain(|other| other.name != source.name);
        }
    });
}

/// Adds an instance that has the announced version, as the next one to be asked or as the last one.
pub(crate) fn add_source(announced: &mut Announcement, source: &Instance, is_next: bool) {
    announced.sources.retain(|other| other.name != source.name);
    if is_next {
        announced.sources.push_front(source.clone());
    } else {
        announced.sources.push_back(source.clone());
    }
}

fn log_download(patch: &ConfigPatch, download: &Download, source: &Instance, last_part_ms: u64) {
    let line = json!({
        "belief": "changes received",
        "base_version": patch.base_version,
        "version": patch.version,
        "bytes": patch.data.len(),
        "from": source.name,
        "unanswered": download.unanswered,
        "last_part_ms": last_part_ms,
    });
    info!(target: "decision.config", "{line}");
}
