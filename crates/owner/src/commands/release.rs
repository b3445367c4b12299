//! Releases permits and records the outcomes of the attempts made with them.

use {
    crate::{
        commands::{admission::record_outcome_of_kind, update_standings},
        PoolState,
    },
    outlier::{commands::record_outcome, AttemptOutcome},
    permit::{
        commands::{cancel_request, release_permit},
        Permit,
    },
    types::{PermitId, ServerIndex},
};

/// A permit to release, or an acquire request whose response was lost.
#[derive(Clone, Copy, Debug)]
pub struct Release<'a> {
    /// The permit; `None` if the response to the acquire request was lost.
    pub permit: Option<PermitId>,
    /// Id of the acquire request to cancel, if there is no permit.
    pub acquire_id: u64,
    /// Name of the server whose slot was held.
    pub server: &'a str,
    /// Outcome of the attempt.
    pub outcome: AttemptOutcome,
    /// Time to the complete response, in microseconds, if there was one.
    pub response_us: Option<u64>,
    /// Whether the server reported that it is draining, or another server answered at its address.
    pub is_leaving: bool,
}

/// Releases a permit, or cancels an acquire request, and records the outcome of the attempt.
pub fn release(state: &mut PoolState, release: &Release<'_>, now_ms: u64) {
    let Some(permit) = release.permit else {
        cancel_request(&mut state.pool, release.acquire_id);
        return state.wake_first_waiter(now_ms);
    };
    record_outcome_of_kind(state, permit, release, now_ms);
    let permit = release_permit(&mut state.pool, permit, release.response_us);
    if let Some(server) = state.pool.names.find(release.server) {
        let retryable = permit.is_some_and(|permit| permit.retryable);
        update_failure_rate(state, server, release.outcome, retryable, now_ms);
        record_success(state, server, release.outcome, permit.as_ref());
        let was_overdue = permit.is_some_and(|permit| permit.overdue);
        let outcome = without_repeated_lateness(release.outcome, was_overdue);
        let outcome = without_stale_proof(state, server, outcome, permit.as_ref());
        record_outcome(
            &mut state.health,
            server,
            outcome,
            state.sensitivity,
            now_ms,
        );
        // Without its permit the report is late, and may be about an earlier process of that name.
        let is_leaving = release.is_leaving && permit.is_some();
        if let (true, Some(meta)) = (is_leaving, state.server_meta.get_mut(server)) {
            meta.draining = true;
        }
        advance_warm_up(state, server, outcome);
    }
    update_standings(state, now_ms);
    state.wake_first_waiter(now_ms);
}

/// Removes the lateness from the outcome of an attempt that was recorded as overdue before, so that it does not count
/// twice.
fn without_repeated_lateness(outcome: AttemptOutcome, was_overdue: bool) -> AttemptOutcome {
    match outcome {
        AttemptOutcome::Completed { first_byte_us } if was_overdue => {
            AttemptOutcome::CompletedLate { first_byte_us }
        }
        AttemptOutcome::Overdue if was_overdue => AttemptOutcome::Inconclusive,
        other => other,
    }
}

/// Removes what a complete response says about the server's health if its request began before the server's last failure: the
/// server may have become faulty in between, and was cleared by the requests that were then in flight.
fn without_stale_proof(
    state: &PoolState,
    server: ServerIndex,
    outcome: AttemptOutcome,
    permit: Option<&Permit>,
) -> AttemptOutcome {
    let pool_server = state.pool.servers.get(server);
    let last_failed_ms = pool_server.and_then(|server| server.last_failed_ms);
    let is_stale = permit.is_some_and(|permit| Some(permit.granted_ms) <= last_failed_ms);
    match outcome {
        AttemptOutcome::Completed { first_byte_us } if is_stale => {
            AttemptOutcome::CompletedLate { first_byte_us }
        }
        other => other,
    }
}

/// Updates the pool's failure rate and, after a failure, the time of the server's last failure. A failure that may be
/// retried does not count towards the rate, because the request is not lost yet.
fn update_failure_rate(
    state: &mut PoolState,
    server: ServerIndex,
    outcome: AttemptOutcome,
    retryable: bool,
    now_ms: u64,
) {
    match outcome {
        AttemptOutcome::Completed { .. } | AttemptOutcome::CompletedLate { .. } => {
            state.failure_rate.record(false, now_ms)
        }
        AttemptOutcome::Failed | AttemptOutcome::Overdue | AttemptOutcome::Unreachable => {
            if let Some(pool_server) = state.pool.servers.get_mut(server) {
                pool_server.last_failed_ms = Some(now_ms);
            }
            if !retryable {
                state.failure_rate.record(true, now_ms);
            }
        }
        AttemptOutcome::Shed | AttemptOutcome::Inconclusive => {}
    }
}

/// Records the start of a request that the server completed. Without its permit the start is not known, and the report may
/// be about an earlier process of that name.
fn record_success(
    state: &mut PoolState,
    server: ServerIndex,
    outcome: AttemptOutcome,
    permit: Option<&Permit>,
) {
    let is_success = matches!(
        outcome,
        AttemptOutcome::Completed { .. } | AttemptOutcome::CompletedLate { .. }
    );
    let (true, Some(permit), Some(pool_server)) =
        (is_success, permit, state.pool.servers.get_mut(server))
    else {
        return;
    };
    pool_server.last_succeeded_ms = pool_server.last_succeeded_ms.max(Some(permit.granted_ms));
}

/// Opens one more slot of a server in warm-up for each complete response.
fn advance_warm_up(state: &mut PoolState, server: ServerIndex, outcome: AttemptOutcome) {
    if let (AttemptOutcome::Completed { .. }, Some(pool_server)) =
        (outcome, state.pool.servers.get_mut(server))
    {
        pool_server.usable_slots = (pool_server.usable_slots + 1).min(pool_server.slots);
    }
}
