//! Polls the platform's list of members.

use {
    crate::Node,
    log::debug,
    std::{sync::Arc, time::Duration},
    stream::queries::read_members,
    tokio::time::sleep,
    wire::convert,
};

/// Polling interval, in milliseconds; jitter of up to a quarter of it is added.
const LIST_INTERVAL_MS: u64 = 800;

/// Polling interval while the list is still empty, in milliseconds.
const EMPTY_INTERVAL_MS: u64 = 50;

/// Polls the list; never returns. While the list is unavailable, the last view stays in use.
pub(crate) async fn poll_members(node: Arc<Node>) {
    loop {
        refresh_members(&node).await;
        let interval_ms = if node.view.load().version == 0 {
            EMPTY_INTERVAL_MS
        } else {
            LIST_INTERVAL_MS
        };
        let jitter_ms = fastrand::u64(0..=interval_ms / 4);
        sleep(Duration::from_millis(interval_ms + jitter_ms)).await;
    }
}

/// Reads the list once and replaces the view if it changed.
pub(crate) async fn refresh_members(node: &Node) {
    let known_version = node.view.load().version;
    let list = match read_members(&node.platform, known_version).await {
        Ok(Some(list)) => list,
        Ok(None) => return,
        Err(error) => return debug!("reading the member list failed: {error}"),
    };
    match convert::decode_member_list(&list) {
        Ok(view) => node.view.store(Arc::new(view)),
        Err(error) => log::warn!("the member list is invalid: {error}"),
    }
}
