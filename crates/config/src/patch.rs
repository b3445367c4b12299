//! The changes from one document to another.

use crate::{Account, CallerLimits, Route, Service};

/// Entries of a list that are taken from the base document, and new ones that follow them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Span<Item> {
    /// Position of the first entry taken.
    pub kept_from: usize,
    /// Number of entries taken.
    pub kept: usize,
    /// New entries.
    pub added: Vec<Item>,
}

/// The changes from a base document to another. Services and limits are few and complete; of the routes and accounts only
/// the new ones are there.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DocumentPatch {
    /// All services of the result.
    pub services: Vec<Service>,
    /// Limits on callers of the result.
    pub limits: Option<CallerLimits>,
    /// Routes of the result, in order.
    pub routes: Vec<Span<Route>>,
    /// Accounts of the result, in order.
    pub accounts: Vec<Span<Account>>,
}
