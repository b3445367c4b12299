//! Queries over the membership view and peer backoff.

use {
    crate::{BackendServer, Instance, PeerBackoffs, Presence, View},
    std::{
        cmp::Reverse,
        collections::{BTreeSet, HashSet},
        hash::Hasher,
    },
    twox_hash::XxHash64,
};

/// Seed of the rendezvous hash; all instances must use the same value.
const RENDEZVOUS_SEED: u64 = 0x6361_746b;
/// Name of the task of reading the platform for other instances; part of the rendezvous hash.
const FEED_TASK: &str = "feed";
/// Exponent of an instance's capacity in its rendezvous weight. It is greater than 1 because the work of a pool does
/// not shrink with its owner's capacity: where two of fifty instances have seven times the capacity of the others,
/// these two should own most pools.
const CAPACITY_POWER: i32 = 3;
/// Number of root instances, from which others get changes: the first reads the platform, the second gets changes from
/// the first and stands in for it.
const ROOT_COUNT: usize = 2;
/// Least number of live instances with which one relay in each data centre forwards changes; with fewer, two roots can
/// serve all others.
const RELAY_MIN_INSTANCES: usize = 64;
/// Number of relays in other data centres from which an instance gets changes when its nearer sources have no fresh
/// ones.
const REMOTE_RELAYS: usize = 4;

/// Returns whether `peer` must not be called at `now_ms` because of its recent failures.
pub fn is_in_backoff(peer_backoffs: &PeerBackoffs, peer: &str, now_ms: u64) -> bool {
    peer_backoffs
        .peers
        .get(peer)
        .is_some_and(|backoff| now_ms < backoff.backoff_until_ms)
}

/// Returns the live instances of `area` (a data centre or a region) in rendezvous order for (service, area), highest
/// weight first; large instances mostly come before small ones.
pub fn owner_order<'a>(view: &'a View, service: &str, area: &str) -> Vec<&'a Instance> {
    let positions = view.live_by_area.get(area).map_or(&[][..], Vec::as_slice);
    let mut live: Vec<&Instance> = positions.iter().map(|&at| &view.instances[at]).collect();
    live.sort_by_cached_key(|instance| Reverse(weight(instance, service, area)));
    live
}

/// Returns the live instance, of any data centre, that is first in rendezvous order for `task`.
pub fn task_owner<'a>(view: &'a View, task: &str) -> Option<&'a Instance> {
    live_instances(view).max_by_key(|instance| weight(instance, task, ""))
}

/// Returns the first `count` live instances, of any data centre, in rendezvous order for `task`, highest weight first.
pub fn task_order<'a>(view: &'a View, task: &str, count: usize) -> Vec<&'a Instance> {
    let mut live: Vec<&Instance> = live_instances(view).collect();
    live.sort_by_cached_key(|instance| Reverse(weight(instance, task, "")));
    live.truncate(count);
    live
}

/// Returns the instances from which `own` gets changes, in order of preference; none if it reads the platform itself.
/// Few instances read the platform. In a large fleet, a relay in each data centre forwards changes to the others there.
pub fn sync_sources<'a>(view: &'a View, own: &str) -> Vec<&'a Instance> {
    let data_centre = find_instance(view, own).map(|instance| instance.data_centre.as_str());
    ordered_sources(view, own, data_centre.filter(|_| has_relays(view)))
}

/// Returns the instances from which `own`, of that data centre, gets changes, as [`sync_sources`] does, if it knows only
/// the sources that [`source_directory`] returned to another instance.
pub fn listed_sources<'a>(directory: &'a View, own: &str, data_centre: &str) -> Vec<&'a Instance> {
    ordered_sources(directory, own, Some(data_centre))
}

/// Returns the instances from which those of any data centre get changes: the roots and a relay of each data centre.
pub fn source_directory(view: &View) -> Vec<&Instance> {
    let mut sources = task_order(view, FEED_TASK, ROOT_COUNT);
    let names: BTreeSet<&str> = live_instances(view)
        .map(|instance| instance.data_centre.as_str())
        .collect();
    sources.extend(names.into_iter().filter_map(|name| first_in(view, name)));
    let mut seen = HashSet::new();
    sources.retain(|instance| seen.insert(instance.name.as_str()));
    sources
}

/// Returns the relay of the data centre, if there is one, then the roots and the relays of other data centres.
fn ordered_sources<'a>(view: &'a View, own: &str, data_centre: Option<&str>) -> Vec<&'a Instance> {
    let mut roots = task_order(view, FEED_TASK, ROOT_COUNT);
    if roots.first().is_some_and(|first| first.name == own) {
        return Vec::new();
    }
    roots.retain(|instance| instance.name != own);
    let Some(data_centre) = data_centre else {
        return roots;
    };
    let relay = first_in(view, data_centre);
    let others = remote_relays(view, own, data_centre);
    let mut sources: Vec<&Instance> = relay.into_iter().chain(roots).chain(others).collect();
    let mut seen = HashSet::new();
    sources.retain(|instance| instance.name != own && seen.insert(instance.name.as_str()));
    sources
}

fn has_relays(view: &View) -> bool {
    live_instances(view).count() >= RELAY_MIN_INSTANCES
}

/// Returns the relays of some data centres other than `data_centre`. If a data centre can reach neither its own relay nor
/// the two roots, one of these relays may still read the platform.
fn remote_relays<'a>(view: &'a View, own: &str, data_centre: &str) -> Vec<&'a Instance> {
    let names: BTreeSet<&str> = live_instances(view)
        .map(|instance| instance.data_centre.as_str())
        .filter(|name| *name != data_centre)
        .collect();
    let firsts = names.into_iter().filter_map(|name| first_in(view, name));
    let mut relays: Vec<&Instance> = firsts.collect();
    relays.sort_by_cached_key(|instance| Reverse(weight(instance, FEED_TASK, own)));
    relays.truncate(REMOTE_RELAYS);
    relays
}

/// Returns whether other instances get changes from `own`. Such an instance tolerates only a short staleness itself.
pub fn is_sync_source(view: &View, own: &str) -> bool {
    let is_own = |instance: &&Instance| instance.name == own;
    if task_order(view, FEED_TASK, ROOT_COUNT).iter().any(is_own) {
        return true;
    }
    let relay = find_instance(view, own).and_then(|own| first_in(view, &own.data_centre));
    has_relays(view) && relay.as_ref().is_some_and(is_own)
}

/// Returns the first live instance of a data centre in rendezvous order, which is its relay in a large fleet.
fn first_in<'a>(view: &'a View, data_centre: &str) -> Option<&'a Instance> {
    owner_order(view, FEED_TASK, data_centre).into_iter().next()
}

/// Returns the number of listed instances, leaving ones included.
pub fn instance_count(view: &View) -> usize {
    view.instances.len()
}

/// Iterates over the listed instances of an area, which is a data centre or a region, leaving ones included.
pub fn instances_in_area<'a>(view: &'a View, area: &'a str) -> impl Iterator<Item = &'a Instance> {
    let is_in_area =
        move |instance: &&Instance| instance.data_centre == area || instance.region == area;
    view.instances.iter().filter(is_in_area)
}

/// Iterates over the live instances of all data centres.
pub fn live_instances(view: &View) -> impl Iterator<Item = &Instance> {
    view.instances
        .iter()
        .filter(|instance| instance.presence == Presence::Live)
}

/// Returns the listed instance with that name.
pub fn find_instance<'a>(view: &'a View, name: &str) -> Option<&'a Instance> {
    view.instances_by_name
        .get(name)
        .map(|&at| &view.instances[at])
}

/// Returns the listed backend server with that name.
pub fn find_server<'a>(view: &'a View, name: &str) -> Option<&'a BackendServer> {
    view.servers_by_name.get(name).map(|&at| &view.servers[at])
}

/// Iterates over the listed backend servers of one pool.
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

/// Returns the weight of weighted rendezvous hashing: a power of the capacity, divided by the negated logarithm of a
/// hash that is uniform in (0, 1). The result is the bit pattern of a positive float, which sorts like the number.
fn weight(instance: &Instance, task: &str, area: &str) -> u64 {
    let hashed = (rendezvous_hash(&instance.name, task, area) >> 11) as f64 + 0.5;
    let uniform = hashed / (1_u64 << 53) as f64;
    let capacity = f64::from(instance.capacity_permille.max(1)).powi(CAPACITY_POWER);
    (capacity / -uniform.ln()).to_bits()
}

fn rendezvous_hash(instance: &str, task: &str, area: &str) -> u64 {
    let mut hasher = XxHash64::with_seed(RENDEZVOUS_SEED);
    for part in [instance, task, area] {
        hasher.write(part.as_bytes());
        hasher.write_u8(0);
    }
    hasher.finish()
}
