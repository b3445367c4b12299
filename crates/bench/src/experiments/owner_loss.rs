//! A pool's owner that is frozen or killed in mid-load costs no answer and little time for others.

use {
    crate::{
        balancer::Balancer,
        cluster::Cluster,
        experiments::RunOptions,
        figures::{Bound, Figures},
        load::{self, LoadProfile, RequestOutcome},
        topology::Topology,
    },
    std::{
        io,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Requests a second.
const RATE_PER_S: f64 = 200.0;
/// Time under load, in milliseconds.
const LOAD_MS: u64 = 14_000;
/// When the owner is frozen, in milliseconds.
const FREEZE_MS: u64 = 3_000;
/// How long it is frozen, in milliseconds.
const FROZEN_MS: u64 = 3_000;
/// Time under observation after each loss, in milliseconds.
const WINDOW_MS: u64 = 3_000;
/// Bound on the time added to requests of others, in milliseconds (issue 4).
const ADDED_MS: f64 = 100.0;

pub(crate) async fn run(options: RunOptions, figures: &mut Figures) -> io::Result<()> {
    let mut cluster = Cluster::start(Topology::single_data_centre(options.instances)).await?;
    let balancer = Balancer::new(&cluster);
    let load = LoadProfile::new(&cluster, "owner", options.seed)
        .with_rate(RATE_PER_S, Duration::from_millis(LOAD_MS));
    let owner = find_owner(&cluster);
    // Callers are sent to the other instances: what is lost with an instance's own callers is not the
    // owner's doing.
    balancer.remove_target(cluster.instances[owner].process.caller_address);
    let loading = tokio::spawn(load::run_load(load, balancer, cluster.client.clone()));
    sleep(Duration::from_millis(FREEZE_MS)).await;
    let frozen = Instant::now();
    cluster.instances[owner].process.suspend();
    sleep(Duration::from_millis(FROZEN_MS)).await;
    cluster.instances[owner].process.resume();
    sleep(Duration::from_millis(WINDOW_MS)).await;
    let killed = Instant::now();
    cluster.instances[owner].process.kill();
    let outcomes = loading.await.map_err(io::Error::other)?;
    report("frozen", &cluster, &outcomes, frozen, figures);
    report("killed", &cluster, &outcomes, killed, figures);
    let bad = outcomes
        .iter()
        .filter(|outcome| !outcome.is_success())
        .count() as f64;
    figures.record(
        "requests without a good answer",
        bad,
        "1",
        Bound::AtMost(0.0),
    );
    Ok(())
}

/// The owner is the first live instance in rendezvous order.
fn find_owner(cluster: &Cluster) -> usize {
    let instances = cluster.instances.iter().map(|instance| {
        let config = &instance.process.config;
        member::Instance::new(
            &config.name,
            &config.data_centre,
            instance.process.rpc_address,
        )
    });
    let view = member::View::new(1, instances.collect(), Vec::new());
    let service = &cluster.topology.services[0].name;
    let order = member::queries::owner_order(&view, service, "dc0");
    let name = order.first().map_or("", |owner| owner.name.as_str());
    let position = cluster
        .instances
        .iter()
        .position(|one| one.process.config.name == name);
    position.unwrap_or(0)
}

fn report(
    name: &str,
    cluster: &Cluster,
    all: &[RequestOutcome],
    since: Instant,
    figures: &mut Figures,
) {
    let until = since + Duration::from_millis(WINDOW_MS);
    let within = all
        .iter()
        .filter(|outcome| outcome.scheduled_at >= since && outcome.scheduled_at < until);
    let within: Vec<RequestOutcome> = within.cloned().collect();
    let added = load::added_latency(&within, cluster);
    let milliseconds = |quantile| added.value_at_quantile(quantile) as f64 / 1_000.0;
    let label = |what: &str| format!("owner {name}: {what}");
    figures.record(
        &label("added p99"),
        milliseconds(0.99),
        "ms",
        Bound::AtMost(ADDED_MS),
    );
    figures.record(
        &label("added at most"),
        milliseconds(1.0),
        "ms",
        Bound::None,
    );
    figures.record(
        &label("requests"),
        within.len() as f64,
        "1",
        Bound::AtLeast(1.0),
    );
}
