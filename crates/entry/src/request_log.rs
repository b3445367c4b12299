//! The log line of one request, collected while the request is handled.
//!
//! Invariant: exactly one line is logged per request, also when the caller disconnects and the future is dropped.

use {
    crate::RequestPlan,
    log::info,
    std::{
        sync::{Arc, Mutex, PoisonError},
        time::Instant,
    },
    types::ResultCode,
    wire::{generated::RequestDecision, to_json},
};

#[derive(Debug)]
struct LogState {
    account: Option<String>,
    service: String,
    server: String,
    exchanges: u32,
    granted_at: Option<Instant>,
    deadline: Option<Instant>,
    is_logged: bool,
}

/// Collects the fields of one request's log line; clones share the state.
#[derive(Clone, Debug)]
pub(crate) struct RequestLog {
    request: Arc<str>,
    version: u64,
    received_at: Instant,
    state: Arc<Mutex<LogState>>,
}

impl RequestLog {
    pub(crate) fn new(request: &str, version: u64, received_at: Instant) -> Self {
        Self {
            request: request.into(),
            version,
            received_at,
            state: Arc::new(Mutex::new(LogState {
                account: None,
                service: String::new(),
                server: String::new(),
                exchanges: 0,
                granted_at: None,
                deadline: None,
                is_logged: false,
            })),
        }
    }

    fn with_state<Work>(&self, work: Work)
    where
        Work: FnOnce(&mut LogState),
    {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        work(&mut state);
    }

    /// Records the classification: the account, the service and the deadline.
    pub(crate) fn record_plan(&self, plan: &RequestPlan) {
        self.with_state(|state| {
            state.account.clone_from(&plan.account);
            plan.service.clone_into(&mut state.service);
            state.deadline = Some(plan.deadline);
        });
    }

    /// Records when the first slot was granted; later calls have no effect.
    pub(crate) fn record_grant(&self) {
        self.with_state(|state| {
            state.granted_at.get_or_insert_with(Instant::now);
        });
    }

    /// Counts an exchange and records its server.
    pub(crate) fn record_exchange(&self, server: &str) {
        self.with_state(|state| {
            server.clone_into(&mut state.server);
            state.exchanges += 1;
        });
    }

    /// Logs the line with the result; later calls have no effect.
    pub(crate) fn finish(&self, code: ResultCode, status: u16) {
        self.with_state(|state| {
            if std::mem::replace(&mut state.is_logged, true) {
                return;
            }
            let until = state.granted_at.unwrap_or_else(Instant::now);
            let deadline = state.deadline.unwrap_or(self.received_at);
            let decision = RequestDecision {
                account: state.account.clone(),
                request: self.request.to_string(),
                service: state.service.clone(),
                version: self.version,
                code: code.number().into(),
                status: status.into(),
                server: state.server.clone(),
                exchanges: state.exchanges,
                waited_us: (until - self.received_at).as_micros() as u64,
                elapsed_us: self.received_at.elapsed().as_micros() as u64,
                deadline_ms: (deadline - self.received_at).as_millis() as u64,
            };
            info!(target: "decision.request", "{}", to_json(&decision));
        });
    }
}

/// Logs `CallerLeft` as the result if it is dropped before [`RequestLog::finish`] was called.
pub(crate) struct FinishOnDrop(pub(crate) RequestLog);

impl Drop for FinishOnDrop {
    fn drop(&mut self) {
        let code = ResultCode::CallerLeft;
        self.0.finish(code, code.http_status());
    }
}
