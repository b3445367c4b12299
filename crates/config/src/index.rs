//! An index over a document, so that finding a route costs the path's segments and not the document's routes.
//!
//! Invariant: it holds positions, so it is only valid for the very document it was made from; the two are
//! kept together.

use {crate::Document, std::collections::HashMap};

/// Positions of routes by host and prefix, and of services by name.
#[derive(Clone, Debug, Default)]
pub struct DocumentIndex {
    pub(crate) routes_by_host: HashMap<String, HashMap<String, Vec<usize>>>,
    pub(crate) services_by_name: HashMap<String, usize>,
}

impl DocumentIndex {
    /// Indexes a document.
    pub fn new(document: &Document) -> Self {
        let mut lookup = Self::default();
        for (position, route) in document.routes.iter().enumerate() {
            let prefixes = lookup.routes_by_host.entry(route.host.clone()).or_default();
            prefixes
                .entry(route.prefix.clone())
                .or_default()
                .push(position);
        }
        for (position, service) in document.services.iter().enumerate() {
            lookup
                .services_by_name
                .entry(service.name.clone())
                .or_insert(position);
        }
        lookup
    }
}
