//! Conversions of ejection records.

use {
    crate::generated::{EjectionKind, EjectionRecord},
    outlier::{EjectionEvent, EjectionEventKind},
};

/// Writes an ejection record of `proposer`.
pub fn encode_ejection_event(record: &EjectionEvent, proposer: &str) -> EjectionRecord {
    EjectionRecord {
        kind: match record.kind {
            EjectionEventKind::Eject => EjectionKind::Eject,
            EjectionEventKind::Renew => EjectionKind::Renew,
            EjectionEventKind::Return => EjectionKind::Return,
        },
        server: record.server.clone(),
        slots: record.slots,
        proved_slots: record.healthy_slots,
        floor_slots: record.floor_slots,
        base_offset: record.base_offset,
        proposer: proposer.to_owned(),
    }
}

/// Reads an ejection record.
pub fn decode_ejection_event(text: &EjectionRecord) -> EjectionEvent {
    EjectionEvent {
        kind: match text.kind {
            EjectionKind::Eject => EjectionEventKind::Eject,
            EjectionKind::Renew => EjectionEventKind::Renew,
            EjectionKind::Return => EjectionEventKind::Return,
        },
        server: text.server.clone(),
        slots: text.slots,
        healthy_slots: text.proved_slots,
        floor_slots: text.floor_slots,
        base_offset: text.base_offset,
    }
}
