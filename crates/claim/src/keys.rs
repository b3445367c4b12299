//! The idempotency keys that this instance claimed, used to respond to repeated requests.
//!
//! Invariants: a key is only begun again if its request was proved not run; a claim is only released if its nonce is
//! among the abandoned nonces of the key.

use {
    crate::KeyDigest,
    std::collections::{HashMap, VecDeque},
};

/// State of one key at the instance that claimed it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyState<Response> {
    /// The key is being claimed or its request is running.
    Running,
    /// The request completed with this response.
    Done(Response),
    /// The request may have run, and its response is not available.
    OutcomeUnknown,
    /// The request was not run by this process.
    NotRun,
}

#[derive(Clone, Debug)]
pub(crate) struct KeyEntry<Response> {
    pub(crate) state: KeyState<Response>,
    /// Nonces of claims that were abandoned before dispatch or after a proof that the request did not run.
    pub(crate) abandoned_nonces: Vec<u64>,
    /// When the key was last begun, in milliseconds of the local clock.
    pub(crate) begun_ms: u64,
    /// Size of the response if it is stored, in bytes.
    pub(crate) stored_bytes: u64,
}

/// One shard of the keys claimed by this instance.
#[derive(Clone, Debug)]
pub struct KeyTable<Response> {
    pub(crate) keys: HashMap<KeyDigest, KeyEntry<Response>>,
    /// Every begin of a key with its time, oldest first; keys that were begun again appear several times.
    pub(crate) by_begin_time: VecDeque<(u64, KeyDigest)>,
    /// Keys whose response is stored, oldest first.
    pub(crate) by_completion: VecDeque<KeyDigest>,
    /// Total size of the stored responses, in bytes.
    pub(crate) stored_bytes: u64,
}

impl<Response> Default for KeyTable<Response> {
    fn default() -> Self {
        Self {
            keys: HashMap::new(),
            by_begin_time: VecDeque::new(),
            by_completion: VecDeque::new(),
            stored_bytes: 0,
        }
    }
}
