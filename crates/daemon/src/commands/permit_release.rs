//! Takes permits back with what their use says about the server.

use {
    crate::Node,
    outlier::AttemptOutcome,
    owner::{commands::release, Release},
    types::PermitId,
    wire::generated::{AttemptOutcomeJson, PermitReturn},
};

/// Takes back the permit that `text` names and learns from its outcome.
pub(crate) fn release_permit(node: &Node, text: &PermitReturn) {
    let id = node.pools.id(&text.service, &text.area);
    let now_ms = node.now_ms();
    node.pools.with(id, |pools| {
        if let Some(state) = pools.get_mut(&id) {
            release(state, &back(text), now_ms);
        }
    });
}

fn back(text: &PermitReturn) -> Release<'_> {
    Release {
        permit: (text.permit > 0).then(|| PermitId::new(text.permit)),
        acquire_id: text.ask,
        server: &text.server,
        outcome: evidence(text),
        response_us: (text.whole_us > 0).then_some(text.whole_us),
        is_leaving: text.draining || text.evidence == AttemptOutcomeJson::Misdirected,
    }
}

fn evidence(text: &PermitReturn) -> AttemptOutcome {
    match text.evidence {
        AttemptOutcomeJson::Whole => AttemptOutcome::Completed {
            first_byte_us: text.first_byte_us,
        },
        AttemptOutcomeJson::Failed => AttemptOutcome::Failed,
        AttemptOutcomeJson::Overdue => AttemptOutcome::Overdue,
        AttemptOutcomeJson::Shed => AttemptOutcome::Shed,
        AttemptOutcomeJson::Unreachable => AttemptOutcome::Unreachable,
        // It says nothing about the server, only that it is not there.
        AttemptOutcomeJson::Misdirected | AttemptOutcomeJson::Nothing => {
            AttemptOutcome::Inconclusive
        }
    }
}
