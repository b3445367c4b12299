//! What is logged of one request, gathered along its way.
//!
//! Invariant: each request leaves exactly one line, also when its caller leaves and its future is dropped.

use {
    log::info,
    std::{
        sync::{Arc, Mutex, PoisonError},
        time::Instant,
    },
    types::ResultCode,
    wire::{generated::RequestDecision, to_json},
};

#[derive(Debug)]
struct Gathered {
    service: String,
    server: String,
    exchanges: u32,
    granted: Option<Instant>,
    deadline: Option<Instant>,
    is_told: bool,
}

/// Gathers what is logged of one request; clones share it.
#[derive(Clone, Debug)]
pub(crate) struct Trace {
    request: Arc<str>,
    version: u64,
    received: Instant,
    gathered: Arc<Mutex<Gathered>>,
}

impl Trace {
    pub(crate) fn new(request: &str, version: u64, received: Instant) -> Self {
        Self {
            request: request.into(),
            version,
            received,
            gathered: Arc::new(Mutex::new(Gathered {
                service: String::new(),
                server: String::new(),
                exchanges: 0,
                granted: None,
                deadline: None,
                is_told: false,
            })),
        }
    }

    fn with<Work>(&self, work: Work)
    where
        Work: FnOnce(&mut Gathered),
    {
        let mut gathered = self.gathered.lock().unwrap_or_else(PoisonError::into_inner);
        work(&mut gathered);
    }

    pub(crate) fn planned(&self, service: &str, deadline: Instant) {
        self.with(|gathered| {
            service.clone_into(&mut gathered.service);
            gathered.deadline = Some(deadline);
        });
    }

    pub(crate) fn granted(&self) {
        self.with(|gathered| {
            gathered.granted.get_or_insert_with(Instant::now);
        });
    }

    pub(crate) fn sent(&self, server: &str) {
        self.with(|gathered| {
            server.clone_into(&mut gathered.server);
            gathered.exchanges += 1;
        });
    }

    /// Logs the end of the request; later calls change nothing.
    pub(crate) fn ended(&self, code: ResultCode, status: u16) {
        self.with(|gathered| {
            if std::mem::replace(&mut gathered.is_told, true) {
                return;
            }
            let until = gathered.granted.unwrap_or_else(Instant::now);
            let deadline = gathered.deadline.unwrap_or(self.received);
            let decision = RequestDecision {
                request: self.request.to_string(),
                service: gathered.service.clone(),
                version: self.version,
                code: code.number().into(),
                status: status.into(),
                server: gathered.server.clone(),
                exchanges: gathered.exchanges,
                waited_us: (until - self.received).as_micros() as u64,
                elapsed_us: self.received.elapsed().as_micros() as u64,
                deadline_ms: (deadline - self.received).as_millis() as u64,
            };
            info!(target: "decision.request", "{}", to_json(&decision));
        });
    }
}

/// Logs that the caller left when it is dropped before the end was logged.
pub(crate) struct Watch(pub(crate) Trace);

impl Drop for Watch {
    fn drop(&mut self) {
        let code = ResultCode::CallerLeft;
        self.0.ended(code, code.http_status());
    }
}
