//! Fetches the active configuration from peers while the log does not provide it.

use {
    crate::{
        commands::{fold_config::activate_config, peer_calls::call},
        queries::log_age_ms,
        Node,
    },
    config::{commands, queries, AcceptedConfig, Document},
    feed::ConfigPatch,
    log::info,
    member::{queries::live_instances, Instance},
    serde_json::json,
    std::{sync::Arc, time::Duration},
    tokio::time::sleep,
    wire::{
        convert, from_compressed_json,
        generated::{ConfigPatchJson, ConfigRequest, ConfigResponse},
    },
};

/// Polling interval, in milliseconds; jitter of up to half of it is added.
const POLL_INTERVAL_MS: u64 = 400;
/// Age of the last log read from which on peers are polled, in milliseconds.
const STALE_LOG_MS: u64 = 2_000;
/// Peers polled each time.
const PEERS_POLLED: usize = 2;
/// Timeout for a peer's response, in milliseconds.
const POLL_TIMEOUT_MS: u64 = 500;

/// Polls random peers while the log is unavailable, has a gap or has provided no version yet; never returns.
pub(crate) async fn poll_peers(node: Arc<Node>) {
    loop {
        let jitter_ms = fastrand::u64(0..=POLL_INTERVAL_MS / 2);
        sleep(Duration::from_millis(POLL_INTERVAL_MS + jitter_ms)).await;
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
            poll_peer(&node, &peer, version).await;
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
    (0..PEERS_POLLED)
        .map(|_| live[fastrand::usize(..live.len())].clone())
        .collect()
}

async fn poll_peer(node: &Node, peer: &Instance, version: u64) {
    // Reports one version less than is known, so that a peer with the same version sends it with its position
    // in the log, which closes a gap.
    let request = ConfigRequest {
        known_version: version.saturating_sub(1),
    };
    let response: Result<ConfigResponse, _> =
        call(node, peer, "config_current", &request, POLL_TIMEOUT_MS).await;
    if let Ok(response) = response {
        adopt_peer_config(node, &response);
    }
}

/// Activates the configuration version of a peer, unless it is already known; see [`adopt_config`].
fn adopt_peer_config(node: &Node, response: &ConfigResponse) {
    let Some(document) = &response.document else {
        return;
    };
    let accepted = AcceptedConfig {
        version: response.version,
        digest: response.digest.clone(),
        through_offset: response.through_offset,
        document: convert::decode_document(document),
    };
    adopt_config(node, &accepted, "another instance");
}

/// Activates the version that results from changes which another instance sent.
///
/// # Errors
///
/// The changes are malformed or apply to another version than the active one.
pub(crate) fn adopt_patch(node: &Node, patch: &ConfigPatch) -> Result<(), String> {
    let json: ConfigPatchJson = from_compressed_json("changes of a configuration", &patch.data)
        .map_err(|error| error.to_string())?;
    let active = node.active_config.load_full();
    let active_version = active.as_ref().map_or(0, |active| active.accepted.version);
    let none = Document::default();
    let base = match &active {
        Some(active) if json.base_version > 0 => &active.accepted.document,
        _ => &none,
    };
    if json.base_version > 0 && json.base_version != active_version {
        return Err(format!("version {active_version} is active"));
    }
    let changes = convert::decode_document_patch(&json);
    let document = queries::patched_document(base, &changes)
        .ok_or("they take routes that the active version doesn't have")?;
    if queries::document_digest(&document) != json.digest {
        return Err("the result has another digest".to_owned());
    }
    let accepted = AcceptedConfig {
        version: json.version,
        digest: json.digest,
        through_offset: json.through_offset,
        document,
    };
    adopt_config(node, &accepted, "another instance");
    Ok(())
}

/// Activates a configuration version if it is newer than the accepted one. The same version is merged, too, if its
/// position in the log closes a gap of the replica.
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
