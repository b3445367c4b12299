//! Queries over the servers that take no requests from this instance.

use {
    crate::Node,
    member::{
        queries::{closed_reason, find_server, noticed_servers, pool_areas, pool_servers},
        ClosedReason, Presence, View,
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
            let Some(server) = find_server(view, name).filter(|server| server.service == service)
            else {
                continue;
            };
            let Some(reason) = closed_reason(notices, name, server.started_at_ms, now_ms) else {
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

/// Returns why `server` takes no requests from this instance, by what it told this instance.
pub(crate) fn server_closed_reason(node: &Node, server: &str) -> Option<ClosedReason> {
    let started_at_ms = server_start_ms(&node.view.load(), server);
    let now_ms = node.now_ms();
    node.server_notices.with(shard_hash(server), |notices| {
        closed_reason(notices, server, started_at_ms, now_ms)
    })
}

/// Returns the start of the listed server's process, in milliseconds since the Unix epoch; 0 if unknown.
pub(crate) fn server_start_ms(view: &View, server: &str) -> u64 {
    find_server(view, server).map_or(0, |server| server.started_at_ms)
}

fn has_other_live_server(node: &Node, view: &View, service: &str, closed: &ClosedServers) -> bool {
    let own_areas = [node.settings.data_centre.as_str(), node.settings.region()];
    pool_areas(view, service, &own_areas).iter().any(|area| {
        pool_servers(view, service, area)
            .any(|server| server.presence == Presence::Live && !closed.names.contains(&server.name))
    })
}
