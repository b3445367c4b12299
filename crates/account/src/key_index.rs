//! An index of API keys. With it, the cost of looking a key up doesn't depend on the number of accounts.
//!
//! Invariant: the index stores positions, so it is only valid for the accounts that it was built from.

use {
    config::{Account, ApiKeyDigest},
    std::collections::HashMap,
};

/// Length of the part of a digest by which keys are found, in bytes.
pub(crate) const PREFIX_BYTES: usize = 8;

/// The first bytes of a digest. Finding an entry by it may take a different time than finding none; that reveals nothing
/// about a key, since the digest of a guess says nothing about other keys.
pub(crate) type DigestPrefix = [u8; PREFIX_BYTES];

/// A key and the position of its account.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KeyEntry {
    pub(crate) digest: ApiKeyDigest,
    pub(crate) account: usize,
}

/// The API keys of a configuration version, by the first bytes of their digests.
#[derive(Clone, Debug, Default)]
pub struct KeyIndex {
    pub(crate) entries: HashMap<DigestPrefix, Vec<KeyEntry>>,
}

impl KeyIndex {
    /// Builds the index of `accounts`.
    pub fn new(accounts: &[Account]) -> Self {
        let mut index = Self::default();
        for (account, entry) in accounts.iter().enumerate() {
            for &digest in &entry.key_digests {
                let entries = index.entries.entry(prefix(&digest)).or_default();
                entries.push(KeyEntry { digest, account });
            }
        }
        index
    }
}

/// Returns the first bytes of a digest.
pub(crate) fn prefix(digest: &ApiKeyDigest) -> DigestPrefix {
    let mut prefix = DigestPrefix::default();
    prefix.copy_from_slice(&digest[..PREFIX_BYTES]);
    prefix
}
