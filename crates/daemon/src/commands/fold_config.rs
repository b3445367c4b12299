//! Follows the config stream.

use {
    crate::{
        node::{ActiveConfig, AppliedRecord, ConfigState},
        Node, Stage,
    },
    account::KeyIndex,
    config::{commands, queries, ApplyOutcome, DocumentIndex},
    log::{info, warn},
    serde_json::json,
    std::sync::{atomic::Ordering, Arc},
    stream::queries::{follow, StreamHandler},
    wire::{
        convert, from_json,
        generated::{ConfigKind, ConfigRecord, LogRecord},
    },
};

/// Name of the config stream.
pub(crate) const CONFIG_STREAM: &str = "config";
/// Records whose outcome is kept for the command that appended them.
const RECENT_OUTCOMES_MAX: usize = 256;

/// Follows the config stream; never returns.
pub(crate) async fn follow_config(node: Arc<Node>) {
    let clone = || Arc::clone(&node);
    let (for_offset, for_records, for_trim, for_loss) = (clone(), clone(), clone(), clone());
    let handler = StreamHandler {
        next_offset: Box::new(move || {
            for_offset
                .config
                .with(0, |state| queries::next_offset(&state.replica))
        }),
        handle_records: Box::new(move |response| {
            let now_ms = for_records.now_ms();
            for_records.last_log_read_ms.store(now_ms, Ordering::SeqCst);
            for record in &response.records {
                apply_record(&for_records, record);
            }
        }),
        should_continue: Box::new(|| true),
        on_trimmed: Box::new(move |first_offset, _| {
            let now_ms = for_trim.now_ms();
            for_trim.config.with(0, |state| {
                commands::skip_to(&mut state.replica, first_offset);
                state.gap_since_ms.get_or_insert(now_ms);
            });
        }),
        on_rolled_back: Box::new(move || {
            let now_ms = for_loss.now_ms();
            for_loss.config.with(0, |state| {
                commands::start_over(&mut state.replica);
                state.gap_since_ms.get_or_insert(now_ms);
            });
        }),
    };
    follow(&node.platform, CONFIG_STREAM, &handler).await;
}

fn apply_record(node: &Node, record: &LogRecord) {
    let parsed: Result<ConfigRecord, _> = from_json("config record", record.body.as_bytes());
    let decoded = match parsed {
        Ok(decoded) => decoded,
        Err(error) => {
            node.config.with(0, |state| {
                commands::skip_malformed(&mut state.replica, record.offset);
            });
            return warn!(
                "skipped the record at offset {} of the {CONFIG_STREAM} stream: {error}",
                record.offset
            );
        }
    };
    let event = convert::decode_config_event(&decoded);
    let now_ms = node.now_ms();
    let outcome = node.config.with(0, |state| {
        let outcome = commands::apply_event(&mut state.replica, record.offset, &event);
        if outcome == ApplyOutcome::InForce || decoded.kind == ConfigKind::Snapshot {
            state.last_snapshot_ms = now_ms;
        }
        remember_outcome(state, decoded.nonce, record.offset, outcome);
        outcome
    });
    info!(
        target: "decision.config", "{}",
        json!({
            "offset": record.offset,
            "kind": decoded.kind.to_string(),
            "principal": decoded.principal,
            "verdict": format!("{outcome:?}"),
        })
    );
    activate_config(node);
}

fn remember_outcome(state: &mut ConfigState, nonce: u64, offset: u64, outcome: ApplyOutcome) {
    state.recent_outcomes.push_back(AppliedRecord {
        nonce,
        offset,
        outcome,
    });
    if state.recent_outcomes.len() > RECENT_OUTCOMES_MAX {
        state.recent_outcomes.pop_front();
    }
}

/// Activates the replica's configuration version on this node and wakes the waiting commands.
pub(crate) fn activate_config(node: &Node) {
    node.config.with(0, |state| {
        if !queries::has_gap(&state.replica) {
            state.gap_since_ms = None;
        }
        let Some(accepted) = queries::accepted_config(&state.replica) else {
            return;
        };
        let active_version = crate::queries::active_config_version(node);
        // Under the shard's lock, so that an older version can't replace a newer one.
        if accepted.version > active_version {
            node.active_config.store(Some(Arc::new(ActiveConfig {
                index: DocumentIndex::new(&accepted.document),
                keys: KeyIndex::new(&accepted.document.accounts),
                accepted: accepted.clone(),
            })));
        }
    });
    if node.active_config.load().is_some() {
        node.advance_stage(Stage::Running);
    }
    node.config_changed.send_modify(|count| *count += 1);
}
