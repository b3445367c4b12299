//! Commands that change the roster; each returns whether others must hear of it.

use {
    crate::{
        roster::{Grave, Known},
        BackendServer, Delta, Instance, Presence, Roster, Stamp,
    },
    std::collections::HashSet,
};

/// Time after the platform's return within which entries that lapsed come back, in milliseconds; the platform
/// says about two seconds, and a little is added for the way here.
const SETTLE_MS: u64 = 2_300;
/// Graves kept; a receiver that is further behind is given the whole list.
const GRAVES_MAX: usize = 1_024;

fn stamp_of(server: &BackendServer) -> Stamp {
    Stamp {
        born_ms: server.born_ms,
        sequence: server.sequence,
    }
}

/// Takes in a server's report, known as of `as_of_ms`, unless a newer one of the same server or its end is known.
pub fn report_server(roster: &mut Roster, server: &BackendServer, as_of_ms: u64) -> bool {
    let stamp = stamp_of(server);
    if is_stale(roster, &server.name, true, stamp, as_of_ms) {
        return false;
    }
    if let Some(known) = roster.servers.get_mut(&server.name) {
        if stamp.is_older(known.stamp) {
            return false;
        }
        known.stamp = stamp;
        known.as_of_ms = known.as_of_ms.max(as_of_ms);
        known.gone_at_ms = None;
        if same_but_counts(&known.value, server) {
            // Nothing to hear of, but whoever asks for the server later is to know how new this is.
            known.value.sequence = server.sequence;
            return false;
        }
    }
    roster.version += 1;
    let known = Known {
        value: server.clone(),
        stamp,
        as_of_ms,
        changed: roster.version,
        gone_at_ms: None,
    };
    roster.servers.insert(server.name.clone(), known);
    true
}

/// Takes in an instance's report unless a newer one of the same instance is known.
pub fn report_instance(roster: &mut Roster, instance: &Instance) -> bool {
    let stamp = Stamp {
        born_ms: instance.incarnation,
        sequence: 0,
    };
    if is_stale(roster, &instance.name, false, stamp, u64::MAX) {
        return false;
    }
    if let Some(known) = roster.instances.get(&instance.name) {
        // A process that leaves does not come back; its successor has another incarnation.
        let has_left = known.stamp == stamp && known.value.presence == Presence::Leaving;
        if stamp.is_older(known.stamp) || has_left || known.value == *instance {
            return false;
        }
    }
    roster.version += 1;
    let known = Known {
        value: instance.clone(),
        stamp,
        as_of_ms: 0,
        changed: roster.version,
        gone_at_ms: None,
    };
    roster.instances.insert(instance.name.clone(), known);
    true
}

/// Notes that the platform no longer has the server. Shortly after the platform's return it may only have
/// lapsed, so it then stays for a while.
pub fn drop_server(roster: &mut Roster, name: &str, now_ms: u64) -> bool {
    if now_ms < roster.unsettled_until_ms {
        let until_ms = roster.unsettled_until_ms;
        if let Some(known) = roster.servers.get_mut(name) {
            known.gone_at_ms.get_or_insert(until_ms);
        }
        return false;
    }
    remove_server(roster, name, now_ms)
}

/// Notes that an instance is gone.
pub fn drop_instance(roster: &mut Roster, name: &str) -> bool {
    let Some(known) = roster.instances.remove(name) else {
        return false;
    };
    bury(roster, name, false, known.stamp, 0);
    true
}

/// Drops the servers that a whole reading of the platform lacks, as [`drop_server`] does. One whose report is older
/// than a known one is missing as well: a write executed late stands there in place of a dropped record, and a
/// server that lives overwrites it with its next report.
pub fn retain_servers<'a, Reports>(roster: &mut Roster, now_ms: u64, reports: Reports) -> bool
where
    Reports: Iterator<Item = &'a BackendServer>,
{
    let current: HashSet<&str> = reports
        .filter(|report| {
            let known = roster.servers.get(&report.name);
            known.is_some_and(|known| !stamp_of(report).is_older(known.stamp))
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
        .fold(false, |any, name| drop_server(roster, name, now_ms) | any)
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
        .fold(false, |any, name| drop_instance(roster, name) | any)
}

/// Notes that the platform answers again after it was away.
pub fn source_back(roster: &mut Roster, now_ms: u64) {
    roster.unsettled_until_ms = now_ms + SETTLE_MS;
}

/// Drops the servers that were missing after the platform's return and did not come back in time.
pub fn settle(roster: &mut Roster, now_ms: u64) -> bool {
    let due = |known: &Known<BackendServer>| known.gone_at_ms.is_some_and(|at_ms| at_ms <= now_ms);
    let servers = roster.servers.iter().filter(|(_, known)| due(known));
    let names: Vec<String> = servers.map(|(name, _)| name.clone()).collect();
    names
        .iter()
        .fold(false, |any, name| remove_server(roster, name, now_ms) | any)
}

/// Takes in what another instance says has changed, which it knew as of `as_of_ms`. What it says is gone has been
/// waited for there; what a whole list lacks is only gone once its sender has settled.
pub fn merge(roster: &mut Roster, delta: &Delta, own: &str, as_of_ms: u64) -> bool {
    let mut any = false;
    for server in &delta.servers {
        any |= report_server(roster, server, as_of_ms);
    }
    for instance in delta.instances.iter().filter(|other| other.name != own) {
        any |= report_instance(roster, instance);
    }
    for (name, stamp) in &delta.gone_servers {
        if let Some(known) = roster.servers.get_mut(name) {
            if known.as_of_ms > as_of_ms {
                continue;
            }
            known.stamp = known.stamp.max(*stamp);
        }
        any |= remove_server(roster, name, as_of_ms);
    }
    for name in delta.gone_instances.iter().filter(|name| *name != own) {
        any |= drop_instance(roster, name);
    }
    if delta.whole && delta.settled {
        let listed = delta.servers.iter().map(|server| server.name.as_str());
        let listed: HashSet<&str> = listed.collect();
        let older = roster
            .servers
            .iter()
            .filter(|(name, known)| known.as_of_ms <= as_of_ms && !listed.contains(name.as_str()));
        let names: Vec<String> = older.map(|(name, _)| name.clone()).collect();
        for name in names {
            any |= remove_server(roster, &name, as_of_ms);
        }
    }
    any
}

fn remove_server(roster: &mut Roster, name: &str, as_of_ms: u64) -> bool {
    let Some(known) = roster.servers.remove(name) else {
        return false;
    };
    bury(roster, name, true, known.stamp, as_of_ms);
    true
}

fn bury(roster: &mut Roster, name: &str, is_server: bool, stamp: Stamp, as_of_ms: u64) {
    roster.version += 1;
    roster.graves.push_back(Grave {
        name: name.to_owned(),
        is_server,
        stamp,
        as_of_ms,
        changed: roster.version,
    });
    if roster.graves.len() > GRAVES_MAX {
        if let Some(oldest) = roster.graves.pop_front() {
            roster.graves_from = oldest.changed;
        }
    }
}

/// Tells whether a machine of that name left after this report, or was known to be gone when the report was known;
/// neither a write that the platform executed late nor an instance that heard nothing must bring it back.
fn is_stale(roster: &Roster, name: &str, is_server: bool, stamp: Stamp, as_of_ms: u64) -> bool {
    let mut graves = roster.graves.iter().rev();
    let last = graves.find(|grave| grave.is_server == is_server && grave.name == name);
    last.is_some_and(|grave| {
        stamp.is_older(grave.stamp)
            || (as_of_ms < grave.as_of_ms && stamp.born_ms <= grave.stamp.born_ms)
    })
}

/// A report that differs only in its count, or in how long the server stays cold, is nothing to hear of.
fn same_but_counts(known: &BackendServer, new: &BackendServer) -> bool {
    let same_cold = (known.cold_ms == 0) == (new.cold_ms == 0);
    same_cold
        && *known
            == BackendServer {
                sequence: known.sequence,
                cold_ms: known.cold_ms,
                ..new.clone()
            }
}
