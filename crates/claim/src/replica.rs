//! What the fold of one claim stream keeps.
//!
//! Invariant: a key's claim is the first in log order since the last release by its holder.

use std::collections::{HashMap, VecDeque};

/// Digest of a key and all that belongs to it.
pub type KeyDigest = [u8; 16];

/// Who claimed a key.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Holder {
    /// Name of the instance.
    pub instance: String,
    /// Incarnation of its process.
    pub incarnation: u64,
    /// Number of the claim, drawn at random.
    pub nonce: u64,
}

/// One record of a claim stream, free of its encoding.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimEvent {
    /// The holder wants to run the request.
    Claim {
        /// The key's digest.
        digest: KeyDigest,
        /// Who claims it.
        holder: Holder,
    },
    /// The holder proved that the request was not run and gives the key up.
    Release {
        /// The key's digest.
        digest: KeyDigest,
        /// Number of the claim given up.
        nonce: u64,
    },
}

/// A claim in force.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Claim {
    /// Who holds the key.
    pub holder: Holder,
    /// When it was appended by the log's clock, in milliseconds.
    pub appended_at_ms: u64,
}

/// What the table says about a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimStatus<'a> {
    /// The claim with the asked nonce is in force.
    Won,
    /// Another claim is in force.
    HeldByOther(&'a Holder),
    /// No claim of the key is in force.
    Unclaimed,
}

/// The fold's state for one claim stream.
#[derive(Clone, Debug, Default)]
pub struct ClaimReplica {
    pub(crate) next_offset: u64,
    pub(crate) claims: HashMap<KeyDigest, Claim>,
    pub(crate) by_age: VecDeque<(u64, KeyDigest)>,
    pub(crate) unknown_before_ms: u64,
}

impl ClaimReplica {
    /// Creates the state of an empty stream.
    pub fn new() -> Self {
        Self::default()
    }
}
