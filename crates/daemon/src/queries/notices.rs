//! Queries over the servers that take no requests from this instance.

use {
    crate::Node,
    member::{
        queries::{
            closed_reason, find_server, named_limits, noticed_servers, pool_areas, pool_servers,
        },
        ClosedReason, Presence, ServerLimit, View,
    },
    types::shard_hash,
};

/// The servers of a service that take no requests from this instance.
pub(crate) struct ClosedServers {
    pub(crate) names: Vec<String>,
    /// Whether the service has no other live server.
    pub(crate) are_all: bool,
    /// Time until the first of them takes requests again, in milliseconds, unless all are leaving.
    pub(crate) reopen_ms: Option<u64>,
}

/// Returns the servers of `service` that told this instance that they take no requests from it.
pub(crate) fn closed_servers(node: &Node, view: &View, service: &str) -> ClosedServers {
    let now_ms = node.now_ms();
    let mut closed = ClosedServers {
        names: Vec::new(),
        are_all: false,
        reopen_ms: None,
    };
    node.server_notices.for_each(|notices| {
        for name in noticed_servers(notices) {
            if find_server(view, name).is_none_or(|server| server.service != service) {
                continue;
            }
            let Some(reason) = closed_reason(notices, view, name, now_ms) else {
                continue;
            };
            if let ClosedReason::WaitsUntil(until_ms) = reason {
                let wait_ms = until_ms - now_ms;
                closed.reopen_ms = Some(closed.reopen_ms.map_or(wait_ms, |ms| ms.min(wait_ms)));
            }
            closed.names.push(name.to_owned());
        }
    });
    closed.are_all =
        !closed.names.is_empty() && !has_other_live_server(node, view, service, &closed);
    closed
}

/// Returns the limits that servers of `service` have named to this instance.
pub(crate) fn limited_servers(node: &Node, view: &View, service: &str) -> Vec<ServerLimit> {
    let now_ms = node.now_ms();
    let mut limits = Vec::new();
    node.server_notices
        .for_each(|notices| limits.extend(named_limits(notices, view, service, now_ms)));
    limits
}

/// Returns why `server` must get no requests from this instance, by the list and by what it told this instance.
pub(crate) fn server_closed_reason(node: &Node, server: &str) -> Option<ClosedReason> {
    let view = node.view.load();
    let now_ms = node.now_ms();
    node.server_notices.with(shard_hash(server), |notices| {
        closed_reason(notices, &view, server, now_ms)
    })
}

fn has_other_live_server(node: &Node, view: &View, service: &str, closed: &ClosedServers) -> bool {
    let own_areas = [node.settings.data_centre.as_str(), node.settings.region()];
    pool_areas(view, service, &own_areas).iter().any(|area| {
        pool_servers(view, service, area)
            .any(|server| server.presence == Presence::Live && !closed.names.contains(&server.name))
    })
}
