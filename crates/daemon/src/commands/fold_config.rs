//! Follows the config stream.

use {
    crate::{
        node::{ActiveConfig, AppliedRecord, ConfigState},
        Node, Stage,
    },
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
/// Appended records whose verdict is kept for whoever waits for it.
const TAKEN_MAX: usize = 256;

/// Follows the config stream for ever.
pub(crate) async fn follow_config(node: Arc<Node>) {
    let (for_offset, for_take, for_skip) =
        (Arc::clone(&node), Arc::clone(&node), Arc::clone(&node));
    let follower = StreamHandler {
        next_offset: Box::new(move || {
            for_offset
                .config
                .with(0, |state| queries::next_offset(&state.replica))
        }),
        handle_records: Box::new(move |answer| {
            let now_ms = for_take.now_ms();
            for_take.last_log_read_ms.store(now_ms, Ordering::SeqCst);
            for record in &answer.records {
                take(&for_take, record);
            }
        }),
        should_continue: Box::new(|| true),
        on_trimmed: Box::new(move |first_offset, _| {
            let now_ms = for_skip.now_ms();
            for_skip.config.with(0, |state| {
                commands::skip_to(&mut state.replica, first_offset);
                state.gap_since_ms.get_or_insert(now_ms);
            });
        }),
    };
    follow(&node.platform, CONFIG_STREAM, &follower).await;
}

fn take(node: &Node, record: &LogRecord) {
    let parsed: Result<ConfigRecord, _> = from_json("config record", record.body.as_bytes());
    let text = match parsed {
        Ok(text) => text,
        Err(error) => {
            node.config.with(0, |state| {
                commands::skip_malformed(&mut state.replica, record.offset);
            });
            return warn!("offset {} of {CONFIG_STREAM}: {error}", record.offset);
        }
    };
    let entry = convert::decode_config_event(&text);
    let now_ms = node.now_ms();
    let outcome = node.config.with(0, |state| {
        let outcome = commands::apply_event(&mut state.replica, record.offset, &entry);
        if outcome == ApplyOutcome::InForce || text.kind == ConfigKind::Snapshot {
            state.last_snapshot_ms = now_ms;
        }
        remember(state, text.nonce, record.offset, outcome);
        outcome
    });
    info!(
        target: "decision.config", "{}",
        json!({
            "offset": record.offset,
            "kind": text.kind.to_string(),
            "principal": text.principal,
            "verdict": format!("{outcome:?}"),
        })
    );
    activate_config(node);
}

fn remember(state: &mut ConfigState, nonce: u64, offset: u64, outcome: ApplyOutcome) {
    state.recent_outcomes.push_back(AppliedRecord {
        nonce,
        offset,
        outcome,
    });
    if state.recent_outcomes.len() > TAKEN_MAX {
        state.recent_outcomes.pop_front();
    }
}

/// Puts the fold's version in force on this node, and wakes whoever waits for it.
pub(crate) fn activate_config(node: &Node) {
    node.config.with(0, |state| {
        if !queries::has_gap(&state.replica) {
            state.gap_since_ms = None;
        }
        let Some(accepted) = queries::accepted_config(&state.replica) else {
            return;
        };
        let known = crate::queries::active_config_version(node);
        // Under the shard's lock, so that an older version can't be put in force after a newer one.
        if accepted.version > known {
            node.active_config.store(Some(Arc::new(ActiveConfig {
                lookup: DocumentIndex::new(&accepted.document),
                accepted: accepted.clone(),
            })));
        }
    });
    if node.active_config.load().is_some() {
        node.advance_stage(Stage::Running);
    }
    node.config_changed.send_modify(|count| *count += 1);
}
