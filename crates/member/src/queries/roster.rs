//! Queries over the roster.

use {
    crate::{
        roster::{report_version, Entry, Tombstone},
        BackendServer, Delta, ReportVersion, Roster, View,
    },
    std::collections::{BTreeMap, HashMap, HashSet},
    types::shard_hash,
};

/// Part of the servers, one in this many, whose absence is a sign that records have lapsed.
const LAPSED_ONE_IN: usize = 4;

/// Most removals of servers in a full list; bounds its size.
const RECENT_REMOVALS_MAX: usize = 256;

/// Returns the version of the roster; 0 before its first change.
pub fn list_version(roster: &Roster) -> u64 {
    roster.version
}

/// Returns the number of listed servers.
pub fn server_count(roster: &Roster) -> usize {
    roster.servers.len()
}

/// Returns whether servers that are missing from the roster are gone for certain: no grace period is running.
pub fn is_grace_over(roster: &Roster, now_ms: u64) -> bool {
    now_ms >= roster.grace_until_ms
}

/// Returns whether so many servers are missing from a full list that their records have lapsed, most likely, and the
/// servers are not gone: a quarter of all, or every server of a service.
pub fn have_records_lapsed<'a, Reports>(roster: &Roster, reports: Reports) -> bool
where
    Reports: Iterator<Item = &'a BackendServer>,
{
    let listed: HashSet<&str> = reports.map(|report| report.name.as_str()).collect();
    let is_missing = |name: &str| !listed.contains(name);
    let missing = roster.servers.keys().filter(|name| is_missing(name));
    let mut has_listed: HashMap<&str, bool> = HashMap::new();
    for (name, entry) in &roster.servers {
        *has_listed.entry(&entry.value.service).or_default() |= !is_missing(name);
    }
    missing.count() * LAPSED_ONE_IN >= roster.servers.len().max(1)
        || has_listed.values().any(|has_listed| !has_listed)
}

/// Returns the changes since version `since`; the full contents if `since` is 0, older than the tombstones kept, or
/// newer than the roster. Servers that are no longer listed but kept for a while are left out: other instances must not
/// take them for listed. The full contents include the newest removals of servers, since a late write may restore the
/// record of one of them.
pub fn delta(roster: &Roster, since: u64, now_ms: u64) -> Delta {
    let is_full = since == 0 || since < roster.compacted_version || since > roster.version;
    let after = if is_full { 0 } else { since };
    let servers = roster
        .servers
        .values()
        .filter(|entry| entry.changed_version > after && entry.expires_at_ms.is_none());
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
            .filter(move |tombstone| is_removed(roster, tombstone))
    };
    let gone_servers = if is_full {
        recent_removals(roster)
    } else {
        removed(true).map(server_removal).collect()
    };
    Delta {
        version: roster.version,
        is_full,
        removals_final: is_grace_over(roster, now_ms),
        servers: servers.map(|entry| entry.value.clone()).collect(),
        instances: instances.map(|entry| entry.value.clone()).collect(),
        gone_servers,
        refused_servers: refused_removals(roster),
        gone_instances: removed(false)
            .map(|tombstone| tombstone.name.clone())
            .collect(),
    }
}

fn server_removal(tombstone: &Tombstone) -> (String, ReportVersion) {
    (tombstone.name.clone(), tombstone.report_version)
}

fn last_removal<'a>(roster: &'a Roster, name: &str) -> Option<&'a Tombstone> {
    let mut newest_first = roster.tombstones.iter().rev();
    newest_first.find(|tombstone| tombstone.is_server && tombstone.name == name)
}

/// Returns whether any server of the roster is not among `names`.
pub fn has_missing_server<'a, Names>(roster: &Roster, names: Names) -> bool
where
    Names: Iterator<Item = &'a str>,
{
    let listed: HashSet<&str> = names.collect();
    let mut servers = roster.servers.keys();
    servers.any(|name| !listed.contains(name.as_str()))
}

/// Returns whether any of these reports is that of a removed server that would return without having started again. Its last
/// report before the removal may be one that this instance has not seen, so this one may be a late write.
pub fn has_returning_server<'a, Reports>(roster: &Roster, reports: Reports) -> bool
where
    Reports: Iterator<Item = &'a BackendServer>,
{
    let mut absent = reports.filter(|report| !roster.servers.contains_key(&report.name));
    absent.any(|report| {
        last_removal(roster, &report.name).is_some_and(|tombstone| {
            report.started_at_ms != 0
                && report.started_at_ms == tombstone.report_version.started_at_ms
                && !report_version(report).is_older(tombstone.report_version)
        })
    })
}

/// Returns the removals of servers in the changes of the platform's list, which are in their order and have no value for a
/// removal, each with the version of the newest report before it. Leaves out servers that have returned since.
pub fn logged_removals<'a, Changes>(changes: Changes) -> Vec<(String, ReportVersion)>
where
    Changes: Iterator<Item = (&'a str, Option<&'a BackendServer>)>,
{
    let mut newest: HashMap<&str, ReportVersion> = HashMap::new();
    let mut removals = BTreeMap::new();
    for (name, report) in changes {
        if let Some(report) = report {
            let version = newest.entry(name).or_default();
            if report_version(report) > *version {
                *version = report_version(report);
                removals.remove(name);
            }
        } else if let Some(version) = newest.get(name) {
            removals.insert(name, *version);
        }
    }
    let removals = removals.into_iter();
    removals
        .map(|(name, version)| (name.to_owned(), version))
        .collect()
}

/// Returns the newest removals of servers that have not returned, each with the version of the last report before it. Leaves
/// out the refused ones, of which that is not known.
pub fn recent_removals(roster: &Roster) -> Vec<(String, ReportVersion)> {
    let newest_first = roster.tombstones.iter().rev();
    let mut names = HashSet::new();
    newest_first
        .filter(|tombstone| tombstone.is_server && is_removed(roster, tombstone))
        .filter(|tombstone| names.insert(tombstone.name.as_str()))
        .take(RECENT_REMOVALS_MAX)
        .map(server_removal)
        .collect()
}

/// Returns the removals of the refused servers, each with the version of the last report before it.
pub fn refused_removals(roster: &Roster) -> Vec<(String, ReportVersion)> {
    let refused = roster.refused_servers.iter();
    let removals = refused.filter_map(|name| last_removal(roster, name));
    removals.map(server_removal).collect()
}

/// Returns a digest of the roster's contents that is equal in all processes with equal contents. Sequence numbers
/// and the length of the remaining warm-up are left out, since they change with every report.
pub fn digest(roster: &Roster) -> u64 {
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
    combined(server_digest(roster), instances)
}

/// Returns a digest of the roster's servers, as [`digest`] does for its whole contents.
pub fn server_digest(roster: &Roster) -> u64 {
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
    // An empty roster differs from 0, which stands for no list.
    combined(1, servers)
}

/// Combines hashes independently of their order.
fn combined<Hashes>(first: u64, hashes: Hashes) -> u64
where
    Hashes: Iterator<Item = u64>,
{
    hashes.fold(first, |digest, hash| digest ^ hash)
}

/// Returns a view of the roster; entries are sorted by name, so that all instances see the same order.
pub fn view(roster: &Roster) -> View {
    let instances = values(&roster.instances);
    let tombstones = roster.tombstones.iter();
    let removed = tombstones
        .filter(|tombstone| tombstone.is_server && !is_listed(roster, &tombstone.name, true))
        .map(|tombstone| tombstone.name.clone());
    View::new(roster.version, instances, values(&roster.servers))
        .with_removed_servers(removed.collect())
}

fn values<Value>(entries: &BTreeMap<String, Entry<Value>>) -> Vec<Value>
where
    Value: Clone,
{
    let values = entries.values().map(|entry| entry.value.clone());
    values.collect()
}

/// Returns whether the server or instance is known not to have returned since.
fn is_removed(roster: &Roster, tombstone: &Tombstone) -> bool {
    let is_refused = tombstone.is_server && roster.refused_servers.contains(&tombstone.name);
    !is_refused && !is_listed(roster, &tombstone.name, tombstone.is_server)
}

fn is_listed(roster: &Roster, name: &str, is_server: bool) -> bool {
    if is_server {
        roster.servers.contains_key(name)
    } else {
        roster.instances.contains_key(name)
    }
}
