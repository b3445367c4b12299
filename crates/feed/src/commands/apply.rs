//! Applies readings and answers to the lists.

use {
    crate::{commands::publish, queries, Feed},
    log::{info, warn},
    member::{
        commands::{
            drop_instance, drop_server, merge, report_instance, report_server, retain_instances,
            retain_servers, settle as settle_roster, source_back,
        },
        BackendServer, Instance, Presence,
    },
    serde_json::json,
    std::{collections::HashSet, sync::Arc, time::Duration},
    stream::{Published, Reading},
    tokio::time::sleep,
    wire::{
        convert,
        generated::{ListedInstance, SyncAnswer},
    },
};

/// Time between looks for servers that did not come back after the platform's return, in milliseconds.
const SETTLE_INTERVAL_MS: u64 = 500;

/// Time without news after which records may have lapsed, in milliseconds: less than the three heartbeats of a second
/// and a half after which the platform drops them.
const LAPSE_MS: u64 = 3_500;

/// Puts what was read of the configuration in force.
pub(crate) fn configuration(feed: &Feed, reading: &Reading<Published>) {
    faults("configuration", &reading.faults);
    let now_ms = feed.now_ms();
    feed.lists
        .with(0, |lists| lists.config_as_of_ms = Some(now_ms));
    for published in reading
        .changes
        .iter()
        .filter_map(|change| change.value.as_ref())
    {
        (feed.hooks.put_in_force)(published);
    }
}

/// Applies what was read of the servers. If nothing was heard of them for so long that their records may have lapsed
/// while the platform was away, those that are missing get time to come back.
pub(crate) fn servers(feed: &Feed, reading: &Reading<BackendServer>) {
    faults("server", &reading.faults);
    let now_ms = feed.now_ms();
    let changed = feed.lists.with(0, |lists| {
        let roster = &mut lists.roster;
        let heard_ms = lists.as_of_ms.unwrap_or(now_ms);
        if now_ms.saturating_sub(heard_ms) >= LAPSE_MS {
            source_back(roster, now_ms);
        }
        let mut changed = false;
        for change in &reading.changes {
            let did = match &change.value {
                Some(server) => report_server(roster, server, now_ms),
                None => drop_server(roster, &change.name, now_ms),
            };
            if did {
                log_server(&change.name, change.value.as_ref());
            }
            changed |= did;
        }
        if reading.whole {
            let reports = reading.changes.iter().filter_map(|c| c.value.as_ref());
            changed |= retain_servers(roster, now_ms, reports);
        }
        if reading.whole || lists.as_of_ms.is_some() {
            lists.as_of_ms = Some(now_ms);
        }
        changed
    });
    if changed {
        publish(feed);
    }
}

/// Applies what was read of the instances.
pub(crate) fn instances(feed: &Feed, reading: &Reading<Instance>) {
    faults("instance", &reading.faults);
    let own = feed.own.name.as_str();
    let changed = feed.lists.with(0, |lists| {
        let roster = &mut lists.roster;
        let mut changed = false;
        for change in reading.changes.iter().filter(|change| change.name != own) {
            changed |= match &change.value {
                Some(instance) => report_instance(roster, instance),
                None => drop_instance(roster, &change.name),
            };
        }
        if reading.whole {
            let named: HashSet<&str> = reading.changes.iter().map(|c| c.name.as_str()).collect();
            changed |= retain_instances(roster, |name| name == own || named.contains(name));
        }
        changed
    });
    if changed {
        publish(feed);
    }
}

/// Applies another instance's answer. Its configuration counts whatever its age, since versions
/// only rise; its list only if it is fresh, or if nothing better is known.
pub(crate) fn answer(feed: &Feed, answer: &SyncAnswer, is_fresh: bool) {
    if let Some(config) = &answer.config {
        (feed.hooks.adopt)(config);
    }
    let delta = match convert::delta(answer) {
        Ok(delta) => delta,
        Err(error) => return warn!("another instance's list: {error}"),
    };
    if answer.source_age_ms >= queries::NEVER_WHOLE_MS {
        return;
    }
    let now_ms = feed.now_ms();
    let changed = feed.lists.with(0, |lists| {
        let as_of_ms = now_ms.saturating_sub(answer.source_age_ms);
        if !is_fresh && lists.as_of_ms.is_some_and(|known_ms| known_ms >= as_of_ms) {
            return false;
        }
        let changed = merge(&mut lists.roster, &delta, &feed.own.name, as_of_ms);
        lists.as_of_ms = lists.as_of_ms.max(Some(as_of_ms));
        lists.config_as_of_ms = lists.config_as_of_ms.max(Some(as_of_ms));
        lists.taken_from = (answer.feed, answer.list_version);
        changed
    });
    if changed {
        publish(feed);
    }
}

/// Notes an instance that asked this one: while the platform is away, restarted ones are heard of in this way only.
pub fn note_asker(feed: &Feed, asker: &ListedInstance) {
    let asker = match convert::instance(asker) {
        Ok(asker) if asker.name != feed.own.name => asker,
        Ok(_) => return,
        Err(error) => return warn!("an asking instance: {error}"),
    };
    let changed = feed
        .lists
        .with(0, |lists| report_instance(&mut lists.roster, &asker));
    if changed {
        publish(feed);
    }
}

/// Drops, for ever, the servers that were missing at the platform's return and did not come back in time.
pub(crate) async fn settle(feed: Arc<Feed>) {
    loop {
        sleep(Duration::from_millis(SETTLE_INTERVAL_MS)).await;
        let now_ms = feed.now_ms();
        let changed = feed
            .lists
            .with(0, |lists| settle_roster(&mut lists.roster, now_ms));
        if changed {
            publish(&feed);
        }
    }
}

fn faults(what: &str, faults: &[String]) {
    for fault in faults {
        warn!("{what} record that can't be used: {fault}");
    }
}

fn log_server(name: &str, server: Option<&BackendServer>) {
    let state = match server.map(|server| server.presence) {
        Some(Presence::Live) => "live",
        Some(Presence::Leaving) => "leaving",
        None => "gone",
    };
    let (born_ms, sequence) = server.map_or((0, 0), |server| (server.born_ms, server.sequence));
    let line = json!({ "server": name, "belief": state, "born_ms": born_ms, "sequence": sequence });
    info!(target: "decision.belief", "{line}");
}
