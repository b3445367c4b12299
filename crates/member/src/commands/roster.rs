//! Commands that change the roster. Those that return a bool return whether other instances must learn of a change.

use {
    crate::{
        roster::{report_version, Entry, Tombstone},
        BackendServer, Delta, Instance, Presence, ReportVersion, Roster,
    },
    std::collections::{BTreeSet, HashSet},
};

/// Time within which lapsed records reappear after a platform outage, in milliseconds: the platform documents about
/// two seconds, and the rest allows for propagation delay.
const GRACE_PERIOD_MS: u64 = 2_300;
/// Most tombstones kept; a receiver that is further behind gets the full list.
const TOMBSTONES_MAX: usize = 1_024;

/// Applies a server's report that was current at `as_of_ms`, unless a newer report or a later removal of the server is
/// known.
pub fn apply_server_report(roster: &mut Roster, server: &BackendServer, as_of_ms: u64) -> bool {
    let report_version = report_version(server);
    note_copied_report(roster, &server.name, report_version);
    !is_stale(roster, &server.name, true, report_version, as_of_ms)
        && replace_report(roster, server, as_of_ms)
}

/// Applies the entry of a server in another instance's list that was current at `as_of_ms`. If that list is newer than the
/// server's removal but its report is older, the server is added to the refused ones, unless it has returned since.
fn apply_listed_server(roster: &mut Roster, server: &BackendServer, as_of_ms: u64) -> bool {
    let report_version = report_version(server);
    note_copied_report(roster, &server.name, report_version);
    let is_absent = !roster.servers.contains_key(&server.name);
    let tombstone = last_tombstone(roster, &server.name, true).filter(|_| is_absent);
    let is_refused = tombstone.is_some_and(|tombstone| {
        as_of_ms > tombstone.as_of_ms && report_version.is_older(tombstone.report_version)
    });
    if is_refused {
        roster.refused_servers.insert(server.name.clone());
        return false;
    }
    apply_server_report(roster, server, as_of_ms)
}

/// Takes the first report of a removed server after a loss of the store's records for one that the store had before the
/// removal.
fn note_copied_report(roster: &mut Roster, name: &str, report_version: ReportVersion) {
    if roster.servers.contains_key(name) {
        return;
    }
    let mut newest_first = roster.tombstones.iter_mut().rev();
    let last = newest_first.find(|tombstone| tombstone.is_server && tombstone.name == name);
    let Some(tombstone) = last.filter(|tombstone| tombstone.awaits_copied_report) else {
        return;
    };
    tombstone.awaits_copied_report = false;
    if report_version.started_at_ms == tombstone.report_version.started_at_ms {
        let copied = ReportVersion {
            is_lost_removal: true,
            ..report_version
        };
        tombstone.report_version = tombstone.report_version.max(copied);
    }
}

/// Applies the removal of a server after its report of that version, which may have been received from any instance at any
/// time: removes the server if its known report is older, or the same one and not known to have been listed after
/// `as_of_ms`, and keeps the removal for later reports. A server that is removed so is refused from then on, since the known
/// report may not be its last one.
fn apply_removal(
    roster: &mut Roster,
    name: &str,
    report_version: ReportVersion,
    as_of_ms: u64,
) -> bool {
    if let Some(entry) = roster.servers.get_mut(name) {
        let is_last = report_version.started_at_ms != 0
            && entry.report_version == report_version
            && entry.as_of_ms <= as_of_ms;
        if !is_last && !entry.report_version.is_older(report_version) {
            return false;
        }
        entry.report_version = report_version;
        let as_of_ms = entry.as_of_ms;
        roster.refused_servers.insert(name.to_owned());
        return remove_server_now(roster, name, as_of_ms);
    }
    let is_known = last_tombstone(roster, name, true)
        .is_some_and(|tombstone| !tombstone.report_version.is_older(report_version));
    if !is_known && report_version.started_at_ms != 0 {
        add_tombstone(roster, name, true, report_version, 0);
        return true;
    }
    false
}

/// Applies the removals because of which another instance refused servers, and marks what this one knows of them as changed,
/// so that the other receives it: a report newer than the removal, or that the server has not returned.
pub fn apply_refusals(roster: &mut Roster, removals: &[(String, ReportVersion)]) -> bool {
    let mut changed = false;
    for (name, report_version) in removals {
        changed |= apply_removal(roster, name, *report_version, 0);
        if let Some(entry) = roster.servers.get_mut(name) {
            roster.version += 1;
            entry.changed_version = roster.version;
            changed = true;
        } else if !roster.refused_servers.contains(name) {
            changed |= renew_tombstone(roster, name, 0);
        }
    }
    changed
}

/// Records that the refused servers have not returned; called after each update from the platform, current at `as_of_ms`,
/// in which a server that has returned is listed with its newest report.
pub fn confirm_refused(roster: &mut Roster, as_of_ms: u64) -> bool {
    let names = std::mem::take(&mut roster.refused_servers);
    names.iter().fold(false, |changed, name| {
        renew_tombstone(roster, name, as_of_ms) | changed
    })
}

/// Marks a removal that was known to be true at `as_of_ms` as changed, so that other instances learn that it is.
fn renew_tombstone(roster: &mut Roster, name: &str, as_of_ms: u64) -> bool {
    let Some(tombstone) = last_tombstone(roster, name, true) else {
        return false;
    };
    let report_version = tombstone.report_version;
    let as_of_ms = tombstone.as_of_ms.max(as_of_ms);
    let awaits_copied_report = tombstone.awaits_copied_report;
    roster
        .tombstones
        .retain(|tombstone| !tombstone.is_server || tombstone.name != name);
    add_tombstone(roster, name, true, report_version, as_of_ms);
    if let Some(tombstone) = roster.tombstones.back_mut() {
        tombstone.awaits_copied_report = awaits_copied_report;
    }
    true
}

/// Replaces the known report of a server unless it is newer.
fn replace_report(roster: &mut Roster, server: &BackendServer, as_of_ms: u64) -> bool {
    let report_version = report_version(server);
    if let Some(entry) = roster.servers.get_mut(&server.name) {
        if report_version.is_older(entry.report_version) {
            return false;
        }
        entry.report_version = report_version;
        entry.as_of_ms = entry.as_of_ms.max(as_of_ms);
        entry.expires_at_ms = None;
        if differs_only_in_counters(&entry.value, server) {
            // Not worth a delta, but later deltas must carry the newest sequence number.
            entry.value.sequence = server.sequence;
            return false;
        }
    }
    roster.version += 1;
    let entry = Entry {
        value: server.clone(),
        report_version,
        as_of_ms,
        changed_version: roster.version,
        expires_at_ms: None,
    };
    roster.servers.insert(server.name.clone(), entry);
    roster.refused_servers.remove(&server.name);
    true
}

/// Applies an instance's report unless a report of a newer process with the same name is known, even if that process
/// was removed since.
pub fn apply_instance_report(roster: &mut Roster, instance: &Instance) -> bool {
    let report_version = ReportVersion {
        started_at_ms: instance.incarnation,
        sequence: 0,
        is_lost_removal: false,
    };
    if is_stale(roster, &instance.name, false, report_version, u64::MAX) {
        return false;
    }
    if let Some(entry) = roster.instances.get(&instance.name) {
        // A process that is leaving never becomes live again; a restarted one has another incarnation.
        let has_left =
            entry.report_version == report_version && entry.value.presence == Presence::Leaving;
        if report_version.is_older(entry.report_version) || has_left || entry.value == *instance {
            return false;
        }
    }
    roster.version += 1;
    let entry = Entry {
        value: instance.clone(),
        report_version,
        as_of_ms: 0,
        changed_version: roster.version,
        expires_at_ms: None,
    };
    roster.instances.insert(instance.name.clone(), entry);
    true
}

/// Removes a server that the platform no longer lists. During the grace period after an outage its record may only have
/// lapsed, so the removal is then scheduled for the end of the period.
pub fn remove_server(roster: &mut Roster, name: &str, now_ms: u64) -> bool {
    if now_ms < roster.grace_until_ms {
        let until_ms = roster.grace_until_ms;
        if let Some(entry) = roster.servers.get_mut(name) {
            entry.expires_at_ms.get_or_insert(until_ms);
        }
        return false;
    }
    remove_server_now(roster, name, now_ms)
}

/// Removes an instance at once; the grace period applies to servers only. A process that was leaving does not return, also if
/// the store loses the record of its removal.
pub fn remove_instance(roster: &mut Roster, name: &str) -> bool {
    let Some(entry) = roster.instances.remove(name) else {
        return false;
    };
    let report_version = ReportVersion {
        is_lost_removal: entry.value.presence == Presence::Leaving,
        ..entry.report_version
    };
    add_tombstone(roster, name, false, report_version, 0);
    true
}

/// Removes, as [`remove_server`] does, the servers that are missing from a full read of the platform's list. A server
/// whose listed report is older than the known one counts as missing too: a delayed write has replaced a deleted
/// record. A running server overwrites it with its next report.
pub fn retain_servers<'a, Reports>(roster: &mut Roster, now_ms: u64, reports: Reports) -> bool
where
    Reports: Iterator<Item = &'a BackendServer>,
{
    let current: HashSet<&str> = reports
        .filter(|report| {
            let entry = roster.servers.get(&report.name);
            entry.is_some_and(|entry| !report_version(report).is_older(entry.report_version))
        })
        .map(|report| report.name.as_str())
        .collect();
    let names = roster.servers.keys();
    let missing: Vec<String> = names
        .filter(|name| !current.contains(name.as_str()))
        .cloned()
        .collect();
    missing.iter().fold(false, |changed, name| {
        remove_server(roster, name, now_ms) | changed
    })
}

/// Removes the instances for which `keep` returns false.
pub fn retain_instances<Keep>(roster: &mut Roster, keep: Keep) -> bool
where
    Keep: Fn(&str) -> bool,
{
    let names = roster.instances.keys().filter(|name| !keep(name));
    let missing: Vec<String> = names.cloned().collect();
    missing.iter().fold(false, |changed, name| {
        remove_instance(roster, name) | changed
    })
}

/// Starts the grace period; called when the platform responds again after an outage.
pub fn start_grace_period(roster: &mut Roster, now_ms: u64) {
    roster.grace_until_ms = now_ms + GRACE_PERIOD_MS;
}

/// Keeps what is known although the store has returned from an older copy of its records: removed servers return only with
/// a newer report, and the others get a grace period to report again, since the copy may lack them or list them with an
/// older report.
pub fn outlast_rollback(roster: &mut Roster, now_ms: u64) {
    let servers = &roster.servers;
    let removals = roster.tombstones.iter_mut();
    for tombstone in removals.filter(|it| it.is_server && !servers.contains_key(&it.name)) {
        // Without a start time, reports have no order across a loss.
        tombstone.report_version.is_lost_removal = tombstone.report_version.started_at_ms != 0;
        tombstone.awaits_copied_report = tombstone.report_version.is_lost_removal;
    }
    start_grace_period(roster, now_ms);
    roster.loss_grace_until_ms = roster.grace_until_ms;
}

/// Removes the servers that were missing after an outage and did not reappear within the grace period.
pub fn expire_servers(roster: &mut Roster, now_ms: u64) -> bool {
    let due =
        |entry: &Entry<BackendServer>| entry.expires_at_ms.is_some_and(|at_ms| at_ms <= now_ms);
    let servers = roster.servers.iter().filter(|(_, entry)| due(entry));
    let names: Vec<String> = servers.map(|(name, _)| name.clone()).collect();
    names.iter().fold(false, |changed, name| {
        remove_server_now(roster, name, now_ms) | changed
    })
}

/// Keeps the servers that were to be removed at the end of the grace period after a loss; called when another instance's
/// list, which then states their removal, replaces the platform's.
pub fn cancel_expiries(roster: &mut Roster) {
    if roster.grace_until_ms != roster.loss_grace_until_ms {
        return;
    }
    for entry in roster.servers.values_mut() {
        entry.expires_at_ms = None;
    }
}

/// Applies removals of servers, each with the version of the last report before it, of any age: from the platform's history
/// or another instance's delta, before the changes that came with them.
pub fn apply_removals(roster: &mut Roster, removals: &[(String, ReportVersion)]) -> bool {
    let removals = removals.iter();
    removals.fold(false, |changed, (name, report_version)| {
        apply_removal(roster, name, *report_version, 0) | changed
    })
}

/// Applies another instance's delta, which was current at `as_of_ms`. Its removals need no further grace period, since
/// the sender has already waited. Servers that are missing from a full list are removed only if the sender's grace
/// period is over. A server that is known to have been listed after `as_of_ms` is kept in either case, and so is one that
/// the sender refuses, unless the known report is older than its removal.
pub fn apply_delta(roster: &mut Roster, delta: &Delta, own_name: &str, as_of_ms: u64) -> bool {
    let mut changed = false;
    let formerly_refused = if delta.is_full {
        std::mem::take(&mut roster.refused_servers)
    } else {
        BTreeSet::new()
    };
    for server in &delta.servers {
        changed |= apply_listed_server(roster, server, as_of_ms);
    }
    for instance in delta
        .instances
        .iter()
        .filter(|other| other.name != own_name)
    {
        changed |= apply_instance_report(roster, instance);
    }
    for (name, report_version) in &delta.gone_servers {
        if let Some(entry) = roster.servers.get_mut(name) {
            if entry.as_of_ms > as_of_ms {
                continue;
            }
            entry.report_version = entry.report_version.max(*report_version);
        }
        changed |= remove_server_now(roster, name, as_of_ms);
        if roster.refused_servers.remove(name) {
            changed |= renew_tombstone(roster, name, as_of_ms);
        }
    }
    for (name, report_version) in &delta.refused_servers {
        changed |= apply_removal(roster, name, *report_version, as_of_ms);
        if !roster.servers.contains_key(name) {
            roster.refused_servers.insert(name.clone());
        }
    }
    for name in delta.gone_instances.iter().filter(|name| *name != own_name) {
        changed |= remove_instance(roster, name);
    }
    // The sender may have started after a loss of the store's records, and so have only what the store has.
    let is_in_grace = as_of_ms < roster.loss_grace_until_ms;
    if delta.is_full && delta.removals_final && !is_in_grace {
        changed |= remove_missing_servers(roster, delta, as_of_ms);
    }
    for name in formerly_refused {
        if roster.servers.contains_key(&name) || roster.refused_servers.contains(&name) {
            continue;
        }
        if delta.removals_final {
            changed |= renew_tombstone(roster, &name, as_of_ms);
        } else {
            roster.refused_servers.insert(name);
        }
    }
    changed
}

/// Removes the servers that are missing from a full list of another instance, which was current at `as_of_ms`.
fn remove_missing_servers(roster: &mut Roster, delta: &Delta, as_of_ms: u64) -> bool {
    let listed = delta.servers.iter().map(|server| server.name.as_str());
    let refused = delta.refused_servers.iter().map(|(name, _)| name.as_str());
    let kept: HashSet<&str> = listed.chain(refused).collect();
    let missing = roster
        .servers
        .iter()
        .filter(|(name, entry)| entry.as_of_ms <= as_of_ms && !kept.contains(name.as_str()));
    let names: Vec<String> = missing.map(|(name, _)| name.clone()).collect();
    names.iter().fold(false, |changed, name| {
        remove_server_now(roster, name, as_of_ms) | changed
    })
}

fn remove_server_now(roster: &mut Roster, name: &str, as_of_ms: u64) -> bool {
    let Some(entry) = roster.servers.remove(name) else {
        return false;
    };
    add_tombstone(roster, name, true, entry.report_version, as_of_ms);
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
        awaits_copied_report: is_server && report_version.is_lost_removal,
    });
    if roster.tombstones.len() > TOMBSTONES_MAX {
        if let Some(oldest) = roster.tombstones.pop_front() {
            roster.compacted_version = oldest.changed_version;
        }
    }
}

/// Returns whether the server or instance was removed after this report was made, or was known to be gone after
/// `as_of_ms`. Neither a write that the platform executed late nor an instance with outdated state may restore it.
fn is_stale(
    roster: &Roster,
    name: &str,
    is_server: bool,
    report_version: ReportVersion,
    as_of_ms: u64,
) -> bool {
    last_tombstone(roster, name, is_server).is_some_and(|tombstone| {
        report_version.is_older(tombstone.report_version)
            || (as_of_ms < tombstone.as_of_ms
                && report_version.started_at_ms <= tombstone.report_version.started_at_ms)
    })
}

fn last_tombstone<'a>(roster: &'a Roster, name: &str, is_server: bool) -> Option<&'a Tombstone> {
    let mut tombstones = roster.tombstones.iter().rev();
    tombstones.find(|tombstone| tombstone.is_server == is_server && tombstone.name == name)
}

/// Returns whether two reports differ only in sequence number or in how long the warm-up still lasts. Other instances
/// need not learn of either, only of the end of the warm-up.
fn differs_only_in_counters(known: &BackendServer, new: &BackendServer) -> bool {
    let same_warmup_state = (known.warmup_left_ms == 0) == (new.warmup_left_ms == 0);
    same_warmup_state
        && *known
            == BackendServer {
                sequence: known.sequence,
                warmup_left_ms: known.warmup_left_ms,
                ..new.clone()
            }
}
