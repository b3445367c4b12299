//! Waits for a condition on the node's state.

use tokio::{
    sync::watch,
    time::{timeout_at, Instant},
};

/// Calls `get` at once and after each change until it returns a value; `None` if it returns none by `deadline`.
pub(crate) async fn wait_for_value<Value, Get>(
    changes: &watch::Sender<u64>,
    deadline: Instant,
    get: Get,
) -> Option<Value>
where
    Get: Fn() -> Option<Value>,
{
    let mut changed = changes.subscribe();
    loop {
        if let Some(value) = get() {
            return Some(value);
        }
        if timeout_at(deadline, changed.changed()).await.is_err() {
            return None;
        }
    }
}
