//! The attempts of one request: first try, retries, hedges, and which answer counts.
//!
//! Invariants: a request that is not idempotent has at most one attempt whose end is not proved not run; the
//! caller gets the first answer that counts and every other attempt is dropped, which closes its connection;
//! every attempt after the first that was sent is granted by whoever grants slots, out of the retry budget.

use {
    crate::{
        commands::{
            exchange::{exchange, End, Job},
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
        sync::{atomic::Ordering, Arc},
        time::{Duration, Instant},
    },
    tokio::time::{sleep, sleep_until},
    types::ResultCode,
    wire::{generated::RoutingDecision, to_json},
};

/// Slots asked for on behalf of one request beyond its attempts, for servers that could not be reached.
const UNREACHED_MAX: u32 = 3;
/// First pause before a retry, in milliseconds; doubles, with jitter.
const BACKOFF_FIRST_MS: u64 = 2;
/// Share of the time left after which a request is hedged if the usual time is not known: one in this many.
const UNKNOWN_HEDGE_SHARE: u64 = 4;

enum Event {
    Granted(Result<Grant, Refusal>, &'static str),
    Ended(Arc<Permit>, End),
}

/// The attempts of one request.
struct Race {
    job: Job,
    running: FuturesUnordered<BoxFuture<'static, Event>>,
    /// Permits of the exchanges in flight.
    in_flight: Vec<Arc<Permit>>,
    /// Servers that are not to be tried again.
    tried: Vec<String>,
    asked: u32,
    /// Asks for a slot that are not answered yet.
    asking: u32,
    sent: u32,
    /// Exchanges that may have run, those in flight included.
    exchanges: u32,
    may_have_run: bool,
    not_run: Refusal,
    last_error: Option<StoredResponse>,
    hedge: Option<Hedge>,
    /// Whether only new connections are used, since one that was open before went silent.
    fresh_only: bool,
}

/// When and how the attempt in flight is to be hedged.
struct Hedge {
    at: Instant,
    permit: Arc<Permit>,
}

/// Runs the request to its answer.
pub(crate) async fn attempts(job: Job) -> CallerResponse {
    let deadline = job.plan.deadline;
    let mut race = Race::new(job);
    race.launch("first", Duration::ZERO);
    loop {
        let hedge_at = race.hedge.as_ref().map(|hedge| hedge.at);
        let hedge_due = async move {
            match hedge_at {
                Some(at) => sleep_until(at.into()).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            Some(event) = race.running.next() => {
                if let Some(answer) = race.take(event) {
                    return answer;
                }
            }
            () = hedge_due => race.hedge(),
            () = sleep_until(deadline.into()) => return race.expired(),
        }
    }
}

impl Race {
    fn new(job: Job) -> Self {
        Self {
            job,
            running: FuturesUnordered::new(),
            in_flight: Vec::new(),
            tried: Vec::new(),
            asked: 0,
            asking: 0,
            sent: 0,
            exchanges: 0,
            may_have_run: false,
            not_run: Refusal::new(ResultCode::NoServer),
            last_error: None,
            hedge: None,
            fresh_only: false,
        }
    }

    /// Starts to acquire a slot for another attempt.
    fn launch(&mut self, reason: &'static str, pause: Duration) {
        self.asked += 1;
        self.asking += 1;
        let plan = &self.job.plan;
        let ask = AcquireRequest {
            service: plan.service.clone(),
            idempotent: plan.idempotent,
            deadline: plan.deadline,
            priority: plan.priority,
            body_bytes: self.job.body.buffered_bytes(),
            previous_attempts: self.sent,
            exclude: self.tried.clone(),
        };
        let path = Arc::clone(&self.job.path);
        self.running.push(Box::pin(async move {
            if !pause.is_zero() {
                sleep(pause).await;
            }
            Event::Granted((path.slots.acquire)(ask).await, reason)
        }));
    }

    fn take(&mut self, event: Event) -> Option<CallerResponse> {
        match event {
            Event::Granted(Ok(grant), reason) => {
                self.asking -= 1;
                self.begin(grant, reason)
            }
            Event::Granted(Err(refused), reason) => {
                self.asking -= 1;
                self.note(None, reason);
                if refused.code == ResultCode::RetryBudgetSpent {
                    (self.job.path.on_retry)(&self.job.plan.service, false);
                }
                self.not_run = refused;
                self.finish_if_idle()
            }
            Event::Ended(permit, end) => {
                self.in_flight.retain(|other| !Arc::ptr_eq(other, &permit));
                self.note_end(&permit, &end);
                self.end(&permit, end)
            }
        }
    }

    /// Begins the exchange that a slot was given for, unless this process was paused past the deadline (by
    /// then a claim of the key may have lapsed) or the caller has left.
    fn begin(&mut self, grant: Grant, reason: &'static str) -> Option<CallerResponse> {
        self.note(Some(&grant), reason);
        self.job.trace.granted();
        let permit = Arc::new(Permit::new(Arc::clone(&self.job.path), grant));
        if Instant::now() >= self.job.plan.deadline {
            return Some(self.expired());
        }
        // A claimed key has its answer kept for a repeat, so its request runs all the same.
        let is_keyed = self.job.plan.key.is_some();
        if !is_keyed && self.job.caller_left.load(Ordering::SeqCst) {
            return Some(CallerResponse::generated(ResultCode::CallerLeft));
        }
        if self.sent > 0 {
            (self.job.path.on_retry)(&self.job.plan.service, true);
        }
        self.sent += 1;
        self.exchanges += 1;
        self.job.trace.sent(&permit.grant().server);
        self.tried.push(permit.grant().server.clone());
        self.in_flight.push(Arc::clone(&permit));
        // A new connection costs one round trip and can't have gone silent before the first byte.
        let may_reuse = self.job.plan.idempotent && !self.fresh_only;
        let job = self.job.clone();
        let for_exchange = Arc::clone(&permit);
        self.running.push(Box::pin(async move {
            let end = exchange(&job, &for_exchange, may_reuse).await;
            Event::Ended(for_exchange, end)
        }));
        self.plan_hedge(permit);
        None
    }

    fn plan_hedge(&mut self, permit: Arc<Permit>) {
        let after_ms = match permit.grant().hedge_after_ms {
            0 => self.unknown_hedge_ms(),
            known_ms => known_ms,
        };
        let may_hedge = self.job.plan.idempotent && self.job.body.can_send() && self.may_ask();
        self.hedge = may_hedge.then(|| Hedge {
            at: Instant::now() + Duration::from_millis(after_ms),
            permit,
        });
    }

    /// Where the usual time is not known, a share of the time left to the deadline.
    fn unknown_hedge_ms(&self) -> u64 {
        let left = self
            .job
            .plan
            .deadline
            .saturating_duration_since(Instant::now());
        left.as_millis() as u64 / UNKNOWN_HEDGE_SHARE
    }

    /// Another server first; if the silent exchange went over a connection that was open before, the same server
    /// may be given it too, over a new one.
    fn hedge(&mut self) {
        let Some(hedge) = self.hedge.take() else {
            return;
        };
        if hedge.permit.is_reused() && !self.fresh_only {
            self.distrust_connections(&hedge.permit);
        }
        if self.may_ask() {
            self.launch("hedge", Duration::ZERO);
        }
    }

    /// Closes the idle connections to the permit's server that may have gone silent as well, and lets the server
    /// be tried again over a new one.
    fn distrust_connections(&mut self, permit: &Permit) {
        let grant = permit.grant();
        self.fresh_only = true;
        self.tried.retain(|server| *server != grant.server);
        let connections = &self.job.path.connections;
        connections.close_opened_before(grant.address, Instant::now());
    }

    fn end(&mut self, permit: &Permit, end: End) -> Option<CallerResponse> {
        match end {
            End::Whole(stored) if stored.status.is_server_error() => {
                self.may_have_run = true;
                self.last_error = Some(stored);
                self.retry_repeatable("retry after error")
            }
            End::Whole(stored) => {
                self.clear_server(permit);
                Some(CallerResponse::Forwarded(ForwardedResponse::Buffered(
                    stored,
                )))
            }
            End::Streamed(response) => {
                self.clear_server(permit);
                Some(CallerResponse::Forwarded(ForwardedResponse::Streamed(
                    response,
                )))
            }
            End::BodyCut => Some(CallerResponse::generated(ResultCode::BodyCut)),
            End::Refused => {
                // Nothing was sent, so this was no attempt at a server.
                self.sent = self.sent.saturating_sub(1);
                self.retry_not_run(ResultCode::NoServer, "retry after refusal")
            }
            End::Shed => self.retry_not_run(ResultCode::Overloaded, "retry after shed"),
            End::Misdirected => {
                self.retry_not_run(ResultCode::NoServer, "retry after another server answered")
            }
            End::Unknown { silent } => {
                self.may_have_run = true;
                if silent && self.job.plan.idempotent {
                    self.distrust_connections(permit);
                }
                self.retry_repeatable("retry after cut")
            }
        }
    }

    /// A server that answered over a new connection is not to blame for an older one that went silent.
    fn clear_server(&self, permit: &Permit) {
        let server = &permit.grant().server;
        let others = self
            .in_flight
            .iter()
            .filter(|other| other.grant().server == *server);
        for other in others {
            other.clear();
        }
    }

    fn retry_repeatable(&mut self, reason: &'static str) -> Option<CallerResponse> {
        if self.job.plan.idempotent && self.may_ask() {
            self.launch(reason, self.backoff());
            return None;
        }
        self.finish_if_idle()
    }

    fn retry_not_run(&mut self, code: ResultCode, reason: &'static str) -> Option<CallerResponse> {
        self.exchanges -= 1;
        self.not_run = Refusal::new(code);
        if self.may_ask() {
            self.launch(reason, self.backoff());
            return None;
        }
        self.finish_if_idle()
    }

    fn backoff(&self) -> Duration {
        let most_ms = BACKOFF_FIRST_MS << self.asked.min(8);
        Duration::from_micros(fastrand::u64(0..most_ms * 1_000))
    }

    /// Tells whether another attempt may be asked for.
    fn may_ask(&self) -> bool {
        let attempts_max = self.job.plan.attempts_max;
        self.sent + self.asking < attempts_max
            && self.asked < attempts_max + UNREACHED_MAX
            && self.job.body.can_send()
    }

    fn finish_if_idle(&mut self) -> Option<CallerResponse> {
        if !self.running.is_empty() {
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
            CallerResponse::Generated(self.not_run.code, self.not_run.retry_after_ms)
        })
    }

    fn expired(&mut self) -> CallerResponse {
        if let Some(stored) = self.last_error.take() {
            return CallerResponse::Forwarded(ForwardedResponse::Buffered(stored));
        }
        CallerResponse::generated(if self.may_have_run || self.exchanges > 0 {
            ResultCode::DeadlineUnknown
        } else {
            ResultCode::DeadlineNotRun
        })
    }

    fn note(&self, grant: Option<&Grant>, reason: &'static str) {
        let server = grant.map_or("", |grant| grant.server.as_str());
        let evidence = grant.map_or("no slot", |grant| grant.reason);
        self.log(server, reason, evidence);
    }

    /// Logs how an exchange ended that does not give the caller its answer.
    fn note_end(&self, permit: &Permit, end: &End) {
        let evidence = match end {
            End::Whole(stored) if stored.status.is_server_error() => {
                format!("status {}", stored.status.as_u16())
            }
            End::Whole(_) | End::Streamed(_) => return,
            End::Refused => "no connection".to_owned(),
            End::Shed => "not run, says the server".to_owned(),
            End::Misdirected => "another server has the address".to_owned(),
            End::Unknown { silent: true } => "connection closed before an answer".to_owned(),
            End::Unknown { silent: false } => "no whole answer of the server's own".to_owned(),
            End::BodyCut => "the caller's body ended early".to_owned(),
        };
        self.log(&permit.grant().server, "ended", &evidence);
    }

    fn log(&self, server: &str, reason: &str, evidence: &str) {
        let decision = RoutingDecision {
            request: self.job.plan.request_id.clone(),
            service: self.job.plan.service.clone(),
            attempt: self.asked,
            server: server.to_owned(),
            reason: reason.to_owned(),
            evidence: evidence.to_owned(),
            elapsed_us: self.job.plan.received.elapsed().as_micros() as u64,
        };
        info!(target: "decision.routing", "{}", to_json(&decision));
    }
}
