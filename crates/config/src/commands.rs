//! Commands that change the replica; each returns at most the result of its change.

mod apply;

pub use apply::{apply_event, merge_accepted, skip_malformed, skip_to, start_over};
