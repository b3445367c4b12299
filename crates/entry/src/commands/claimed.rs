//! Runs a request whose key must be claimed first.

use {
    crate::{
        commands::{attempts::attempts, exchange::Job},
        CallerResponse, ClaimOutcome, ForwardedResponse, IdempotencyKey, Settlement,
    },
    std::sync::Arc,
    types::ExecutionStatus,
};

/// Claims the key, runs the request if the claim is won, and settles the claim.
pub(crate) async fn keyed(job: Job, key: IdempotencyKey) -> CallerResponse {
    let path = Arc::clone(&job.path);
    let claim = (path.claims.claim)(key.digest, key.issued_ms, job.plan.deadline);
    let nonce = match claim.await {
        ClaimOutcome::Claimed(nonce) => nonce,
        ClaimOutcome::AlreadyCompleted(stored) => {
            return CallerResponse::Forwarded(ForwardedResponse::Buffered(stored))
        }
        ClaimOutcome::Refused(code) => return CallerResponse::generated(code),
    };
    let answer = attempts(job).await;
    (path.claims.settle)(key.digest, nonce, settlement(&answer));
    answer
}

fn settlement(answer: &CallerResponse) -> Settlement {
    match answer {
        CallerResponse::Forwarded(ForwardedResponse::Buffered(stored)) => {
            Settlement::Done(stored.clone())
        }
        CallerResponse::Generated(code, _)
            if code.execution_status() == ExecutionStatus::NotRun =>
        {
            Settlement::NotRun
        }
        CallerResponse::Forwarded(ForwardedResponse::Streamed(_))
        | CallerResponse::Generated(..) => Settlement::OutcomeUnknown,
    }
}
