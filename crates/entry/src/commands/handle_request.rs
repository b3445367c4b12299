//! Runs one request from its intake to its answer.

use {
    crate::{
        commands::{attempts::attempts, claimed::keyed, exchange::Job, request_body::take_in},
        queries,
        request_log::{Trace, Watch},
        CallerResponse, IncomingRequest, Proxy, RequestPlan, RoutingConfig,
    },
    std::{
        sync::{
            atomic::{AtomicBool, Ordering},
            Arc,
        },
        time::Duration,
    },
    tokio::time::timeout_at,
    types::ResultCode,
};

/// Time past its deadline that a request which runs on its own is waited for, in milliseconds; it ends itself at
/// the deadline.
const OVERRUN_MS: u64 = 100;

/// Runs `incoming` under `rules`.
///
/// If the caller leaves, a request that is idempotent is cancelled; another runs to its end once a backend server
/// has it, and is not begun before.
pub async fn handle_request(
    path: &Arc<Proxy>,
    rules: RoutingConfig<'_>,
    incoming: IncomingRequest,
) -> CallerResponse {
    let received = incoming.received;
    let request_id = queries::request_id(&incoming.head.headers, &path.conventions);
    let watch = Watch(Trace::new(&request_id, rules.version, received));
    let (service, answer) = match queries::classify(rules, &incoming, &path.conventions, request_id)
    {
        Ok(plan) => {
            watch.0.planned(&plan.service, plan.deadline);
            let service = plan.service.clone();
            let answer = run_plan(path, plan, incoming, watch.0.clone()).await;
            (service, answer)
        }
        Err(code) => (String::new(), CallerResponse::generated(code)),
    };
    watch.0.ended(answer.code(), answer.status());
    (path.on_response)(&service, answer.code(), received.elapsed());
    answer
}

/// Tells a request that runs on its own that its caller has left.
struct Leaving(Arc<AtomicBool>);

impl Drop for Leaving {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

async fn run_plan(
    path: &Arc<Proxy>,
    plan: RequestPlan,
    incoming: IncomingRequest,
    trace: Trace,
) -> CallerResponse {
    let taking = take_in(&plan, incoming.body, incoming.content_length_bytes);
    let body = match timeout_at(plan.deadline.into(), taking).await {
        Ok(Ok(body)) => body,
        Ok(Err(code)) => return CallerResponse::generated(code),
        Err(_) => return CallerResponse::generated(ResultCode::DeadlineNotRun),
    };
    let idempotent = plan.idempotent;
    let key = plan.key;
    let deadline = plan.deadline + Duration::from_millis(OVERRUN_MS);
    let caller_left = Arc::new(AtomicBool::new(false));
    let job = Job {
        path: Arc::clone(path),
        plan: Arc::new(plan),
        head: Arc::new(incoming.head),
        body,
        trace,
        caller_left: Arc::clone(&caller_left),
    };
    if idempotent {
        return attempts(job).await;
    }
    let _leaving = Leaving(caller_left);
    let running = tokio::spawn(async move {
        match key {
            Some(key) => keyed(job, key).await,
            None => attempts(job).await,
        }
    });
    match timeout_at(deadline.into(), running).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(_)) => CallerResponse::generated(ResultCode::OutcomeUnknown),
        Err(_) => CallerResponse::generated(ResultCode::DeadlineUnknown),
    }
}
