//! Open-loop load: requests start when they are due, whatever happened to earlier ones.
//!
//! Latency counts from the time a request was due, which corrects for stalls of the load itself.

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

/// Tries of the balancer to connect to an instance.
const CONNECT_TRIES: usize = 3;
/// Largest latency recorded, in microseconds.
const LATENCY_MAX_US: u64 = 60_000_000;

/// A kind of request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RequestClass {
    /// May be repeated.
    Idempotent,
    /// Must run once, with a key.
    Keyed,
    /// Must run once, without a key.
    Unkeyed,
}

/// A load to put on the system.
#[derive(Clone, Debug)]
pub(crate) struct LoadProfile {
    /// Seed of arrivals and choices.
    pub(crate) seed: u64,
    /// Mean rate over all services, in requests a second.
    pub(crate) rate_per_s: f64,
    /// How long requests are started.
    pub(crate) duration: Duration,
    /// Path prefixes, picked evenly.
    pub(crate) services: Vec<String>,
    /// Kinds, picked evenly.
    pub(crate) classes: Vec<RequestClass>,
    /// Size of answers asked for, in bytes; 0 for short ones.
    pub(crate) response_bytes: usize,
    /// Prefix of the ids, unique among the loads of a run.
    pub(crate) id_prefix: String,
}

impl LoadProfile {
    /// Creates a load of reads over all services of `cluster`.
    pub(crate) fn new(cluster: &Cluster, name: &str, seed: u64) -> Self {
        Self {
            seed,
            rate_per_s: 1.0,
            duration: Duration::from_secs(1),
            services: cluster.service_names(),
            classes: vec![RequestClass::Idempotent],
            response_bytes: 0,
            id_prefix: name.to_owned(),
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

    /// Sets the kinds, picked evenly.
    pub(crate) fn with_classes(self, classes: &[RequestClass]) -> Self {
        Self {
            classes: classes.to_vec(),
            ..self
        }
    }

    /// Sets the size of the answers, in bytes.
    pub(crate) fn with_response_bytes(self, response_bytes: usize) -> Self {
        Self {
            response_bytes,
            ..self
        }
    }
}

/// What became of one request.
#[derive(Clone, Debug)]
pub(crate) struct RequestOutcome {
    pub(crate) id: String,
    pub(crate) class: RequestClass,
    pub(crate) scheduled_at: Instant,
    pub(crate) latency_us: u64,
    pub(crate) status: u16,
    /// Value of the outcome header; empty if there was no whole answer.
    pub(crate) execution_status: String,
    pub(crate) error: Option<RequestError>,
    /// Whether the answer is whole and this request's own.
    pub(crate) is_own_response: bool,
}

impl RequestOutcome {
    /// Tells whether the caller got a backend server's good answer.
    pub(crate) fn is_success(&self) -> bool {
        self.error.is_none() && self.status == 200 && self.is_own_response
    }
}

/// Puts `load` on the system and waits for every outcome.
pub(crate) async fn run_load(
    load: LoadProfile,
    balancer: Balancer,
    client: HttpClient,
) -> Vec<RequestOutcome> {
    let (sender, mut receiver) = mpsc::unbounded_channel();
    // A thread of its own paces the requests: the runtime's timers are a millisecond coarse.
    let runtime = Handle::current();
    let pacing = tokio::task::spawn_blocking(move || {
        generate_requests(&load, |ask| {
            let job = send_balanced(client.clone(), balancer.clone(), ask);
            let sender = sender.clone();
            runtime.spawn(async move {
                // The receiver outlives all senders.
                let _ = sender.send(job.await);
            });
        });
    });
    let mut outcomes = Vec::new();
    while let Some(outcome) = receiver.recv().await {
        outcomes.push(outcome);
    }
    // The thread has ended, or the channel would still be open.
    let _ = pacing.await;
    outcomes
}

/// Hands out each request when it is due.
pub(crate) fn generate_requests<Start>(load: &LoadProfile, mut start_one: Start)
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
        start_one(ScheduledRequest {
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

/// One request to make.
#[derive(Clone, Debug)]
pub(crate) struct ScheduledRequest {
    pub(crate) id: String,
    pub(crate) class: RequestClass,
    pub(crate) path: String,
    pub(crate) scheduled_at: Instant,
    pub(crate) target_random: usize,
    pub(crate) response_bytes: usize,
}

/// Makes one request through the balancer.
pub(crate) async fn send_balanced(
    client: HttpClient,
    balancer: Balancer,
    ask: ScheduledRequest,
) -> RequestOutcome {
    for attempt in 0..CONNECT_TRIES {
        let Some(address) = balancer.pick(ask.target_random.wrapping_add(attempt * 7)) else {
            break;
        };
        let outcome = send_to(&client, address, &ask).await;
        if outcome.error != Some(RequestError::ConnectFailed) {
            return outcome;
        }
    }
    outcome(&ask, Err(RequestError::ConnectFailed))
}

/// Makes one request at a given instance.
pub(crate) async fn send_to(
    client: &HttpClient,
    address: SocketAddr,
    ask: &ScheduledRequest,
) -> RequestOutcome {
    let mut headers = HeaderMap::new();
    let mut put = |name: &'static str, value: &str| {
        if let Ok(value) = HeaderValue::from_str(value) {
            headers.insert(name, value);
        }
    };
    put("x-bench-id", &ask.id);
    if ask.response_bytes > 0 {
        put("x-answer-bytes", &ask.response_bytes.to_string());
    }
    if ask.class == RequestClass::Keyed {
        put("idempotency-key", &ask.id);
    }
    let (method, body) = match ask.class {
        RequestClass::Idempotent => (Method::GET, Bytes::new()),
        RequestClass::Keyed | RequestClass::Unkeyed => (Method::POST, Bytes::from_static(b"order")),
    };
    let reply = client::send_request(client, address, method, &ask.path, &headers, body).await;
    outcome(ask, reply)
}

fn outcome(ask: &ScheduledRequest, reply: Result<HttpResponse, RequestError>) -> RequestOutcome {
    let latency_us = ask.scheduled_at.elapsed().as_micros() as u64;
    let text = |name: &str| {
        let headers = reply.as_ref().ok().map(|reply| &reply.headers);
        let value = headers.and_then(|headers| headers.get(name));
        value
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
            .to_owned()
    };
    RequestOutcome {
        id: ask.id.clone(),
        class: ask.class,
        scheduled_at: ask.scheduled_at,
        latency_us,
        status: reply.as_ref().map_or(0, |reply| reply.status.as_u16()),
        execution_status: text("catkinhitch-outcome"),
        error: reply.as_ref().err().copied(),
        is_own_response: reply
            .as_ref()
            .is_ok_and(|reply| is_own_response(ask, &reply.body)),
    }
}

/// The stand-in's answer begins with the id, ends with a mark and is as long as asked.
fn is_own_response(ask: &ScheduledRequest, body: &[u8]) -> bool {
    let begins = body.starts_with(format!("{} ", ask.id).as_bytes());
    let ends = body.ends_with(b"end\n");
    begins && ends && body.len() + ask.id.len() + 6 >= ask.response_bytes
}

/// Returns the histogram of the time that the system added to good answers, in microseconds.
///
/// A caller that talked to the first server itself would have waited for that server's planned time, so this
/// is what the latency is held against, also where a hedge won.
pub(crate) fn added_latency(outcomes: &[RequestOutcome], cluster: &Cluster) -> Histogram<u64> {
    let mut planned: HashMap<String, Executions> = HashMap::new();
    for (id, runs) in cluster
        .servers
        .iter()
        .flat_map(|server| server.backend.executions())
    {
        let kept = planned.entry(id).or_insert(runs);
        if runs.first_started_at < kept.first_started_at {
            *kept = runs;
        }
    }
    let good = outcomes.iter().filter(|outcome| outcome.is_success());
    histogram(good.filter_map(|outcome| {
        let runs = planned.get(&outcome.id)?;
        Some(outcome.latency_us.saturating_sub(runs.service_us))
    }))
}

/// Returns the histogram of some times, in microseconds.
pub(crate) fn histogram<Times>(times_us: Times) -> Histogram<u64>
where
    Times: Iterator<Item = u64>,
{
    // Three digits are within the library's range, so the fallback is never taken.
    let mut histogram = Histogram::new_with_bounds(1, LATENCY_MAX_US, 3)
        .unwrap_or_else(|_| unreachable!("the bounds are constant and valid"));
    for time_us in times_us {
        histogram.saturating_record(time_us.max(1));
    }
    histogram
}
