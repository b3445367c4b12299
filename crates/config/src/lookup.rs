//! An index over a document, so that finding a route costs the path's segments and not the document's routes.
//!
//! Invariant: it holds positions, so it is only valid for the very document it was made from; the two are
//! kept together.

use {crate::Document, std::collections::HashMap};

/// Positions of routes by host and prefix, and of services by name.
#[derive(Clone, Debug, Default)]
pub struct Lookup {
    pub(crate) hosts: HashMap<String, HashMap<String, Vec<usize>>>,
    pub(crate) services: HashMap<String, usize>,
}

impl Lookup {
    /// Indexes a document.
    pub fn new(document: &Document) -> Self {
        let mut lookup = Self::default();
        for (position, route) in document.routes.iter().enumerate() {
            let prefixes = lookup.hosts.entry(route.host.clone()).or_default();
            prefixes
                .entry(route.prefix.clone())
                .or_default()
                .push(position);
        }
        for (position, service) in document.services.iter().enumerate() {
            lookup
                .services
                .entry(service.name.clone())
                .or_insert(position);
        }
        lookup
    }
}
