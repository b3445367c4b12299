//! Callers that keep their connections open and send reads and orders.

use {
    crate::world::{Outcome, World},
    bytes::Bytes,
    fastrand::Rng,
    http_body_util::{BodyExt, Full},
    hyper::{HeaderMap, Method, Request},
    hyper_util::{
        client::legacy::{connect::HttpConnector, Client},
        rt::TokioExecutor,
    },
    standin::{caller_headers, is_matching_response},
    std::{
        net::SocketAddr,
        sync::{
            atomic::{AtomicBool, Ordering},
            Arc,
        },
        time::{Duration, Instant},
    },
    tokio::{
        task::JoinHandle,
        time::{sleep, timeout},
    },
};

/// Callers of each instance.
const CALLERS: usize = 4;
/// Longest pause between two requests of a caller, in milliseconds.
const PAUSE_MAX_MS: u64 = 80;
/// Deadline that callers give, in milliseconds.
const DEADLINE_MS: u64 = 1_500;
/// Time beyond the deadline for which a caller waits, in milliseconds.
const OVERTIME_MS: u64 = 1_500;

/// A client that keeps connections open.
pub(crate) type Keeping = Client<HttpConnector, Full<Bytes>>;

/// Starts all callers; each ends once `stop` is set.
pub(crate) fn call_all(
    world: &Arc<World>,
    mut rng: Rng,
    stop: &Arc<AtomicBool>,
) -> Vec<JoinHandle<()>> {
    let places = (0..world.instances.len()).flat_map(|i| (0..CALLERS).map(move |c| (i, c)));
    places
        .map(|(instance, caller)| {
            let (world, stop) = (Arc::clone(world), Arc::clone(stop));
            let rng = rng.fork();
            tokio::spawn(async move { call(&world, instance, caller, rng, &stop).await })
        })
        .collect()
}

async fn call(world: &World, instance: usize, caller: usize, mut rng: Rng, stop: &AtomicBool) {
    let client: Keeping = Client::builder(TokioExecutor::new()).build_http();
    let mut count = 0;
    while !stop.load(Ordering::SeqCst) {
        sleep(Duration::from_millis(rng.u64(0..PAUSE_MAX_MS))).await;
        count += 1;
        let is_order = rng.bool();
        let id = format!("q{instance}-{caller}-{count}");
        let outcome = send(&client, world, instance, &id, is_order).await;
        world.notes().outcomes.push(outcome);
    }
}

async fn send(
    client: &Keeping,
    world: &World,
    instance: usize,
    id: &str,
    is_order: bool,
) -> Outcome {
    let (method, path) = if is_order {
        (Method::POST, "/order/1")
    } else {
        (Method::GET, "/read/1")
    };
    let sent = Instant::now();
    let answer = ask(client, world.instances[instance].caller, method, path, id).await;
    let (status, is_own) = match answer {
        Some((status, headers, body)) => (
            Some(status),
            status != 200 || is_matching_response(&headers, &body, id),
        ),
        None => (None, true),
    };
    Outcome {
        id: id.to_owned(),
        is_order,
        instance,
        sent,
        ended: Instant::now(),
        status,
        is_own,
    }
}

/// Sends one request; nothing if its connection ended without a whole answer.
pub(crate) async fn ask(
    client: &Keeping,
    address: SocketAddr,
    method: Method,
    path: &str,
    id: &str,
) -> Option<(u16, HeaderMap, Bytes)> {
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"));
    for (name, value) in caller_headers(id, DEADLINE_MS) {
        request = request.header(name, value);
    }
    let request = request
        .body(Full::new(Bytes::from_static(b"marble")))
        .ok()?;
    let exchange = async {
        let answer = client.request(request).await.ok()?;
        let (head, body) = answer.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        Some((head.status.as_u16(), head.headers, body))
    };
    timeout(Duration::from_millis(DEADLINE_MS + OVERTIME_MS), exchange)
        .await
        .ok()?
}
