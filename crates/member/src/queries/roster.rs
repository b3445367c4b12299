//! Queries over the roster.

use {
    crate::{roster::Entry, Delta, Roster, View},
    std::collections::HashMap,
    types::shard_hash,
};

/// Returns the version of the roster.
pub fn list_version(roster: &Roster) -> u64 {
    roster.version
}

/// Tells whether what the roster lacks is gone for certain.
pub fn is_grace_over(roster: &Roster, now_ms: u64) -> bool {
    now_ms >= roster.grace_until_ms
}

/// Returns what changed since version `since`; everything for 0 or a version too far back.
pub fn delta(roster: &Roster, since: u64, now_ms: u64) -> Delta {
    let is_full = since == 0 || since < roster.compacted_version || since > roster.version;
    let after = if is_full { 0 } else { since };
    let servers = roster
        .servers
        .values()
        .filter(|known| known.changed_version > after);
    let instances = roster
        .instances
        .values()
        .filter(|known| known.changed_version > after);
    let gone = |is_server: bool| {
        let tombstones = roster.tombstones.iter();
        tombstones
            .filter(move |tombstone| {
                !is_full && tombstone.changed_version > after && tombstone.is_server == is_server
            })
            .filter(move |tombstone| !is_listed(roster, &tombstone.name, is_server))
    };
    Delta {
        version: roster.version,
        is_full,
        removals_final: is_grace_over(roster, now_ms),
        servers: servers.map(|known| known.value.clone()).collect(),
        instances: instances.map(|known| known.value.clone()).collect(),
        gone_servers: gone(true)
            .map(|tombstone| (tombstone.name.clone(), tombstone.report_version))
            .collect(),
        gone_instances: gone(false)
            .map(|tombstone| tombstone.name.clone())
            .collect(),
    }
}

/// Returns a digest of what the roster lists, the same in all processes that list the same; counts of reports that
/// change nothing else are left out.
pub fn digest(roster: &Roster) -> u64 {
    let servers = roster.servers.values().map(|known| {
        let server = &known.value;
        let place = (
            &server.name,
            &server.service,
            &server.data_centre,
            &server.region,
        );
        let rest = (
            server.address,
            server.slots,
            server.presence,
            server.started_at_ms,
        );
        shard_hash(&(place, rest, server.warmup_left_ms == 0))
    });
    let instances = roster.instances.values().map(|known| {
        let instance = &known.value;
        let place = (&instance.name, &instance.data_centre, &instance.region);
        let rest = (
            instance.rpc_address,
            instance.presence,
            instance.incarnation,
        );
        shard_hash(&(place, rest, instance.capacity_permille))
    });
    // Order does not matter, and a list without entries is told from none.
    servers.chain(instances).fold(1, |sum, hash| sum ^ hash)
}

/// Indexes the roster; entries stand in order of their names, so that all instances see the same order.
pub fn view(roster: &Roster) -> View {
    let instances = in_order(&roster.instances);
    View::new(roster.version, instances, in_order(&roster.servers))
}

fn in_order<Value>(entries: &HashMap<String, Entry<Value>>) -> Vec<Value>
where
    Value: Clone,
{
    let mut entries: Vec<_> = entries.iter().collect();
    entries.sort_by_key(|&(name, _)| name);
    let values = entries.into_iter().map(|(_, known)| known.value.clone());
    values.collect()
}

fn is_listed(roster: &Roster, name: &str, is_server: bool) -> bool {
    if is_server {
        roster.servers.contains_key(name)
    } else {
        roster.instances.contains_key(name)
    }
}
