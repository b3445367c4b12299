//! Text of the generated types, and digests as text.

use {
    claim::KeyDigest,
    serde::{de::DeserializeOwned, Serialize},
    sha2::{Digest as _, Sha256},
    snafu::{ResultExt, Snafu},
};

/// A text that is not what its place asks for.
#[derive(Debug, Snafu)]
pub enum CodecError {
    /// The text is not the JSON of the expected type.
    #[snafu(display("not a valid {what}: {source}"))]
    Json {
        /// What was expected.
        what: &'static str,
        /// Place and kind of the error.
        source: serde_json::Error,
    },
    /// A field's text is not what the field asks for.
    #[snafu(display("{what} {text:?} is not valid"))]
    Field {
        /// What was expected.
        what: &'static str,
        /// The text that stood there.
        text: String,
    },
}

/// Writes a generated type as JSON.
pub fn to_json<Value>(value: &Value) -> String
where
    Value: Serialize,
{
    // The generated types have string keys only, which is the one way in which writing could fail.
    serde_json::to_string(value).unwrap_or_default()
}

/// Reads a generated type from JSON.
///
/// # Errors
///
/// [`CodecError::Json`] names the line, the column and the unknown or missing field.
pub fn from_json<Value>(what: &'static str, text: &[u8]) -> Result<Value, CodecError>
where
    Value: DeserializeOwned,
{
    serde_json::from_slice(text).context(JsonSnafu { what })
}

/// Returns the digest of a key together with all that belongs to it.
pub fn key_digest(parts: &[&[u8]]) -> KeyDigest {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let whole = hasher.finalize();
    let mut digest = KeyDigest::default();
    let length = digest.len();
    digest.copy_from_slice(&whole[..length]);
    digest
}

/// Writes a digest in hex.
pub fn encode_digest(digest: &KeyDigest) -> String {
    hex::encode(digest)
}

/// Reads a digest from hex.
///
/// # Errors
///
/// [`CodecError::Field`] if the text is not 32 hex digits.
pub fn decode_digest(text: &str) -> Result<KeyDigest, CodecError> {
    let mut digest = KeyDigest::default();
    match hex::decode_to_slice(text, &mut digest) {
        Ok(()) => Ok(digest),
        Err(_) => FieldSnafu {
            what: "digest",
            text,
        }
        .fail(),
    }
}
