//! Handles one request from its arrival to its response.

use {
    crate::{
        commands::{
            attempts::run_attempts,
            claimed::run_claimed,
            exchange::RequestContext,
            request_body::{read_request_body, BodySource},
        },
        queries,
        request_log::{FinishOnDrop, RequestLog},
        CallerResponse, IncomingRequest, Proxy, RequestPlan, RoutingConfig,
    },
    memory::Phase,
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

/// Time after its deadline for which a detached request task is awaited, in milliseconds. The task ends by itself at
/// the deadline.
const DEADLINE_GRACE_MS: u64 = 100;

/// Handles `incoming` with the configuration `config`.
///
/// If the caller disconnects, an idempotent request is cancelled, and a request with a claimed key continues, since its
/// response can be replayed. Any other request continues if it was already sent to a backend server, and is not
/// started otherwise.
pub async fn handle_request(
    proxy: &Arc<Proxy>,
    config: RoutingConfig<'_>,
    incoming: IncomingRequest,
) -> CallerResponse {
    let received = incoming.received;
    incoming.connection.begin_phase(Phase::Serving);
    // Requests belong to no account yet.
    let request_id = queries::request_id(&incoming.head.headers, &proxy.conventions);
    let finish_on_drop = FinishOnDrop(RequestLog::new(&request_id, config.version, received));
    let (service, response) =
        match queries::classify(config, &incoming, &proxy.conventions, request_id) {
            Ok(mut plan) => {
                plan.deadline = proxy.limited_deadline(plan.deadline);
                finish_on_drop.0.record_plan(&plan);
                incoming.connection.assign_account(plan.account.as_deref());
                let service = plan.service.clone();
                let response = run_plan(proxy, plan, incoming, finish_on_drop.0.clone()).await;
                (service, response)
            }
            Err(code) => (String::new(), CallerResponse::generated(code)),
        };
    finish_on_drop.0.finish(response.code(), response.status());
    (proxy.on_response)(&service, response.code(), received.elapsed());
    response
}

/// Sets `caller_left` of a detached request task when it is dropped, which happens when the caller disconnects.
struct CallerGuard(Arc<AtomicBool>);

impl Drop for CallerGuard {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

async fn run_plan(
    proxy: &Arc<Proxy>,
    plan: RequestPlan,
    incoming: IncomingRequest,
    log: RequestLog,
) -> CallerResponse {
    let source = BodySource {
        body: incoming.body,
        content_length_bytes: incoming.content_length_bytes,
        connection: &incoming.connection,
    };
    let reading = read_request_body(proxy, &plan, source);
    let reading = timeout_at(plan.deadline.into(), reading);
    let read = tokio::select! {
        biased;
        read = reading => read,
        () = proxy.must_answer() => return CallerResponse::generated(ResultCode::Stopping),
    };
    let body = match read {
        Ok(Ok(body)) => body,
        Ok(Err(code)) => return CallerResponse::generated(code),
        Err(_) => return CallerResponse::generated(ResultCode::DeadlineNotRun),
    };
    let idempotent = plan.idempotent;
    let key = plan.key;
    let deadline = plan.deadline + Duration::from_millis(DEADLINE_GRACE_MS);
    let caller_left = Arc::new(AtomicBool::new(false));
    let context = RequestContext {
        proxy: Arc::clone(proxy),
        plan: Arc::new(plan),
        head: Arc::new(incoming.head),
        body,
        log,
        connection: incoming.connection,
        caller_left: Arc::clone(&caller_left),
    };
    if idempotent {
        return run_attempts(context).await;
    }
    let _caller_guard = CallerGuard(caller_left);
    let task = tokio::spawn(async move {
        match key {
            Some(key) => run_claimed(context, key).await,
            None => run_attempts(context).await,
        }
    });
    match timeout_at(deadline.into(), task).await {
        Ok(Ok(response)) => response,
        Ok(Err(_)) => CallerResponse::generated(ResultCode::OutcomeUnknown),
        Err(_) => CallerResponse::generated(ResultCode::DeadlineUnknown),
    }
}
