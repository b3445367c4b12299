//! JSON of the generated types, and hex digests.

use {
    claim::KeyDigest,
    serde::{de::DeserializeOwned, Serialize},
    sha2::{Digest as _, Sha256},
    snafu::{ResultExt, Snafu},
};

/// A text that can't be parsed.
#[derive(Debug, Snafu)]
pub enum CodecError {
    /// The text is not JSON of the expected type.
    #[snafu(display("not a valid {expected}: {source}"))]
    Json {
        /// Expected type or kind of text.
        expected: &'static str,
        /// Position and kind of the error.
        source: serde_json::Error,
    },
    /// The text of a field is not valid.
    #[snafu(display("{expected} {text:?} is not valid"))]
    Field {
        /// Expected type or kind of text.
        expected: &'static str,
        /// The text of the field.
        text: String,
    },
}

/// Serializes a generated type to JSON.
pub fn to_json<Value>(value: &Value) -> String
where
    Value: Serialize,
{
    // Can't fail: the only possible error is a map key that is not a string, and the generated types have none.
    serde_json::to_string(value).unwrap_or_default()
}

/// Parses a generated type from JSON.
///
/// # Errors
///
/// [`CodecError::Json`] with the line, the column and the unknown or missing field.
pub fn from_json<Value>(expected: &'static str, text: &[u8]) -> Result<Value, CodecError>
where
    Value: DeserializeOwned,
{
    serde_json::from_slice(text).context(JsonSnafu { expected })
}

/// Returns the digest of an idempotency key and its scope: the first 16 bytes of a SHA-256 hash. Each part is prefixed
/// with its length, so that different splits of the same bytes have different digests.
pub fn key_digest(parts: &[&[u8]]) -> KeyDigest {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let hash = hasher.finalize();
    let mut digest = KeyDigest::default();
    let length = digest.len();
    digest.copy_from_slice(&hash[..length]);
    digest
}

/// Encodes a digest in hex.
pub fn encode_digest(digest: &KeyDigest) -> String {
    hex::encode(digest)
}

/// Decodes a digest from hex.
///
/// # Errors
///
/// [`CodecError::Field`] if the text is not 32 hex digits.
pub fn decode_digest(text: &str) -> Result<KeyDigest, CodecError> {
    let mut digest = KeyDigest::default();
    match hex::decode_to_slice(text, &mut digest) {
        Ok(()) => Ok(digest),
        Err(_) => FieldSnafu {
            expected: "digest",
            text,
        }
        .fail(),
    }
}
