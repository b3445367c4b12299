//! Queries over what servers have told this instance.

use crate::{queries::find_server, ClosedReason, Presence, ServerLimit, ServerNotices, View};

/// Returns why `server` must not be sent requests at `now_ms`, by the list and by what it said itself.
pub fn closed_reason(
    notices: &ServerNotices,
    view: &View,
    server: &str,
    now_ms: u64,
) -> Option<ClosedReason> {
    let listed = find_server(view, server);
    let is_unlisted = match listed {
        Some(listed) => listed.presence == Presence::Leaving,
        None => view.removed_servers.contains(server),
    };
    if is_unlisted {
        return Some(ClosedReason::Unlisted);
    }
    let said = notices.servers.get(server)?;
    let started_at_ms = server_start_ms(view, server);
    if started_at_ms <= said.started_at_ms && now_ms < said.leaving_until_ms {
        Some(ClosedReason::Leaving)
    } else if now_ms < said.wait_until_ms {
        Some(ClosedReason::WaitsUntil(said.wait_until_ms))
    } else {
        None
    }
}

/// Iterates over the names of the servers that have told this instance anything.
pub fn noticed_servers(notices: &ServerNotices) -> impl Iterator<Item = &str> {
    notices.servers.keys().map(String::as_str)
}

/// Returns the limits that servers of `service` have named to this instance and that still hold.
pub fn named_limits(
    notices: &ServerNotices,
    view: &View,
    service: &str,
    now_ms: u64,
) -> Vec<ServerLimit> {
    let limited = notices.servers.iter().filter(|(name, said)| {
        let listed = find_server(view, name);
        said.limit_milli > 0
            && listed.is_some_and(|server| {
                server.service == service && server.started_at_ms == said.started_at_ms
            })
    });
    let limits = limited.map(|(name, said)| ServerLimit {
        server: name.clone(),
        limit_milli: said.limit_milli,
        age_ms: now_ms.saturating_sub(said.limit_named_ms),
        started_at_ms: said.started_at_ms,
    });
    limits.collect()
}

/// Returns the start of the listed server's process, in milliseconds since the Unix epoch; 0 if unknown.
pub fn server_start_ms(view: &View, server: &str) -> u64 {
    find_server(view, server).map_or(0, |server| server.started_at_ms)
}
