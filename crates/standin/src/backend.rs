//! Stand-in of a backend server with slots, cold start, load shedding, draining and gray faults.
//!
//! Protocol: any path is work; `GET /_health` and `GET /_load` are its probes, `PUT /_knobs` turns it. A shed
//! answer is 503 with `x-request-shed: true` and was not run; `x-draining: true` says that it leaves.

use {
    crate::{
        backend_answer::{work_answer, Work},
        server::{clock_ms, full, serve, Answer, Running, Shared},
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
pub enum Gray {
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
    pub gray: Gray,
    /// Mean of the exponential service time, in microseconds.
    pub service_us: u64,
    /// Requests run at a time; more are shed.
    pub slots: u32,
    /// Requests that take three times as long after the start.
    pub cold_requests: u64,
    /// Whether it says that it drains.
    pub draining: bool,
    /// Whether its load endpoint claims to be full and unwell.
    pub load_lies: bool,
    /// Share of work that fails without any fault, in thousandths.
    pub noise_permille: u32,
    /// Whether it speaks as backend servers of the store's platform do: it echoes `request-id`, proves its answers,
    /// marks what it did not run, and refuses requests that are meant for another server.
    pub proves: bool,
}

impl Default for BackendKnobs {
    fn default() -> Self {
        Self {
            gray: Gray::None,
            service_us: 50_000,
            slots: 4,
            cold_requests: 0,
            draining: false,
            load_lies: false,
            noise_permille: 0,
            proves: false,
        }
    }
}

/// What became of one request id at a server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Runs {
    /// How often it ran.
    pub count: u32,
    /// Time that its first run took, or was to take if it was given up, in microseconds.
    pub planned_us: u64,
    /// When its first run began.
    pub first: Option<Instant>,
}

/// One piece of work that a server was given.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// When it came.
    pub at: Instant,
    /// Whether it was shed, and so not run.
    pub shed: bool,
}

#[derive(Debug, Default)]
struct State {
    name: String,
    knobs: BackendKnobs,
    in_flight: u32,
    arrivals: Vec<Arrival>,
    runs: HashMap<String, Runs>,
    started_count: u64,
}

/// A running stand-in of a backend server.
#[derive(Debug)]
pub struct Backend {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Shared<State>>,
    _running: Running,
}

struct Slot(Arc<Shared<State>>);

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
        let shared = Shared::new(State {
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
            _running: Running(task),
        })
    }

    /// Turns knobs.
    pub fn turn<Turn>(&self, turn: Turn)
    where
        Turn: FnOnce(&mut BackendKnobs),
    {
        turn(&mut self.shared.lock().knobs);
    }

    /// Tells whether it has no gray fault.
    pub fn is_well(&self) -> bool {
        self.shared.lock().knobs.gray == Gray::None
    }

    /// Copies the arrivals of work, oldest first.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.shared.lock().arrivals.clone()
    }

    /// Copies what became of each request id.
    pub fn runs(&self) -> HashMap<String, Runs> {
        self.shared.lock().runs.clone()
    }
}

async fn answer(shared: Arc<Shared<State>>, request: Request<Incoming>) -> Option<Answer> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/_health") => Some(full(200, "ok")),
        (&Method::GET, "/_load") => Some(load(&shared)),
        (&Method::PUT, "/_knobs") => turn_over_http(&shared, request).await,
        _ => work(shared, request).await,
    }
}

async fn turn_over_http(shared: &Shared<State>, request: Request<Incoming>) -> Option<Answer> {
    let text = request.into_body().collect().await.ok()?.to_bytes();
    Some(match from_json::<BackendKnobs>("knobs", &text) {
        Ok(knobs) => {
            shared.lock().knobs = knobs;
            full(200, "ok")
        }
        Err(error) => full(400, error.to_string()),
    })
}

fn load(shared: &Shared<State>) -> Answer {
    let state = shared.lock();
    let knobs = &state.knobs;
    let shown = if knobs.load_lies {
        knobs.slots
    } else {
        state.in_flight
    };
    full(
        200,
        format!(
            r#"{{"in_flight":{shown},"slots":{},"draining":{}}}"#,
            knobs.slots, knobs.draining
        ),
    )
}

async fn work(shared: Arc<Shared<State>>, request: Request<Incoming>) -> Option<Answer> {
    let (before, proves, name) = {
        let mut state = shared.lock();
        state.in_flight += 1;
        (state.in_flight - 1, state.knobs.proves, state.name.clone())
    };
    let slot = Slot(Arc::clone(&shared));
    let deadline_ms = deadline_ms(&request);
    let mut work = Work::new(&request);
    let meant = request.headers().get("target-instance");
    if proves && meant.is_some_and(|meant| meant != name.as_str()) {
        return Some(full(421, "another server"));
    }
    let knobs = admit(&shared, &work, before);
    let Some((knobs, planned_us)) = knobs else {
        let mark_name = if proves {
            "not-executed"
        } else {
            "x-request-shed"
        };
        return Some(mark(shed(), mark_name));
    };
    let received = request.into_body().collect().await.ok()?.to_bytes();
    work.received_bytes = received.len();
    let gray = effective(knobs.gray);
    if gray == Gray::Hang {
        // Work ends at its deadline, silently: the end of the connection may never be heard of.
        if let Some(deadline_ms) = deadline_ms {
            sleep(Duration::from_millis(deadline_ms)).await;
            drop(slot);
        }
        std::future::pending::<()>().await;
    }
    let service = Duration::from_micros(planned_us);
    let started = Instant::now();
    sleep(service).await;
    let failed = fastrand::u32(0..1_000) < knobs.noise_permille;
    work.service_us = started.elapsed().as_micros() as u64;
    if let Some(runs) = shared.lock().runs.get_mut(&work.id) {
        // The timer is a millisecond coarse, which is the server's time and not the proxy's.
        runs.planned_us = runs.planned_us.max(work.service_us);
    }
    let answer = work_answer(&work, &name, if failed { Gray::Errors } else { gray });
    Some(if proves {
        // An answer that belongs to another request bears that one's id and proof.
        let id = if gray == Gray::Mixed && !failed {
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
fn admit(shared: &Shared<State>, work: &Work, before: u32) -> Option<(BackendKnobs, u64)> {
    let mut state = shared.lock();
    let shed = before >= state.knobs.slots;
    state.arrivals.push(Arrival {
        at: Instant::now(),
        shed,
    });
    if shed {
        return None;
    }
    state.started_count += 1;
    let planned_us = plan_us(&state.knobs, state.started_count);
    let runs = state.runs.entry(work.id.clone()).or_default();
    runs.count += 1;
    if runs.first.is_none() {
        runs.planned_us = planned_us;
        runs.first = Some(Instant::now());
    }
    Some((state.knobs.clone(), planned_us))
}

/// Draws the time that a piece of work takes, in microseconds.
fn plan_us(knobs: &BackendKnobs, started_count: u64) -> u64 {
    let slow = effective(knobs.gray) == Gray::Slow;
    let cold = started_count <= knobs.cold_requests;
    let factor = if slow { SLOW_FACTOR } else { 1.0 } * if cold { COLD_FACTOR } else { 1.0 };
    (-(1.0 - fastrand::f64()).ln() * knobs.service_us as f64 * factor) as u64
}

fn prove(mut answer: Answer, id: &str, server: &str) -> Answer {
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

fn shed() -> Answer {
    full(503, "shed")
}

fn mark(mut answer: Answer, name: &'static str) -> Answer {
    answer
        .headers_mut()
        .insert(name, HeaderValue::from_static("true"));
    answer
}

fn effective(gray: Gray) -> Gray {
    if gray == Gray::Flap {
        let odd = clock_ms() / FLAP_PERIOD_MS % 2 == 1;
        return if odd { Gray::Errors } else { Gray::None };
    }
    gray
}
