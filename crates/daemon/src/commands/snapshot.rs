//! Appends snapshots of the active configuration to the log, before the log's retention trims its last record.

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

/// Time between checks, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 500;
/// Time allowed for closing a gap with a peer's version before a snapshot closes it, in milliseconds.
const GAP_TIMEOUT_MS: u64 = 2_000;

/// Appends a snapshot whenever one is due and this node is responsible for it; never returns.
pub(crate) async fn append_snapshots(node: Arc<Node>) {
    loop {
        sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
        if !is_responsible(&node) {
            continue;
        }
        if let Some(accepted) = due_snapshot(&node) {
            let record = to_json(&convert::encode_config_event(
                &ConfigEvent::Snapshot(accepted),
                fastrand::u64(1..),
            ));
            if let Err(error) = append(&node.platform, CONFIG_STREAM, &record).await {
                debug!("appending a configuration snapshot failed: {error}");
            }
        }
    }
}

fn is_responsible(node: &Node) -> bool {
    let view = node.view.load();
    let responsible = task_owner(&view, CONFIG_STREAM);
    responsible.is_some_and(|responsible| responsible.name == node.settings.instance)
}

fn due_snapshot(node: &Node) -> Option<AcceptedConfig> {
    let now_ms = node.now_ms();
    node.config.with(0, |state| {
        let accepted = queries::accepted_config(&state.replica)?;
        let is_due =
            now_ms.saturating_sub(state.last_snapshot_ms) >= node.settings.snapshot_interval_ms;
        let has_lasting_gap = state
            .gap_since_ms
            .is_some_and(|since_ms| now_ms.saturating_sub(since_ms) >= GAP_TIMEOUT_MS);
        if !is_due && !has_lasting_gap {
            return None;
        }
        // Restarts both periods, so that a lost append is repeated after one of them, not at the next check.
        state.last_snapshot_ms = now_ms;
        state.gap_since_ms = state.gap_since_ms.map(|_| now_ms);
        Some(AcceptedConfig {
            through_offset: queries::next_offset(&state.replica).saturating_sub(1),
            ..accepted.clone()
        })
    })
}
