//! The attempts of one request: the first one, retries and hedges, and the selection of the response.
//!
//! Invariants: a non-idempotent request has at most one attempt that may have run; the caller gets
//! the first usable response, and all other attempts are dropped, which closes their connections; every attempt
//! after the first one that was sent takes a retry from the retry budget when its slot is granted.

use {
    crate::{
        commands::{
            exchange::{exchange, ExchangeOutcome, RequestContext},
            permit::Permit,
        },
        AcquireRequest, CallerResponse, ForwardedResponse, Grant, Refusal, StoredResponse,
    },
    futures_util::{
        future::BoxFuture,
        stream::{FuturesUnordered, StreamExt},
    },
    log::info,
    std::{
        pin::pin,
        sync::{atomic::Ordering, Arc},
        time::{Duration, Instant},
    },
    tokio::time::{sleep, sleep_until},
    types::ResultCode,
    wire::{generated::RoutingDecision, to_json},
};

/// Additional slot requests per request, beyond its attempts, for servers that could not be reached.
const MAX_UNREACHED_ATTEMPTS: u32 = 3;
/// Base of the delay before a retry, in milliseconds. The delay is random, below the base doubled once for each slot
/// request so far, at most 8 times: below 4 ms before the first retry, never above 512 ms.
const BASE_BACKOFF_MS: u64 = 2;
/// Part of the remaining time (one in this many) after which a request is hedged if the server's usual response time
/// is not known.
const DEFAULT_HEDGE_DIVISOR: u64 = 4;

/// Completion of one of the pending futures.
enum Event {
    /// Result of a slot request, with the reason for the attempt.
    Granted(Result<Grant, Refusal>, &'static str),
    /// An exchange ended.
    Ended(Arc<Permit>, ExchangeOutcome),
}

/// The attempts of one request.
struct Attempts {
    context: RequestContext,
    pending: FuturesUnordered<BoxFuture<'static, Event>>,
    /// Permits of the exchanges in flight.
    in_flight: Vec<Arc<Permit>>,
    /// Servers that must not be tried again.
    excluded: Vec<String>,
    /// Slot requests so far, which is also the number of the current attempt.
    slots_requested: u32,
    /// Slot requests without a result so far.
    slots_pending: u32,
    /// Servers that were sent the request or are about to be.
    servers_sent: u32,
    /// Exchanges that may have run, including those in flight.
    possible_runs: u32,
    may_have_run: bool,
    /// The last refusal, which is the result if no attempt may have run.
    refusal: Refusal,
    /// The last error response, which is forwarded if no attempt succeeds.
    last_error: Option<StoredResponse>,
    hedge: Option<Hedge>,
    /// Whether idle connections are no longer used because one stopped responding.
    new_connections_only: bool,
}

/// When the attempt in flight is to be hedged.
struct Hedge {
    at: Instant,
    permit: Arc<Permit>,
}

/// Runs attempts until the request has a response.
pub(crate) async fn run_attempts(context: RequestContext) -> CallerResponse {
    let deadline = context.plan.deadline;
    let proxy = Arc::clone(&context.proxy);
    let mut must_answer = pin!(proxy.must_answer());
    let mut attempts = Attempts::new(context);
    attempts.request_slot("first", Duration::ZERO);
    loop {
        let hedge_at = attempts.hedge.as_ref().map(|hedge| hedge.at);
        let hedge_due = async move {
            match hedge_at {
                Some(at) => sleep_until(at.into()).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            Some(event) = attempts.pending.next() => {
                if let Some(response) = attempts.handle_event(event) {
                    return response;
                }
            }
            () = hedge_due => attempts.launch_hedge(),
            () = sleep_until(deadline.into()) => return attempts.deadline_response(),
            () = &mut must_answer => return attempts.stop_response(),
        }
    }
}

impl Attempts {
    fn new(context: RequestContext) -> Self {
        Self {
            context,
            pending: FuturesUnordered::new(),
            in_flight: Vec::new(),
            excluded: Vec::new(),
            slots_requested: 0,
            slots_pending: 0,
            servers_sent: 0,
            possible_runs: 0,
            may_have_run: false,
            refusal: Refusal::new(ResultCode::NoServer),
            last_error: None,
            hedge: None,
            new_connections_only: false,
        }
    }

    /// Requests a slot for another attempt after `delay`.
    fn request_slot(&mut self, reason: &'static str, delay: Duration) {
        // An attempt whose slot is pending may be sent, so at most one attempt at a time goes without paying for a retry.
        let previous_attempts = self.servers_sent + self.slots_pending;
        self.slots_requested += 1;
        self.slots_pending += 1;
        let plan = &self.context.plan;
        let request = AcquireRequest {
            service: plan.service.clone(),
            idempotent: plan.idempotent,
            deadline: plan.deadline,
            account: plan.account.clone(),
            priority: plan.priority,
            body_bytes: self.context.body.buffered_bytes(),
            is_first: self.slots_requested == 1,
            previous_attempts,
            exclude: self.excluded.clone(),
        };
        let proxy = Arc::clone(&self.context.proxy);
        self.pending.push(Box::pin(async move {
            if !delay.is_zero() {
                sleep(delay).await;
            }
            let (service, asked_at) = (request.service.clone(), Instant::now());
            let result = (proxy.slots.acquire)(request).await;
            let waited = asked_at.elapsed();
            proxy.slot_shortage.record(&service, waited, result.is_ok());
            Event::Granted(result, reason)
        }));
    }

    fn handle_event(&mut self, event: Event) -> Option<CallerResponse> {
        match event {
            Event::Granted(Ok(grant), reason) => {
                self.slots_pending -= 1;
                self.start_exchange(grant, reason)
            }
            Event::Granted(Err(refusal), reason) => {
                self.slots_pending -= 1;
                self.log_slot(None, reason);
                if refusal.code == ResultCode::RetryBudgetSpent {
                    (self.context.proxy.on_retry)(&self.context.plan.service, false);
                }
                self.refusal = refusal;
                self.response_if_done()
            }
            Event::Ended(permit, outcome) => {
                self.in_flight.retain(|other| !Arc::ptr_eq(other, &permit));
                self.log_outcome(&permit, &outcome);
                self.handle_outcome(&permit, outcome)
            }
        }
    }

    /// Starts the exchange for a granted slot, unless the caller disconnected or the process was suspended beyond the
    /// deadline, when the claim of the key may have expired.
    fn start_exchange(&mut self, grant: Grant, reason: &'static str) -> Option<CallerResponse> {
        self.log_slot(Some(&grant), reason);
        self.context.log.record_grant();
        let permit = Arc::new(Permit::new(Arc::clone(&self.context.proxy), grant));
        if Instant::now() >= self.context.plan.deadline {
            return Some(self.deadline_response());
        }
        // With a claimed key the response is stored and can be replayed, so the request runs anyway.
        let is_keyed = self.context.plan.key.is_some();
        if !is_keyed && self.context.caller_left.load(Ordering::SeqCst) {
            return Some(CallerResponse::generated(ResultCode::CallerLeft));
        }
        if self.servers_sent > 0 {
            (self.context.proxy.on_retry)(&self.context.plan.service, true);
        }
        self.servers_sent += 1;
        self.possible_runs += 1;
        self.context.log.record_exchange(&permit.grant().server);
        self.excluded.push(permit.grant().server.clone());
        self.in_flight.push(Arc::clone(&permit));
        // A new connection costs one round trip, but unlike an idle one it can't have failed unnoticed before the
        // first byte.
        let may_reuse = self.context.plan.idempotent && !self.new_connections_only;
        let context = self.context.clone();
        let exchange_permit = Arc::clone(&permit);
        self.pending.push(Box::pin(async move {
            let outcome = exchange(&context, &exchange_permit, may_reuse).await;
            Event::Ended(exchange_permit, outcome)
        }));
        self.schedule_hedge(permit);
        None
    }

    /// Schedules a hedge of the attempt that was just started, if the request allows one.
    fn schedule_hedge(&mut self, permit: Arc<Permit>) {
        let after_ms = match permit.grant().hedge_after_ms {
            0 => self.default_hedge_ms(),
            known_ms => known_ms,
        };
        let may_hedge =
            self.context.plan.idempotent && self.context.body.can_send() && self.may_request_slot();
        self.hedge = may_hedge.then(|| Hedge {
            at: Instant::now() + Duration::from_millis(after_ms),
            permit,
        });
    }

    /// Returns the hedge delay when the server's usual response time is not known: a part of the remaining time.
    fn default_hedge_ms(&self) -> u64 {
        let remaining = self
            .context
            .plan
            .deadline
            .saturating_duration_since(Instant::now());
        remaining.as_millis() as u64 / DEFAULT_HEDGE_DIVISOR
    }

    /// Requests a slot for a hedge, which is sent to another server. If the attempt in flight uses a reused connection,
    /// the connection may have failed instead of the server, so the same server may get the hedge over a new one.
    fn launch_hedge(&mut self) {
        let Some(hedge) = self.hedge.take() else {
            return;
        };
        if hedge.permit.is_reused() && !self.new_connections_only {
            self.discard_stale_connections(&hedge.permit);
        }
        if self.may_request_slot() {
            self.request_slot("hedge", Duration::ZERO);
        }
    }

    /// Closes the idle connections to the permit's server, since they may have stopped responding as well, and allows
    /// the server to be tried again over a new one.
    fn discard_stale_connections(&mut self, permit: &Permit) {
        let grant = permit.grant();
        self.new_connections_only = true;
        self.excluded.retain(|server| *server != grant.server);
        let connections = &self.context.proxy.connections;
        connections.close_opened_before(grant.address, Instant::now());
    }

    fn handle_outcome(
        &mut self,
        permit: &Permit,
        outcome: ExchangeOutcome,
    ) -> Option<CallerResponse> {
        match outcome {
            ExchangeOutcome::Completed(stored) if stored.status.is_server_error() => {
                self.may_have_run = true;
                self.last_error = Some(stored);
                self.retry_if_idempotent("retry after error")
            }
            ExchangeOutcome::Completed(stored) => {
                self.release_same_server(permit);
                Some(CallerResponse::Forwarded(ForwardedResponse::Buffered(
                    stored,
                )))
            }
            ExchangeOutcome::Streamed(response) => {
                self.release_same_server(permit);
                Some(CallerResponse::Forwarded(ForwardedResponse::Streamed(
                    response,
                )))
            }
            ExchangeOutcome::BodyAborted => Some(CallerResponse::generated(ResultCode::BodyCut)),
            ExchangeOutcome::NotConnected => {
                // Nothing was sent, so this does not count as an attempt.
                self.servers_sent = self.servers_sent.saturating_sub(1);
                self.retry_unexecuted(ResultCode::NoServer, "retry after refusal")
            }
            ExchangeOutcome::Shed => {
                self.retry_unexecuted(ResultCode::Overloaded, "retry after shed")
            }
            ExchangeOutcome::Misdirected => {
                self.retry_unexecuted(ResultCode::NoServer, "retry after another server answered")
            }
            ExchangeOutcome::Unknown { connection_failed } => {
                self.may_have_run = true;
                if connection_failed && self.context.plan.idempotent {
                    self.discard_stale_connections(permit);
                }
                self.retry_if_idempotent("retry after cut")
            }
        }
    }

    /// Releases the permits of the other attempts at a server that responded, without counting against it. A server
    /// gets a second attempt only if the first one used an idle connection; if the server responds over the new
    /// connection, the idle one had failed.
    fn release_same_server(&self, permit: &Permit) {
        let server = &permit.grant().server;
        let others = self
            .in_flight
            .iter()
            .filter(|other| other.grant().server == *server);
        for other in others {
            other.release_inconclusive();
        }
    }

    /// Retries a request that may have run if it is idempotent.
    fn retry_if_idempotent(&mut self, reason: &'static str) -> Option<CallerResponse> {
        if self.context.plan.idempotent && self.may_request_slot() {
            self.request_slot(reason, self.backoff_delay());
            return None;
        }
        self.response_if_done()
    }

    /// Retries a request that is known not to have run.
    fn retry_unexecuted(
        &mut self,
        code: ResultCode,
        reason: &'static str,
    ) -> Option<CallerResponse> {
        self.possible_runs -= 1;
        self.refusal = Refusal::new(code);
        if self.may_request_slot() {
            self.request_slot(reason, self.backoff_delay());
            return None;
        }
        self.response_if_done()
    }

    fn backoff_delay(&self) -> Duration {
        let max_ms = BASE_BACKOFF_MS << self.slots_requested.min(8);
        Duration::from_micros(fastrand::u64(0..max_ms * 1_000))
    }

    /// Returns whether a slot for another attempt may be requested.
    fn may_request_slot(&self) -> bool {
        let attempts_max = self.context.plan.attempts_max;
        self.servers_sent + self.slots_pending < attempts_max
            && self.slots_requested < attempts_max + MAX_UNREACHED_ATTEMPTS
            && self.context.body.can_send()
    }

    /// Returns the final response if no slot request or exchange is pending.
    fn response_if_done(&mut self) -> Option<CallerResponse> {
        if !self.pending.is_empty() {
            return None;
        }
        if let Some(stored) = self.last_error.take() {
            return Some(CallerResponse::Forwarded(ForwardedResponse::Buffered(
                stored,
            )));
        }
        Some(if self.may_have_run {
            CallerResponse::generated(ResultCode::OutcomeUnknown)
        } else {
            CallerResponse::Generated(self.refusal.code, self.refusal.retry_after_ms)
        })
    }

    /// Returns the response at the deadline.
    fn deadline_response(&mut self) -> CallerResponse {
        if let Some(stored) = self.last_error.take() {
            return CallerResponse::Forwarded(ForwardedResponse::Buffered(stored));
        }
        CallerResponse::generated(if self.may_have_run || self.possible_runs > 0 {
            ResultCode::DeadlineUnknown
        } else {
            ResultCode::DeadlineNotRun
        })
    }

    /// Returns the response when the process ends. Requests that wait for a slot have not run, so the caller may send them
    /// elsewhere.
    fn stop_response(&mut self) -> CallerResponse {
        if let Some(stored) = self.last_error.take() {
            return CallerResponse::Forwarded(ForwardedResponse::Buffered(stored));
        }
        CallerResponse::generated(if self.may_have_run || self.possible_runs > 0 {
            ResultCode::OutcomeUnknown
        } else {
            ResultCode::Stopping
        })
    }

    /// Logs a granted or refused slot with the reason for the attempt.
    fn log_slot(&self, grant: Option<&Grant>, reason: &'static str) {
        let server = grant.map_or("", |grant| grant.server.as_str());
        let evidence = grant.map_or("no slot", |grant| grant.reason);
        self.log(server, reason, evidence);
    }

    /// Logs the outcome of an exchange unless its response is forwarded.
    fn log_outcome(&self, permit: &Permit, outcome: &ExchangeOutcome) {
        let evidence = match outcome {
            ExchangeOutcome::Completed(stored) if stored.status.is_server_error() => {
                format!("status {}", stored.status.as_u16())
            }
            ExchangeOutcome::Completed(_) | ExchangeOutcome::Streamed(_) => return,
            ExchangeOutcome::NotConnected => "no connection".to_owned(),
            ExchangeOutcome::Shed => "not run, says the server".to_owned(),
            ExchangeOutcome::Misdirected => "another server has the address".to_owned(),
            ExchangeOutcome::Unknown {
                connection_failed: true,
            } => "connection closed before an answer".to_owned(),
            ExchangeOutcome::Unknown {
                connection_failed: false,
            } => "no whole answer of the server's own".to_owned(),
            ExchangeOutcome::BodyAborted => "the caller's body ended early".to_owned(),
        };
        self.log(&permit.grant().server, "ended", &evidence);
    }

    fn log(&self, server: &str, reason: &str, evidence: &str) {
        let decision = RoutingDecision {
            request: self.context.plan.request_id.clone(),
            service: self.context.plan.service.clone(),
            attempt: self.slots_requested,
            server: server.to_owned(),
            reason: reason.to_owned(),
            evidence: evidence.to_owned(),
            elapsed_us: self.context.plan.received.elapsed().as_micros() as u64,
        };
        info!(target: "decision.routing", "{}", to_json(&decision));
    }
}
