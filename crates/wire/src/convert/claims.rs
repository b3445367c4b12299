//! Conversions of claim records.

use {
    crate::{
        decode_digest, encode_digest,
        generated::{ClaimEntry, ClaimKind, ClaimRecord},
        CodecError,
    },
    claim::{ClaimEvent, Holder},
};

/// Writes a batch of entries; `instance` and `incarnation` stand in releases too.
pub fn encode_claim_events(
    entries: &[ClaimEvent],
    instance: &str,
    incarnation: u64,
) -> ClaimRecord {
    let entries = entries
        .iter()
        .map(|entry| match entry {
            ClaimEvent::Claim { digest, holder } => ClaimEntry {
                kind: ClaimKind::Claim,
                digest: encode_digest(digest),
                instance: holder.instance.clone(),
                incarnation: holder.incarnation,
                nonce: holder.nonce,
            },
            ClaimEvent::Release { digest, nonce } => ClaimEntry {
                kind: ClaimKind::Release,
                digest: encode_digest(digest),
                instance: instance.to_owned(),
                incarnation,
                nonce: *nonce,
            },
        })
        .collect();
    ClaimRecord { entries }
}

/// Reads a batch of entries.
///
/// # Errors
///
/// The first entry whose digest is not valid.
pub fn decode_claim_events(record: &ClaimRecord) -> Result<Vec<ClaimEvent>, CodecError> {
    record.entries.iter().map(claim_entry).collect()
}

fn claim_entry(entry: &ClaimEntry) -> Result<ClaimEvent, CodecError> {
    let digest = decode_digest(&entry.digest)?;
    Ok(match entry.kind {
        ClaimKind::Claim => ClaimEvent::Claim {
            digest,
            holder: Holder {
                instance: entry.instance.clone(),
                incarnation: entry.incarnation,
                nonce: entry.nonce,
            },
        },
        ClaimKind::Release => ClaimEvent::Release {
            digest,
            nonce: entry.nonce,
        },
    })
}
