//! Waits for something to come true of what this node holds.

use tokio::{
    sync::watch,
    time::{timeout_at, Instant},
};

/// Looks at once and again with each change; nothing if there is nothing to return until `until`.
pub(crate) async fn wait_for_value<Found, Look>(
    changes: &watch::Sender<u64>,
    until: Instant,
    look: Look,
) -> Option<Found>
where
    Look: Fn() -> Option<Found>,
{
    let mut changed = changes.subscribe();
    loop {
        if let Some(found) = look() {
            return Some(found);
        }
        if timeout_at(until, changed.changed()).await.is_err() {
            return None;
        }
    }
}
