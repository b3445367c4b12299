//! Takes permits back with what their use says about the server.

use {
    crate::{commands::restand, PoolState},
    outlier::{commands::record_outcome, AttemptOutcome},
    permit::commands::{give_back, withdraw_ask},
    types::{PermitId, ServerIndex},
};

/// A permit that is given back, or an ask whose answer was not heard.
#[derive(Clone, Copy, Debug)]
pub struct Back<'a> {
    /// The permit; none for an ask whose answer was not heard.
    pub permit: Option<PermitId>,
    /// Number of the ask, if there is no permit.
    pub ask: u64,
    /// Name of the server.
    pub server: &'a str,
    /// What the use of the slot says about the server.
    pub evidence: AttemptOutcome,
    /// Time to the whole answer, in microseconds, if there was one.
    pub whole_us: Option<u64>,
    /// Whether the server is leaving or gone, as it says itself or another one at its address.
    pub is_leaving: bool,
}

/// Takes back a slot and learns from its use.
pub fn take_back(state: &mut PoolState, back: &Back<'_>, now_ms: u64) {
    let Some(permit) = back.permit else {
        withdraw_ask(&mut state.pool, back.ask);
        return state.wake_first(now_ms);
    };
    let permit = give_back(&mut state.pool, permit, back.whole_us);
    if let Some(server) = state.pool.names.find(back.server) {
        let may_retry = permit.is_some_and(|permit| permit.may_retry);
        note_recent(state, server, back.evidence, may_retry, now_ms);
        let known_overdue = permit.is_some_and(|permit| permit.overdue);
        let evidence = once(back.evidence, known_overdue);
        record_outcome(
            &mut state.health,
            server,
            evidence,
            state.sensitivity,
            now_ms,
        );
        if let (true, Some(note)) = (back.is_leaving, state.notes.get_mut(server)) {
            note.draining = true;
        }
        ramp_up(state, server, evidence);
    }
    restand(state, now_ms);
    state.wake_first(now_ms);
}

/// A permit found overdue was held against its server already, so its lateness does not count again.
fn once(evidence: AttemptOutcome, known_overdue: bool) -> AttemptOutcome {
    match evidence {
        AttemptOutcome::Completed { first_byte_us } if known_overdue => {
            AttemptOutcome::CompletedLate { first_byte_us }
        }
        AttemptOutcome::Overdue if known_overdue => AttemptOutcome::Inconclusive,
        other => other,
    }
}

/// Notes how much of the service's work fails for good: what another try may make good is not lost yet.
fn note_recent(
    state: &mut PoolState,
    server: ServerIndex,
    evidence: AttemptOutcome,
    may_retry: bool,
    now_ms: u64,
) {
    match evidence {
        AttemptOutcome::Completed { .. } | AttemptOutcome::CompletedLate { .. } => {
            state.recent.note(false, now_ms)
        }
        AttemptOutcome::Failed | AttemptOutcome::Overdue | AttemptOutcome::Unreachable => {
            if let Some(entry) = state.pool.servers.get_mut(server) {
                entry.failed_ms = Some(now_ms);
            }
            if !may_retry {
                state.recent.note(true, now_ms);
            }
        }
        AttemptOutcome::Shed | AttemptOutcome::Inconclusive => {}
    }
}

/// Each whole answer of a cold server opens one more of its slots.
fn ramp_up(state: &mut PoolState, server: ServerIndex, evidence: AttemptOutcome) {
    if let (AttemptOutcome::Completed { .. }, Some(entry)) =
        (evidence, state.pool.servers.get_mut(server))
    {
        entry.open_slots = (entry.open_slots + 1).min(entry.slots);
    }
}
