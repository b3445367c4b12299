//! What a node reads from a platform that keeps lists of named records, and what it writes there, as closures.
//!
//! The adapter of a platform gives one value of [`Source`]; how often it is read, by which instances, and what
//! follows from what it says is decided elsewhere.

use {
    crate::{AppendError, ReadError},
    config::Document,
    futures_util::future::BoxFuture,
    member::{BackendServer, Instance},
};

/// Where a reading begins.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Cursor {
    /// Place that an earlier reading ended at; none for the whole list.
    pub from: Option<u64>,
    /// How long to wait for a first change, in milliseconds; a whole list does not wait.
    pub wait_ms: u64,
}

/// One record's change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change<Value> {
    /// Name of the record.
    pub name: String,
    /// Its value; none if it is gone.
    pub value: Option<Value>,
}

/// What a reading found.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListUpdate<Value> {
    /// Whether this is the whole list, so that what is missing is gone.
    pub is_full: bool,
    /// Where the next reading begins.
    pub next_offset: u64,
    /// Changes in their order.
    pub changes: Vec<Change<Value>>,
    /// One sentence for each record that can't be used; what was known of it stands.
    pub record_errors: Vec<String>,
}

/// Reads a list; [`ReadError::Trimmed`] asks for the whole list.
pub type ReadList<Value> =
    Box<dyn Fn(Cursor) -> BoxFuture<'static, Result<ListUpdate<Value>, ReadError>> + Send + Sync>;

/// Writes an instance's record.
pub type Announce =
    Box<dyn Fn(&Instance) -> BoxFuture<'static, Result<(), AppendError>> + Send + Sync>;

/// Takes back the record of the instance with that name.
pub type Withdraw = Box<dyn Fn(&str) -> BoxFuture<'static, Result<(), AppendError>> + Send + Sync>;

/// A configuration that the platform has as approved.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PublishedConfig {
    /// Version; rises with each document.
    pub version: u64,
    /// The document.
    pub document: Document,
}

/// A platform that keeps lists.
pub struct Source {
    /// Reads the configuration, a list of one record.
    pub configuration: ReadList<PublishedConfig>,
    /// Reads the backend servers.
    pub servers: ReadList<BackendServer>,
    /// Reads the instances.
    pub instances: ReadList<Instance>,
    /// Writes this instance's record.
    pub announce: Announce,
    /// Takes this instance's record back.
    pub withdraw: Withdraw,
}
