//! Hears of changes from other instances, and decides whether this one reads the platform.

use {
    crate::{
        commands::apply,
        queries::{self, STALE_AFTER_MS},
        Feed,
    },
    futures_util::stream::{FuturesUnordered, StreamExt},
    log::info,
    member::{
        queries::{is_sync_source, sync_sources},
        Instance, View,
    },
    serde_json::json,
    std::{sync::Arc, time::Duration},
    tokio::time::{sleep, timeout},
    types::exponential_backoff_ms,
    wire::{convert::encode_instance, generated::SyncRequest},
};

/// How long another instance waits for a change before it answers, in milliseconds; bounds how long one that went
/// silent is waited for.
const SYNC_WAIT_MS: u64 = 500;
/// Time allowed for an answer beyond that wait, in milliseconds; slow instances have a tenth of a core, and a lost
/// packet costs a fifth of a second.
const SYNC_MARGIN_MS: u64 = 600;
/// First time for which an instance that did not answer is not asked for news, in milliseconds.
const SILENT_FIRST_MS: u64 = 1_500;
/// Longest time for which it is not asked, in milliseconds.
const SILENT_MAX_MS: u64 = 12_000;
/// Age from which news are too old for those to whom others turn, in milliseconds: news that go round among the others
/// grow old together, and a change must be in force everywhere two seconds later.
const MUST_KNOW_MS: u64 = 1_200;
/// Age up to which the list of an instance that answers is waited with, in milliseconds: while the platform is away
/// for everybody, reads by everybody would only be paid for.
const PATIENCE_MS: u64 = 5_000;
/// Of the instances that hear nothing but old news, one in so many reads the platform at each turn, a second or so: few
/// enough calls while it is away, and some reader soon where only those who read first are cut off from it.
const READS_ONE_IN: u32 = 16;
/// Least time for which an instance reads the platform once it began, in milliseconds.
const READS_HOLD_MS: u64 = 3_000;
/// Time between looks at who reads, for an instance that does, in milliseconds.
const ROOT_LOOK_MS: u64 = 400;
/// Pause after nobody gave news, in milliseconds; jitter up to as much again is added.
const LONELY_PAUSE_MS: u64 = 300;
/// Time after the start in which a new instance goes on asking others before it reads the platform itself, in
/// milliseconds; when all start together, whoever is first must read before it can tell.
const START_PATIENCE_MS: u64 = 700;
/// Time after the start in which others announce themselves, in milliseconds, before the lists are read.
const START_SPREAD_MS: u64 = 60;

/// Pulls for ever.
pub async fn pull(feed: Arc<Feed>) {
    learn_instances(&feed).await;
    let mut changed = feed.changed.subscribe();
    loop {
        let view = feed.state.with(0, |state| Arc::clone(&state.view));
        let preferred = sync_sources(&view, &feed.own.name);
        let is_root = preferred.is_empty();
        if is_root {
            set_reads(&feed, true, "first in order");
        }
        if is_root && queries::source_age_ms(&feed) < STALE_AFTER_MS {
            // A change of the list may change who reads; the timeout only bounds the wait for one.
            let _ = timeout(Duration::from_millis(ROOT_LOOK_MS), changed.changed()).await;
            // Not more often than others pull.
            sleep(Duration::from_millis(ROOT_LOOK_MS)).await;
            continue;
        }
        // Those to whom others turn, for news or for slots, do not wait for whoever is first.
        let must_know = is_sync_source(&view, &feed.own.name) || (feed.hooks.owns_pools)();
        let (least, fresh_ms) = if must_know {
            (News::Fresh, MUST_KNOW_MS)
        } else {
            (News::Waiting, STALE_AFTER_MS)
        };
        let asked = candidates(&feed, &view, preferred);
        let news = pull_any(&feed, &asked, fresh_ms).await;
        let is_starting = !queries::has_server_list(&feed) && feed.now_ms() < START_PATIENCE_MS;
        if news < least && is_starting {
            sleep(Duration::from_millis(START_SPREAD_MS)).await;
            continue;
        }
        // Others that are alive and have old news may all be cut off from the platform, but most likely it is away.
        let is_spared = !must_know && news == News::Old && fastrand::u32(..READS_ONE_IN) > 0;
        if news < least && is_spared {
            set_reads(&feed, false, "others have old news as well");
        } else if news < least {
            set_reads(&feed, true, "no other gives news");
        } else if !is_root {
            set_reads(&feed, false, "others give news");
        }
        if news != News::Fresh {
            let pause_ms = LONELY_PAUSE_MS + fastrand::u64(0..=LONELY_PAUSE_MS);
            sleep(Duration::from_millis(pause_ms)).await;
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
    let now_ms = feed.now_ms();
    let sync_backoffs = feed.state.with(0, |state| state.sync_backoffs.clone());
    let usable = |instance: &&Instance| {
        let is_silent = sync_backoffs
            .get(&instance.name)
            .is_some_and(|(_, until_ms)| now_ms < *until_ms);
        !is_silent && !(feed.hooks.is_in_backoff)(&instance.name)
    };
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

/// What another instance gave.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum News {
    /// No answer.
    Silent,
    /// An answer that is too old to go by.
    Old,
    /// An answer that is not fresh; its sender is alive and will hear sooner than this instance would.
    Waiting,
    /// Fresh news.
    Fresh,
}

/// Asks the first; if it gives no fresh news, all others at once, so that several that went silent cost one wait.
async fn pull_any(feed: &Feed, candidates: &[Instance], fresh_ms: u64) -> News {
    let Some((first, others)) = candidates.split_first() else {
        return News::Silent;
    };
    let mut best = pull_one(feed, first, fresh_ms).await;
    if best == News::Fresh {
        return best;
    }
    let mut asked: FuturesUnordered<_> = others
        .iter()
        .map(|peer| pull_one(feed, peer, fresh_ms))
        .collect();
    while let Some(news) = asked.next().await {
        best = best.max(news);
        if best == News::Fresh {
            break;
        }
    }
    best
}

/// Asks one instance; its answer is fresh if it is younger than `fresh_ms`.
async fn pull_one(feed: &Feed, peer: &Instance, fresh_ms: u64) -> News {
    let known_version = (feed.hooks.active_config_version)();
    let ((known_feed, known_list), list_digest) =
        feed.state.with(0, |state| (state.last_sync, state.digest));
    let ask = SyncRequest {
        known_version,
        feed: known_feed,
        known_list,
        wait_ms: SYNC_WAIT_MS,
        own: encode_instance(&feed.current_instance()),
        list_digest,
    };
    let limit_ms = SYNC_WAIT_MS + SYNC_MARGIN_MS;
    let Some(answer) = (feed.hooks.sync_peer)(peer.clone(), ask, limit_ms).await else {
        note_silent(feed, &peer.name);
        return News::Silent;
    };
    feed.state
        .with(0, |state| state.sync_backoffs.remove(&peer.name));
    let knows_config = answer.config.is_some() || known_version > 0;
    let news = match answer.source_age_ms {
        age_ms if age_ms < fresh_ms && knows_config => News::Fresh,
        age_ms if age_ms < PATIENCE_MS && knows_config => News::Waiting,
        _ => News::Old,
    };
    apply::peer_response(feed, &answer, news == News::Fresh);
    news
}

/// An instance that gave no answer is passed over here for longer than for a slot, since waiting for it delays
/// every change; the time doubles with each failure in a row.
fn note_silent(feed: &Feed, name: &str) {
    let now_ms = feed.now_ms();
    feed.state.with(0, |state| {
        let (failures, until_ms) = state.sync_backoffs.entry(name.to_owned()).or_default();
        *until_ms = now_ms + exponential_backoff_ms(SILENT_FIRST_MS, *failures, SILENT_MAX_MS);
        *failures += 1;
    });
}

/// Whoever begins to read goes on for a while, since one reading may show an old state.
fn set_reads(feed: &Feed, reads: bool, reason: &str) {
    let now_ms = feed.now_ms();
    let holds = feed.state.with(0, |state| {
        if reads {
            state.read_until_ms = now_ms + READS_HOLD_MS;
        }
        now_ms < state.read_until_ms
    });
    if !reads && holds {
        return;
    }
    let is_new = feed
        .reads_platform
        .send_if_modified(|known| std::mem::replace(known, reads) != reads);
    if is_new {
        let line = json!({ "belief": "reads the platform", "holds": reads, "reason": reason });
        info!(target: "decision.belief", "{line}");
    }
}
