//! Applies the events of a service's ejection stream. Acceptance depends on the log alone, so all instances agree.

use crate::{ActiveEjection, EjectionEvent, EjectionEventKind, EjectionReplica, EJECTION_TTL_MS};

/// Applies the event at `offset`, which was appended `age_ms` ago, at `at_ms` on the log's clock. Returns whether it
/// took effect: a renewal does so only before the ejection expires, a return whenever the server has an ejection.
pub fn apply_event(
    replica: &mut EjectionReplica,
    offset: u64,
    event: &EjectionEvent,
    at_ms: u64,
    age_ms: u64,
    now_ms: u64,
) -> bool {
    if offset < replica.next_offset {
        return false;
    }
    replica.next_offset = offset + 1;
    let accepted = match event.kind {
        EjectionEventKind::Eject => is_accepted(replica, event),
        EjectionEventKind::Renew => is_active(replica, &event.server, at_ms),
        EjectionEventKind::Return => return replica.active.remove(&event.server).is_some(),
    };
    if !accepted {
        return false;
    }
    if event.kind == EjectionEventKind::Eject {
        replica.last_accepted_offset = Some(offset);
        replica.base_unknown = false;
    }
    let ejection = ActiveEjection {
        offset,
        expires_log_ms: at_ms + EJECTION_TTL_MS,
        enforced_until_ms: (now_ms + EJECTION_TTL_MS).saturating_sub(age_ms),
    };
    replica.active.insert(event.server.clone(), ejection);
    true
}

/// Skips to `first_offset` after the stream was trimmed. The last accepted ejection may be among the trimmed events, so
/// the next ejection is accepted with any base offset.
pub fn skip_to(replica: &mut EjectionReplica, first_offset: u64) {
    if first_offset > replica.next_offset {
        replica.next_offset = first_offset;
        replica.base_unknown = true;
    }
}

/// Starts over after the log has lost records: the stream is read from its start, and what it no longer has has ended. So all
/// instances agree, and those that know a lost ejection don't enforce it alone.
pub fn start_over(replica: &mut EjectionReplica) {
    *replica = EjectionReplica::new();
}

/// Checks that the proposer knew the last accepted ejection, unless that one may have been trimmed, and that the
/// healthy capacity without the server is not below the floor. When two proposers race, the later event has an outdated
/// base offset and is rejected.
fn is_accepted(replica: &EjectionReplica, event: &EjectionEvent) -> bool {
    let is_base_current = replica.base_unknown || event.base_offset == replica.last_accepted_offset;
    is_base_current && event.healthy_slots >= event.floor_slots.saturating_add(event.slots)
}

/// Returns whether `server` has an ejection that has not expired at `at_ms` on the log's clock.
fn is_active(replica: &EjectionReplica, server: &str, at_ms: u64) -> bool {
    replica
        .active
        .get(server)
        .is_some_and(|ejection| at_ms < ejection.expires_log_ms)
}
