//! Answers a peer that asks for the answer of a key this node claimed.

use {
    crate::{
        commands::claims::release_abandoned,
        queries::{encode_claim_response, wait_for_value},
        Node,
    },
    claim::{queries, KeyDigest, KeyState},
    std::{sync::Arc, time::Duration},
    tokio::time::Instant,
    types::shard_hash,
    wire::{
        decode_digest,
        generated::{ClaimResponse, ClaimResponseRequest, ClaimState},
    },
};

/// Longest time for which an asker is kept waiting, in milliseconds.
const WAIT_MAX_MS: u64 = 1_000;

/// Answers `ask`, waiting for a short time while the request runs.
pub(crate) async fn claim_response(node: &Arc<Node>, ask: &ClaimResponseRequest) -> ClaimResponse {
    let Ok(digest) = decode_digest(&ask.digest) else {
        return encode_claim_response(ClaimState::Gone, None);
    };
    if ask.incarnation != node.incarnation {
        return encode_claim_response(ClaimState::Gone, None);
    }
    if release_abandoned(node, digest, ask.nonce).await {
        return encode_claim_response(ClaimState::Released, None);
    }
    let until = Instant::now() + Duration::from_millis(ask.wait_ms.min(WAIT_MAX_MS));
    let ended = || Some(known(node, &digest)).filter(|answer| answer.state != ClaimState::Running);
    let found = wait_for_value(&node.keys_changed, until, ended).await;
    found.unwrap_or_else(|| encode_claim_response(ClaimState::Running, None))
}

fn known(node: &Node, digest: &KeyDigest) -> ClaimResponse {
    node.keys.with(shard_hash(digest), |answers| {
        match queries::key_state(answers, digest) {
            Some(KeyState::Done(stored)) => encode_claim_response(ClaimState::Done, Some(stored)),
            Some(KeyState::Running) => encode_claim_response(ClaimState::Running, None),
            Some(KeyState::OutcomeUnknown) => encode_claim_response(ClaimState::Doubtful, None),
            Some(KeyState::NotRun) | None => encode_claim_response(ClaimState::Gone, None),
        }
    })
}
