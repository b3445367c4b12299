//! An index over a document. With it, the cost of finding a route depends on the number of path segments instead of the
//! number of routes.
//!
//! Invariant: the index stores positions, so it is only valid for the document it was built from. The two are kept
//! together.

use {crate::Document, std::collections::HashMap};

/// Positions of routes by host and prefix, and of services by name.
#[derive(Clone, Debug, Default)]
pub struct DocumentIndex {
    pub(crate) routes_by_host: HashMap<String, HashMap<String, Vec<usize>>>,
    pub(crate) services_by_name: HashMap<String, usize>,
    /// Accounts with a limit.
    pub(crate) limited_accounts: HashMap<String, usize>,
}

impl DocumentIndex {
    /// Builds the index of a document.
    pub fn new(document: &Document) -> Self {
        let mut index = Self::default();
        for (position, route) in document.routes.iter().enumerate() {
            let routes_by_prefix = index.routes_by_host.entry(route.host.clone()).or_default();
            routes_by_prefix
                .entry(route.prefix.clone())
                .or_default()
                .push(position);
        }
        for (position, service) in document.services.iter().enumerate() {
            index
                .services_by_name
                .entry(service.name.clone())
                .or_insert(position);
        }
        for (position, account) in document.accounts.iter().enumerate() {
            if account.rate_milli > 0 {
                let accounts = &mut index.limited_accounts;
                accounts.entry(account.name.clone()).or_insert(position);
            }
        }
        index
    }
}
