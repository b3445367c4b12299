//! Commands that change the roster; each returns whether others must hear of it.

use {
    crate::{
        roster::{Entry, Tombstone},
        BackendServer, Delta, Instance, Presence, ReportVersion, Roster,
    },
    std::collections::HashSet,
};

/// Time after the platform's return within which entries that lapsed come back, in milliseconds; the platform
/// says about two seconds, and a little is added for the way here.
const GRACE_PERIOD_MS: u64 = 2_300;
/// Graves kept; a receiver that is further behind is given the whole list.
const TOMBSTONES_MAX: usize = 1_024;

fn report_version_of(server: &BackendServer) -> ReportVersion {
    ReportVersion {
        started_at_ms: server.started_at_ms,
        sequence: server.sequence,
    }
}

/// Takes in a server's report, known as of `as_of_ms`, unless a newer one of the same server or its end is known.
pub fn apply_server_report(roster: &mut Roster, server: &BackendServer, as_of_ms: u64) -> bool {
    let report_version = report_version_of(server);
    if is_stale(roster, &server.name, true, report_version, as_of_ms) {
        return false;
    }
    if let Some(known) = roster.servers.get_mut(&server.name) {
        if report_version.is_older(known.report_version) {
            return false;
        }
        known.report_version = report_version;
        known.as_of_ms = known.as_of_ms.max(as_of_ms);
        known.expires_at_ms = None;
        if same_but_counts(&known.value, server) {
            // Nothing to hear of, but whoever asks for the server later is to know how new this is.
            known.value.sequence = server.sequence;
            return false;
        }
    }
    roster.version += 1;
    let known = Entry {
        value: server.clone(),
        report_version,
        as_of_ms,
        changed_version: roster.version,
        expires_at_ms: None,
    };
    roster.servers.insert(server.name.clone(), known);
    true
}

/// Takes in an instance's report unless a newer one of the same instance is known.
pub fn apply_instance_report(roster: &mut Roster, instance: &Instance) -> bool {
    let report_version = ReportVersion {
        started_at_ms: instance.incarnation,
        sequence: 0,
    };
    if is_stale(roster, &instance.name, false, report_version, u64::MAX) {
        return false;
    }
    if let Some(known) = roster.instances.get(&instance.name) {
        // A process that leaves does not come back; its successor has another incarnation.
        let has_left =
            known.report_version == report_version && known.value.presence == Presence::Leaving;
        if report_version.is_older(known.report_version) || has_left || known.value == *instance {
            return false;
        }
    }
    roster.version += 1;
    let known = Entry {
        value: instance.clone(),
        report_version,
        as_of_ms: 0,
        changed_version: roster.version,
        expires_at_ms: None,
    };
    roster.instances.insert(instance.name.clone(), known);
    true
}

/// Notes that the platform no longer has the server. Shortly after the platform's return it may only have
/// lapsed, so it then stays for a while.
pub fn remove_server(roster: &mut Roster, name: &str, now_ms: u64) -> bool {
    if now_ms < roster.grace_until_ms {
        let until_ms = roster.grace_until_ms;
        if let Some(known) = roster.servers.get_mut(name) {
            known.expires_at_ms.get_or_insert(until_ms);
        }
        return false;
    }
    remove_server_now(roster, name, now_ms)
}

/// Notes that an instance is gone.
pub fn remove_instance(roster: &mut Roster, name: &str) -> bool {
    let Some(known) = roster.instances.remove(name) else {
        return false;
    };
    add_tombstone(roster, name, false, known.report_version, 0);
    true
}

/// Drops the servers that a whole reading of the platform lacks, as [`remove_server`] does. One whose report is older
/// than a known one is missing as well: a write executed late stands there in place of a dropped record, and a
/// server that lives overwrites it with its next report.
pub fn retain_servers<'a, Reports>(roster: &mut Roster, now_ms: u64, reports: Reports) -> bool
where
    Reports: Iterator<Item = &'a BackendServer>,
{
    let current: HashSet<&str> = reports
        .filter(|report| {
            let known = roster.servers.get(&report.name);
            known.is_some_and(|known| !report_version_of(report).is_older(known.report_version))
        })
        .map(|report| report.name.as_str())
        .collect();
    let names = roster.servers.keys();
    let missing: Vec<String> = names
        .filter(|name| !current.contains(name.as_str()))
        .cloned()
        .collect();
    missing
        .iter()
        .fold(false, |any, name| remove_server(roster, name, now_ms) | any)
}

/// Drops the instances that `keep` refuses.
pub fn retain_instances<Keep>(roster: &mut Roster, keep: Keep) -> bool
where
    Keep: Fn(&str) -> bool,
{
    let names = roster.instances.keys().filter(|name| !keep(name));
    let missing: Vec<String> = names.cloned().collect();
    missing
        .iter()
        .fold(false, |any, name| remove_instance(roster, name) | any)
}

/// Notes that the platform answers again after it was away.
pub fn start_grace_period(roster: &mut Roster, now_ms: u64) {
    roster.grace_until_ms = now_ms + GRACE_PERIOD_MS;
}

/// Drops the servers that were missing after the platform's return and did not come back in time.
pub fn expire_servers(roster: &mut Roster, now_ms: u64) -> bool {
    let due =
        |known: &Entry<BackendServer>| known.expires_at_ms.is_some_and(|at_ms| at_ms <= now_ms);
    let servers = roster.servers.iter().filter(|(_, known)| due(known));
    let names: Vec<String> = servers.map(|(name, _)| name.clone()).collect();
    names.iter().fold(false, |any, name| {
        remove_server_now(roster, name, now_ms) | any
    })
}

/// Takes in what another instance says has changed, which it knew as of `as_of_ms`. What it says is gone has been
/// waited for there; what a whole list lacks is only gone once its sender has settled.
pub fn apply_delta(roster: &mut Roster, delta: &Delta, own: &str, as_of_ms: u64) -> bool {
    let mut any = false;
    for server in &delta.servers {
        any |= apply_server_report(roster, server, as_of_ms);
    }
    for instance in delta.instances.iter().filter(|other| other.name != own) {
        any |= apply_instance_report(roster, instance);
    }
    for (name, report_version) in &delta.gone_servers {
        if let Some(known) = roster.servers.get_mut(name) {
            if known.as_of_ms > as_of_ms {
                continue;
            }
            known.report_version = known.report_version.max(*report_version);
        }
        any |= remove_server_now(roster, name, as_of_ms);
    }
    for name in delta.gone_instances.iter().filter(|name| *name != own) {
        any |= remove_instance(roster, name);
    }
    if delta.is_full && delta.removals_final {
        let listed = delta.servers.iter().map(|server| server.name.as_str());
        let listed: HashSet<&str> = listed.collect();
        let older = roster
            .servers
            .iter()
            .filter(|(name, known)| known.as_of_ms <= as_of_ms && !listed.contains(name.as_str()));
        let names: Vec<String> = older.map(|(name, _)| name.clone()).collect();
        for name in names {
            any |= remove_server_now(roster, &name, as_of_ms);
        }
    }
    any
}

fn remove_server_now(roster: &mut Roster, name: &str, as_of_ms: u64) -> bool {
    let Some(known) = roster.servers.remove(name) else {
        return false;
    };
    add_tombstone(roster, name, true, known.report_version, as_of_ms);
    true
}

fn add_tombstone(
    roster: &mut Roster,
    name: &str,
    is_server: bool,
    report_version: ReportVersion,
    as_of_ms: u64,
) {
    roster.version += 1;
    roster.tombstones.push_back(Tombstone {
        name: name.to_owned(),
        is_server,
        report_version,
        as_of_ms,
        changed_version: roster.version,
    });
    if roster.tombstones.len() > TOMBSTONES_MAX {
        if let Some(oldest) = roster.tombstones.pop_front() {
            roster.compacted_version = oldest.changed_version;
        }
    }
}

/// Tells whether a machine of that name left after this report, or was known to be gone when the report was known;
/// neither a write that the platform executed late nor an instance that heard nothing must bring it back.
fn is_stale(
    roster: &Roster,
    name: &str,
    is_server: bool,
    report_version: ReportVersion,
    as_of_ms: u64,
) -> bool {
    let mut tombstones = roster.tombstones.iter().rev();
    let last =
        tombstones.find(|tombstone| tombstone.is_server == is_server && tombstone.name == name);
    last.is_some_and(|tombstone| {
        report_version.is_older(tombstone.report_version)
            || (as_of_ms < tombstone.as_of_ms
                && report_version.started_at_ms <= tombstone.report_version.started_at_ms)
    })
}

/// A report that differs only in its count, or in how long the server stays cold, is nothing to hear of.
fn same_but_counts(known: &BackendServer, new: &BackendServer) -> bool {
    let same_cold = (known.warmup_left_ms == 0) == (new.warmup_left_ms == 0);
    same_cold
        && *known
            == BackendServer {
                sequence: known.sequence,
                warmup_left_ms: known.warmup_left_ms,
                ..new.clone()
            }
}
