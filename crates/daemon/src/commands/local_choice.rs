//! Chooses a backend server from this instance's own observations alone: the baseline policy, and the fallback
//! when no owner responds.

use {
    crate::{commands::credit, node::LocalServerState, queries::limited_servers, Node},
    entry::{AcquireRequest, AttemptOutcome, Grant, Refusal, Release},
    log::info,
    member::{
        queries::{pool_areas, pool_servers},
        BackendServer, Presence, View,
    },
    types::{shard_hash, ResultCode},
    wire::{generated::PlacementDecision, to_json},
};

/// Consecutive failures after which this instance avoids a server.
const CONSECUTIVE_FAILURES_MAX: u32 = 5;
/// Time for which this instance avoids such a server, in milliseconds.
const AVOID_MS: u64 = 30_000;
/// Time for which a server that could not be reached is excluded, in milliseconds. A network cut between two
/// hosts lasts for seconds, and another connection attempt costs a request a quarter of a second.
const UNREACHABLE_MS: u64 = 2_000;
/// Time after which a request that only servers with a limit could run may be sent again, in milliseconds; by then an owner
/// responds again, most likely.
const LIMITED_RETRY_MS: u64 = 500;
/// Chooses the less loaded of two random live servers, from the nearest pool that has one. Avoided servers are chosen
/// only in a pool without others.
///
/// # Errors
///
/// No pool has a live server that is not excluded, or the request is a retry and this instance has no credit for it. A
/// server that has named a limit is not chosen: this instance's part of it is less than a request in several seconds.
pub(crate) fn choose_server(node: &Node, request: &AcquireRequest) -> Result<Grant, Refusal> {
    let view = node.view.load();
    let mut request = request.clone();
    let limits = limited_servers(node, &view, &request.service);
    let has_limits = !limits.is_empty();
    let limited = limits.into_iter().map(|limit| limit.server);
    request.exclude.extend(limited);
    if request.previous_attempts > 0 && !credit::try_spend_own(node, &request.service) {
        return Err(Refusal::new(ResultCode::RetryBudgetSpent));
    }
    let own_areas = [node.settings.data_centre.as_str(), node.settings.region()];
    let nearest = pool_areas(&view, &request.service, &own_areas)
        .into_iter()
        .find_map(|area| choose_in_pool(node, &view, &request, area));
    let server = nearest.ok_or(if has_limits {
        Refusal {
            code: ResultCode::Overloaded,
            retry_after_ms: Some(LIMITED_RETRY_MS),
        }
    } else {
        Refusal::new(ResultCode::NoServer)
    })?;
    node.local_servers
        .with(shard_hash(&server.name), |servers| {
            servers.entry(server.name.clone()).or_default().in_flight += 1;
        });
    Ok(grant(server))
}

fn choose_in_pool<'a>(
    node: &Node,
    view: &'a View,
    request: &AcquireRequest,
    area: &str,
) -> Option<&'a BackendServer> {
    let now_ms = node.now_ms();
    let all: Vec<&BackendServer> = pool_servers(view, &request.service, area)
        .filter(|server| {
            server.presence == Presence::Live && !request.exclude.contains(&server.name)
        })
        .collect();
    let preferred: Vec<&BackendServer> = all
        .iter()
        .copied()
        .filter(|server| local_state(node, &server.name).avoid_until_ms <= now_ms)
        .collect();
    less_loaded(
        node,
        if preferred.is_empty() {
            &all
        } else {
            &preferred
        },
    )
}

/// Records the outcome of an attempt whose server was chosen locally.
pub(crate) fn release(node: &Node, release: &Release) {
    let now_ms = node.now_ms();
    node.local_servers
        .with(shard_hash(&release.grant.server), |servers| {
            let entry = servers.entry(release.grant.server.clone()).or_default();
            entry.in_flight = entry.in_flight.saturating_sub(1);
            if record_outcome(entry, release.outcome, now_ms) {
                log_avoided(release);
            }
        });
}

fn log_avoided(release: &Release) {
    let decision = PlacementDecision {
        service: release.grant.service.clone(),
        data_centre: release.grant.area.clone(),
        server: release.grant.server.clone(),
        standing: "avoided".to_owned(),
        reason: format!("{CONSECUTIVE_FAILURES_MAX} failures in a row at this instance"),
    };
    info!(target: "decision.placement", "{}", to_json(&decision));
}

/// Records that this instance could not connect to `server`; other instances may still reach it.
pub(crate) fn mark_unreachable(node: &Node, server: &str) {
    let now_ms = node.now_ms();
    node.local_servers.with(shard_hash(server), |servers| {
        let entry = servers.entry(server.to_owned()).or_default();
        entry.unreachable_until_ms = now_ms + UNREACHABLE_MS;
    });
}

/// Returns the servers of `service` that this instance recently could not reach; returns none if those are more than
/// half of the service's servers.
pub(crate) fn unreachable_servers(node: &Node, service: &str) -> Vec<String> {
    let now_ms = node.now_ms();
    let mut names = Vec::new();
    node.local_servers.for_each(|servers| {
        let unreachable = servers
            .iter()
            .filter(|(_, entry)| now_ms < entry.unreachable_until_ms);
        names.extend(unreachable.map(|(name, _)| name.clone()));
    });
    if names.is_empty() {
        return names;
    }
    let view = node.view.load();
    let own_areas = [node.settings.data_centre.as_str(), node.settings.region()];
    let mut listed_names = Vec::new();
    for area in pool_areas(&view, service, &own_areas) {
        listed_names.extend(pool_servers(&view, service, area).map(|server| server.name.as_str()));
    }
    names.retain(|name| listed_names.contains(&name.as_str()));
    if names.len() * 2 > listed_names.len() {
        names.clear();
    }
    names
}

/// Records an outcome; returns whether the server is avoided from now on.
fn record_outcome(entry: &mut LocalServerState, outcome: AttemptOutcome, now_ms: u64) -> bool {
    match outcome {
        AttemptOutcome::Completed => entry.consecutive_failures = 0,
        AttemptOutcome::Failed | AttemptOutcome::Overdue | AttemptOutcome::Unreachable => {
            entry.consecutive_failures += 1
        }
        AttemptOutcome::Misdirected => entry.consecutive_failures = CONSECUTIVE_FAILURES_MAX,
        AttemptOutcome::Shed | AttemptOutcome::Inconclusive => {}
    }
    if entry.consecutive_failures < CONSECUTIVE_FAILURES_MAX {
        return false;
    }
    entry.avoid_until_ms = now_ms + AVOID_MS;
    entry.consecutive_failures = 0;
    true
}

fn local_state(node: &Node, name: &str) -> LocalServerState {
    node.local_servers.with(shard_hash(name), |servers| {
        servers.get(name).copied().unwrap_or_default()
    })
}

fn less_loaded<'a>(node: &Node, servers: &[&'a BackendServer]) -> Option<&'a BackendServer> {
    if servers.is_empty() {
        return None;
    }
    let first = servers[fastrand::usize(..servers.len())];
    let second = servers[fastrand::usize(..servers.len())];
    let load = |server: &BackendServer| local_state(node, &server.name).in_flight;
    Some(if load(second) < load(first) {
        second
    } else {
        first
    })
}

fn grant(server: &BackendServer) -> Grant {
    Grant {
        service: server.service.clone(),
        area: server.data_centre.clone(),
        owner: String::new(),
        permit_id: 0,
        server: server.name.clone(),
        address: server.address,
        hedge_after_ms: 0,
        reason: "local choice",
    }
}
