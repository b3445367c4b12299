//! Serves the RPC method `claim_answer`: the response to a keyed request that this node claimed.

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

/// Maximum time for which a peer is kept waiting, in milliseconds.
const WAIT_MAX_MS: u64 = 1_000;

/// Responds to a peer's request for the outcome of a keyed request, waiting briefly while that is running. If this node
/// abandoned its claim, it releases the key first.
pub(crate) async fn claim_response(
    node: &Arc<Node>,
    request: &ClaimResponseRequest,
) -> ClaimResponse {
    let Ok(digest) = decode_digest(&request.digest) else {
        return encode_claim_response(ClaimState::Gone, None);
    };
    if request.incarnation != node.incarnation {
        return encode_claim_response(ClaimState::Gone, None);
    }
    if release_abandoned(node, digest, request.nonce).await {
        return encode_claim_response(ClaimState::Released, None);
    }
    let deadline = Instant::now() + Duration::from_millis(request.wait_ms.min(WAIT_MAX_MS));
    let finished = || {
        Some(local_response(node, &digest)).filter(|response| response.state != ClaimState::Running)
    };
    let found = wait_for_value(&node.keys_changed, deadline, finished).await;
    found.unwrap_or_else(|| encode_claim_response(ClaimState::Running, None))
}

fn local_response(node: &Node, digest: &KeyDigest) -> ClaimResponse {
    node.keys.with(shard_hash(digest), |keys| {
        match queries::key_state(keys, digest) {
            Some(KeyState::Done(stored)) => encode_claim_response(ClaimState::Done, Some(stored)),
            Some(KeyState::Running) => encode_claim_response(ClaimState::Running, None),
            Some(KeyState::OutcomeUnknown) => encode_claim_response(ClaimState::Doubtful, None),
            Some(KeyState::NotRun) | None => encode_claim_response(ClaimState::Gone, None),
        }
    })
}
