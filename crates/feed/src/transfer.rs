//! Changes of configurations as they are sent between instances, in parts.
//!
//! A small message must not wait behind a large one, so a document is no part of a sync response: it is requested in parts
//! of limited size, and an instance sends to few others at a time. An instance that has received the changes sends them on.

use {
    bytes::Bytes,
    std::collections::{HashMap, VecDeque},
    types::shard_hash,
};

/// Size of the changes of the last versions that are kept for other instances, in bytes.
pub(crate) const KEPT_PATCHES_BYTES: usize = 1 << 20;
/// Size of a part, in bytes. A link of 10 Mbit/s carries it in 18 ms.
pub(crate) const PART_BYTES: usize = 16 << 10;
/// Instances to which changes of more than one part are sent at a time.
pub(crate) const UPLOADS_MAX: usize = 4;
/// Time after its last request from which an instance that has not received all changes makes way for others, in
/// milliseconds.
pub(crate) const UPLOAD_IDLE_MS: u64 = 400;
/// Names of instances with the newest changes that are kept for others.
pub(crate) const HOLDERS_MAX: usize = 16;

/// The encoded changes from one version of the configuration to a newer one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigPatch {
    /// Version that the changes apply to; 0 for the whole document.
    pub base_version: u64,
    /// Version that results.
    pub version: u64,
    /// The encoded changes.
    pub data: Bytes,
    /// Identifies the changes, so that the rest of them can be requested from another instance; never 0.
    pub hash: u64,
}

impl ConfigPatch {
    /// Creates the changes from their encoding.
    pub fn new(base_version: u64, version: u64, data: Bytes) -> Self {
        let hash = shard_hash(&(base_version, version, data.as_ref())).max(1);
        Self {
            base_version,
            version,
            data,
            hash,
        }
    }
}

/// The changes of the last versions, oldest first.
#[derive(Debug, Default)]
pub(crate) struct PatchStore {
    pub(crate) patches: VecDeque<ConfigPatch>,
    /// The newest whole document that was requested.
    pub(crate) whole: Option<ConfigPatch>,
}

/// Instances that receive changes from this one, and that have received them.
#[derive(Debug, Default)]
pub(crate) struct Uploads {
    /// By instance: time of its last request, in milliseconds of the feed's clock.
    pub(crate) active: HashMap<String, u64>,
    /// Version that the holders have.
    pub(crate) version: u64,
    /// Instances that have received that version, oldest first.
    pub(crate) holders: VecDeque<String>,
}
