//! Queries over the list and the record of contact.

use {
    crate::{BackendServer, Instance, PeerBackoffs, Presence, View},
    std::{
        cmp::Reverse,
        collections::{BTreeSet, HashSet},
        hash::Hasher,
    },
    twox_hash::XxHash64,
};

/// Seed of the rendezvous hash; all instances must use the same.
const RENDEZVOUS_SEED: u64 = 0x6361_746b;
/// Task of reading the platform for others.
const FEED_TASK: &str = "feed";
/// Power of an instance's capacity by which tasks fall to it: a pool's work does not shrink with its owner, and where
/// two of fifty instances have seven times the capacity of the others, these two are to have most pools.
const CAPACITY_POWER: i32 = 3;
/// Instances that others turn to; the first reads the platform, the second hears from it and covers for it.
const FEED_ROOTS: usize = 2;
/// Live instances from which on one of each data centre passes changes on; below, two can serve all the others.
const RELAY_FLEET: usize = 64;
/// Relays of other data centres that an instance turns to when nearer ones have no news.
const OTHER_RELAYS: usize = 4;

/// Tells whether `peer` is to be skipped at `now_ms`.
pub fn is_in_backoff(peer_backoffs: &PeerBackoffs, peer: &str, now_ms: u64) -> bool {
    peer_backoffs
        .peers
        .get(peer)
        .is_some_and(|backoff| now_ms < backoff.backoff_until_ms)
}

/// Returns the live instances of `area` (a data centre or a region) in rendezvous order of (service, area), best
/// first; large instances mostly come before small ones.
pub fn owner_order<'a>(view: &'a View, service: &str, area: &str) -> Vec<&'a Instance> {
    let positions = view.live_by_area.get(area).map_or(&[][..], Vec::as_slice);
    let mut live: Vec<&Instance> = positions.iter().map(|&at| &view.instances[at]).collect();
    live.sort_by_cached_key(|instance| Reverse(weight(instance, service, area)));
    live
}

/// Returns the live instance of any data centre that is first in rendezvous order for `task`.
pub fn task_owner<'a>(view: &'a View, task: &str) -> Option<&'a Instance> {
    live_instances(view).max_by_key(|instance| weight(instance, task, ""))
}

/// Returns the first `count` live instances of any data centre in rendezvous order for `task`, best first.
pub fn task_order<'a>(view: &'a View, task: &str, count: usize) -> Vec<&'a Instance> {
    let mut live: Vec<&Instance> = live_instances(view).collect();
    live.sort_by_cached_key(|instance| Reverse(weight(instance, task, "")));
    live.truncate(count);
    live
}

/// Returns the instances from which `own` hears what changed, the preferred first; none if it reads the platform
/// itself. Few read the platform; in a large fleet one instance of each data centre passes on to the rest of it.
pub fn sync_sources<'a>(view: &'a View, own: &str) -> Vec<&'a Instance> {
    let mut sync_sources = task_order(view, FEED_TASK, FEED_ROOTS);
    if sync_sources.first().is_some_and(|first| first.name == own) {
        return Vec::new();
    }
    sync_sources.retain(|instance| instance.name != own);
    if live_instances(view).count() < RELAY_FLEET {
        return sync_sources;
    }
    let relay = relay(view, own);
    let others = other_relays(view, own);
    let mut chain: Vec<&Instance> = relay
        .into_iter()
        .chain(sync_sources)
        .chain(others)
        .collect();
    let mut seen = HashSet::new();
    chain.retain(|instance| instance.name != own && seen.insert(instance.name.as_str()));
    chain
}

/// Returns those who pass changes on in other data centres, a few of them: whoever still reads is among them when a
/// data centre has lost its own and both that read first.
fn other_relays<'a>(view: &'a View, own: &str) -> Vec<&'a Instance> {
    let own_data_centre = find_instance(view, own).map(|instance| instance.data_centre.as_str());
    let names: BTreeSet<&str> = live_instances(view)
        .map(|instance| instance.data_centre.as_str())
        .filter(|name| Some(*name) != own_data_centre)
        .collect();
    let firsts = names.into_iter().filter_map(|data_centre| {
        let order = owner_order(view, FEED_TASK, data_centre);
        order.into_iter().next()
    });
    let mut relays: Vec<&Instance> = firsts.collect();
    relays.sort_by_cached_key(|instance| Reverse(weight(instance, FEED_TASK, own)));
    relays.truncate(OTHER_RELAYS);
    relays
}

/// Tells whether others turn to `own` for what changed: then it does not wait for long with old news itself.
pub fn is_sync_source(view: &View, own: &str) -> bool {
    let roots = task_order(view, FEED_TASK, FEED_ROOTS);
    let is_root = roots.iter().any(|instance| instance.name == own);
    let is_large = live_instances(view).count() >= RELAY_FLEET;
    is_root || (is_large && relay(view, own).is_none())
}

/// Returns the instance that passes changes on within the data centre of `own`, if it is another one.
fn relay<'a>(view: &'a View, own: &str) -> Option<&'a Instance> {
    let data_centre = &find_instance(view, own)?.data_centre;
    let first = owner_order(view, FEED_TASK, data_centre).into_iter().next();
    first.filter(|instance| instance.name != own)
}

/// Walks the live instances of all data centres.
pub fn live_instances(view: &View) -> impl Iterator<Item = &Instance> {
    view.instances
        .iter()
        .filter(|instance| instance.presence == Presence::Live)
}

/// Borrows the listed instance with that name.
pub fn find_instance<'a>(view: &'a View, name: &str) -> Option<&'a Instance> {
    view.instances_by_name
        .get(name)
        .map(|&at| &view.instances[at])
}

/// Walks the listed backend servers of one pool.
pub fn pool_servers<'a>(
    view: &'a View,
    service: &str,
    area: &str,
) -> impl Iterator<Item = &'a BackendServer> {
    let pool = view.pools.get(service).and_then(|pools| pools.get(area));
    let positions = pool.map_or(&[][..], Vec::as_slice);
    positions.iter().map(|&at| &view.servers[at])
}

/// Returns the areas (data centres or regions) whose pool of `service` has a live backend server, those in `own`
/// first.
pub fn pool_areas<'a>(view: &'a View, service: &str, own: &[&str]) -> Vec<&'a str> {
    let is_live = |&at: &usize| view.servers[at].presence == Presence::Live;
    let pools = view.pools.get(service).into_iter().flatten();
    let mut names: Vec<&str> = pools
        .filter(|(_, positions)| positions.iter().any(&is_live))
        .map(|(area, _)| area.as_str())
        .collect();
    names.sort_by_key(|name| !own.contains(name));
    names
}

/// The weight of weighted rendezvous hashing, as bits that order like the number: a power of the capacity over the
/// negated logarithm of a number drawn evenly from 0 to 1.
fn weight(instance: &Instance, task: &str, area: &str) -> u64 {
    let drawn = (raw_weight(&instance.name, task, area) >> 11) as f64 + 0.5;
    let share = drawn / (1_u64 << 53) as f64;
    let capacity = f64::from(instance.capacity_permille.max(1)).powi(CAPACITY_POWER);
    (capacity / -share.ln()).to_bits()
}

fn raw_weight(instance: &str, service: &str, data_centre: &str) -> u64 {
    let mut hasher = XxHash64::with_seed(RENDEZVOUS_SEED);
    for part in [instance, service, data_centre] {
        hasher.write(part.as_bytes());
        hasher.write_u8(0);
    }
    hasher.finish()
}
