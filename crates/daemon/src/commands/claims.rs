//! Claims keys through the log before a request that must run once is dispatched.

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
            skip_to,
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
    types::{shard_hash, ResultCode},
    wire::{
        convert, encode_digest, from_json,
        generated::{ClaimRecord, ClaimResponse, ClaimResponseRequest, ClaimState, ReadResponse},
    },
};

/// Time for which a claimant is asked to wait while the request runs, in milliseconds.
const ANSWER_WAIT_MS: u64 = 500;
/// Time allowed for a claimant's answer beyond that, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 1_500;
/// Most bytes of held answers in one shard; all shards together stay below half of the node's 128 MB.
const SHARD_ANSWERS_BYTES: u64 = 3 << 20;
/// What a held answer takes beside its body, in bytes.
const ANSWER_LEAST_BYTES: u64 = 1_024;
/// Claims of one request: a second one only after the first holder released the key.
const CLAIMS_MAX: usize = 3;

/// How one claim went.
enum Outcome {
    Won(u64),
    Held(Holder),
    GivenUp(u64),
}

/// Makes the closures by which the request path claims and settles keys.
pub(crate) fn claims(node: &Arc<Node>) -> Claims {
    let (for_claim, for_settle) = (Arc::clone(node), Arc::clone(node));
    Claims {
        claim: Box::new(move |digest, issued_ms, deadline| {
            let node = Arc::clone(&for_claim);
            Box::pin(async move {
                let end = claim(&node, digest, issued_ms, deadline).await;
                node.metrics
                    .claims
                    .with_label_values(&[verdict(&end)])
                    .inc();
                end
            })
        }),
        settle: Box::new(move |digest, nonce, settlement| {
            settle(&for_settle, digest, nonce, settlement);
        }),
    }
}

fn verdict(end: &ClaimOutcome) -> &'static str {
    match end {
        ClaimOutcome::Claimed(_) => "won",
        ClaimOutcome::AlreadyCompleted(_) => "answered before",
        ClaimOutcome::Refused(ResultCode::KeyElsewhereUnknown) => "unknown elsewhere",
        ClaimOutcome::Refused(_) => "refused",
    }
}

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
    let left = deadline.saturating_duration_since(Instant::now());
    if left.as_millis() as u64 >= window_ms {
        // The claim would lapse while the request may still run.
        warn!("a keyed request's deadline is not below claim_window_ms, so it is refused");
        return ClaimOutcome::Refused(ResultCode::KeyUnclaimed);
    }
    let now_ms = node.now_ms();
    let is_free = node.keys.with(shard_hash(&digest), |answers| {
        expire_keys(answers, now_ms.saturating_sub(window_ms));
        begin_key(answers, digest, now_ms)
    });
    if !is_free {
        return own_answer(node, digest, deadline).await;
    }
    let end = claim_in_log(node, digest, issued_ms, deadline).await;
    match &end {
        ClaimOutcome::Claimed(_) => {}
        ClaimOutcome::AlreadyCompleted(stored) => {
            note(node, digest, KeyState::Done(stored.clone()))
        }
        // This process did not run it; the next repeat looks at the log again.
        ClaimOutcome::Refused(_) => note(node, digest, KeyState::NotRun),
    }
    end
}

async fn claim_in_log(
    node: &Arc<Node>,
    digest: KeyDigest,
    issued_ms: Option<u64>,
    deadline: Instant,
) -> ClaimOutcome {
    for _ in 0..CLAIMS_MAX {
        match claim_once(node, digest, issued_ms).await {
            Outcome::Won(nonce) => return ClaimOutcome::Claimed(nonce),
            Outcome::GivenUp(nonce) => {
                node.keys.with(shard_hash(&digest), |answers| {
                    abandon_claim(answers, &digest, nonce)
                });
                return ClaimOutcome::Refused(ResultCode::KeyUnclaimed);
            }
            Outcome::Held(holder) => match ask_holder(node, digest, &holder, deadline).await {
                HolderSays::Done(stored) => return ClaimOutcome::AlreadyCompleted(stored),
                HolderSays::Released => {}
                HolderSays::Unknown => {
                    return ClaimOutcome::Refused(ResultCode::KeyElsewhereUnknown)
                }
            },
        }
    }
    ClaimOutcome::Refused(ResultCode::KeyUnclaimed)
}

async fn claim_once(node: &Arc<Node>, digest: KeyDigest, issued_ms: Option<u64>) -> Outcome {
    let number = stream_number(&digest);
    let nonce = fastrand::u64(1..);
    let holder = Holder {
        instance: node.settings.instance.clone(),
        incarnation: node.incarnation,
        nonce,
    };
    let mut attempt = ClaimAttempt::new();
    let appended = node.claim_batchers[number]
        .append(ClaimEvent::Claim { digest, holder })
        .await;
    let (event, at_least) = match appended {
        Ok(offset) => (AttemptEvent::Appended, offset + 1),
        Err(AppendError::ResponseLost) => (AttemptEvent::AppendLost, 0),
        Err(AppendError::Refused) => return Outcome::GivenUp(nonce),
    };
    if advance(&mut attempt, event) != AttemptAction::ReadBack {
        return Outcome::GivenUp(nonce);
    }
    let is_read = read_back(node, number, at_least).await;
    node.claim_tables.with(number as u64, |table| {
        let window_ms = node.settings.claim_window_ms;
        let may_be_unknown =
            queries::may_have_missed_claim(table, issued_ms, unix_time_ms(), window_ms);
        let event = if is_read && !may_be_unknown {
            AttemptEvent::ReadBack(queries::claim_status(table, &digest, nonce))
        } else {
            AttemptEvent::ReadFailed
        };
        match advance(&mut attempt, event) {
            AttemptAction::Dispatch => Outcome::Won(nonce),
            AttemptAction::QueryHolder(holder) => Outcome::Held(holder),
            AttemptAction::ReadBack | AttemptAction::Abandon => Outcome::GivenUp(nonce),
        }
    })
}

fn stream_number(digest: &KeyDigest) -> usize {
    usize::from(digest[0]) % CLAIM_STREAM_COUNT
}

/// Folds the stream up to its end; returns whether that end lies at or behind `at_least`.
async fn read_back(node: &Node, number: usize, at_least: u64) -> bool {
    let stream = claim_stream_name(number);
    loop {
        let from = node
            .claim_tables
            .with(number as u64, |table| queries::next_offset(table));
        match read(&node.platform, &stream, from, 0).await {
            Ok(answer) => {
                take_in(node, number, &answer);
                let read_to = from + answer.records.len() as u64;
                if read_to >= answer.next_offset {
                    return read_to >= at_least;
                }
            }
            Err(ReadError::Trimmed {
                first_offset,
                first_at_ms,
            }) => node.claim_tables.with(number as u64, |table| {
                skip_to(table, first_offset, first_at_ms);
            }),
            Err(_) => return false,
        }
    }
}

fn take_in(node: &Node, number: usize, answer: &ReadResponse) {
    let before_ms = answer.now_ms.saturating_sub(node.settings.claim_window_ms);
    node.claim_tables.with(number as u64, |table| {
        expire_claims(table, before_ms);
        for record in &answer.records {
            // Another read may have folded it meanwhile.
            if record.offset < queries::next_offset(table) {
                continue;
            }
            let parsed: Result<ClaimRecord, _> = from_json("claim record", record.body.as_bytes());
            match parsed.and_then(|parsed| convert::decode_claim_events(&parsed)) {
                Ok(entries) => {
                    for entry in &entries {
                        apply_event(table, record.offset, record.at_ms, entry);
                    }
                }
                Err(error) => warn!("offset {} of claims: {error}", record.offset),
            }
            if queries::next_offset(table) <= record.offset {
                skip_to(table, record.offset + 1, 0);
            }
        }
    });
}

/// Waits for this instance's own run of the key.
async fn own_answer(node: &Arc<Node>, digest: KeyDigest, deadline: Instant) -> ClaimOutcome {
    let ended = || {
        let known = node.keys.with(shard_hash(&digest), |answers| {
            queries::key_state(answers, &digest).cloned()
        });
        match known {
            Some(KeyState::Done(stored)) => Some(ClaimOutcome::AlreadyCompleted(stored)),
            Some(KeyState::Running) => None,
            Some(KeyState::NotRun) => Some(ClaimOutcome::Refused(ResultCode::KeyUnclaimed)),
            Some(KeyState::OutcomeUnknown) | None => {
                Some(ClaimOutcome::Refused(ResultCode::KeyElsewhereUnknown))
            }
        }
    };
    let found = wait_for_value(&node.keys_changed, deadline.into(), ended).await;
    found.unwrap_or(ClaimOutcome::Refused(ResultCode::KeyElsewhereUnknown))
}

/// What a claimant said.
enum HolderSays {
    Done(StoredResponse),
    Released,
    Unknown,
}

async fn ask_holder(
    node: &Arc<Node>,
    digest: KeyDigest,
    holder: &Holder,
    deadline: Instant,
) -> HolderSays {
    if holder.instance == node.settings.instance {
        return own_earlier_claim(node, digest, holder).await;
    }
    let ask = ClaimResponseRequest {
        digest: encode_digest(&digest),
        incarnation: holder.incarnation,
        nonce: holder.nonce,
        wait_ms: ANSWER_WAIT_MS,
    };
    while Instant::now() + Duration::from_millis(ANSWER_WAIT_MS) < deadline {
        let view = node.view.load_full();
        let Some(peer) = find_instance(&view, &holder.instance) else {
            return HolderSays::Unknown;
        };
        let answer: Result<ClaimResponse, _> =
            call(node, peer, "claim_answer", &ask, ANSWER_TIMEOUT_MS).await;
        let Ok(answer) = answer else {
            return HolderSays::Unknown;
        };
        match answer.state {
            ClaimState::Done => return done(&answer),
            ClaimState::Released => return HolderSays::Released,
            ClaimState::Running => {}
            ClaimState::Doubtful | ClaimState::Gone => return HolderSays::Unknown,
        }
    }
    HolderSays::Unknown
}

/// An earlier claim of this very process is released if it was given up.
async fn own_earlier_claim(node: &Arc<Node>, digest: KeyDigest, holder: &Holder) -> HolderSays {
    let is_mine = holder.incarnation == node.incarnation;
    if is_mine && release_abandoned(node, digest, holder.nonce).await {
        HolderSays::Released
    } else {
        HolderSays::Unknown
    }
}

fn done(answer: &ClaimResponse) -> HolderSays {
    match crate::queries::decode_stored_response(answer) {
        Some(stored) => HolderSays::Done(stored),
        None => HolderSays::Unknown,
    }
}

/// Releases a claim that was given up; returns whether it is out of the way.
pub(crate) async fn release_abandoned(node: &Node, digest: KeyDigest, nonce: u64) -> bool {
    let is_given_up = node.keys.with(shard_hash(&digest), |answers| {
        queries::is_abandoned(answers, &digest, nonce)
    });
    is_given_up && release(node, digest, nonce).await
}

async fn release(node: &Node, digest: KeyDigest, nonce: u64) -> bool {
    let number = stream_number(&digest);
    let entry = ClaimEvent::Release { digest, nonce };
    node.claim_batchers[number].append(entry).await.is_ok()
}

fn note(node: &Node, digest: KeyDigest, local: KeyState<StoredResponse>) {
    let bytes = match &local {
        KeyState::Done(stored) => ANSWER_LEAST_BYTES + stored.body.len() as u64,
        _ => 0,
    };
    node.keys.with(shard_hash(&digest), |answers| {
        finish_key(answers, &digest, local, bytes, SHARD_ANSWERS_BYTES);
    });
    node.keys_changed.send_modify(|count| *count += 1);
}

fn settle(node: &Arc<Node>, digest: KeyDigest, nonce: u64, settlement: Settlement) {
    match settlement {
        Settlement::Done(stored) => note(node, digest, KeyState::Done(stored)),
        Settlement::OutcomeUnknown => note(node, digest, KeyState::OutcomeUnknown),
        Settlement::NotRun => {
            node.keys.with(shard_hash(&digest), |answers| {
                abandon_claim(answers, &digest, nonce)
            });
            note(node, digest, KeyState::NotRun);
            let node = Arc::clone(node);
            // If the release is lost, whoever repeats the key asks this instance, which releases again.
            tokio::spawn(async move { release(&node, digest, nonce).await });
        }
    }
}
