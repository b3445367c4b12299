//! Commands that change claims and keys; each returns at most the result of its change.

mod advance;
mod apply;
mod keys;

pub use self::{
    advance::advance,
    apply::{apply_event, expire_claims, observe_era, skip_to, start_over},
    keys::{abandon_claim, begin_key, expire_keys, finish_key},
};
