//! Open-loop load: requests start when they are due, whatever happened to earlier ones.
//!
//! Latency counts from the time a request was due, which corrects for stalls of the load itself.

use {
    crate::{
        balancer::Balancer,
        client::{self, Failure, HttpClient, Reply},
        world::World,
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
pub(crate) enum Kind {
    /// May be repeated.
    Read,
    /// Must run once, with a key.
    Keyed,
    /// Must run once, without a key.
    Keyless,
}

/// A load to put on the system.
#[derive(Clone, Debug)]
pub(crate) struct Load {
    /// Seed of arrivals and choices.
    pub(crate) seed: u64,
    /// Mean rate over all services, in requests a second.
    pub(crate) rate_per_s: f64,
    /// How long requests are started.
    pub(crate) duration: Duration,
    /// Path prefixes, picked evenly.
    pub(crate) services: Vec<String>,
    /// Kinds, picked evenly.
    pub(crate) kinds: Vec<Kind>,
    /// Size of answers asked for, in bytes; 0 for short ones.
    pub(crate) answer_bytes: usize,
    /// Prefix of the ids, unique among the loads of a run.
    pub(crate) name: String,
}

impl Load {
    /// Creates a load of reads over all services of `world`.
    pub(crate) fn new(world: &World, name: &str, seed: u64) -> Self {
        Self {
            seed,
            rate_per_s: 1.0,
            duration: Duration::from_secs(1),
            services: world.service_names(),
            kinds: vec![Kind::Read],
            answer_bytes: 0,
            name: name.to_owned(),
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
    pub(crate) fn with_kinds(self, kinds: &[Kind]) -> Self {
        Self {
            kinds: kinds.to_vec(),
            ..self
        }
    }

    /// Sets the size of the answers, in bytes.
    pub(crate) fn with_answer_bytes(self, answer_bytes: usize) -> Self {
        Self {
            answer_bytes,
            ..self
        }
    }
}

/// What became of one request.
#[derive(Clone, Debug)]
pub(crate) struct Outcome {
    pub(crate) id: String,
    pub(crate) kind: Kind,
    pub(crate) due: Instant,
    pub(crate) latency_us: u64,
    pub(crate) status: u16,
    /// Value of the outcome header; empty if there was no whole answer.
    pub(crate) execution_status: String,
    pub(crate) failure: Option<Failure>,
    /// Whether the answer is whole and this request's own.
    pub(crate) is_own: bool,
}

impl Outcome {
    /// Tells whether the caller got a backend server's good answer.
    pub(crate) fn is_good(&self) -> bool {
        self.failure.is_none() && self.status == 200 && self.is_own
    }
}

/// Puts `load` on the system and waits for every outcome.
pub(crate) async fn run(load: Load, balancer: Balancer, client: HttpClient) -> Vec<Outcome> {
    let (sender, mut receiver) = mpsc::unbounded_channel();
    // A thread of its own paces the requests: the runtime's timers are a millisecond coarse.
    let runtime = Handle::current();
    let pacing = tokio::task::spawn_blocking(move || {
        pace(&load, |ask| {
            let job = one(client.clone(), balancer.clone(), ask);
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
pub(crate) fn pace<Start>(load: &Load, mut start_one: Start)
where
    Start: FnMut(Ask),
{
    let mut rng = Rng::with_seed(load.seed);
    let start = Instant::now();
    let mut due = start;
    let mut number = 0_u64;
    while due.duration_since(start) < load.duration {
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        let service = &load.services[rng.usize(..load.services.len())];
        start_one(Ask {
            id: format!("{}-{number}", load.name),
            kind: load.kinds[rng.usize(..load.kinds.len())],
            path: format!("/{service}/{number}"),
            due,
            random: rng.usize(..),
            answer_bytes: load.answer_bytes,
        });
        number += 1;
        due += Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / load.rate_per_s);
    }
}

/// One request to make.
#[derive(Clone, Debug)]
pub(crate) struct Ask {
    pub(crate) id: String,
    pub(crate) kind: Kind,
    pub(crate) path: String,
    pub(crate) due: Instant,
    pub(crate) random: usize,
    pub(crate) answer_bytes: usize,
}

/// Makes one request through the balancer.
pub(crate) async fn one(client: HttpClient, balancer: Balancer, ask: Ask) -> Outcome {
    for attempt in 0..CONNECT_TRIES {
        let Some(address) = balancer.pick(ask.random.wrapping_add(attempt * 7)) else {
            break;
        };
        let outcome = at(&client, address, &ask).await;
        if outcome.failure != Some(Failure::Unconnected) {
            return outcome;
        }
    }
    outcome(&ask, Err(Failure::Unconnected))
}

/// Makes one request at a given instance.
pub(crate) async fn at(client: &HttpClient, address: SocketAddr, ask: &Ask) -> Outcome {
    let mut headers = HeaderMap::new();
    let mut put = |name: &'static str, value: &str| {
        if let Ok(value) = HeaderValue::from_str(value) {
            headers.insert(name, value);
        }
    };
    put("x-bench-id", &ask.id);
    if ask.answer_bytes > 0 {
        put("x-answer-bytes", &ask.answer_bytes.to_string());
    }
    if ask.kind == Kind::Keyed {
        put("idempotency-key", &ask.id);
    }
    let (method, body) = match ask.kind {
        Kind::Read => (Method::GET, Bytes::new()),
        Kind::Keyed | Kind::Keyless => (Method::POST, Bytes::from_static(b"order")),
    };
    let reply = client::send(client, address, method, &ask.path, &headers, body).await;
    outcome(ask, reply)
}

fn outcome(ask: &Ask, reply: Result<Reply, Failure>) -> Outcome {
    let latency_us = ask.due.elapsed().as_micros() as u64;
    let text = |name: &str| {
        let headers = reply.as_ref().ok().map(|reply| &reply.headers);
        let value = headers.and_then(|headers| headers.get(name));
        value
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
            .to_owned()
    };
    Outcome {
        id: ask.id.clone(),
        kind: ask.kind,
        due: ask.due,
        latency_us,
        status: reply.as_ref().map_or(0, |reply| reply.status.as_u16()),
        execution_status: text("catkinhitch-outcome"),
        failure: reply.as_ref().err().copied(),
        is_own: reply.as_ref().is_ok_and(|reply| is_own(ask, &reply.body)),
    }
}

/// The stand-in's answer begins with the id, ends with a mark and is as long as asked.
fn is_own(ask: &Ask, body: &[u8]) -> bool {
    let begins = body.starts_with(format!("{} ", ask.id).as_bytes());
    let ends = body.ends_with(b"end\n");
    begins && ends && body.len() + ask.id.len() + 6 >= ask.answer_bytes
}

/// Returns the histogram of the time that the system added to good answers, in microseconds.
///
/// A caller that talked to the first server itself would have waited for that server's planned time, so this
/// is what the latency is held against, also where a hedge won.
pub(crate) fn added(outcomes: &[Outcome], world: &World) -> Histogram<u64> {
    let mut planned: HashMap<String, Executions> = HashMap::new();
    for (id, runs) in world
        .servers
        .iter()
        .flat_map(|server| server.backend.executions())
    {
        let kept = planned.entry(id).or_insert(runs);
        if runs.first_started_at < kept.first_started_at {
            *kept = runs;
        }
    }
    let good = outcomes.iter().filter(|outcome| outcome.is_good());
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
