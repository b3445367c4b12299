//! Checks that healthy backend servers are not ejected because of random errors, a period in which all servers are
//! slow, false load reports or cold starts.

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

/// Utilisation of all slots, in percent.
const UTILISATION_PERCENT: f64 = 40.0;
/// Duration of the load, in milliseconds.
const LOAD_MS: u64 = 16_000;
/// Share of requests that fail at healthy servers, in thousandths.
const BACKGROUND_ERRORS_PERMILLE: u32 = 10;
/// Duration of the period in which all servers are slow, in milliseconds.
const SLOW_MS: u64 = 2_000;
/// Factor by which the service time grows in that period.
const SLOW_FACTOR: u64 = 5;
/// Number of requests after a server's start that take three times as long.
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
        service.backend_knobs.background_errors_permille = BACKGROUND_ERRORS_PERMILLE;
        service.backend_knobs.cold_requests = COLD_REQUESTS;
    }
    let cluster = Cluster::start(topology).await?;
    let mut rng = fastrand::Rng::with_seed(seed);
    for server in &cluster.servers {
        let reports_false_load = rng.bool();
        server
            .backend
            .update_knobs(|knobs| knobs.reports_false_load = reports_false_load);
    }
    let load = LoadProfile::new(&cluster, name, seed).with_rate(
        cluster.capacity_per_s() * UTILISATION_PERCENT / 100.0,
        Duration::from_millis(LOAD_MS),
    );
    let balancer = Balancer::new(&cluster);
    let load_task = tokio::spawn(load::run_load(load, balancer, cluster.client.clone()));
    sleep(Duration::from_millis(LOAD_MS / 2)).await;
    scale_service_time(&cluster, SLOW_FACTOR, 1);
    sleep(Duration::from_millis(SLOW_MS)).await;
    scale_service_time(&cluster, 1, SLOW_FACTOR);
    let outcomes = load_task.await.map_err(io::Error::other)?;
    let label = |figure: &str| format!("{name}: {figure}");
    figures.record(
        &label("healthy servers ejected"),
        count_proposed_ejections(&cluster) as f64,
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
    let succeeded = outcomes
        .iter()
        .filter(|outcome| outcome.is_success())
        .count() as f64;
    figures.record(
        &label("good answers"),
        100.0 * succeeded / outcomes.len() as f64,
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

/// Counts all proposed ejections, whether accepted or not; this is stricter than counting the accepted ones.
fn count_proposed_ejections(cluster: &Cluster) -> usize {
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
