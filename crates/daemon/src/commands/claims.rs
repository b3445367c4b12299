//! Claims idempotency keys through the log before a keyed request is dispatched, so that it runs at most once.

use {
    crate::{
        commands::peer_calls::call,
        node::{claim_stream_name, unix_time_ms, CLAIM_STREAM_COUNT},
        queries::wait_for_value,
        Node,
    },
    claim::{
        commands::{
            abandon_claim, advance, apply_event, begin_key, expire_claims, expire_keys, finish_key,
            observe_era, skip_to, start_over,
        },
        queries, AttemptAction, AttemptEvent, ClaimAttempt, ClaimEvent, Holder, KeyDigest,
        KeyState,
    },
    entry::{ClaimOutcome, Claims, Settlement, StoredResponse},
    log::warn,
    member::queries::find_instance,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    stream::{queries::read, AppendError, ReadError},
    types::{shard_hash, EraObservation, ResultCode},
    wire::{
        convert, encode_digest, from_json,
        generated::{ClaimRecord, ClaimResponse, ClaimResponseRequest, ClaimState, ReadResponse},
    },
};

/// Time for which the holder of a claim may delay its response while the request is running, in milliseconds.
const HOLDER_WAIT_MS: u64 = 500;
/// Timeout for the holder's response, including that wait, in milliseconds.
const HOLDER_TIMEOUT_MS: u64 = 1_500;
/// Maximum bytes of stored responses in one shard; all shards together stay below half of the node's 128 MB.
const SHARD_RESPONSES_MAX_BYTES: u64 = 3 << 20;
/// Size accounted for a stored response in addition to its body, in bytes.
const RESPONSE_OVERHEAD_BYTES: u64 = 1_024;
/// Maximum number of times that one request claims its key; it does so again only after the previous holder has
/// released the key.
const CLAIMS_MAX: usize = 3;

/// Outcome of one attempt to claim a key in the log.
enum LogClaim {
    /// This request holds the key, with the nonce of its claim.
    Won(u64),
    /// Another claim came first in the log.
    Held(Holder),
    /// The claim could not be confirmed; it may be in the log, with this nonce.
    Abandoned(u64),
}

/// Returns the closures with which the request path claims and settles keys.
pub(crate) fn claims(node: &Arc<Node>) -> Claims {
    let (for_claim, for_settle) = (Arc::clone(node), Arc::clone(node));
    Claims {
        claim: Box::new(move |digest, issued_ms, deadline| {
            let node = Arc::clone(&for_claim);
            Box::pin(async move {
                let outcome = claim(&node, digest, issued_ms, deadline).await;
                node.metrics
                    .claims
                    .with_label_values(&[outcome_label(&outcome)])
                    .inc();
                outcome
            })
        }),
        settle: Box::new(move |digest, nonce, settlement| {
            settle(&for_settle, digest, nonce, settlement);
        }),
    }
}

fn outcome_label(outcome: &ClaimOutcome) -> &'static str {
    match outcome {
        ClaimOutcome::Claimed(_) => "won",
        ClaimOutcome::AlreadyCompleted(_) => "answered before",
        ClaimOutcome::Refused(ResultCode::KeyElsewhereUnknown) => "unknown elsewhere",
        ClaimOutcome::Refused(_) => "refused",
    }
}

/// Claims a key for a request. Otherwise returns the stored response of the request that ran with this key before, or
/// the reason why the request must not be dispatched.
async fn claim(
    node: &Arc<Node>,
    digest: KeyDigest,
    issued_ms: Option<u64>,
    deadline: Instant,
) -> ClaimOutcome {
    let window_ms = node.settings.claim_window_ms;
    if issued_ms.is_some_and(|issued_ms| issued_ms + window_ms < unix_time_ms()) {
        return ClaimOutcome::Refused(ResultCode::KeyTooOld);
    }
    let remaining = deadline.saturating_duration_since(Instant::now());
    if remaining.as_millis() as u64 >= window_ms {
        // The claim could expire while the request is still running, and a repeat would then run as well.
        warn!("refused a keyed request: the time to its deadline must be below claim_window_ms ({window_ms} ms)");
        return ClaimOutcome::Refused(ResultCode::KeyUnclaimed);
    }
    let now_ms = node.now_ms();
    let is_free = node.keys.with(shard_hash(&digest), |keys| {
        expire_keys(keys, now_ms.saturating_sub(window_ms));
        begin_key(keys, digest, now_ms)
    });
    if !is_free {
        return await_local_run(node, digest, deadline).await;
    }
    let outcome = claim_in_log(node, digest, issued_ms, deadline).await;
    match &outcome {
        ClaimOutcome::Claimed(_) => {}
        ClaimOutcome::AlreadyCompleted(stored) => {
            finish_local(node, digest, KeyState::Done(stored.clone()))
        }
        // This process did not run the request; the next repeat consults the log again.
        ClaimOutcome::Refused(_) => finish_local(node, digest, KeyState::NotRun),
    }
    outcome
}

async fn claim_in_log(
    node: &Arc<Node>,
    digest: KeyDigest,
    issued_ms: Option<u64>,
    deadline: Instant,
) -> ClaimOutcome {
    for _ in 0..CLAIMS_MAX {
        match claim_once(node, digest, issued_ms).await {
            LogClaim::Won(nonce) => return ClaimOutcome::Claimed(nonce),
            LogClaim::Abandoned(nonce) => {
                node.keys.with(shard_hash(&digest), |keys| {
                    abandon_claim(keys, &digest, nonce)
                });
                return ClaimOutcome::Refused(ResultCode::KeyUnclaimed);
            }
            LogClaim::Held(holder) => match query_holder(node, digest, &holder, deadline).await {
                HolderReply::Done(stored) => return ClaimOutcome::AlreadyCompleted(stored),
                HolderReply::Released => {}
                HolderReply::Unknown => {
                    return ClaimOutcome::Refused(ResultCode::KeyElsewhereUnknown)
                }
            },
        }
    }
    ClaimOutcome::Refused(ResultCode::KeyUnclaimed)
}

async fn claim_once(node: &Arc<Node>, digest: KeyDigest, issued_ms: Option<u64>) -> LogClaim {
    let index = stream_index(&digest);
    let nonce = fastrand::u64(1..);
    let holder = Holder {
        instance: node.settings.instance.clone(),
        incarnation: node.incarnation,
        nonce,
    };
    let mut attempt = ClaimAttempt::new();
    let appended = node.claim_batchers[index]
        .append(ClaimEvent::Claim { digest, holder })
        .await;
    let (event, at_least) = match appended {
        Ok(offset) => (AttemptEvent::Appended, offset + 1),
        Err(AppendError::ResponseLost) => (AttemptEvent::AppendLost, 0),
        Err(AppendError::Refused) => return LogClaim::Abandoned(nonce),
    };
    if advance(&mut attempt, event) != AttemptAction::ReadBack {
        return LogClaim::Abandoned(nonce);
    }
    let is_read = read_back(node, index, at_least).await;
    node.claim_replicas.with(index as u64, |replica| {
        let window_ms = node.settings.claim_window_ms;
        let may_have_missed =
            queries::may_have_missed_claim(replica, issued_ms, unix_time_ms(), window_ms);
        let event = if is_read && !may_have_missed {
            AttemptEvent::ReadBack(queries::claim_status(replica, &digest, nonce))
        } else {
            AttemptEvent::ReadFailed
        };
        match advance(&mut attempt, event) {
            AttemptAction::Dispatch => LogClaim::Won(nonce),
            AttemptAction::QueryHolder(holder) => LogClaim::Held(holder),
            AttemptAction::ReadBack | AttemptAction::Abandon => LogClaim::Abandoned(nonce),
        }
    })
}

fn stream_index(digest: &KeyDigest) -> usize {
    usize::from(digest[0]) % CLAIM_STREAM_COUNT
}

/// Applies the stream's records up to its end; returns whether that offset is at least `at_least`.
async fn read_back(node: &Node, index: usize, at_least: u64) -> bool {
    let stream = claim_stream_name(index);
    loop {
        let (from, sent_changes) = node.claim_replicas.with(index as u64, |replica| {
            (queries::next_offset(replica), queries::era_changes(replica))
        });
        let sent_ms = node.now_ms();
        match read(&node.platform, &stream, from, 0).await {
            Ok(part) => {
                let log_ms = part.response.now_ms;
                let is_void = node.claim_replicas.with(index as u64, |replica| {
                    let observation =
                        observe_era(replica, part.era, sent_ms, node.now_ms(), log_ms);
                    observation != EraObservation::Unchanged
                        || queries::era_changes(replica) != sent_changes
                });
                if is_void {
                    warn!("the log has lost records; reading claim stream {index} again");
                    continue;
                }
                apply_records(node, index, &part.response);
                let read_to = from + part.response.records.len() as u64;
                if read_to >= part.response.next_offset {
                    return read_to >= at_least;
                }
            }
            Err(ReadError::Trimmed {
                first_offset,
                first_at_ms,
                era,
            }) => node.claim_replicas.with(index as u64, |replica| {
                let log_ms = unix_time_ms();
                let observation = observe_era(replica, era, sent_ms, node.now_ms(), log_ms);
                let is_same = queries::era_changes(replica) == sent_changes;
                if observation == EraObservation::Unchanged
                    && is_same
                    && from > 0
                    && first_offset <= from
                {
                    // The offset lies behind the end, which shows a loss also if no era is stated.
                    start_over(replica, log_ms);
                } else if observation == EraObservation::Unchanged && is_same {
                    skip_to(replica, first_offset, first_at_ms);
                }
            }),
            Err(_) => return false,
        }
    }
}

fn apply_records(node: &Node, index: usize, response: &ReadResponse) {
    let before_ms = response
        .now_ms
        .saturating_sub(node.settings.claim_window_ms);
    node.claim_replicas.with(index as u64, |replica| {
        expire_claims(replica, before_ms);
        for record in &response.records {
            // A concurrent read may have applied it already.
            if record.offset < queries::next_offset(replica) {
                continue;
            }
            let parsed: Result<ClaimRecord, _> = from_json("claim record", record.body.as_bytes());
            match parsed.and_then(|parsed| convert::decode_claim_events(&parsed)) {
                Ok(events) => {
                    for event in &events {
                        apply_event(replica, record.offset, record.at_ms, event);
                    }
                }
                Err(error) => warn!(
                    "skipped the record at offset {} of claim stream {index}: {error}",
                    record.offset
                ),
            }
            // A record that is invalid or empty applies no event; without the skip it would be read again.
            if queries::next_offset(replica) <= record.offset {
                skip_to(replica, record.offset + 1, 0);
            }
        }
    });
}

/// Waits for the request with the same key that runs on this instance.
async fn await_local_run(node: &Arc<Node>, digest: KeyDigest, deadline: Instant) -> ClaimOutcome {
    let finished = || {
        let state = node.keys.with(shard_hash(&digest), |keys| {
            queries::key_state(keys, &digest).cloned()
        });
        match state {
            Some(KeyState::Done(stored)) => Some(ClaimOutcome::AlreadyCompleted(stored)),
            Some(KeyState::Running) => None,
            Some(KeyState::NotRun) => Some(ClaimOutcome::Refused(ResultCode::KeyUnclaimed)),
            Some(KeyState::OutcomeUnknown) | None => {
                Some(ClaimOutcome::Refused(ResultCode::KeyElsewhereUnknown))
            }
        }
    };
    let found = wait_for_value(&node.keys_changed, deadline.into(), finished).await;
    found.unwrap_or(ClaimOutcome::Refused(ResultCode::KeyElsewhereUnknown))
}

/// Response of the holder of a claim.
enum HolderReply {
    Done(StoredResponse),
    /// The holder abandoned its claim, so the key can be claimed again.
    Released,
    /// The outcome is unknown: the holder did not respond, or does not know it either.
    Unknown,
}

async fn query_holder(
    node: &Arc<Node>,
    digest: KeyDigest,
    holder: &Holder,
    deadline: Instant,
) -> HolderReply {
    if holder.instance == node.settings.instance {
        return release_own_claim(node, digest, holder).await;
    }
    let request = ClaimResponseRequest {
        digest: encode_digest(&digest),
        incarnation: holder.incarnation,
        nonce: holder.nonce,
        wait_ms: HOLDER_WAIT_MS,
    };
    while Instant::now() + Duration::from_millis(HOLDER_WAIT_MS) < deadline {
        let view = node.view.load_full();
        let Some(peer) = find_instance(&view, &holder.instance) else {
            return HolderReply::Unknown;
        };
        let response: Result<ClaimResponse, _> =
            call(node, peer, "claim_answer", &request, HOLDER_TIMEOUT_MS).await;
        let Ok(response) = response else {
            return HolderReply::Unknown;
        };
        match response.state {
            ClaimState::Done => return decode_reply(&response),
            ClaimState::Released => return HolderReply::Released,
            ClaimState::Running => {}
            ClaimState::Doubtful | ClaimState::Gone => return HolderReply::Unknown,
        }
    }
    HolderReply::Unknown
}

/// Releases an earlier claim of this same process if it was abandoned.
async fn release_own_claim(node: &Arc<Node>, digest: KeyDigest, holder: &Holder) -> HolderReply {
    let is_mine = holder.incarnation == node.incarnation;
    if is_mine && release_abandoned(node, digest, holder.nonce).await {
        HolderReply::Released
    } else {
        HolderReply::Unknown
    }
}

fn decode_reply(response: &ClaimResponse) -> HolderReply {
    match crate::queries::decode_stored_response(response) {
        Some(stored) => HolderReply::Done(stored),
        None => HolderReply::Unknown,
    }
}

/// Releases a claim if it was abandoned; returns whether the release is confirmed to be in the log.
pub(crate) async fn release_abandoned(node: &Node, digest: KeyDigest, nonce: u64) -> bool {
    let is_abandoned = node.keys.with(shard_hash(&digest), |keys| {
        queries::is_abandoned(keys, &digest, nonce)
    });
    is_abandoned && release(node, digest, nonce).await
}

async fn release(node: &Node, digest: KeyDigest, nonce: u64) -> bool {
    let index = stream_index(&digest);
    let event = ClaimEvent::Release { digest, nonce };
    node.claim_batchers[index].append(event).await.is_ok()
}

fn finish_local(node: &Node, digest: KeyDigest, state: KeyState<StoredResponse>) {
    let bytes = match &state {
        KeyState::Done(stored) => RESPONSE_OVERHEAD_BYTES + stored.body.len() as u64,
        _ => 0,
    };
    node.keys.with(shard_hash(&digest), |keys| {
        finish_key(keys, &digest, state, bytes, SHARD_RESPONSES_MAX_BYTES);
    });
    node.keys_changed.send_modify(|count| *count += 1);
}

fn settle(node: &Arc<Node>, digest: KeyDigest, nonce: u64, settlement: Settlement) {
    match settlement {
        Settlement::Done(stored) => finish_local(node, digest, KeyState::Done(stored)),
        Settlement::OutcomeUnknown => finish_local(node, digest, KeyState::OutcomeUnknown),
        Settlement::NotRun => {
            node.keys.with(shard_hash(&digest), |keys| {
                abandon_claim(keys, &digest, nonce)
            });
            finish_local(node, digest, KeyState::NotRun);
            let node = Arc::clone(node);
            // If the release is lost, the instance that gets a repeat queries this one, which releases the key
            // again.
            tokio::spawn(async move { release(&node, digest, nonce).await });
        }
    }
}
