//! Takes permits back with what their use says about the server.

use {
    crate::{commands::pool_list::restand, owner::PoolState, Node},
    outlier::{commands::observe, Evidence},
    permit::commands::{give_back, withdraw_ask},
    types::{PermitId, ServerIndex},
    wire::generated::{EvidenceText, PermitReturn},
};

/// Takes back the permit that `back` names and learns from its outcome.
pub(crate) fn give(node: &Node, back: &PermitReturn) {
    let id = node.owner.id(&back.service, &back.area);
    let now_ms = node.now_ms();
    node.owner.with(id, |pools| {
        if let Some(state) = pools.get_mut(&id) {
            take_back(state, back, now_ms);
        }
    });
}

fn take_back(state: &mut PoolState, back: &PermitReturn, now_ms: u64) {
    if back.permit == 0 {
        withdraw_ask(&mut state.pool, back.ask);
        return state.wake_first(now_ms);
    }
    let whole_us = (back.whole_us > 0).then_some(back.whole_us);
    let permit = give_back(&mut state.pool, PermitId::new(back.permit), whole_us);
    if let Some(server) = state.pool.names.find(&back.server) {
        note_recent(state, back.evidence, now_ms);
        let known_overdue = permit.is_some_and(|permit| permit.overdue);
        let evidence = evidence(back, known_overdue);
        observe(
            &mut state.health,
            server,
            evidence,
            state.sensitivity,
            now_ms,
        );
        let is_gone = back.draining || back.evidence == EvidenceText::Misdirected;
        if let (true, Some(note)) = (is_gone, state.notes.get_mut(server)) {
            note.draining = true;
        }
        ramp_up(state, server, evidence);
    }
    restand(state, now_ms);
    state.wake_first(now_ms);
}

/// A permit found overdue was held against its server already, so its lateness does not count again.
fn evidence(back: &PermitReturn, known_overdue: bool) -> Evidence {
    match back.evidence {
        EvidenceText::Whole if known_overdue => Evidence::LateWhole {
            first_byte_us: back.first_byte_us,
        },
        EvidenceText::Overdue if known_overdue => Evidence::Nothing,
        EvidenceText::Whole => Evidence::Whole {
            first_byte_us: back.first_byte_us,
        },
        EvidenceText::Failed => Evidence::Failed,
        EvidenceText::Overdue => Evidence::Overdue,
        EvidenceText::Shed => Evidence::Shed,
        EvidenceText::Unreachable => Evidence::Unreachable,
        // It says nothing about the server, only that it is not there.
        EvidenceText::Misdirected | EvidenceText::Nothing => Evidence::Nothing,
    }
}

fn note_recent(state: &mut PoolState, evidence: EvidenceText, now_ms: u64) {
    match evidence {
        EvidenceText::Whole => state.recent.note(false, now_ms),
        EvidenceText::Failed | EvidenceText::Overdue | EvidenceText::Unreachable => {
            state.recent.note(true, now_ms);
        }
        EvidenceText::Shed | EvidenceText::Misdirected | EvidenceText::Nothing => {}
    }
}

/// Each whole answer of a cold server opens one more of its slots.
fn ramp_up(state: &mut PoolState, server: ServerIndex, evidence: Evidence) {
    if let (Evidence::Whole { .. }, Some(entry)) = (evidence, state.pool.servers.get_mut(server)) {
        entry.open_slots = (entry.open_slots + 1).min(entry.slots);
    }
}
