//! Transitions of the claim state machine.

use crate::{AttemptAction, AttemptEvent, ClaimAttempt, ClaimStatus};

/// Advances `attempt` by one event and returns the next action; an attempt that has ended returns `Abandon`.
pub fn advance(attempt: &mut ClaimAttempt, event: AttemptEvent<'_>) -> AttemptAction {
    let (next_state, action) = match (&attempt, event) {
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
        // The claim may still appear in the log later, so the request must never be dispatched under it.
        _ => (ClaimAttempt::Ended, AttemptAction::Abandon),
    };
    *attempt = next_state;
    action
}
