//! Open-loop load generator: each request starts at its scheduled time, whether or not earlier ones have completed.
//!
//! Latency is measured from the scheduled time, so that delays of the generator itself are included (coordinated
//! omission).

use {
    crate::{
        balancer::Balancer,
        client::{self, HttpClient, HttpResponse, RequestError},
        cluster::Cluster,
    },
    bytes::Bytes,
    fastrand::Rng,
    hdrhistogram::Histogram,
    hyper::{header::HeaderValue, HeaderMap, Method},
    standin::Executions,
    std::{
        collections::HashMap,
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::{runtime::Handle, sync::mpsc},
};

/// Maximum number of connection attempts for a request.
const CONNECT_TRIES: usize = 3;
/// Upper limit of the latency histograms, in microseconds; larger values are recorded as this one.
const LATENCY_MAX_US: u64 = 60_000_000;

/// How a request may be repeated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RequestClass {
    /// May run any number of times.
    Idempotent,
    /// Must run at most once; carries an idempotency key.
    Keyed,
    /// Must run at most once; carries no idempotency key.
    Unkeyed,
}

/// Rate, duration and mix of a generated load.
#[derive(Clone, Debug)]
pub(crate) struct LoadProfile {
    /// Seed of the arrival times and of the random choices.
    pub(crate) seed: u64,
    /// Mean rate over all services, in requests a second.
    pub(crate) rate_per_s: f64,
    /// Time for which new requests are started.
    pub(crate) duration: Duration,
    /// Names of the services, also their path prefixes; chosen uniformly.
    pub(crate) services: Vec<String>,
    /// Classes of the requests; chosen uniformly, so that a repeated class is more frequent.
    pub(crate) classes: Vec<RequestClass>,
    /// Requested size of the responses, in bytes; 0 for the stand-in's default.
    pub(crate) response_bytes: usize,
    /// Prefix of the request ids; unique among the loads of a run.
    pub(crate) id_prefix: String,
}

impl LoadProfile {
    /// Creates a load of idempotent requests to all services of `cluster`, at one request a second for a second.
    pub(crate) fn new(cluster: &Cluster, id_prefix: &str, seed: u64) -> Self {
        Self {
            seed,
            rate_per_s: 1.0,
            duration: Duration::from_secs(1),
            services: cluster.service_names(),
            classes: vec![RequestClass::Idempotent],
            response_bytes: 0,
            id_prefix: id_prefix.to_owned(),
        }
    }

    /// Sets the rate over all services and the time for which requests are started.
    pub(crate) fn with_rate(self, rate_per_s: f64, duration: Duration) -> Self {
        Self {
            rate_per_s,
            duration,
            ..self
        }
    }

    /// Sets the classes from which each request's class is chosen uniformly.
    pub(crate) fn with_classes(self, classes: &[RequestClass]) -> Self {
        Self {
            classes: classes.to_vec(),
            ..self
        }
    }

    /// Sets the requested size of the responses, in bytes.
    pub(crate) fn with_response_bytes(self, response_bytes: usize) -> Self {
        Self {
            response_bytes,
            ..self
        }
    }
}

/// Result of one request as the caller observed it.
#[derive(Clone, Debug)]
pub(crate) struct RequestOutcome {
    pub(crate) id: String,
    pub(crate) class: RequestClass,
    pub(crate) scheduled_at: Instant,
    pub(crate) latency_us: u64,
    pub(crate) status: u16,
    /// Value of the outcome header; empty if no complete response was received.
    pub(crate) execution_status: String,
    pub(crate) error: Option<RequestError>,
    /// Whether the response body is complete and belongs to this request.
    pub(crate) is_own_response: bool,
}

impl RequestOutcome {
    /// Returns whether the caller received the complete, successful response of a backend server.
    pub(crate) fn is_success(&self) -> bool {
        self.error.is_none() && self.status == 200 && self.is_own_response
    }
}

/// Generates `load` and waits for the outcome of every request.
pub(crate) async fn run_load(
    load: LoadProfile,
    balancer: Balancer,
    client: HttpClient,
) -> Vec<RequestOutcome> {
    let (sender, mut receiver) = mpsc::unbounded_channel();
    // Requests are started from a thread of their own because the runtime's timers have a resolution of 1 ms.
    let runtime = Handle::current();
    let generator = tokio::task::spawn_blocking(move || {
        generate_requests(&load, |request| {
            let exchange = send_balanced(client.clone(), balancer.clone(), request);
            let sender = sender.clone();
            runtime.spawn(async move {
                // Can't fail: the receiver lives until all senders are dropped.
                let _ = sender.send(exchange.await);
            });
        });
    });
    let mut outcomes = Vec::new();
    while let Some(outcome) = receiver.recv().await {
        outcomes.push(outcome);
    }
    // Does not block: the channel closes only after the generator has dropped its sender.
    let _ = generator.await;
    outcomes
}

/// Calls `start_request` for each request at its scheduled time; blocks the thread in between. Arrivals are a Poisson
/// process.
pub(crate) fn generate_requests<Start>(load: &LoadProfile, mut start_request: Start)
where
    Start: FnMut(ScheduledRequest),
{
    let mut rng = Rng::with_seed(load.seed);
    let start = Instant::now();
    let mut scheduled_at = start;
    let mut number = 0_u64;
    while scheduled_at.duration_since(start) < load.duration {
        std::thread::sleep(scheduled_at.saturating_duration_since(Instant::now()));
        let service = &load.services[rng.usize(..load.services.len())];
        start_request(ScheduledRequest {
            id: format!("{}-{number}", load.id_prefix),
            class: load.classes[rng.usize(..load.classes.len())],
            path: format!("/{service}/{number}"),
            scheduled_at,
            target_random: rng.usize(..),
            response_bytes: load.response_bytes,
        });
        number += 1;
        scheduled_at += Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / load.rate_per_s);
    }
}

/// A request to send and the time at which it starts.
#[derive(Clone, Debug)]
pub(crate) struct ScheduledRequest {
    pub(crate) id: String,
    pub(crate) class: RequestClass,
    pub(crate) path: String,
    pub(crate) scheduled_at: Instant,
    pub(crate) target_random: usize,
    pub(crate) response_bytes: usize,
}

/// Sends a request to an instance that the balancer picks; picks again if connecting fails, [`CONNECT_TRIES`] times at
/// most.
pub(crate) async fn send_balanced(
    client: HttpClient,
    balancer: Balancer,
    request: ScheduledRequest,
) -> RequestOutcome {
    for attempt in 0..CONNECT_TRIES {
        let Some(address) = balancer.pick(request.target_random.wrapping_add(attempt * 7)) else {
            break;
        };
        let outcome = send_to(&client, address, &request).await;
        if outcome.error != Some(RequestError::ConnectFailed) {
            return outcome;
        }
    }
    build_outcome(&request, Err(RequestError::ConnectFailed))
}

/// Sends a request to the instance at `address`.
pub(crate) async fn send_to(
    client: &HttpClient,
    address: SocketAddr,
    request: &ScheduledRequest,
) -> RequestOutcome {
    let mut headers = HeaderMap::new();
    let mut insert = |name: &'static str, value: &str| {
        if let Ok(value) = HeaderValue::from_str(value) {
            headers.insert(name, value);
        }
    };
    insert("x-bench-id", &request.id);
    if request.response_bytes > 0 {
        insert("x-answer-bytes", &request.response_bytes.to_string());
    }
    if request.class == RequestClass::Keyed {
        insert("idempotency-key", &request.id);
    }
    let (method, body) = match request.class {
        RequestClass::Idempotent => (Method::GET, Bytes::new()),
        RequestClass::Keyed | RequestClass::Unkeyed => (Method::POST, Bytes::from_static(b"order")),
    };
    let response =
        client::send_request(client, address, method, &request.path, &headers, body).await;
    build_outcome(request, response)
}

fn build_outcome(
    request: &ScheduledRequest,
    response: Result<HttpResponse, RequestError>,
) -> RequestOutcome {
    let latency_us = request.scheduled_at.elapsed().as_micros() as u64;
    let header = |name: &str| {
        let headers = response.as_ref().ok().map(|response| &response.headers);
        let value = headers.and_then(|headers| headers.get(name));
        value
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
            .to_owned()
    };
    RequestOutcome {
        id: request.id.clone(),
        class: request.class,
        scheduled_at: request.scheduled_at,
        latency_us,
        status: response
            .as_ref()
            .map_or(0, |response| response.status.as_u16()),
        execution_status: header("catkinhitch-outcome"),
        error: response.as_ref().err().copied(),
        is_own_response: response
            .as_ref()
            .is_ok_and(|response| is_own_response(request, &response.body)),
    }
}

/// Returns whether a stand-in's response belongs to `request` and is complete: it begins with the request's id, has the
/// end mark and has the requested length. It may be up to the id and 6 bytes shorter, since the stand-in pads a
/// response with whole lines.
fn is_own_response(request: &ScheduledRequest, body: &[u8]) -> bool {
    let has_id = body.starts_with(format!("{} ", request.id).as_bytes());
    let has_end_mark = body.ends_with(b"end\n");
    has_id && has_end_mark && body.len() + request.id.len() + 6 >= request.response_bytes
}

/// Returns the histogram of the latency that the system adds to successful requests, in microseconds.
///
/// The baseline of a request is the service time of its first execution, for which a caller that connected to that
/// server directly would have waited, also if the response came from a hedge. Requests that no server executed are left
/// out.
pub(crate) fn added_latency(outcomes: &[RequestOutcome], cluster: &Cluster) -> Histogram<u64> {
    let mut first_executions: HashMap<String, Executions> = HashMap::new();
    for (id, executions) in cluster
        .servers
        .iter()
        .flat_map(|server| server.backend.executions())
    {
        let first = first_executions.entry(id).or_insert(executions);
        if executions.first_started_at < first.first_started_at {
            *first = executions;
        }
    }
    let successes = outcomes.iter().filter(|outcome| outcome.is_success());
    histogram(successes.filter_map(|outcome| {
        let executions = first_executions.get(&outcome.id)?;
        Some(outcome.latency_us.saturating_sub(executions.service_us))
    }))
}

/// Returns the histogram of durations in microseconds; durations below 1 us are recorded as 1 us.
pub(crate) fn histogram<Times>(times_us: Times) -> Histogram<u64>
where
    Times: Iterator<Item = u64>,
{
    // Three significant digits are within the range that the library accepts, so this can't fail.
    let mut histogram = Histogram::new_with_bounds(1, LATENCY_MAX_US, 3)
        .unwrap_or_else(|_| unreachable!("the bounds are constant and valid"));
    for time_us in times_us {
        histogram.saturating_record(time_us.max(1));
    }
    histogram
}
