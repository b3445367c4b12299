//! Conversions of claim records.

use {
    crate::{
        decode_digest, encode_digest,
        generated::{ClaimEntry, ClaimKind, ClaimRecord},
        CodecError,
    },
    claim::{ClaimEvent, Holder},
};

/// Encodes a batch of events; releases carry `instance` and `incarnation`.
pub fn encode_claim_events(events: &[ClaimEvent], instance: &str, incarnation: u64) -> ClaimRecord {
    let entries = events
        .iter()
        .map(|event| match event {
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

/// Decodes a batch of events.
///
/// # Errors
///
/// The digest of an event is not valid; the first such error is returned.
pub fn decode_claim_events(record: &ClaimRecord) -> Result<Vec<ClaimEvent>, CodecError> {
    record.entries.iter().map(decode_claim_event).collect()
}

fn decode_claim_event(entry: &ClaimEntry) -> Result<ClaimEvent, CodecError> {
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
