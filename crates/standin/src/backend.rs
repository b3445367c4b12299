//! Stand-in of a backend server with slots, cold start, load shedding, draining and gray faults.
//!
//! Protocol: any path is work; `GET /_health` and `GET /_load` are its probes, `PUT /_knobs` turns it. A shed
//! answer is 503 with `x-request-shed: true` and was not run; `x-draining: true` says that it leaves.

use {
    crate::{
        backend_response::{build_response, WorkRequest},
        server::{full_response, serve, unix_time_ms, AbortOnDrop, HttpResponse, SharedState},
    },
    http_body_util::BodyExt,
    hyper::{body::Incoming, header::HeaderValue, Method, Request},
    serde::{Deserialize, Serialize},
    std::{
        collections::HashMap,
        io,
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
    wire::from_json,
};

/// Factor by which a slow server takes longer.
const SLOW_FACTOR: f64 = 10.0;
/// Factor by which a cold server takes longer.
const COLD_FACTOR: f64 = 3.0;
/// Time for which a flapping server stays in one state, in milliseconds.
const FLAP_PERIOD_MS: u64 = 1_000;

/// How a server fails; it answers its probes in every mode.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum GrayFault {
    /// Does not fail.
    None,
    /// Answers work with 500.
    Errors,
    /// Never answers work.
    Hang,
    /// Works ten times as long.
    Slow,
    /// Answers with 500 every other second.
    Flap,
    /// Sends half of an answer and cuts the connection.
    Cut,
    /// Sends an answer that belongs to another request.
    Mixed,
    /// Sends an answer without a length and closes early.
    Unmeasured,
}

/// What can be turned while the stand-in runs.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendKnobs {
    /// Gray fault.
    pub gray: GrayFault,
    /// Mean of the exponential service time, in microseconds.
    pub service_us: u64,
    /// Requests run at a time; more are shed.
    pub slots: u32,
    /// Requests that take three times as long after the start.
    pub cold_requests: u64,
    /// Whether it says that it drains.
    pub draining: bool,
    /// Whether its load endpoint claims to be full and unwell.
    #[serde(rename = "load_lies")]
    pub reports_false_load: bool,
    /// Share of work that fails without any fault, in thousandths.
    #[serde(rename = "noise_permille")]
    pub background_errors_permille: u32,
    /// Whether it speaks as backend servers of the store's platform do: it echoes `request-id`, proves its answers,
    /// marks what it did not run, and refuses requests that are meant for another server.
    #[serde(rename = "proves")]
    pub uses_store_protocol: bool,
}

impl Default for BackendKnobs {
    fn default() -> Self {
        Self {
            gray: GrayFault::None,
            service_us: 50_000,
            slots: 4,
            cold_requests: 0,
            draining: false,
            reports_false_load: false,
            background_errors_permille: 0,
            uses_store_protocol: false,
        }
    }
}

/// What became of one request id at a server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Executions {
    /// How often it ran.
    pub count: u32,
    /// Time that its first run took, or was to take if it was given up, in microseconds.
    pub service_us: u64,
    /// When its first run began.
    pub first_started_at: Option<Instant>,
}

/// One piece of work that a server was given.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// When it came.
    pub received_at: Instant,
    /// Whether it was shed, and so not run.
    pub shed: bool,
}

#[derive(Debug, Default)]
struct State {
    name: String,
    knobs: BackendKnobs,
    in_flight: u32,
    arrivals: Vec<Arrival>,
    executions: HashMap<String, Executions>,
    started_count: u64,
}

/// A running stand-in of a backend server.
#[derive(Debug)]
pub struct Backend {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<SharedState<State>>,
    _running: AbortOnDrop,
}

struct Slot(Arc<SharedState<State>>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.lock().in_flight -= 1;
    }
}

impl Backend {
    /// Starts the stand-in on `address`.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub async fn new(name: &str, address: SocketAddr, knobs: BackendKnobs) -> io::Result<Self> {
        let shared = SharedState::new(State {
            name: name.to_owned(),
            knobs,
            ..State::default()
        });
        let for_calls = Arc::clone(&shared);
        let handle = move |request| answer(Arc::clone(&for_calls), request);
        let (address, task) = serve(address, handle).await?;
        Ok(Self {
            address,
            shared,
            _running: AbortOnDrop(task),
        })
    }

    /// Turns knobs.
    pub fn update_knobs<Update>(&self, update: Update)
    where
        Update: FnOnce(&mut BackendKnobs),
    {
        update(&mut self.shared.lock().knobs);
    }

    /// Tells whether it has no gray fault.
    pub fn is_healthy(&self) -> bool {
        self.shared.lock().knobs.gray == GrayFault::None
    }

    /// Copies the arrivals of work, oldest first.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.shared.lock().arrivals.clone()
    }

    /// Copies what became of each request id.
    pub fn executions(&self) -> HashMap<String, Executions> {
        self.shared.lock().executions.clone()
    }
}

async fn answer(
    shared: Arc<SharedState<State>>,
    request: Request<Incoming>,
) -> Option<HttpResponse> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/_health") => Some(full_response(200, "ok")),
        (&Method::GET, "/_load") => Some(load(&shared)),
        (&Method::PUT, "/_knobs") => turn_over_http(&shared, request).await,
        _ => work(shared, request).await,
    }
}

async fn turn_over_http(
    shared: &SharedState<State>,
    request: Request<Incoming>,
) -> Option<HttpResponse> {
    let text = request.into_body().collect().await.ok()?.to_bytes();
    Some(match from_json::<BackendKnobs>("knobs", &text) {
        Ok(knobs) => {
            shared.lock().knobs = knobs;
            full_response(200, "ok")
        }
        Err(error) => full_response(400, error.to_string()),
    })
}

fn load(shared: &SharedState<State>) -> HttpResponse {
    let state = shared.lock();
    let knobs = &state.knobs;
    let shown = if knobs.reports_false_load {
        knobs.slots
    } else {
        state.in_flight
    };
    full_response(
        200,
        format!(
            r#"{{"in_flight":{shown},"slots":{},"draining":{}}}"#,
            knobs.slots, knobs.draining
        ),
    )
}

async fn work(shared: Arc<SharedState<State>>, request: Request<Incoming>) -> Option<HttpResponse> {
    let (before, uses_store_protocol, name) = {
        let mut state = shared.lock();
        state.in_flight += 1;
        (
            state.in_flight - 1,
            state.knobs.uses_store_protocol,
            state.name.clone(),
        )
    };
    let slot = Slot(Arc::clone(&shared));
    let deadline_ms = deadline_ms(&request);
    let mut work = WorkRequest::new(&request);
    let meant = request.headers().get("target-instance");
    if uses_store_protocol && meant.is_some_and(|meant| meant != name.as_str()) {
        return Some(full_response(421, "another server"));
    }
    let knobs = admit(&shared, &work, before);
    let Some((knobs, service_us)) = knobs else {
        let mark_name = if uses_store_protocol {
            "not-executed"
        } else {
            "x-request-shed"
        };
        return Some(mark(shed(), mark_name));
    };
    let received = request.into_body().collect().await.ok()?.to_bytes();
    work.received_bytes = received.len();
    let gray = effective(knobs.gray);
    if gray == GrayFault::Hang {
        // Work ends at its deadline, silently: the end of the connection may never be heard of.
        if let Some(deadline_ms) = deadline_ms {
            sleep(Duration::from_millis(deadline_ms)).await;
            drop(slot);
        }
        std::future::pending::<()>().await;
    }
    let service = Duration::from_micros(service_us);
    let started = Instant::now();
    sleep(service).await;
    let failed = fastrand::u32(0..1_000) < knobs.background_errors_permille;
    work.service_us = started.elapsed().as_micros() as u64;
    if let Some(executions) = shared.lock().executions.get_mut(&work.id) {
        // The timer is a millisecond coarse, which is the server's time and not the proxy's.
        executions.service_us = executions.service_us.max(work.service_us);
    }
    let answer = build_response(&work, &name, if failed { GrayFault::Errors } else { gray });
    Some(if uses_store_protocol {
        // An answer that belongs to another request bears that one's id and proof.
        let id = if gray == GrayFault::Mixed && !failed {
            "someone-else"
        } else {
            work.id.as_str()
        };
        prove(answer, id, &name)
    } else if knobs.draining {
        mark(answer, "x-draining")
    } else {
        answer
    })
}

/// Returns the time that the request's sender gives it, in milliseconds, if it says so.
fn deadline_ms(request: &Request<Incoming>) -> Option<u64> {
    let text = request.headers().get("deadline-ms")?.to_str().ok()?;
    text.parse().ok()
}

/// Books the arrival; returns nothing if it is shed, else the knobs and the time to work, in microseconds.
fn admit(
    shared: &SharedState<State>,
    work: &WorkRequest,
    before: u32,
) -> Option<(BackendKnobs, u64)> {
    let mut state = shared.lock();
    let shed = before >= state.knobs.slots;
    state.arrivals.push(Arrival {
        received_at: Instant::now(),
        shed,
    });
    if shed {
        return None;
    }
    state.started_count += 1;
    let service_us = plan_us(&state.knobs, state.started_count);
    let executions = state.executions.entry(work.id.clone()).or_default();
    executions.count += 1;
    if executions.first_started_at.is_none() {
        executions.service_us = service_us;
        executions.first_started_at = Some(Instant::now());
    }
    Some((state.knobs.clone(), service_us))
}

/// Draws the time that a piece of work takes, in microseconds.
fn plan_us(knobs: &BackendKnobs, started_count: u64) -> u64 {
    let slow = effective(knobs.gray) == GrayFault::Slow;
    let cold = started_count <= knobs.cold_requests;
    let factor = if slow { SLOW_FACTOR } else { 1.0 } * if cold { COLD_FACTOR } else { 1.0 };
    (-(1.0 - fastrand::f64()).ln() * knobs.service_us as f64 * factor) as u64
}

fn prove(mut answer: HttpResponse, id: &str, server: &str) -> HttpResponse {
    let headers = answer.headers_mut();
    for name in ["request-id", "response-signature"] {
        if let Ok(value) = HeaderValue::from_str(id) {
            headers.insert(name, value);
        }
    }
    if let Ok(value) = HeaderValue::from_str(server) {
        headers.insert("backend-id", value);
    }
    answer
}

fn shed() -> HttpResponse {
    full_response(503, "shed")
}

fn mark(mut answer: HttpResponse, name: &'static str) -> HttpResponse {
    answer
        .headers_mut()
        .insert(name, HeaderValue::from_static("true"));
    answer
}

fn effective(gray: GrayFault) -> GrayFault {
    if gray == GrayFault::Flap {
        let odd = unix_time_ms() / FLAP_PERIOD_MS % 2 == 1;
        return if odd {
            GrayFault::Errors
        } else {
            GrayFault::None
        };
    }
    gray
}
