//! Reads the platform's list from time to time.

use {
    crate::Node,
    log::debug,
    std::{sync::Arc, time::Duration},
    stream::queries::read_members,
    tokio::time::sleep,
    wire::convert,
};

/// Time between readings of the list, in milliseconds; jitter up to a quarter is added.
const LIST_INTERVAL_MS: u64 = 800;

/// Time between readings while the list is still empty, in milliseconds.
const EMPTY_INTERVAL_MS: u64 = 50;

/// Reads the list for ever; while it is away the last reading stands.
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

/// Reads the list once.
pub(crate) async fn refresh_members(node: &Node) {
    let known_version = node.view.load().version;
    let list = match read_members(&node.platform, known_version).await {
        Ok(Some(list)) => list,
        Ok(None) => return,
        Err(error) => return debug!("reading the list: {error}"),
    };
    match convert::decode_member_list(&list) {
        Ok(view) => node.view.store(Arc::new(view)),
        Err(error) => log::warn!("the list is not valid: {error}"),
    }
}
