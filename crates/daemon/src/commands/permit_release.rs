//! Serves the RPC method `permit_return`: releases permits, with the outcome of the attempt that used them.

use {
    crate::Node,
    outlier::AttemptOutcome,
    owner::{
        commands::{record_limit, release},
        Release,
    },
    types::PermitId,
    wire::generated::{AttemptOutcomeJson, PermitReturn},
};

/// Releases a permit and records the outcome of its attempt.
pub(crate) fn release_permit(node: &Node, permit_return: &PermitReturn) {
    let id = node.pools.id(&permit_return.service, &permit_return.area);
    let now_ms = node.now_ms();
    node.pools.with(id, |pools| {
        if let Some(state) = pools.get_mut(&id) {
            if let Some(limit_milli) = permit_return.limit_milli {
                record_limit(state, &permit_return.server, limit_milli, now_ms);
            }
            release(state, &decode_release(permit_return), now_ms);
        }
    });
}

fn decode_release(permit_return: &PermitReturn) -> Release<'_> {
    Release {
        permit: (permit_return.permit > 0).then(|| PermitId::new(permit_return.permit)),
        acquire_id: permit_return.ask,
        server: &permit_return.server,
        outcome: decode_outcome(permit_return),
        response_us: (permit_return.whole_us > 0).then_some(permit_return.whole_us),
        is_leaving: permit_return.draining
            || permit_return.evidence == AttemptOutcomeJson::Misdirected,
    }
}

fn decode_outcome(permit_return: &PermitReturn) -> AttemptOutcome {
    match permit_return.evidence {
        AttemptOutcomeJson::Whole => AttemptOutcome::Completed {
            first_byte_us: permit_return.first_byte_us,
        },
        AttemptOutcomeJson::Failed => AttemptOutcome::Failed,
        AttemptOutcomeJson::Overdue => AttemptOutcome::Overdue,
        AttemptOutcomeJson::Shed => AttemptOutcome::Shed,
        AttemptOutcomeJson::Unreachable => AttemptOutcome::Unreachable,
        // Says nothing about the server's health, only that it is not at that address.
        AttemptOutcomeJson::Misdirected | AttemptOutcomeJson::Nothing => {
            AttemptOutcome::Inconclusive
        }
    }
}
