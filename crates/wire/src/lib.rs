//! The border: generated types of every message and document, and their conversions.
//!
//! The types in [`generated`] come from `schema/catkinhitch.schema.json` and are committed. Decisions never
//! see them; [`convert`] turns them into the decision crates' own types and back.

mod codec;
pub mod convert;
#[allow(clippy::all, missing_docs, unreachable_pub)]
#[rustfmt::skip]
pub mod generated;

pub use crate::codec::{decode_digest, encode_digest, from_json, key_digest, to_json, CodecError};
