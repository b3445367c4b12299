//! The steps of one attempt to run a keyed request.
//!
//! Invariant: `Dispatch` is only reached by reading the own claim back as the one in force.

use crate::{ClaimStatus, Holder};

/// Where an attempt stands.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimAttempt {
    /// The claim is being appended.
    Appending,
    /// The claim is being looked for in the log; `lost` if the append's answer was lost.
    Verifying {
        /// Whether the append's answer was lost.
        append_lost: bool,
    },
    /// The attempt came to its end.
    Ended,
}

/// What happened to an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AttemptEvent<'a> {
    /// The append was confirmed.
    Appended,
    /// The append's answer was lost; the record may stand in the log now or later.
    AppendLost,
    /// The log was read past the time of the append.
    ReadBack(ClaimStatus<'a>),
    /// The log can't be read.
    ReadFailed,
}

/// What the caller of the machine does next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AttemptAction {
    /// Read the stream up to its end.
    ReadBack,
    /// Run the request: the claim is in force.
    Dispatch,
    /// Ask the holder for the answer.
    QueryHolder(Holder),
    /// Answer that the request was not run, and remember the nonce as given up.
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
