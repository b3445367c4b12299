//! Learns the version in force from other instances while the log can't tell.

use {
    crate::{
        commands::{fold_config::activate_config, peer_calls::call},
        queries::log_age_ms,
        Node,
    },
    config::{commands, queries, AcceptedConfig},
    log::info,
    member::{queries::live_instances, Instance},
    serde_json::json,
    std::{sync::Arc, time::Duration},
    tokio::time::sleep,
    wire::{
        convert,
        generated::{ConfigRequest, ConfigResponse},
    },
};

/// Time between asks, in milliseconds; jitter up to a half is added.
const ASK_INTERVAL_MS: u64 = 400;
/// Age of the last reading of the log from which peers are asked, in milliseconds.
const STALE_LOG_MS: u64 = 2_000;
/// Peers asked each time.
const PEERS_ASKED: usize = 2;
/// Time allowed for a peer's answer, in milliseconds.
const ASK_TIMEOUT_MS: u64 = 500;

/// Asks random peers for ever, whenever the log is away, has a gap, or gave no version yet.
pub(crate) async fn poll_peers(node: Arc<Node>) {
    loop {
        let jitter_ms = fastrand::u64(0..=ASK_INTERVAL_MS / 2);
        sleep(Duration::from_millis(ASK_INTERVAL_MS + jitter_ms)).await;
        let (version, gap) = node.config.with(0, |state| {
            (
                queries::accepted_version(&state.replica),
                queries::has_gap(&state.replica),
            )
        });
        if version > 0 && !gap && log_age_ms(&node) < STALE_LOG_MS {
            continue;
        }
        for peer in random_peers(&node) {
            ask_one(&node, &peer, version).await;
        }
    }
}

fn random_peers(node: &Node) -> Vec<Instance> {
    let view = node.view.load();
    let peers = live_instances(&view).filter(|peer| peer.name != node.settings.instance);
    let live: Vec<&Instance> = peers.collect();
    if live.is_empty() {
        return Vec::new();
    }
    (0..PEERS_ASKED)
        .map(|_| live[fastrand::usize(..live.len())].clone())
        .collect()
}

async fn ask_one(node: &Node, peer: &Instance, version: u64) {
    // The version known is not given as known while there is a gap, so that the peer sends its place in the log.
    let ask = ConfigRequest {
        known_version: version.saturating_sub(1),
    };
    let answer: Result<ConfigResponse, _> =
        call(node, peer, "config_current", &ask, ASK_TIMEOUT_MS).await;
    if let Ok(answer) = answer {
        adopt_peer_config(node, &answer);
    }
}

/// Puts another instance's version in force, unless a newer one is.
pub(crate) fn adopt_peer_config(node: &Node, answer: &ConfigResponse) {
    let Some(document) = &answer.document else {
        return;
    };
    let accepted = AcceptedConfig {
        version: answer.version,
        digest: answer.digest.clone(),
        through_offset: answer.through_offset,
        document: convert::decode_document(document),
    };
    adopt_config(node, &accepted, "another instance");
}

/// Puts a version in force, unless a newer one is.
pub(crate) fn adopt_config(node: &Node, accepted: &AcceptedConfig, source: &str) {
    let adopted = node.config.with(0, |state| {
        commands::merge_accepted(&mut state.replica, accepted)
    });
    if !adopted {
        return;
    }
    activate_config(node);
    if let Some(feed) = node.feed.get() {
        feed::commands::notify_waiters(feed);
    }
    let line = json!({ "belief": "in force", "version": accepted.version, "source": source });
    info!(target: "decision.config", "{line}");
}
