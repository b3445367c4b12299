//! Combines claim events that arrive close together into one appended record.
//!
//! Invariant: all events of a batch get the result of its single append.

use {
    crate::{commands, AppendError, PlatformClient},
    claim::ClaimEvent,
    std::time::Duration,
    tokio::{
        sync::{mpsc, oneshot},
        time::sleep,
    },
    wire::{convert, to_json},
};

/// Time for which a batch waits for more events, in milliseconds.
const LINGER_MS: u64 = 2;
/// Most events in a batch.
const BATCH_MAX_EVENTS: usize = 256;
/// Most events that wait for a later batch.
const QUEUE_MAX_EVENTS: usize = 4_096;

/// A claim event and the channel for its result.
struct PendingEvent {
    event: ClaimEvent,
    result_sender: oneshot::Sender<Result<u64, AppendError>>,
}

/// Appends claim events to one stream in batches.
#[derive(Clone, Debug)]
pub struct Batcher {
    pending: mpsc::Sender<PendingEvent>,
}

impl Batcher {
    /// Starts a task that appends to `stream` on behalf of an instance.
    pub fn new(
        platform: PlatformClient,
        stream: String,
        instance: String,
        incarnation: u64,
    ) -> Self {
        let (pending, queue) = mpsc::channel(QUEUE_MAX_EVENTS);
        tokio::spawn(run_batcher(platform, stream, instance, incarnation, queue));
        Self { pending }
    }

    /// Appends `event` with the next batch and returns the batch's offset.
    ///
    /// # Errors
    ///
    /// The errors of [`commands::append()`]; [`AppendError::Refused`] also if the queue is full.
    pub async fn append(&self, event: ClaimEvent) -> Result<u64, AppendError> {
        let (result_sender, result) = oneshot::channel();
        let pending_event = PendingEvent {
            event,
            result_sender,
        };
        if self.pending.try_send(pending_event).is_err() {
            return Err(AppendError::Refused);
        }
        result.await.unwrap_or(Err(AppendError::ResponseLost))
    }
}

async fn run_batcher(
    platform: PlatformClient,
    stream: String,
    instance: String,
    incarnation: u64,
    mut queue: mpsc::Receiver<PendingEvent>,
) {
    while let Some(first) = queue.recv().await {
        sleep(Duration::from_millis(LINGER_MS)).await;
        let mut pending = vec![first];
        while pending.len() < BATCH_MAX_EVENTS {
            let Ok(next) = queue.try_recv() else { break };
            pending.push(next);
        }
        let platform = platform.clone();
        let stream = stream.clone();
        let instance = instance.clone();
        // The next batch does not wait for this one: a slow append must not delay other keys.
        tokio::spawn(async move {
            send_batch(&platform, &stream, &instance, incarnation, pending).await
        });
    }
}

async fn send_batch(
    platform: &PlatformClient,
    stream: &str,
    instance: &str,
    incarnation: u64,
    pending: Vec<PendingEvent>,
) {
    let (events, senders): (Vec<ClaimEvent>, Vec<_>) = pending
        .into_iter()
        .map(|pending_event| (pending_event.event, pending_event.result_sender))
        .unzip();
    let record = convert::encode_claim_events(&events, instance, incarnation);
    let result = commands::append(platform, stream, &to_json(&record)).await;
    for sender in senders {
        // A caller that was cancelled needs no result; a repeat of its request finds the claim in the log.
        let _ = sender.send(result);
    }
}
