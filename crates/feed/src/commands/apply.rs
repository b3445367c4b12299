//! Applies list updates from the platform and sync responses from peers.

use {
    crate::{
        commands::{
            era::observe_era, fetch::add_source, notify_waiters, publish_view,
            send_part::store_patch,
        },
        queries,
        state::{Announcement, FeedState, ListBase},
        Feed,
    },
    log::{info, warn},
    member::{
        commands::{
            apply_delta, apply_instance_report, apply_refusals, apply_removals,
            apply_server_report, cancel_expiries, confirm_refused, expire_servers, remove_instance,
            remove_server, retain_instances, retain_servers, start_grace_period,
        },
        queries::{have_records_lapsed, logged_removals, refused_removals},
        BackendServer, Delta, Instance, Presence, ReportVersion,
    },
    serde_json::json,
    std::{
        collections::{HashSet, VecDeque},
        sync::Arc,
        time::Duration,
    },
    stream::{ListUpdate, PublishedConfig},
    tokio::time::sleep,
    wire::{
        convert,
        generated::{ListedInstance, SyncRequest, SyncResponse},
    },
};

/// Interval of the check for servers that did not reappear after a platform outage, in milliseconds.
const EXPIRY_INTERVAL_MS: u64 = 500;

/// Most characters of an error that are logged.
const ERROR_MAX_CHARS: usize = 200;
/// Number of former versions of the configuration that are remembered.
const SUPERSEDED_MAX: usize = 16;

/// Time without an update of the server list after which records may have lapsed, in milliseconds. The platform deletes
/// a record after three missed heartbeats of 1.5 s each, so this is a little less.
const LAPSED_AFTER_MS: u64 = 3_500;

/// Activates the configuration that was read, which is current as of `as_of_ms`.
pub(crate) fn configuration(feed: &Feed, update: &ListUpdate<PublishedConfig>, as_of_ms: u64) {
    log_record_errors("configuration", &update.record_errors);
    let known_version = (feed.hooks.active_config_version)();
    for published in update
        .changes
        .iter()
        .filter_map(|change| change.value.as_ref())
    {
        let former_version = (feed.hooks.active_config_version)();
        if let Some(patch) = (feed.hooks.activate_config)(published) {
            feed.state
                .with(0, |state| store_patch(&mut state.patches, patch));
            record_superseded(feed, former_version);
        }
    }
    // Only once it is active, since others are told its age.
    feed.state.with(0, |state| {
        state.config_as_of_ms = state.config_as_of_ms.max(Some(as_of_ms));
        state.config_offset = state.config_offset.max(Some(update.next_offset));
    });
    log_new_version(feed, known_version, "platform");
    notify_waiters(feed);
}

/// Records until when a version that is no longer active was known to be current.
fn record_superseded(feed: &Feed, former_version: u64) {
    feed.state.with(0, |state| {
        if let Some(as_of_ms) = state.config_as_of_ms {
            state.superseded.push_back((former_version, as_of_ms));
        }
        if state.superseded.len() > SUPERSEDED_MAX {
            state.superseded.pop_front();
        }
    });
}

/// Records that another instance's version is active in place of `former_version`.
pub(crate) fn record_activation(feed: &Feed, former_version: u64, source: &str) {
    let version = (feed.hooks.active_config_version)();
    if version <= former_version {
        return;
    }
    record_superseded(feed, former_version);
    feed.state.with(0, |state| {
        let announced = state.announced.take_if(|it| it.version <= version);
        if let Some(announced) = announced {
            state.config_as_of_ms = state.config_as_of_ms.max(Some(announced.as_of_ms));
            state.config_offset = state.config_offset.max(announced.offset);
        }
    });
    log_new_version(feed, former_version, source);
}

/// Applies an update of the server list, which is current as of `as_of_ms`; returns whether it applies, and otherwise the
/// full list must be read again. If there was no update for so long that records may have lapsed during a platform outage, and
/// many servers are missing, these get a grace period to reappear.
pub(crate) fn servers(feed: &Feed, update: &ListUpdate<BackendServer>, as_of_ms: u64) -> bool {
    log_record_errors("server", &update.record_errors);
    let now_ms = feed.now_ms();
    let changed = feed.state.with(0, |state| {
        // Another instance's list that arrived during the read may be newer.
        let is_applicable = if update.is_full {
            state.peer_list_ms <= as_of_ms
        } else {
            state.base == ListBase::Platform
        };
        if !is_applicable {
            return None;
        }
        state.base = ListBase::Platform;
        let roster = &mut state.roster;
        let last_update_ms = state.servers_as_of_ms.unwrap_or(now_ms);
        let reports = || update.changes.iter().filter_map(|c| c.value.as_ref());
        if now_ms.saturating_sub(last_update_ms) >= LAPSED_AFTER_MS
            && update.is_full
            && have_records_lapsed(roster, reports())
        {
            start_grace_period(roster, now_ms);
        }
        let mut changed = false;
        for change in &update.changes {
            let is_changed = match &change.value {
                Some(server) => apply_server_report(roster, server, as_of_ms),
                None => remove_server(roster, &change.name, as_of_ms),
            };
            if is_changed {
                log_server(&change.name, change.value.as_ref());
            }
            changed |= is_changed;
        }
        if update.is_full {
            changed |= retain_servers(roster, as_of_ms, reports());
        }
        changed |= confirm_refused(roster, as_of_ms);
        state.servers_as_of_ms = state.servers_as_of_ms.max(Some(as_of_ms));
        Some(changed)
    });
    notify_of_list(feed, changed.unwrap_or(false));
    changed.is_some()
}

/// Applies the removals of servers in a part of the history of the platform's list.
pub(crate) fn history(feed: &Feed, history: &ListUpdate<BackendServer>) {
    let changes = history.changes.iter();
    let removals = logged_removals(changes.map(|it| (it.name.as_str(), it.value.as_ref())));
    let changed = feed
        .state
        .with(0, |state| apply_removals(&mut state.roster, &removals));
    if changed {
        publish_view(feed);
    }
}

/// Publishes the view if the list has changed; wakes the waiting sync requests in any case.
fn notify_of_list(feed: &Feed, is_changed: bool) {
    if is_changed {
        publish_view(feed);
    } else {
        notify_waiters(feed);
    }
}

/// Applies an update of the instance list. Instances that are missing from it are kept for a time after the store has lost
/// records.
pub(crate) fn instances(feed: &Feed, update: &ListUpdate<Instance>) {
    log_record_errors("instance", &update.record_errors);
    let own = feed.own.name.as_str();
    let changed = feed.state.with(0, |state| {
        // The sources are determined by the list from now on.
        let mut changed = update.is_full && !state.has_instance_list;
        state.has_instance_list |= update.is_full;
        let roster = &mut state.roster;
        for change in update.changes.iter().filter(|change| change.name != own) {
            changed |= match &change.value {
                Some(instance) => apply_instance_report(roster, instance),
                None => remove_instance(roster, &change.name),
            };
        }
        let are_kept = feed.now_ms() < state.keep_instances_until_ms;
        if update.is_full && !are_kept {
            let listed: HashSet<&str> = update.changes.iter().map(|c| c.name.as_str()).collect();
            changed |= retain_instances(roster, |name| name == own || listed.contains(name));
        }
        changed
    });
    if changed {
        publish_view(feed);
    }
}

/// Applies what the response of `peer` to a request sent at `sent_ms` says of the configuration: its age, or that there is a
/// newer version, whose document is then fetched.
pub(crate) fn peer_config(
    feed: &Feed,
    peer: &Instance,
    request: &SyncRequest,
    response: &SyncResponse,
    sent_ms: u64,
) {
    let version = (feed.hooks.active_config_version)();
    let Some(as_of_ms) = queries::config_as_of_ms(response, sent_ms) else {
        return;
    };
    let is_news = feed.state.with(0, |state| {
        // An offset of another era is void.
        let is_same_era = response.store_era == state.store_era.known();
        let offset = response.config_offset.filter(|_| is_same_era);
        if response.config_version <= version {
            if response.config_version == version {
                state.config_as_of_ms = state.config_as_of_ms.max(Some(as_of_ms));
                state.config_offset = state.config_offset.max(offset);
            }
            return false;
        }
        if request.known_version == version {
            let superseded_ms = queries::superseded_as_of_ms(response, sent_ms);
            state.config_as_of_ms = state.config_as_of_ms.max(superseded_ms);
        }
        let announced = state.announced.take();
        let announced = announced.filter(|it| it.version >= response.config_version);
        let announced = state.announced.insert(announced.unwrap_or(Announcement {
            version: response.config_version,
            as_of_ms,
            offset,
            sources: VecDeque::new(),
        }));
        let is_known = announced.version > response.config_version;
        if !is_known && !announced.sources.contains(peer) {
            add_source(announced, peer, false);
        }
        true
    });
    if is_news {
        notify_waiters(feed);
    }
}

/// Applies the list in a response to a request, which is current as of `as_of_ms`; none if its age is not known. The list
/// applies only if it is newer than the local one, and its changes only to the list that the request stated; without a list
/// the response may still have instances.
pub(crate) fn peer_list(
    feed: &Feed,
    request: &SyncRequest,
    response: &SyncResponse,
    as_of_ms: Option<u64>,
) {
    let delta = match convert::decode_delta(response) {
        Ok(delta) => delta,
        Err(error) => return warn!("invalid list in a sync response: {error}"),
    };
    let has_removals = feed.state.with(0, |state| {
        apply_removals(&mut state.roster, &delta.gone_servers)
            | apply_removals(&mut state.roster, &delta.refused_servers)
    });
    if has_removals {
        publish_view(feed);
    }
    if delta.version == 0 {
        return instance_changes(feed, &delta);
    }
    let Some(as_of_ms) = as_of_ms else {
        return;
    };
    let now_ms = feed.now_ms();
    let mut refused = Vec::new();
    let changed = feed.state.with(0, |state| {
        let is_newer = state.servers_as_of_ms < Some(as_of_ms);
        if !is_newer || !(delta.is_full || is_unchanged(state, request)) {
            return false;
        }
        // A new source sends all instances, also if it leaves out servers that are the same.
        let has_all_instances = delta.is_full || request.feed != response.feed;
        let is_first = has_all_instances && !state.has_instance_list;
        let changed = apply_delta(&mut state.roster, &delta, &feed.own.name, as_of_ms) || is_first;
        cancel_expiries(&mut state.roster);
        refused = refused_removals(&state.roster);
        state.servers_as_of_ms = Some(as_of_ms);
        state.has_instance_list |= has_all_instances;
        state.peer_list_ms = now_ms;
        state.base = ListBase::Peer {
            feed: response.feed,
            version: response.list_version,
        };
        changed
    });
    for (name, report_version) in &refused {
        log_removal(name, *report_version, "listed with an older report");
    }
    notify_of_list(feed, changed);
}

/// Applies changes of the instances alone, whose reports are ordered by the starts of the processes.
fn instance_changes(feed: &Feed, delta: &Delta) {
    let changed = feed.state.with(0, |state| {
        apply_delta(&mut state.roster, delta, &feed.own.name, 0)
    });
    notify_of_list(feed, changed);
}

/// Returns whether the list of servers is still the one that the request stated.
fn is_unchanged(state: &FeedState, request: &SyncRequest) -> bool {
    let stated = ListBase::Peer {
        feed: request.feed,
        version: request.known_list,
    };
    state.base == stated || state.server_digest == request.server_digest
}

/// Applies what a sync request says of its sender and of the store's era, and the removals because of which it refused servers of this instance's
/// list.
pub fn record_request(feed: &Feed, request: &SyncRequest) {
    record_requester(feed, &request.own);
    observe_era(feed, request.store_era, feed.now_ms(), &request.own.name);
    if request.refused_servers.is_empty() {
        return;
    }
    let refused = request.refused_servers.iter();
    let removals: Vec<(String, ReportVersion)> =
        refused.map(convert::decode_removed_server).collect();
    let changed = feed
        .state
        .with(0, |state| apply_refusals(&mut state.roster, &removals));
    for (name, report_version) in &removals {
        log_removal(name, *report_version, "refused by another instance");
    }
    if changed {
        publish_view(feed);
    }
}

/// Adds the instance that sent a sync request to the roster. During a platform outage this is the only way to learn of
/// restarted instances.
pub fn record_requester(feed: &Feed, requester: &ListedInstance) {
    let requester = match convert::decode_instance(requester) {
        Ok(requester) if requester.name != feed.own.name => requester,
        Ok(_) => return,
        Err(error) => return warn!("invalid instance record in a sync request: {error}"),
    };
    let changed = feed.state.with(0, |state| {
        apply_instance_report(&mut state.roster, &requester)
    });
    if changed {
        publish_view(feed);
    }
}

/// Periodically removes the servers that did not reappear within the grace period after a platform outage.
pub(crate) async fn expire_servers_loop(feed: Arc<Feed>) {
    loop {
        sleep(Duration::from_millis(EXPIRY_INTERVAL_MS)).await;
        let now_ms = feed.now_ms();
        let changed = feed
            .state
            .with(0, |state| expire_servers(&mut state.roster, now_ms));
        if changed {
            publish_view(&feed);
        }
    }
}

/// Logs from where a configuration newer than `known_version` came, and as of how long ago it is current.
fn log_new_version(feed: &Feed, known_version: u64, from: &str) {
    let version = (feed.hooks.active_config_version)();
    if version <= known_version {
        return;
    }
    let line = json!({
        "belief": "configuration received",
        "version": version,
        "known_version": known_version,
        "from": from,
        "own_age_ms": queries::config_age_ms(feed),
    });
    info!(target: "decision.config", "{line}");
}

fn log_record_errors(record_kind: &str, errors: &[String]) {
    for error in errors {
        // The message may repeat a value of the record, which may be of any length.
        let message: String = error.chars().take(ERROR_MAX_CHARS).collect();
        warn!("ignored an invalid {record_kind} record: {message}");
    }
}

/// Logs that a server whose removal followed the report of that version was listed all the same.
fn log_removal(name: &str, report_version: ReportVersion, reason: &str) {
    let line = json!({
        "server": name,
        "belief": "gone",
        "reason": reason,
        "born_ms": report_version.started_at_ms,
        "sequence": report_version.sequence,
    });
    info!(target: "decision.belief", "{line}");
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
