//! Queries over the roster.

use {
    crate::{roster::Entry, Delta, Roster, View},
    std::collections::HashMap,
    types::shard_hash,
};

/// Returns the version of the roster; 0 before its first change.
pub fn list_version(roster: &Roster) -> u64 {
    roster.version
}

/// Returns whether servers that are missing from the roster are gone for certain: no grace period is running.
pub fn is_grace_over(roster: &Roster, now_ms: u64) -> bool {
    now_ms >= roster.grace_until_ms
}

/// Returns the changes since version `since`; the full contents if `since` is 0, older than the tombstones kept, or
/// newer than the roster.
pub fn delta(roster: &Roster, since: u64, now_ms: u64) -> Delta {
    let is_full = since == 0 || since < roster.compacted_version || since > roster.version;
    let after = if is_full { 0 } else { since };
    let servers = roster
        .servers
        .values()
        .filter(|entry| entry.changed_version > after);
    let instances = roster
        .instances
        .values()
        .filter(|entry| entry.changed_version > after);
    let removed = |is_server: bool| {
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
        servers: servers.map(|entry| entry.value.clone()).collect(),
        instances: instances.map(|entry| entry.value.clone()).collect(),
        gone_servers: removed(true)
            .map(|tombstone| (tombstone.name.clone(), tombstone.report_version))
            .collect(),
        gone_instances: removed(false)
            .map(|tombstone| tombstone.name.clone())
            .collect(),
    }
}

/// Returns a digest of the roster's contents that is equal in all processes with equal contents. Sequence numbers
/// and the length of the remaining warm-up are left out, since they change with every report.
pub fn digest(roster: &Roster) -> u64 {
    let servers = roster.servers.values().map(|entry| {
        let server = &entry.value;
        let location = (
            &server.name,
            &server.service,
            &server.data_centre,
            &server.region,
        );
        let attributes = (
            server.address,
            server.slots,
            server.presence,
            server.started_at_ms,
        );
        shard_hash(&(location, attributes, server.warmup_left_ms == 0))
    });
    let instances = roster.instances.values().map(|entry| {
        let instance = &entry.value;
        let location = (&instance.name, &instance.data_centre, &instance.region);
        let attributes = (
            instance.rpc_address,
            instance.presence,
            instance.incarnation,
        );
        shard_hash(&(location, attributes, instance.capacity_permille))
    });
    // Independent of the order of entries; an empty roster differs from 0, which stands for no list.
    servers
        .chain(instances)
        .fold(1, |digest, hash| digest ^ hash)
}

/// Returns a view of the roster; entries are sorted by name, so that all instances see the same order.
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
    let values = entries.into_iter().map(|(_, entry)| entry.value.clone());
    values.collect()
}

fn is_listed(roster: &Roster, name: &str, is_server: bool) -> bool {
    if is_server {
        roster.servers.contains_key(name)
    } else {
        roster.instances.contains_key(name)
    }
}
