//! JSON of the generated types, plain and compressed, and digests and data as text.

use {
    base64::{prelude::BASE64_STANDARD, Engine},
    claim::KeyDigest,
    flate2::{read::DeflateDecoder, write::DeflateEncoder, Compression},
    serde::{de::DeserializeOwned, Serialize},
    sha2::{Digest as _, Sha256},
    snafu::{ResultExt, Snafu},
    std::io::{Read, Write},
};

/// Largest size of a compressed message after decompression, in bytes.
const DECOMPRESSED_MAX_BYTES: u64 = 64 << 20;
/// Most characters of an invalid field that an error repeats.
const FIELD_TEXT_MAX_CHARS: usize = 64;

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
    /// The bytes are not a complete compressed message, or too many.
    #[snafu(display("not a compressed {expected} of at most {DECOMPRESSED_MAX_BYTES} bytes"))]
    Compression {
        /// Expected type.
        expected: &'static str,
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

/// Serializes a generated type to compressed JSON.
pub fn to_compressed_json<Value>(value: &Value) -> Vec<u8>
where
    Value: Serialize,
{
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    // Writing to a vector can't fail.
    let _ = encoder.write_all(to_json(value).as_bytes());
    encoder.finish().unwrap_or_default()
}

/// Parses a generated type from compressed JSON.
///
/// # Errors
///
/// The bytes can't be decompressed, or the result is not JSON of the expected type.
pub fn from_compressed_json<Value>(
    expected: &'static str,
    bytes: &[u8],
) -> Result<Value, CodecError>
where
    Value: DeserializeOwned,
{
    let mut text = Vec::new();
    let mut decoder = DeflateDecoder::new(bytes).take(DECOMPRESSED_MAX_BYTES + 1);
    let is_read = decoder.read_to_end(&mut text).is_ok();
    if !is_read || text.len() as u64 > DECOMPRESSED_MAX_BYTES {
        return CompressionSnafu { expected }.fail();
    }
    from_json(expected, &text)
}

/// Encodes data as text.
pub fn encode_data(data: &[u8]) -> String {
    BASE64_STANDARD.encode(data)
}

/// Decodes data from text.
///
/// # Errors
///
/// [`CodecError::Field`] if the text is not base64.
pub fn decode_data(text: &str) -> Result<Vec<u8>, CodecError> {
    BASE64_STANDARD.decode(text).map_err(|_| CodecError::Field {
        expected: "base64 data",
        text: text.chars().take(FIELD_TEXT_MAX_CHARS).collect(),
    })
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
