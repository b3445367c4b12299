//! Status for operators: readiness, versions, and which servers are out of service and why.

use {
    crate::{Node, Stage},
    owner::PoolState,
    permit::Standing,
    std::sync::atomic::Ordering,
    types::ServerIndex,
    wire::generated::{ServerStatus, StatusReport},
};

/// Returns the status report of the node.
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
        .map_or("", |active| active.accepted.digest.as_str());
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
    let meta = state.server_meta.get(index)?;
    let reason = match (meta.listed, meta.draining, meta.ejected, health.suspect) {
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

/// Returns whether the node is ready: it knows a configuration and the list of servers, and is not shutting down.
pub(crate) fn is_ready(node: &Node) -> bool {
    let knows_servers = match node.feed.get() {
        Some(feed) => feed::queries::has_server_list(feed),
        None => node.view.load().version > 0,
    };
    node.stage() == Stage::Running && knows_servers
}

/// Returns the name of a standing in status reports, logs and metrics.
pub(crate) fn standing_name(standing: Standing, leaving: bool) -> &'static str {
    match (leaving, standing) {
        (true, _) => "leaving",
        (_, Standing::Good) => "good",
        (_, Standing::Suspect) => "suspect",
        (_, Standing::Ejected) => "ejected",
    }
}

/// Returns the time since the log was last read, in milliseconds; on a store platform, the age of the configuration and
/// the server list, whichever is older.
pub(crate) fn log_age_ms(node: &Node) -> u64 {
    if let Some(feed) = node.feed.get() {
        return feed::queries::source_age_ms(feed);
    }
    node.now_ms()
        .saturating_sub(node.last_log_read_ms.load(Ordering::SeqCst))
}

/// Returns the active configuration version of this node; 0 before the first.
pub(crate) fn active_config_version(node: &Node) -> u64 {
    let current = node.active_config.load();
    current
        .as_deref()
        .map_or(0, |active| active.accepted.version)
}
