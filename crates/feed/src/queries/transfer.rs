//! Queries over the changes that are kept for other instances.

use crate::transfer::{ConfigPatch, PatchStore};

/// Returns the changes from `base_version` to the newest version, or the whole document in that version; none if neither
/// is kept.
pub(crate) fn find_patch(
    store: &PatchStore,
    base_version: u64,
    version: u64,
) -> Option<&ConfigPatch> {
    let mut newest_first = store.patches.iter().rev();
    let changes = newest_first.find(|patch| patch.base_version == base_version);
    let whole = store.whole.as_ref();
    changes.or_else(|| whole.filter(|patch| patch.version == version))
}
