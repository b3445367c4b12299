//! Client accounts: which account an API key belongs to, and whether a request may run.
//!
//! Pure logic: no I/O, no clock, no encoding. A key is only compared as its digest and is never stored.

mod key_index;
pub mod queries;

pub use crate::{
    key_index::KeyIndex,
    queries::{Admission, AuthorizationTerms},
};
