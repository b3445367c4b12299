//! Wire format: the generated types of all messages and documents, and their conversions.
//!
//! The types in [`generated`] are generated from `schema/catkinhitch.schema.json` and committed. The crates that
//! make decisions don't use them; [`convert`] converts to and from those crates' own types.

mod codec;
pub mod convert;
#[allow(clippy::all, missing_docs, unreachable_pub)]
#[rustfmt::skip]
pub mod generated;

pub use crate::codec::{
    decode_data, decode_digest, encode_data, encode_digest, from_compressed_json, from_json,
    key_digest, to_compressed_json, to_json, CodecError,
};
