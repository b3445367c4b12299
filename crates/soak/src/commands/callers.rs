//! Callers that send reads and orders over keep-alive connections.

use {
    crate::cluster::{Cluster, RequestOutcome},
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

/// Callers per instance.
const CALLERS_PER_INSTANCE: usize = 4;
/// Upper bound of the pause between two requests of a caller, in milliseconds.
const PAUSE_MAX_MS: u64 = 80;
/// Deadline of the requests, in milliseconds.
const DEADLINE_MS: u64 = 1_500;
/// Time after the deadline for which a caller still waits, in milliseconds.
const EXTRA_WAIT_MS: u64 = 1_500;

/// HTTP client with a connection pool.
pub(crate) type KeepAliveClient = Client<HttpConnector, Full<Bytes>>;

/// Starts all callers; each returns once `stop` is set.
pub(crate) fn spawn_callers(
    cluster: &Arc<Cluster>,
    mut rng: Rng,
    stop: &Arc<AtomicBool>,
) -> Vec<JoinHandle<()>> {
    let callers = (0..cluster.instances.len())
        .flat_map(|instance| (0..CALLERS_PER_INSTANCE).map(move |caller| (instance, caller)));
    callers
        .map(|(instance, caller)| {
            let (cluster, stop) = (Arc::clone(cluster), Arc::clone(stop));
            let rng = rng.fork();
            tokio::spawn(async move { run_caller(&cluster, instance, caller, rng, &stop).await })
        })
        .collect()
}

async fn run_caller(
    cluster: &Cluster,
    instance: usize,
    caller: usize,
    mut rng: Rng,
    stop: &AtomicBool,
) {
    let client: KeepAliveClient = Client::builder(TokioExecutor::new()).build_http();
    let mut count = 0;
    while !stop.load(Ordering::SeqCst) {
        sleep(Duration::from_millis(rng.u64(0..PAUSE_MAX_MS))).await;
        count += 1;
        let is_order = rng.bool();
        let id = format!("q{instance}-{caller}-{count}");
        let outcome = send_and_observe(&client, cluster, instance, &id, is_order).await;
        cluster.observations().outcomes.push(outcome);
    }
}

/// Sends a read or an order and returns its outcome.
async fn send_and_observe(
    client: &KeepAliveClient,
    cluster: &Cluster,
    instance: usize,
    id: &str,
    is_order: bool,
) -> RequestOutcome {
    let (method, path) = if is_order {
        (Method::POST, "/order/1")
    } else {
        (Method::GET, "/read/1")
    };
    let sent_at = Instant::now();
    let response = send_request(
        client,
        cluster.instances[instance].caller_address,
        method,
        path,
        id,
    )
    .await;
    let (status, server, is_own_response) = match response {
        Some((status, headers, body)) => (
            Some(status),
            server_name(&headers),
            status != 200 || is_matching_response(&headers, &body, id),
        ),
        None => (None, None, true),
    };
    RequestOutcome {
        id: id.to_owned(),
        is_order,
        instance,
        sent_at,
        ended_at: Instant::now(),
        status,
        server,
        is_own_response,
    }
}

fn server_name(headers: &HeaderMap) -> Option<String> {
    Some(headers.get("backend-id")?.to_str().ok()?.to_owned())
}

/// Sends one request; `None` if there is no complete response in time.
pub(crate) async fn send_request(
    client: &KeepAliveClient,
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
        let response = client.request(request).await.ok()?;
        let (head, body) = response.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        Some((head.status.as_u16(), head.headers, body))
    };
    timeout(Duration::from_millis(DEADLINE_MS + EXTRA_WAIT_MS), exchange)
        .await
        .ok()?
}
