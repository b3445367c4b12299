//! Computes and applies the changes between two documents.

use {
    crate::{Document, DocumentPatch, Span},
    std::{collections::HashMap, hash::Hash},
};

/// Returns the changes from `base` to `target`; [`patched_document`] restores the target from them, in all details.
pub fn document_patch(base: &Document, target: &Document) -> DocumentPatch {
    DocumentPatch {
        services: target.services.clone(),
        limits: target.limits,
        routes: spans(&base.routes, &target.routes),
        accounts: spans(&base.accounts, &target.accounts),
    }
}

/// Returns the spans that make `target` from `base`.
fn spans<Item>(base: &[Item], target: &[Item]) -> Vec<Span<Item>>
where
    Item: Clone + Eq + Hash,
{
    let mut positions: HashMap<&Item, usize> = HashMap::with_capacity(base.len());
    for (position, item) in base.iter().enumerate() {
        positions.entry(item).or_insert(position);
    }
    let mut spans: Vec<Span<Item>> = Vec::new();
    for item in target {
        let position = positions.get(item).copied();
        match (position, spans.last_mut()) {
            (None, Some(span)) => span.added.push(item.clone()),
            (None, None) => spans.push(Span {
                kept_from: 0,
                kept: 0,
                added: vec![item.clone()],
            }),
            (Some(position), Some(span)) if continues(span, position) => span.kept += 1,
            (Some(position), _) => spans.push(Span {
                kept_from: position,
                kept: 1,
                added: Vec::new(),
            }),
        }
    }
    spans
}

fn continues<Item>(span: &Span<Item>, position: usize) -> bool {
    span.added.is_empty() && span.kept_from + span.kept == position
}

/// Returns the document that results from applying `patch` to `base`; none if it takes routes or accounts that `base`
/// doesn't have.
pub fn patched_document(base: &Document, patch: &DocumentPatch) -> Option<Document> {
    Some(Document {
        services: patch.services.clone(),
        routes: joined(&base.routes, &patch.routes)?,
        limits: patch.limits,
        accounts: joined(&base.accounts, &patch.accounts)?,
    })
}

fn joined<Item>(base: &[Item], spans: &[Span<Item>]) -> Option<Vec<Item>>
where
    Item: Clone,
{
    let mut items = Vec::new();
    for span in spans {
        let end = span.kept_from.checked_add(span.kept)?;
        items.extend_from_slice(base.get(span.kept_from..end)?);
        items.extend_from_slice(&span.added);
    }
    Some(items)
}
