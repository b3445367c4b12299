//! Sends the changes of configurations to other instances.

use {
    crate::{
        queries::find_patch,
        transfer::{
            ConfigPatch, PatchStore, Uploads, HOLDERS_MAX, KEPT_PATCHES_BYTES, PART_BYTES,
            UPLOADS_MAX, UPLOAD_IDLE_MS,
        },
        Feed,
    },
    wire::{
        encode_data,
        generated::{ConfigPartRequest, ConfigPartResponse},
    },
};

/// Keeps changes for other instances, and drops the oldest if there are too many.
pub(crate) fn store_patch(store: &mut PatchStore, patch: ConfigPatch) {
    if patch.base_version == 0 {
        store.whole = Some(patch);
        return;
    }
    store.patches.push_back(patch);
    let mut kept_bytes: usize = store.patches.iter().map(|patch| patch.data.len()).sum();
    while kept_bytes > KEPT_PATCHES_BYTES && store.patches.len() > 1 {
        let dropped = store.patches.pop_front();
        kept_bytes -= dropped.map_or(0, |patch| patch.data.len());
    }
}

/// Returns a part of the changes from the version that another instance knows, which begins where the changes that it has
/// end. While this instance sends to as many others as it can, the response has no data, but names instances that have
/// received the changes.
pub fn send_config_part(feed: &Feed, request: &ConfigPartRequest) -> ConfigPartResponse {
    let Some(patch) = patch_for(feed, request.known_version) else {
        return without_changes();
    };
    let total = patch.data.len();
    let position = if request.patch == patch.hash {
        (request.position as usize).min(total)
    } else {
        0
    };
    let end = total.min(position + PART_BYTES);
    let now_ms = feed.now_ms();
    let (is_admitted, holders) = feed.state.with(0, |state| {
        let uploads = &mut state.uploads;
        forget_older_holders(uploads, patch.version);
        let is_admitted = total <= PART_BYTES || admit(uploads, &request.requester, now_ms);
        if is_admitted && end == total {
            record_holder(uploads, &request.requester);
        }
        let holders = uploads.holders.iter().filter(|_| !is_admitted);
        (is_admitted, holders.cloned().collect())
    });
    let part = if is_admitted {
        &patch.data[position..end]
    } else {
        &[]
    };
    ConfigPartResponse {
        patch: patch.hash,
        base_version: patch.base_version,
        version: patch.version,
        total_bytes: total as u64,
        position: position as u64,
        data: encode_data(part),
        holders,
    }
}

fn without_changes() -> ConfigPartResponse {
    ConfigPartResponse {
        patch: 0,
        base_version: 0,
        version: 0,
        total_bytes: 0,
        position: 0,
        data: String::new(),
        holders: Vec::new(),
    }
}

/// Returns the changes from `known_version`, or else the whole document, if it is newer.
fn patch_for(feed: &Feed, known_version: u64) -> Option<ConfigPatch> {
    let version = (feed.hooks.active_config_version)();
    if version <= known_version {
        return None;
    }
    let known = feed.state.with(0, |state| {
        find_patch(&state.patches, known_version, version).cloned()
    });
    known.or_else(|| {
        let whole = (feed.hooks.whole_config)()?;
        feed.state
            .with(0, |state| store_patch(&mut state.patches, whole.clone()));
        Some(whole)
    })
}

/// Admits an instance if it is receiving changes already or few enough others are; returns whether it may receive a part.
fn admit(uploads: &mut Uploads, requester: &str, now_ms: u64) -> bool {
    uploads
        .active
        .retain(|_, last_ms| now_ms < *last_ms + UPLOAD_IDLE_MS);
    if !uploads.active.contains_key(requester) && uploads.active.len() >= UPLOADS_MAX {
        return false;
    }
    uploads.active.insert(requester.to_owned(), now_ms);
    true
}

fn forget_older_holders(uploads: &mut Uploads, version: u64) {
    if uploads.version < version {
        uploads.version = version;
        uploads.holders.clear();
    }
}

fn record_holder(uploads: &mut Uploads, requester: &str) {
    uploads.active.remove(requester);
    if uploads.holders.iter().any(|holder| holder == requester) {
        return;
    }
    uploads.holders.push_back(requester.to_owned());
    if uploads.holders.len() > HOLDERS_MAX {
        uploads.holders.pop_front();
    }
}
