//! Healthy backend servers stay in service through noise, a slow moment of all, lying load endpoints and
//! cold starts.

use {
    crate::{
        balancer::Balancer,
        cluster::Cluster,
        experiments::RunOptions,
        figures::{Bound, Figures},
        load::{self, LoadProfile},
        topology::Topology,
    },
    std::{io, time::Duration},
    tokio::time::sleep,
    wire::{
        from_json,
        generated::{EjectionKind, EjectionRecord},
    },
};

/// Use of all slots, in percent.
const USE_PERCENT: f64 = 40.0;
/// Time under load, in milliseconds.
const LOAD_MS: u64 = 16_000;
/// Share of work that fails without a fault, in thousandths.
const NOISE_PERMILLE: u32 = 10;
/// Time for which all servers are slow, in milliseconds.
const SLOW_MS: u64 = 2_000;
/// Factor by which they are slow.
const SLOW_FACTOR: u64 = 5;
/// Requests that a cold server takes three times as long for.
const COLD_REQUESTS: u64 = 20;

pub(crate) async fn run(options: RunOptions, figures: &mut Figures) -> io::Result<()> {
    let careful = Topology::four_data_centres(options.instances);
    measure(
        "careful",
        careful,
        options.seed,
        figures,
        Bound::AtMost(0.0),
    )
    .await?;
    let fast = Topology::three_data_centres(options.instances);
    measure("fast", fast, options.seed, figures, Bound::None).await
}

async fn measure(
    name: &str,
    mut topology: Topology,
    seed: u64,
    figures: &mut Figures,
    bound: Bound,
) -> io::Result<()> {
    for service in &mut topology.services {
        service.backend_knobs.background_errors_permille = NOISE_PERMILLE;
        service.backend_knobs.cold_requests = COLD_REQUESTS;
    }
    let cluster = Cluster::start(topology).await?;
    let mut rng = fastrand::Rng::with_seed(seed);
    for server in &cluster.servers {
        let lies = rng.bool();
        server
            .backend
            .update_knobs(|knobs| knobs.reports_false_load = lies);
    }
    let load = LoadProfile::new(&cluster, name, seed).with_rate(
        cluster.capacity_per_s() * USE_PERCENT / 100.0,
        Duration::from_millis(LOAD_MS),
    );
    let balancer = Balancer::new(&cluster);
    let loading = tokio::spawn(load::run_load(load, balancer, cluster.client.clone()));
    sleep(Duration::from_millis(LOAD_MS / 2)).await;
    scale_service_time(&cluster, SLOW_FACTOR, 1);
    sleep(Duration::from_millis(SLOW_MS)).await;
    scale_service_time(&cluster, 1, SLOW_FACTOR);
    let outcomes = loading.await.map_err(io::Error::other)?;
    let label = |what: &str| format!("{name}: {what}");
    figures.record(
        &label("healthy servers ejected"),
        ejected(&cluster) as f64,
        "1",
        bound,
    );
    let placements = cluster.read_placements();
    let suspects = placements
        .iter()
        .filter(|placement| placement.standing == "suspect")
        .count();
    figures.record(
        &label("suspicions of healthy servers"),
        suspects as f64,
        "1",
        Bound::None,
    );
    let good = outcomes
        .iter()
        .filter(|outcome| outcome.is_success())
        .count() as f64;
    figures.record(
        &label("good answers"),
        100.0 * good / outcomes.len() as f64,
        "%",
        Bound::None,
    );
    Ok(())
}

fn scale_service_time(cluster: &Cluster, multiply: u64, divide: u64) {
    for server in &cluster.servers {
        server
            .backend
            .update_knobs(|knobs| knobs.service_us = knobs.service_us * multiply / divide);
    }
}

/// Counts the ejections that were proposed, accepted or not, which is the stricter count.
fn ejected(cluster: &Cluster) -> usize {
    let services = cluster.service_names();
    let records = services
        .iter()
        .flat_map(|service| cluster.platform.records(&format!("ejections-{service}")));
    records
        .filter(|record| {
            let parsed: Result<EjectionRecord, _> = from_json("ejection", record.body.as_bytes());
            parsed.is_ok_and(|parsed| parsed.kind == EjectionKind::Eject)
        })
        .count()
}
