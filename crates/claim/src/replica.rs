//! The replicated state of one claim stream.
//!
//! Invariant: a key is held by its first claim in log order since the last release by the previous holder.

use {
    std::collections::{HashMap, VecDeque},
    types::StoreEra,
};

/// Digest of an idempotency key together with everything that scopes it.
pub type KeyDigest = [u8; 16];

/// Identifies a claim and the process that made it.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Holder {
    /// Name of the instance.
    pub instance: String,
    /// Incarnation of the instance's process.
    pub incarnation: u64,
    /// Random number that identifies the claim.
    pub nonce: u64,
}

/// One event of a claim stream, independent of its encoding.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimEvent {
    /// An instance claims the key to run the request.
    Claim {
        /// Digest of the key.
        digest: KeyDigest,
        /// The process that claims the key, and the nonce of its claim.
        holder: Holder,
    },
    /// The holder proved that the request did not run and releases the key.
    Release {
        /// Digest of the key.
        digest: KeyDigest,
        /// Nonce of the released claim.
        nonce: u64,
    },
}

/// A claim that holds its key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Claim {
    /// The holder of the key.
    pub holder: Holder,
    /// When the claim was appended, in milliseconds of the log's clock.
    pub appended_at_ms: u64,
}

/// Whether a claim holds its key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimStatus<'a> {
    /// The claim with the given nonce holds the key.
    Won,
    /// Another claim holds the key.
    HeldByOther(&'a Holder),
    /// No claim holds the key.
    Unclaimed,
}

/// Claims of one stream, as replicated from the log.
#[derive(Clone, Debug, Default)]
pub struct ClaimReplica {
    /// Offset of the next record to read.
    pub(crate) next_offset: u64,
    /// The claims that hold a key.
    pub(crate) claims: HashMap<KeyDigest, Claim>,
    /// Time of each append and its key, oldest first; may contain claims that were released since.
    pub(crate) claims_by_age: VecDeque<(u64, KeyDigest)>,
    /// Time since which no claim is missing, in milliseconds of the log's clock; 0 if nothing was trimmed unread.
    pub(crate) complete_since_ms: u64,
    /// Era of the log.
    pub(crate) store_era: StoreEra,
}

impl ClaimReplica {
    /// Creates the state of an empty stream.
    pub fn new() -> Self {
        Self::default()
    }
}
