//! Checks that every response passed on as complete is complete and belongs to its request, and that large uploads are
//! streamed in constant memory.

use {
    crate::{
        balancer::Balancer,
        client,
        cluster::Cluster,
        experiments::RunOptions,
        figures::{Bound, Figures},
        load::{self, LoadProfile, RequestClass, RequestOutcome},
        topology::Topology,
    },
    bytes::Bytes,
    hyper::{HeaderMap, Method},
    standin::GrayFault,
    std::{fs, io, time::Duration},
};

/// Requests a second for each response size.
const RATE_PER_S: f64 = 100.0;
/// Duration of the load, in seconds.
const LOAD_S: u64 = 8;
/// Size of responses that are buffered until they are complete, in bytes.
const BUFFERED_BYTES: usize = 20_000;
/// Size of responses that are streamed, in bytes.
const STREAMED_BYTES: usize = 2_000_000;
/// Size of the uploaded body, in bytes.
const UPLOAD_BYTES: usize = 100 << 20;
/// Bound on an instance's peak memory during the upload, in megabytes (users' letter).
const MEMORY_MAX_MB: f64 = 128.0;

pub(crate) async fn run(options: RunOptions, figures: &mut Figures) -> io::Result<()> {
    let cluster = Cluster::start(Topology::four_data_centres(options.instances)).await?;
    let faults = [
        GrayFault::Cut,
        GrayFault::Mixed,
        GrayFault::Unmeasured,
        GrayFault::Slow,
    ];
    let mut rng = fastrand::Rng::with_seed(options.seed);
    for (service, fault) in cluster.service_names().iter().zip(faults) {
        let mut servers: Vec<_> = cluster
            .servers
            .iter()
            .filter(|server| server.service == *service)
            .collect();
        rng.shuffle(&mut servers);
        for server in servers.iter().take(2) {
            server.backend.update_knobs(|knobs| knobs.gray = fault);
        }
    }
    let balancer = Balancer::new(&cluster);
    let offer = |name: &str, response_bytes, seed| {
        let load = LoadProfile::new(&cluster, name, seed)
            .with_rate(RATE_PER_S, Duration::from_secs(LOAD_S))
            .with_classes(&[
                RequestClass::Idempotent,
                RequestClass::Idempotent,
                RequestClass::Unkeyed,
            ])
            .with_response_bytes(response_bytes);
        load::run_load(load, balancer.clone(), cluster.client.clone())
    };
    let (buffered, streamed) = tokio::join!(
        offer("held", BUFFERED_BYTES, options.seed),
        offer("streamed", STREAMED_BYTES, options.seed + 1),
    );
    report("held", &buffered, figures);
    report("streamed", &streamed, figures);
    upload(&cluster, figures).await
}

fn report(name: &str, outcomes: &[RequestOutcome], figures: &mut Figures) {
    let is_complete = |outcome: &&RequestOutcome| outcome.error.is_none() && outcome.status == 200;
    let wrong = outcomes
        .iter()
        .filter(is_complete)
        .filter(|outcome| !outcome.is_own_response)
        .count();
    let label = |figure: &str| format!("{name}: {figure}");
    figures.record(
        &label("wrong, mixed or short answers given as whole"),
        wrong as f64,
        "1",
        Bound::AtMost(0.0),
    );
    let count = outcomes.len() as f64;
    let succeeded = outcomes
        .iter()
        .filter(|outcome| outcome.is_success())
        .count() as f64;
    figures.record(
        &label("good answers"),
        100.0 * succeeded / count,
        "%",
        Bound::AtLeast(1.0),
    );
    let aborted = outcomes
        .iter()
        .filter(|outcome| outcome.error.is_some())
        .count() as f64;
    figures.record(
        &label("aborted on the way"),
        100.0 * aborted / count,
        "%",
        Bound::None,
    );
}

async fn upload(cluster: &Cluster, figures: &mut Figures) -> io::Result<()> {
    for server in &cluster.servers {
        server
            .backend
            .update_knobs(|knobs| knobs.gray = GrayFault::None);
    }
    let process = &cluster.instances[0].process;
    let path = format!("/{}/photo", cluster.topology.services[0].name);
    let body = Bytes::from(vec![7; UPLOAD_BYTES]);
    let mut headers = HeaderMap::new();
    headers.insert(
        "x-bench-id",
        hyper::header::HeaderValue::from_static("photo"),
    );
    let address = process.caller_address;
    let response = client::send_request(
        &cluster.client,
        address,
        Method::POST,
        &path,
        &headers,
        body,
    )
    .await;
    let response_body = response.map_or_else(|_| Bytes::new(), |response| response.body);
    let is_complete =
        String::from_utf8_lossy(&response_body).contains(&format!(" {UPLOAD_BYTES}\n"));
    figures.record(
        "100 MB upload arrived whole",
        f64::from(u8::from(is_complete)),
        "1",
        Bound::AtLeast(1.0),
    );
    let peak_mb = peak_memory_mb(process.id())?;
    figures.record(
        "peak memory of its instance",
        peak_mb,
        "MB",
        Bound::AtMost(MEMORY_MAX_MB),
    );
    Ok(())
}

fn peak_memory_mb(process_id: u32) -> io::Result<f64> {
    let status = fs::read_to_string(format!("/proc/{process_id}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kilobytes = line.and_then(|line| line.trim().strip_suffix(" kB")?.trim().parse().ok());
    Ok(kilobytes.unwrap_or(f64::NAN) / 1_024.0)
}
