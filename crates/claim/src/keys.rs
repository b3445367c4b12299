//! The claimant's own record of the keys it claimed, for repeats of a request.
//!
//! Invariants: only a key whose request was proved not run is begun again; a claim's number is only ever
//! released if it stands among the key's numbers given up.

use {
    crate::KeyDigest,
    std::collections::{HashMap, VecDeque},
};

/// What the claimant knows of one key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyState<Answer> {
    /// The request is being claimed or run.
    Running,
    /// The whole answer.
    Done(Answer),
    /// The request may have run and its answer can't be had.
    OutcomeUnknown,
    /// The request was not run by this process.
    NotRun,
}

#[derive(Clone, Debug)]
pub(crate) struct KeyEntry<Answer> {
    pub(crate) state: KeyState<Answer>,
    /// Numbers of claims that were given up before dispatch or after a proof that nothing ran.
    pub(crate) abandoned_nonces: Vec<u64>,
    pub(crate) begun_ms: u64,
    /// Size of the answer if it is held, in bytes.
    pub(crate) held_bytes: u64,
}

/// One shard of the claimant's record.
#[derive(Clone, Debug)]
pub struct KeyTable<Answer> {
    pub(crate) keys: HashMap<KeyDigest, KeyEntry<Answer>>,
    pub(crate) by_begin_time: VecDeque<(u64, KeyDigest)>,
    /// Keys whose answer is held, oldest first.
    pub(crate) by_completion: VecDeque<KeyDigest>,
    /// Size of all held answers, in bytes.
    pub(crate) held_bytes: u64,
}

impl<Answer> Default for KeyTable<Answer> {
    fn default() -> Self {
        Self {
            keys: HashMap::new(),
            by_begin_time: VecDeque::new(),
            by_completion: VecDeque::new(),
            held_bytes: 0,
        }
    }
}
