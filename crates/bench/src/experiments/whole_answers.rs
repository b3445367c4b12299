//! Every answer given as whole is whole and the request's own; long uploads stream in constant memory.

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

/// Requests a second of each size of answer.
const RATE_PER_S: f64 = 100.0;
/// Time under load, in seconds.
const LOAD_S: u64 = 8;
/// Size of answers that are held until whole, in bytes.
const HELD_BYTES: usize = 20_000;
/// Size of answers that are streamed, in bytes.
const STREAMED_BYTES: usize = 2_000_000;
/// Size of the upload, in bytes.
const UPLOAD_BYTES: usize = 100 << 20;
/// Bound on an instance's memory during the upload: the letter's 128 MB.
const MEMORY_MB: f64 = 128.0;

pub(crate) async fn run(options: RunOptions, figures: &mut Figures) -> io::Result<()> {
    let cluster = Cluster::start(Topology::four_data_centres(options.instances)).await?;
    let modes = [
        GrayFault::Cut,
        GrayFault::Mixed,
        GrayFault::Unmeasured,
        GrayFault::Slow,
    ];
    let mut rng = fastrand::Rng::with_seed(options.seed);
    for (service, gray) in cluster.service_names().iter().zip(modes) {
        let mut servers: Vec<_> = cluster
            .servers
            .iter()
            .filter(|server| server.service == *service)
            .collect();
        rng.shuffle(&mut servers);
        for server in servers.iter().take(2) {
            server.backend.update_knobs(|knobs| knobs.gray = gray);
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
    let (held, streamed) = tokio::join!(
        offer("held", HELD_BYTES, options.seed),
        offer("streamed", STREAMED_BYTES, options.seed + 1),
    );
    report("held", &held, figures);
    report("streamed", &streamed, figures);
    upload(&cluster, figures).await
}

fn report(name: &str, outcomes: &[RequestOutcome], figures: &mut Figures) {
    let whole = |outcome: &&RequestOutcome| outcome.error.is_none() && outcome.status == 200;
    let wrong = outcomes
        .iter()
        .filter(whole)
        .filter(|outcome| !outcome.is_own_response)
        .count();
    let label = |what: &str| format!("{name}: {what}");
    figures.record(
        &label("wrong, mixed or short answers given as whole"),
        wrong as f64,
        "1",
        Bound::AtMost(0.0),
    );
    let count = outcomes.len() as f64;
    let good = outcomes
        .iter()
        .filter(|outcome| outcome.is_success())
        .count() as f64;
    figures.record(
        &label("good answers"),
        100.0 * good / count,
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
    let reply = client::send_request(
        &cluster.client,
        address,
        Method::POST,
        &path,
        &headers,
        body,
    )
    .await;
    let text = reply.map_or_else(|_| Bytes::new(), |reply| reply.body);
    let whole = String::from_utf8_lossy(&text).contains(&format!(" {UPLOAD_BYTES}\n"));
    figures.record(
        "100 MB upload arrived whole",
        f64::from(u8::from(whole)),
        "1",
        Bound::AtLeast(1.0),
    );
    let peak_mb = peak_memory_mb(process.id())?;
    figures.record(
        "peak memory of its instance",
        peak_mb,
        "MB",
        Bound::AtMost(MEMORY_MB),
    );
    Ok(())
}

fn peak_memory_mb(process: u32) -> io::Result<f64> {
    let status = fs::read_to_string(format!("/proc/{process}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kilobytes = line.and_then(|line| line.trim().strip_suffix(" kB")?.trim().parse().ok());
    Ok(kilobytes.unwrap_or(f64::NAN) / 1_024.0)
}
