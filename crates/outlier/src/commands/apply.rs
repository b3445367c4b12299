//! Folds a service's ejection stream by one rule that reads nothing but the log.

use crate::{ActiveEjection, EjectionEvent, EjectionEventKind, EjectionReplica, EJECTION_TTL_MS};

/// Folds the record at `offset`, appended `age_ms` ago at `at_ms` of the log's clock; returns whether it took effect.
pub fn apply_event(
    ejections: &mut EjectionReplica,
    offset: u64,
    record: &EjectionEvent,
    at_ms: u64,
    age_ms: u64,
    now_ms: u64,
) -> bool {
    if offset < ejections.next_offset {
        return false;
    }
    ejections.next_offset = offset + 1;
    let accepted = match record.kind {
        EjectionEventKind::Eject => accepts(ejections, record),
        EjectionEventKind::Renew => in_force(ejections, &record.server, at_ms),
        EjectionEventKind::Return => return ejections.active.remove(&record.server).is_some(),
    };
    if !accepted {
        return false;
    }
    if record.kind == EjectionEventKind::Eject {
        ejections.last_accepted_offset = Some(offset);
        ejections.base_unknown = false;
    }
    let ejected = ActiveEjection {
        offset,
        expires_log_ms: at_ms + EJECTION_TTL_MS,
        enforced_until_ms: (now_ms + EJECTION_TTL_MS).saturating_sub(age_ms),
    };
    ejections.active.insert(record.server.clone(), ejected);
    true
}

/// Notes that the stream now starts at `first_offset`, so the last accepted ejection may be unknown.
pub fn skip_to(ejections: &mut EjectionReplica, first_offset: u64) {
    if first_offset > ejections.next_offset {
        ejections.next_offset = first_offset;
        ejections.base_unknown = true;
    }
}

/// Of two proposers that race, the later record's base is no longer the last, so it is void.
fn accepts(ejections: &EjectionReplica, record: &EjectionEvent) -> bool {
    let base_holds = ejections.base_unknown || record.base_offset == ejections.last_accepted_offset;
    base_holds && record.healthy_slots >= record.floor_slots.saturating_add(record.slots)
}

fn in_force(ejections: &EjectionReplica, server: &str, at_ms: u64) -> bool {
    ejections
        .active
        .get(server)
        .is_some_and(|ejected| at_ms < ejected.expires_log_ms)
}
