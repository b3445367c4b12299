//! Commands that change the replica; each returns at most a receipt.

mod apply;

pub use apply::{apply_event, merge_accepted, skip_malformed, skip_to};
