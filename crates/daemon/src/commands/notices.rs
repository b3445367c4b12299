//! Records what backend servers say in their responses about further requests.

use {
    crate::Node,
    entry::Grant,
    log::info,
    member::{commands::record_notice, queries::server_start_ms, ServerNotice},
    serde_json::json,
    types::shard_hash,
};

/// Records a notice of the server that the slot was granted for.
pub(crate) fn record(node: &Node, grant: &Grant, notice: ServerNotice) {
    let server = grant.server.as_str();
    let started_at_ms = server_start_ms(&node.view.load(), server);
    let now_ms = node.now_ms();
    let is_news = node.server_notices.with(shard_hash(server), |notices| {
        record_notice(notices, server, started_at_ms, notice, now_ms)
    });
    if !is_news {
        return;
    }
    if let Some(limit_milli) = notice.limit_milli {
        let line = json!({
            "belief": "names a limit",
            "service": grant.service,
            "server": server,
            "limit_milli": limit_milli,
        });
        info!(target: "decision.belief", "{line}");
    }
    if notice.is_leaving || notice.wait_ms.is_some() {
        let line = json!({
            "belief": "takes no requests from this instance",
            "service": grant.service,
            "server": server,
            "leaving": notice.is_leaving,
            "wait_ms": notice.wait_ms,
        });
        info!(target: "decision.belief", "{line}");
    }
}
