//! Applies readings and answers to the lists.

use {
    crate::{commands::publish_view, queries, Feed},
    log::{info, warn},
    member::{
        commands::{
            apply_delta, apply_instance_report, apply_server_report, expire_servers,
            remove_instance, remove_server, retain_instances, retain_servers, start_grace_period,
        },
        BackendServer, Instance, Presence,
    },
    serde_json::json,
    std::{collections::HashSet, sync::Arc, time::Duration},
    stream::{ListUpdate, PublishedConfig},
    tokio::time::sleep,
    wire::{
        convert,
        generated::{ListedInstance, SyncResponse},
    },
};

/// Time between looks for servers that did not come back after the platform's return, in milliseconds.
const SETTLE_INTERVAL_MS: u64 = 500;

/// Time without news after which records may have lapsed, in milliseconds: less than the three heartbeats of a second
/// and a half after which the platform drops them.
const LAPSE_MS: u64 = 3_500;

/// Puts what was read of the configuration in force.
pub(crate) fn configuration(feed: &Feed, reading: &ListUpdate<PublishedConfig>) {
    record_errors("configuration", &reading.record_errors);
    let now_ms = feed.now_ms();
    feed.state
        .with(0, |state| state.config_as_of_ms = Some(now_ms));
    for published in reading
        .changes
        .iter()
        .filter_map(|change| change.value.as_ref())
    {
        (feed.hooks.activate_config)(published);
    }
}

/// Applies what was read of the servers. If nothing was heard of them for so long that their records may have lapsed
/// while the platform was away, those that are missing get time to come back.
pub(crate) fn servers(feed: &Feed, reading: &ListUpdate<BackendServer>) {
    record_errors("server", &reading.record_errors);
    let now_ms = feed.now_ms();
    let changed = feed.state.with(0, |state| {
        let roster = &mut state.roster;
        let heard_ms = state.servers_as_of_ms.unwrap_or(now_ms);
        if now_ms.saturating_sub(heard_ms) >= LAPSE_MS {
            start_grace_period(roster, now_ms);
        }
        let mut changed = false;
        for change in &reading.changes {
            let did = match &change.value {
                Some(server) => apply_server_report(roster, server, now_ms),
                None => remove_server(roster, &change.name, now_ms),
            };
            if did {
                log_server(&change.name, change.value.as_ref());
            }
            changed |= did;
        }
        if reading.is_full {
            let reports = reading.changes.iter().filter_map(|c| c.value.as_ref());
            changed |= retain_servers(roster, now_ms, reports);
        }
        if reading.is_full || state.servers_as_of_ms.is_some() {
            state.servers_as_of_ms = Some(now_ms);
        }
        changed
    });
    if changed {
        publish_view(feed);
    }
}

/// Applies what was read of the instances.
pub(crate) fn instances(feed: &Feed, reading: &ListUpdate<Instance>) {
    record_errors("instance", &reading.record_errors);
    let own = feed.own.name.as_str();
    let changed = feed.state.with(0, |state| {
        let roster = &mut state.roster;
        let mut changed = false;
        for change in reading.changes.iter().filter(|change| change.name != own) {
            changed |= match &change.value {
                Some(instance) => apply_instance_report(roster, instance),
                None => remove_instance(roster, &change.name),
            };
        }
        if reading.is_full {
            let named: HashSet<&str> = reading.changes.iter().map(|c| c.name.as_str()).collect();
            changed |= retain_instances(roster, |name| name == own || named.contains(name));
        }
        changed
    });
    if changed {
        publish_view(feed);
    }
}

/// Applies another instance's answer. Its configuration counts whatever its age, since versions
/// only rise; its list only if it is fresh, or if nothing better is known.
pub(crate) fn peer_response(feed: &Feed, answer: &SyncResponse, is_fresh: bool) {
    if let Some(config) = &answer.config {
        (feed.hooks.activate_peer_config)(config);
    }
    let delta = match convert::decode_delta(answer) {
        Ok(delta) => delta,
        Err(error) => return warn!("another instance's list: {error}"),
    };
    if answer.source_age_ms >= queries::UNKNOWN_AGE_MS {
        return;
    }
    let now_ms = feed.now_ms();
    let changed = feed.state.with(0, |state| {
        let as_of_ms = now_ms.saturating_sub(answer.source_age_ms);
        if !is_fresh
            && state
                .servers_as_of_ms
                .is_some_and(|known_ms| known_ms >= as_of_ms)
        {
            return false;
        }
        let changed = apply_delta(&mut state.roster, &delta, &feed.own.name, as_of_ms);
        state.servers_as_of_ms = state.servers_as_of_ms.max(Some(as_of_ms));
        state.config_as_of_ms = state.config_as_of_ms.max(Some(as_of_ms));
        state.last_sync = (answer.feed, answer.list_version);
        changed
    });
    if changed {
        publish_view(feed);
    }
}

/// Notes an instance that asked this one: while the platform is away, restarted ones are heard of in this way only.
pub fn record_requester(feed: &Feed, requester: &ListedInstance) {
    let requester = match convert::decode_instance(requester) {
        Ok(requester) if requester.name != feed.own.name => requester,
        Ok(_) => return,
        Err(error) => return warn!("an asking instance: {error}"),
    };
    let changed = feed.state.with(0, |state| {
        apply_instance_report(&mut state.roster, &requester)
    });
    if changed {
        publish_view(feed);
    }
}

/// Drops, for ever, the servers that were missing at the platform's return and did not come back in time.
pub(crate) async fn expire_servers_loop(feed: Arc<Feed>) {
    loop {
        sleep(Duration::from_millis(SETTLE_INTERVAL_MS)).await;
        let now_ms = feed.now_ms();
        let changed = feed
            .state
            .with(0, |state| expire_servers(&mut state.roster, now_ms));
        if changed {
            publish_view(&feed);
        }
    }
}

fn record_errors(what: &str, record_errors: &[String]) {
    for fault in record_errors {
        warn!("{what} record that can't be used: {fault}");
    }
}

fn log_server(name: &str, server: Option<&BackendServer>) {
    let presence = match server.map(|server| server.presence) {
        Some(Presence::Live) => "live",
        Some(Presence::Leaving) => "leaving",
        None => "gone",
    };
    let (started_at_ms, sequence) =
        server.map_or((0, 0), |server| (server.started_at_ms, server.sequence));
    let line = json!({ "server": name, "belief": presence, "born_ms": started_at_ms, "sequence": sequence });
    info!(target: "decision.belief", "{line}");
}
