//! Advances one attempt by one event.

use crate::{AttemptAction, AttemptEvent, ClaimAttempt, ClaimStatus};

/// Advances `attempt` and returns what to do next; an ended attempt gives up on any event.
pub fn advance(attempt: &mut ClaimAttempt, event: AttemptEvent<'_>) -> AttemptAction {
    let (next, step) = match (&attempt, event) {
        (ClaimAttempt::Appending, AttemptEvent::Appended) => (
            ClaimAttempt::Verifying { append_lost: false },
            AttemptAction::ReadBack,
        ),
        (ClaimAttempt::Appending, AttemptEvent::AppendLost) => (
            ClaimAttempt::Verifying { append_lost: true },
            AttemptAction::ReadBack,
        ),
        (ClaimAttempt::Verifying { .. }, AttemptEvent::ReadBack(ClaimStatus::Won)) => {
            (ClaimAttempt::Ended, AttemptAction::Dispatch)
        }
        (
            ClaimAttempt::Verifying { .. },
            AttemptEvent::ReadBack(ClaimStatus::HeldByOther(holder)),
        ) => (
            ClaimAttempt::Ended,
            AttemptAction::QueryHolder(holder.clone()),
        ),
        // The claim may still arrive in the log, so the request is not dispatched under it.
        _ => (ClaimAttempt::Ended, AttemptAction::Abandon),
    };
    *attempt = next;
    step
}
