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
pub struct Reading<Value> {
    /// Whether this is the whole list, so that what is missing is gone.
    pub whole: bool,
    /// Where the next reading begins.
    pub next: u64,
    /// Changes in their order.
    pub changes: Vec<Change<Value>>,
    /// One sentence for each record that can't be used; what was known of it stands.
    pub faults: Vec<String>,
}

/// Reads a list; [`ReadError::Trimmed`] asks for the whole list.
pub type Read<Value> =
    Box<dyn Fn(Cursor) -> BoxFuture<'static, Result<Reading<Value>, ReadError>> + Send + Sync>;

/// Writes an instance's record.
pub type Announce =
    Box<dyn Fn(&Instance) -> BoxFuture<'static, Result<(), AppendError>> + Send + Sync>;

/// Takes back the record of the instance with that name.
pub type Withdraw = Box<dyn Fn(&str) -> BoxFuture<'static, Result<(), AppendError>> + Send + Sync>;

/// A configuration that the platform has as approved.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Published {
    /// Version; rises with each document.
    pub version: u64,
    /// The document.
    pub document: Document,
}

/// A platform that keeps lists.
pub struct Source {
    /// Reads the configuration, a list of one record.
    pub configuration: Read<Published>,
    /// Reads the backend servers.
    pub servers: Read<BackendServer>,
    /// Reads the instances.
    pub instances: Read<Instance>,
    /// Writes this instance's record.
    pub announce: Announce,
    /// Takes this instance's record back.
    pub withdraw: Withdraw,
}
