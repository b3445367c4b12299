//! Repeats the version in force in the log before the log's retention trims it.

use {
    crate::{commands::fold_config::CONFIG_STREAM, Node},
    config::{queries, AcceptedConfig, ConfigEvent},
    log::debug,
    member::queries::task_owner,
    std::{sync::Arc, time::Duration},
    stream::commands::append,
    tokio::time::sleep,
    wire::{convert, to_json},
};

/// Time between looks, in milliseconds.
const LOOK_INTERVAL_MS: u64 = 500;
/// Time for which a gap is left to the peers before a snapshot closes it, in milliseconds.
const GAP_PATIENCE_MS: u64 = 2_000;

/// Looks for ever whether it is this node's turn to append a snapshot.
pub(crate) async fn append_snapshots(node: Arc<Node>) {
    loop {
        sleep(Duration::from_millis(LOOK_INTERVAL_MS)).await;
        if !is_first(&node) {
            continue;
        }
        if let Some(accepted) = due(&node) {
            let text = to_json(&convert::encode_config_event(
                &ConfigEvent::Snapshot(accepted),
                fastrand::u64(1..),
            ));
            if let Err(error) = append(&node.platform, CONFIG_STREAM, &text).await {
                debug!("snapshot: {error}");
            }
        }
    }
}

fn is_first(node: &Node) -> bool {
    let view = node.view.load();
    let first = task_owner(&view, CONFIG_STREAM);
    first.is_some_and(|first| first.name == node.settings.instance)
}

fn due(node: &Node) -> Option<AcceptedConfig> {
    let now_ms = node.now_ms();
    node.config.with(0, |state| {
        let accepted = queries::accepted_config(&state.replica)?;
        let old =
            now_ms.saturating_sub(state.last_snapshot_ms) >= node.settings.snapshot_interval_ms;
        let gap = state
            .gap_since_ms
            .is_some_and(|since_ms| now_ms.saturating_sub(since_ms) >= GAP_PATIENCE_MS);
        if !old && !gap {
            return None;
        }
        // Tried again after a second at the soonest if this append is lost.
        state.last_snapshot_ms = now_ms;
        state.gap_since_ms = state.gap_since_ms.map(|_| now_ms);
        Some(AcceptedConfig {
            through_offset: queries::next_offset(&state.replica).saturating_sub(1),
            ..accepted.clone()
        })
    })
}
