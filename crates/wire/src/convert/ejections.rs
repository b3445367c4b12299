//! Conversions of ejection records.

use {
    crate::generated::{EjectionKind, EjectionRecord},
    outlier::{EjectionEvent, EjectionEventKind},
};

/// Encodes an ejection event of `proposer`.
pub fn encode_ejection_event(event: &EjectionEvent, proposer: &str) -> EjectionRecord {
    EjectionRecord {
        kind: match event.kind {
            EjectionEventKind::Eject => EjectionKind::Eject,
            EjectionEventKind::Renew => EjectionKind::Renew,
            EjectionEventKind::Return => EjectionKind::Return,
        },
        server: event.server.clone(),
        slots: event.slots,
        proved_slots: event.healthy_slots,
        floor_slots: event.floor_slots,
        base_offset: event.base_offset,
        proposer: proposer.to_owned(),
    }
}

/// Decodes an ejection event.
pub fn decode_ejection_event(record: &EjectionRecord) -> EjectionEvent {
    EjectionEvent {
        kind: match record.kind {
            EjectionKind::Eject => EjectionEventKind::Eject,
            EjectionKind::Renew => EjectionEventKind::Renew,
            EjectionKind::Return => EjectionEventKind::Return,
        },
        server: record.server.clone(),
        slots: record.slots,
        healthy_slots: record.proved_slots,
        floor_slots: record.floor_slots,
        base_offset: record.base_offset,
    }
}
