//! Simulated backend server with slots, cold start, load shedding, draining and gray failures.
//!
//! Protocol: `GET /_health` and `GET /_load` are probes, `PUT /_knobs` replaces the knobs, and any other request is
//! work. A request that is shed gets a 503 with `x-request-shed: true` and is not executed; `x-draining: true` on a
//! response announces that the server is draining. With [`BackendKnobs::uses_store_protocol`] a shed request gets
//! `not-executed: true` instead, and `server-leaving: 1` announces draining.

use {
    crate::{
        backend_response::{build_response, WorkRequest},
        server::{full_response, serve, unix_time_ms, AbortOnDrop, HttpResponse, SharedState},
    },
    http_body_util::BodyExt,
    hyper::{
        body::Incoming,
        header::{HeaderValue, RETRY_AFTER},
        Method, Request,
    },
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

/// Service time multiplier of [`GrayFault::Slow`].
const SLOW_FACTOR: f64 = 10.0;
/// Service time multiplier of the first requests after a start.
const COLD_FACTOR: f64 = 3.0;
/// Time between the state changes of [`GrayFault::Flap`], in milliseconds.
const FLAP_PERIOD_MS: u64 = 1_000;

/// Gray failure of a server: requests fail while the probes keep succeeding.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum GrayFault {
    /// No fault.
    None,
    /// Responds to every request with 500.
    Errors,
    /// Never responds to a request.
    Hang,
    /// Takes ten times the service time.
    Slow,
    /// Alternates every second between [`GrayFault::None`] and [`GrayFault::Errors`].
    Flap,
    /// Closes the connection after half of the response body, before the response is complete.
    Cut,
    /// Sends the response to another request.
    Mixed,
    /// Sends a response without a content length and closes after half of it.
    Unmeasured,
}

/// Behaviour of a simulated backend server, adjustable at run time.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendKnobs {
    /// Gray failure.
    pub gray: GrayFault,
    /// Mean of the exponential service time, in microseconds.
    pub service_us: u64,
    /// Concurrent requests; more are shed.
    pub slots: u32,
    /// Number of requests after the start that take three times the service time.
    pub cold_requests: u64,
    /// Whether the server announces that it is draining.
    pub draining: bool,
    /// For how long the server asks an instance for no further requests when it sheds one, in seconds; 0 to not ask.
    pub retry_after_s: u32,
    /// Whether the load endpoint reports all slots as in use.
    #[serde(rename = "load_lies")]
    pub reports_false_load: bool,
    /// Rate of requests that fail with 500 without a gray failure, per thousand.
    #[serde(rename = "noise_permille")]
    pub background_errors_permille: u32,
    /// Whether the server follows the protocol of backend servers on the store's platform: it echoes `request-id`,
    /// signs its responses, sets `not-executed` on requests that it sheds, and rejects requests whose
    /// `target-instance` names another server.
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
            retry_after_s: 0,
            reports_false_load: false,
            background_errors_permille: 0,
            uses_store_protocol: false,
        }
    }
}

/// Executions of one request id at a server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Executions {
    /// Number of executions.
    pub count: u32,
    /// Service time of the first execution, in microseconds; the sampled time if it was dropped before its end.
    pub service_us: u64,
    /// Start of the first execution.
    pub first_started_at: Option<Instant>,
}

/// A request for work that reached a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Id of the request.
    pub request_id: String,
    /// Time of arrival.
    pub received_at: Instant,
    /// Whether the request was shed and therefore not executed.
    pub shed: bool,
    /// For how long the server asked for no further requests, in seconds; 0 if it did not ask.
    pub wait_s: u32,
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

/// A running simulated backend server; dropping it stops the listener.
#[derive(Debug)]
pub struct Backend {
    /// Listening address.
    pub address: SocketAddr,
    shared: Arc<SharedState<State>>,
    _server_task: AbortOnDrop,
}

/// Occupies a slot until dropped.
struct SlotGuard(Arc<SharedState<State>>);

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.0.lock().in_flight -= 1;
    }
}

impl Backend {
    /// Starts the server on `address`.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn new(name: &str, address: SocketAddr, knobs: BackendKnobs) -> io::Result<Self> {
        let shared = SharedState::new(State {
            name: name.to_owned(),
            knobs,
            ..State::default()
        });
        let handler_state = Arc::clone(&shared);
        let handler = move |request| handle_request(Arc::clone(&handler_state), request);
        let (address, task) = serve(address, handler).await?;
        Ok(Self {
            address,
            shared,
            _server_task: AbortOnDrop(task),
        })
    }

    /// Changes the knobs.
    pub fn update_knobs<Update>(&self, update: Update)
    where
        Update: FnOnce(&mut BackendKnobs),
    {
        update(&mut self.shared.lock().knobs);
    }

    /// Returns whether no gray failure is set.
    pub fn is_healthy(&self) -> bool {
        self.shared.lock().knobs.gray == GrayFault::None
    }

    /// Returns the requests for work that arrived, shed ones included, oldest first; those rejected because they name
    /// another server are left out.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.shared.lock().arrivals.clone()
    }

    /// Returns how often the request was executed.
    pub fn execution_count(&self, id: &str) -> u32 {
        let state = self.shared.lock();
        state
            .executions
            .get(id)
            .map_or(0, |executions| executions.count)
    }

    /// Returns the executions by request id.
    pub fn executions(&self) -> HashMap<String, Executions> {
        self.shared.lock().executions.clone()
    }
}

async fn handle_request(
    shared: Arc<SharedState<State>>,
    request: Request<Incoming>,
) -> Option<HttpResponse> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/_health") => Some(full_response(200, "ok")),
        (&Method::GET, "/_load") => Some(load_response(&shared)),
        (&Method::PUT, "/_knobs") => replace_knobs(&shared, request).await,
        _ => handle_work(shared, request).await,
    }
}

async fn replace_knobs(
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

fn load_response(shared: &SharedState<State>) -> HttpResponse {
    let state = shared.lock();
    let knobs = &state.knobs;
    let reported = if knobs.reports_false_load {
        knobs.slots
    } else {
        state.in_flight
    };
    full_response(
        200,
        format!(
            r#"{{"in_flight":{reported},"slots":{},"draining":{}}}"#,
            knobs.slots, knobs.draining
        ),
    )
}

async fn handle_work(
    shared: Arc<SharedState<State>>,
    request: Request<Incoming>,
) -> Option<HttpResponse> {
    let (other_requests, uses_store_protocol, name) = {
        let mut state = shared.lock();
        state.in_flight += 1;
        (
            state.in_flight - 1,
            state.knobs.uses_store_protocol,
            state.name.clone(),
        )
    };
    let slot = SlotGuard(Arc::clone(&shared));
    let deadline_ms = deadline_ms(&request);
    let mut work = WorkRequest::new(&request);
    let target = request.headers().get("target-instance");
    if uses_store_protocol && target.is_some_and(|target| target != name.as_str()) {
        return Some(sign_response(
            full_response(421, "another server"),
            &work.id,
            &name,
        ));
    }
    let admitted = admit(&shared, &work, other_requests);
    let Some((knobs, service_us)) = admitted else {
        let knobs = shared.lock().knobs.clone();
        return Some(shed_response(&work.id, &name, &knobs));
    };
    let received = request.into_body().collect().await.ok()?.to_bytes();
    work.received_bytes = received.len();
    let gray = current_fault(knobs.gray);
    if gray == GrayFault::Hang {
        hang(slot, deadline_ms).await;
        return None;
    }
    let service = Duration::from_micros(service_us);
    let started = Instant::now();
    sleep(service).await;
    let failed = fastrand::u32(0..1_000) < knobs.background_errors_permille;
    work.service_us = started.elapsed().as_micros() as u64;
    if let Some(executions) = shared.lock().executions.get_mut(&work.id) {
        // The timer's resolution is a millisecond, so the sleep may overshoot; the excess counts as service time of
        // the server, not as latency added by the proxy.
        executions.service_us = executions.service_us.max(work.service_us);
    }
    let response = build_response(&work, &name, if failed { GrayFault::Errors } else { gray });
    // The response to another request carries that request's id and signature.
    let is_mixed = gray == GrayFault::Mixed && !failed;
    let id = if is_mixed { "someone-else" } else { &work.id };
    Some(with_server_headers(response, id, &name, &knobs))
}

/// Never returns. The slot is released at the deadline: the close of the connection may never arrive here.
async fn hang(slot: SlotGuard, deadline_ms: Option<u64>) {
    if let Some(deadline_ms) = deadline_ms {
        sleep(Duration::from_millis(deadline_ms)).await;
        drop(slot);
    }
    std::future::pending::<()>().await;
}

/// Returns the request's deadline from its `deadline-ms` header, in milliseconds.
fn deadline_ms(request: &Request<Incoming>) -> Option<u64> {
    let text = request.headers().get("deadline-ms")?.to_str().ok()?;
    text.parse().ok()
}

/// Records the arrival and its execution; returns the knobs and the service time in microseconds, or `None` if the
/// request is shed.
fn admit(
    shared: &SharedState<State>,
    work: &WorkRequest,
    other_requests: u32,
) -> Option<(BackendKnobs, u64)> {
    let mut state = shared.lock();
    let shed = other_requests >= state.knobs.slots;
    let wait_s = if shed { state.knobs.retry_after_s } else { 0 };
    state.arrivals.push(Arrival {
        request_id: work.id.clone(),
        received_at: Instant::now(),
        shed,
        wait_s,
    });
    if shed {
        return None;
    }
    state.started_count += 1;
    let service_us = sample_service_us(&state.knobs, state.started_count);
    let executions = state.executions.entry(work.id.clone()).or_default();
    executions.count += 1;
    if executions.first_started_at.is_none() {
        executions.service_us = service_us;
        executions.first_started_at = Some(Instant::now());
    }
    Some((state.knobs.clone(), service_us))
}

/// Samples a service time from an exponential distribution, in microseconds.
fn sample_service_us(knobs: &BackendKnobs, started_count: u64) -> u64 {
    let is_slow = current_fault(knobs.gray) == GrayFault::Slow;
    let is_cold = started_count <= knobs.cold_requests;
    let factor = if is_slow { SLOW_FACTOR } else { 1.0 } * if is_cold { COLD_FACTOR } else { 1.0 };
    (-(1.0 - fastrand::f64()).ln() * knobs.service_us as f64 * factor) as u64
}

/// Sets the request id, its signature (the same id) and the server's id on a response.
fn sign_response(mut response: HttpResponse, id: &str, server: &str) -> HttpResponse {
    let headers = response.headers_mut();
    for name in ["request-id", "response-signature"] {
        if let Ok(value) = HeaderValue::from_str(id) {
            headers.insert(name, value);
        }
    }
    if let Ok(value) = HeaderValue::from_str(server) {
        headers.insert("backend-id", value);
    }
    response
}

fn shed_response(id: &str, server: &str, knobs: &BackendKnobs) -> HttpResponse {
    let mut response = full_response(503, "shed");
    if knobs.retry_after_s > 0 {
        let value = HeaderValue::from(knobs.retry_after_s);
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    if !knobs.uses_store_protocol {
        return set_flag_header(response, "x-request-shed");
    }
    let response = set_flag_header(response, "not-executed");
    with_server_headers(response, id, server, knobs)
}

/// Sets the headers of every answer: on the store's platform the signature of the request `id`, and that the server is
/// draining.
fn with_server_headers(
    response: HttpResponse,
    id: &str,
    server: &str,
    knobs: &BackendKnobs,
) -> HttpResponse {
    match (knobs.uses_store_protocol, knobs.draining) {
        (false, false) => response,
        (false, true) => set_flag_header(response, "x-draining"),
        (true, is_leaving) => {
            let mut response = sign_response(response, id, server);
            if is_leaving {
                let value = HeaderValue::from_static("1");
                response.headers_mut().insert("server-leaving", value);
            }
            response
        }
    }
}

fn set_flag_header(mut response: HttpResponse, name: &'static str) -> HttpResponse {
    response
        .headers_mut()
        .insert(name, HeaderValue::from_static("true"));
    response
}

/// Resolves `Flap` to its current phase.
fn current_fault(gray: GrayFault) -> GrayFault {
    if gray == GrayFault::Flap {
        let is_failing = unix_time_ms() / FLAP_PERIOD_MS % 2 == 1;
        return if is_failing {
            GrayFault::Errors
        } else {
            GrayFault::None
        };
    }
    gray
}
