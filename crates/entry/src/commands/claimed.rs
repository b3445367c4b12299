//! Runs requests with an idempotency key, which must be claimed first.

use {
    crate::{
        commands::{attempts::run_attempts, exchange::RequestContext},
        CallerResponse, ClaimOutcome, ForwardedResponse, IdempotencyKey, Settlement,
        StoredResponse,
    },
    bytes::Bytes,
    std::sync::Arc,
    types::ExecutionStatus,
};

/// Claims the key, runs the request if the claim succeeds, and settles the claim.
pub(crate) async fn run_claimed(context: RequestContext, key: IdempotencyKey) -> CallerResponse {
    let proxy = Arc::clone(&context.proxy);
    let claim = (proxy.claims.claim)(key.digest, key.issued_ms, context.plan.deadline);
    let nonce = match claim.await {
        ClaimOutcome::Claimed(nonce) => nonce,
        ClaimOutcome::AlreadyCompleted(stored) => {
            return CallerResponse::Forwarded(ForwardedResponse::Buffered(stored))
        }
        ClaimOutcome::Refused(code) => return CallerResponse::generated(code),
    };
    let response = run_attempts(context).await;
    (proxy.claims.settle)(key.digest, nonce, settlement(&response));
    response
}

/// Returns how a claim is settled after `response`. A streamed response is not stored and can't be replayed, so its
/// claim is settled as unknown.
fn settlement(response: &CallerResponse) -> Settlement {
    match response {
        CallerResponse::Forwarded(ForwardedResponse::Buffered(stored)) => {
            // A copy, since the response itself is held for its caller until that one has read it.
            Settlement::Done(StoredResponse {
                body: Bytes::copy_from_slice(&stored.body),
                ..stored.clone()
            })
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
