//! Queries over what servers have told this instance.

use crate::{ClosedReason, ServerNotices};

/// Returns why the process of `server` that started at `started_at_ms` must not be sent requests at `now_ms`.
pub fn closed_reason(
    notices: &ServerNotices,
    server: &str,
    started_at_ms: u64,
    now_ms: u64,
) -> Option<ClosedReason> {
    let said = notices.servers.get(server)?;
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
