//! Hears of changes from other instances, and decides whether this one reads the platform.

use {
    crate::{commands::apply, queries, Feed},
    log::info,
    member::{queries::feeds, Instance, View},
    serde_json::json,
    std::{sync::Arc, time::Duration},
    tokio::time::{sleep, timeout},
    wire::{convert::instance_text, generated::SyncAsk},
};

/// How long another instance waits for a change before it answers, in milliseconds; bounds how long one that went
/// silent is waited for.
const SYNC_WAIT_MS: u64 = 600;
/// Time allowed for an answer beyond that wait, in milliseconds; slow instances have a tenth of a core.
const SYNC_MARGIN_MS: u64 = 250;
/// Age from which another instance's list is no news, in milliseconds.
const STALE_MS: u64 = 2_500;
/// Time between looks at who reads, for an instance that does, in milliseconds.
const ROOT_LOOK_MS: u64 = 400;
/// Pause after nobody gave news, in milliseconds; jitter up to as much again is added.
const LONELY_PAUSE_MS: u64 = 300;
/// Time after the start in which others announce themselves, in milliseconds, before the lists are read.
const START_SPREAD_MS: u64 = 60;

/// Pulls for ever.
pub async fn pull(feed: Arc<Feed>) {
    learn_instances(&feed).await;
    let mut changed = feed.changed.subscribe();
    loop {
        let view = feed.lists.with(0, |lists| queries::view(lists));
        let preferred = feeds(&view, &feed.own.name);
        let is_root = preferred.is_empty();
        if is_root {
            set_reads(&feed, true, "first in order");
        }
        if is_root && queries::source_age_ms(&feed) < STALE_MS {
            // A change of the list may change who reads; the timeout only bounds the wait for one.
            let _ = timeout(Duration::from_millis(ROOT_LOOK_MS), changed.changed()).await;
            // Not more often than others pull.
            sleep(Duration::from_millis(ROOT_LOOK_MS)).await;
            continue;
        }
        if !pull_any(&feed, &candidates(&feed, &view, preferred)).await {
            set_reads(&feed, true, "no other gives news");
            let pause_ms = LONELY_PAUSE_MS + fastrand::u64(0..=LONELY_PAUSE_MS);
            sleep(Duration::from_millis(pause_ms)).await;
        } else if !is_root {
            set_reads(&feed, false, "others give news");
        }
    }
}

/// Reads the instances once, so that there is somebody to ask; without an answer this one reads everything itself.
async fn learn_instances(feed: &Feed) {
    let spread_ms = START_SPREAD_MS + fastrand::u64(0..=START_SPREAD_MS);
    sleep(Duration::from_millis(spread_ms)).await;
    match (feed.source.instances)(Default::default()).await {
        Ok(reading) => apply::instances(feed, &reading),
        Err(error) => log::warn!("reading the instances: {error}"),
    }
}

/// Whom to ask, in order: those whose task it is, then one at random, who may have news that they lack; the seeds if
/// nobody else is known.
fn candidates(feed: &Feed, view: &View, preferred: Vec<&Instance>) -> Vec<Instance> {
    let usable = |instance: &&Instance| !(feed.hooks.is_skipped)(&instance.name);
    let mut chosen: Vec<Instance> = preferred.into_iter().filter(usable).cloned().collect();
    let others: Vec<&Instance> = member::queries::live_instances(view)
        .filter(usable)
        .filter(|other| other.name != feed.own.name && !chosen.contains(other))
        .collect();
    if !others.is_empty() {
        chosen.push(others[fastrand::usize(..others.len())].clone());
    }
    if chosen.is_empty() {
        let addresses = feed.seeds.iter().copied();
        let foreign = addresses.filter(|address| *address != feed.own.rpc_address);
        chosen
            .extend(foreign.map(|address| Instance::new(&format!("seed {address}"), "", address)));
    }
    chosen
}

async fn pull_any(feed: &Feed, candidates: &[Instance]) -> bool {
    for peer in candidates {
        if pull_one(feed, peer).await {
            return true;
        }
    }
    false
}

/// Asks one instance; returns whether it gave fresh news.
async fn pull_one(feed: &Feed, peer: &Instance) -> bool {
    let known_version = (feed.hooks.config_version)();
    let (known_feed, known_list) = feed.lists.with(0, |lists| lists.taken_from);
    let ask = SyncAsk {
        known_version,
        feed: known_feed,
        known_list,
        wait_ms: SYNC_WAIT_MS,
        own: instance_text(&feed.announced()),
    };
    let limit_ms = SYNC_WAIT_MS + SYNC_MARGIN_MS;
    let Some(answer) = (feed.hooks.sync)(peer.clone(), ask, limit_ms).await else {
        return false;
    };
    let knows_config = answer.config.is_some() || known_version > 0;
    let is_fresh = answer.source_age_ms < STALE_MS && knows_config;
    apply::answer(feed, &answer, is_fresh);
    is_fresh
}

fn set_reads(feed: &Feed, reads: bool, reason: &str) {
    let is_new = feed
        .reads
        .send_if_modified(|known| std::mem::replace(known, reads) != reads);
    if is_new {
        let line = json!({ "belief": "reads the platform", "holds": reads, "reason": reason });
        info!(target: "decision.belief", "{line}");
    }
}
