//! What a person wants to know of a node: what is out of service and why.

use {
    crate::{Node, Stage},
    owner::PoolState,
    permit::Standing,
    std::sync::atomic::Ordering,
    types::ServerIndex,
    wire::generated::{ServerStatus, StatusReport},
};

/// Returns what the node knows.
pub(crate) fn status(node: &Node) -> StatusReport {
    let mut servers = Vec::new();
    node.pools.for_each(|state| {
        for (index, _) in state.pool.servers.iter() {
            servers.extend(server_status(state, index));
        }
    });
    let current = node.active_config.load();
    let digest = current
        .as_deref()
        .map_or("", |in_force| in_force.accepted.digest.as_str());
    StatusReport {
        instance: node.settings.instance.clone(),
        data_centre: node.settings.data_centre.clone(),
        incarnation: node.incarnation,
        ready: is_ready(node),
        config_version: active_config_version(node),
        config_digest: digest.to_owned(),
        log_age_ms: log_age_ms(node),
        servers,
    }
}

fn server_status(state: &PoolState, index: ServerIndex) -> Option<ServerStatus> {
    let server = state.pool.servers.get(index)?;
    let health = state.health.servers.get(index)?;
    let note = state.server_meta.get(index)?;
    let reason = match (note.listed, note.draining, note.ejected, health.suspect) {
        (false, ..) => "not listed as live",
        (_, true, ..) => "says that it drains",
        (_, _, true, _) => "ejected by an accepted record",
        (_, _, _, true) => "its answers are worse than its peers'",
        _ => "",
    };
    Some(ServerStatus {
        service: state.service.clone(),
        data_centre: state.area.clone(),
        server: state.pool.names.name(index).to_owned(),
        standing: standing_name(server.standing, server.leaving).to_owned(),
        held: server.held,
        slots: server.slots,
        reason: reason.to_owned(),
        llr_milli: (health.llr * 1_000.0) as u64,
    })
}

/// Tells whether the node takes callers: it knows a configuration and the servers, and does not leave.
pub(crate) fn is_ready(node: &Node) -> bool {
    let knows_servers = node
        .feed
        .get()
        .is_none_or(|feed| feed::queries::has_server_list(feed));
    node.stage() == Stage::Running && knows_servers
}

/// Names a standing for people and metrics.
pub(crate) fn standing_name(standing: Standing, leaving: bool) -> &'static str {
    match (leaving, standing) {
        (true, _) => "leaving",
        (_, Standing::Good) => "good",
        (_, Standing::Suspect) => "suspect",
        (_, Standing::Ejected) => "ejected",
    }
}

/// Returns the time since the log was last read, in milliseconds.
pub(crate) fn log_age_ms(node: &Node) -> u64 {
    node.now_ms()
        .saturating_sub(node.last_log_read_ms.load(Ordering::SeqCst))
}

/// Returns the version in force on this node, 0 before the first.
pub(crate) fn active_config_version(node: &Node) -> u64 {
    let current = node.active_config.load();
    current
        .as_deref()
        .map_or(0, |in_force| in_force.accepted.version)
}
