//! Runs a request whose key must be claimed first.

use {
    crate::{
        commands::{attempts::attempts, exchange::Job},
        Answer, BodyKind, ClaimEnd, KeyPlan, Settlement,
    },
    std::sync::Arc,
    types::ExecutionStatus,
};

/// Claims the key, runs the request if the claim is won, and settles the claim.
pub(crate) async fn keyed(job: Job, key: KeyPlan) -> Answer {
    let path = Arc::clone(&job.path);
    let claim = (path.claims.claim)(key.digest, key.issued_ms, job.plan.deadline);
    let nonce = match claim.await {
        ClaimEnd::Dispatch(nonce) => nonce,
        ClaimEnd::Stored(stored) => return Answer::Passed(BodyKind::Held(stored)),
        ClaimEnd::Refused(code) => return Answer::own(code),
    };
    let answer = attempts(job).await;
    (path.claims.settle)(key.digest, nonce, settlement(&answer));
    answer
}

fn settlement(answer: &Answer) -> Settlement {
    match answer {
        Answer::Passed(BodyKind::Held(stored)) => Settlement::Done(stored.clone()),
        Answer::Own(code, _) if code.execution_status() == ExecutionStatus::NotRun => {
            Settlement::NotRun
        }
        Answer::Passed(BodyKind::Streamed(_)) | Answer::Own(..) => Settlement::Doubtful,
    }
}
