//! The state machine of one attempt to claim an idempotency key.
//!
//! Invariant: `Dispatch` is only returned after the instance has read back its own claim as the one that holds the key.

use crate::{ClaimStatus, Holder};

/// State of an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimAttempt {
    /// The claim is being appended.
    Appending,
    /// The log is being read back to find the claim that holds the key.
    Verifying {
        /// Whether the response to the append was lost.
        append_lost: bool,
    },
    /// The attempt has ended.
    Ended,
}

/// Input of the state machine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AttemptEvent<'a> {
    /// The append was confirmed.
    Appended,
    /// The response to the append was lost; the record may already be in the log or may appear later.
    AppendLost,
    /// The stream was read to its end, past the append if its offset is known; carries the status of the claim.
    ReadBack(ClaimStatus<'a>),
    /// The log could not be read, or an earlier claim of the key may be missing from the replica.
    ReadFailed,
}

/// What the caller of the state machine must do next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AttemptAction {
    /// Read the stream to its end.
    ReadBack,
    /// Dispatch the request: the claim holds the key.
    Dispatch,
    /// Request the response from the instance that holds the key.
    QueryHolder(Holder),
    /// Respond to the caller that the request was not run, and mark the claim's nonce as abandoned.
    Abandon,
}

impl ClaimAttempt {
    /// Starts an attempt whose claim is being appended.
    pub fn new() -> Self {
        Self::Appending
    }
}

impl Default for ClaimAttempt {
    fn default() -> Self {
        Self::new()
    }
}
