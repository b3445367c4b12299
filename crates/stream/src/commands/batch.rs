//! Joins appends that come close together into one record.
//!
//! Invariant: all entries of a batch share the fate of its one append.

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

/// Time for which a batch waits for more entries, in milliseconds.
const LINGER_MS: u64 = 2;
/// Most entries in a batch.
const BATCH_ENTRIES: usize = 256;
/// Most entries that wait for the batch in front of them.
const WAITING_ENTRIES: usize = 4_096;

struct Item {
    entry: ClaimEvent,
    done: oneshot::Sender<Result<u64, AppendError>>,
}

/// Appends claim entries to one stream in batches.
#[derive(Clone, Debug)]
pub struct Batcher {
    items: mpsc::Sender<Item>,
}

impl Batcher {
    /// Starts the batcher's task for `stream`, on behalf of an instance.
    pub fn new(
        platform: PlatformClient,
        stream: String,
        instance: String,
        incarnation: u64,
    ) -> Self {
        let (items, waiting) = mpsc::channel(WAITING_ENTRIES);
        tokio::spawn(run(platform, stream, instance, incarnation, waiting));
        Self { items }
    }

    /// Appends `entry` with the next batch and returns the batch's offset.
    ///
    /// # Errors
    ///
    /// As [`commands::append`]; a full queue refuses.
    pub async fn append(&self, entry: ClaimEvent) -> Result<u64, AppendError> {
        let (done, result) = oneshot::channel();
        let item = Item { entry, done };
        if self.items.try_send(item).is_err() {
            return Err(AppendError::Refused);
        }
        result.await.unwrap_or(Err(AppendError::ResponseLost))
    }
}

async fn run(
    platform: PlatformClient,
    stream: String,
    instance: String,
    incarnation: u64,
    mut waiting: mpsc::Receiver<Item>,
) {
    while let Some(first) = waiting.recv().await {
        sleep(Duration::from_millis(LINGER_MS)).await;
        let mut items = vec![first];
        while items.len() < BATCH_ENTRIES {
            let Ok(item) = waiting.try_recv() else { break };
            items.push(item);
        }
        let platform = platform.clone();
        let stream = stream.clone();
        let instance = instance.clone();
        // The next batch does not wait for this one: a slow append must not hold up other keys.
        tokio::spawn(async move { send(&platform, &stream, &instance, incarnation, items).await });
    }
}

async fn send(
    platform: &PlatformClient,
    stream: &str,
    instance: &str,
    incarnation: u64,
    items: Vec<Item>,
) {
    let (entries, waiters): (Vec<ClaimEvent>, Vec<_>) = items
        .into_iter()
        .map(|item| (item.entry, item.done))
        .unzip();
    let record = convert::encode_claim_events(&entries, instance, incarnation);
    let result = commands::append(platform, stream, &to_json(&record)).await;
    for waiter in waiters {
        // A waiter that left needs no result; its claim is looked at by whoever asks for it.
        let _ = waiter.send(result);
    }
}
