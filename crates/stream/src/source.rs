//! The interface, as closures, to a platform that keeps lists of named records.
//!
//! A platform's adapter provides a [`Source`]. The feed decides which instances read it and how often, and applies what
//! they read.

use {
    crate::{AppendError, ReadError},
    config::Document,
    futures_util::future::BoxFuture,
    member::{BackendServer, Instance},
};

/// Where a read begins and how long it may wait.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Cursor {
    /// Offset at which the previous read ended; none for the full list.
    pub from: Option<u64>,
    /// How long to wait for a first change, in milliseconds; a read of the full list does not wait.
    pub wait_ms: u64,
}

/// A change of one record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change<Value> {
    /// Name of the record.
    pub name: String,
    /// New value; none if the record was deleted.
    pub value: Option<Value>,
}

/// Result of reading a list: its full contents, or the changes since an offset.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListUpdate<Value> {
    /// Whether this is the full list, so that a missing record does not exist.
    pub is_full: bool,
    /// Offset at which the next read begins.
    pub next_offset: u64,
    /// Era of the platform's data that was read; none if the platform didn't state it.
    pub era: Option<u64>,
    /// Changes in log order.
    pub changes: Vec<Change<Value>>,
    /// One message for each record that could not be decoded. Such a record is not among the changes, so it counts as
    /// missing from a full list.
    pub record_errors: Vec<String>,
    /// Size of the platform's responses, in bytes.
    pub received_bytes: u64,
}

/// Reads a list. On [`ReadError::Trimmed`] the caller must read the full list.
pub type ReadList<Value> =
    Box<dyn Fn(Cursor) -> BoxFuture<'static, Result<ListUpdate<Value>, ReadError>> + Send + Sync>;

/// Writes an instance's record. Returns the era of the platform's data that contains it, if the platform states it.
pub type Announce =
    Box<dyn Fn(&Instance) -> BoxFuture<'static, Result<Option<u64>, AppendError>> + Send + Sync>;

/// An instance from which others get changes, as the platform's directory of sources lists it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedSource {
    /// The instance.
    pub instance: Instance,
    /// Number of instances in the fleet, as far as the writer of the record knew; 0 if it did not know.
    pub fleet_instances: u32,
}

/// Writes sources to the directory, and deletes those of the names.
pub type WriteDirectory = Box<
    dyn Fn(&[ListedSource], &[&str]) -> BoxFuture<'static, Result<(), AppendError>> + Send + Sync,
>;

/// Deletes the record of the instance with that name.
pub type Withdraw = Box<dyn Fn(&str) -> BoxFuture<'static, Result<(), AppendError>> + Send + Sync>;

/// A configuration as read from the platform, which lists only approved ones.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PublishedConfig {
    /// Version; increases with each document.
    pub version: u64,
    /// The document.
    pub document: Document,
}

/// A platform that keeps lists of named records.
pub struct Source {
    /// Reads the configuration, a list of one record.
    pub configuration: ReadList<PublishedConfig>,
    /// Reads the backend servers.
    pub servers: ReadList<BackendServer>,
    /// Reads the instances.
    pub instances: ReadList<Instance>,
    /// Reads the directory of sources: the few instances from which all others get changes.
    pub directory: ReadList<ListedSource>,
    /// Changes the directory of sources.
    pub write_directory: WriteDirectory,
    /// Writes this instance's record.
    pub announce: Announce,
    /// Deletes this instance's record.
    pub withdraw: Withdraw,
}
