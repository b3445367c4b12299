//! Answers a peer that asks for the answer of a key this node claimed.

use {
    crate::{
        commands::claims::release_given_up,
        queries::{answer_text, find_by},
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
pub(crate) async fn answer(node: &Arc<Node>, ask: &ClaimResponseRequest) -> ClaimResponse {
    let Ok(digest) = decode_digest(&ask.digest) else {
        return answer_text(ClaimState::Gone, None);
    };
    if ask.incarnation != node.incarnation {
        return answer_text(ClaimState::Gone, None);
    }
    if release_given_up(node, digest, ask.nonce).await {
        return answer_text(ClaimState::Released, None);
    }
    let until = Instant::now() + Duration::from_millis(ask.wait_ms.min(WAIT_MAX_MS));
    let ended = || Some(known(node, &digest)).filter(|answer| answer.state != ClaimState::Running);
    let found = find_by(&node.answers_changed, until, ended).await;
    found.unwrap_or_else(|| answer_text(ClaimState::Running, None))
}

fn known(node: &Node, digest: &KeyDigest) -> ClaimResponse {
    node.answers.with(shard_hash(digest), |answers| {
        match queries::key_state(answers, digest) {
            Some(KeyState::Done(stored)) => answer_text(ClaimState::Done, Some(stored)),
            Some(KeyState::Running) => answer_text(ClaimState::Running, None),
            Some(KeyState::OutcomeUnknown) => answer_text(ClaimState::Doubtful, None),
            Some(KeyState::NotRun) | None => answer_text(ClaimState::Gone, None),
        }
    })
}
