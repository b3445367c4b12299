//! Checks that suspending or killing a pool's owner under load fails no request at other instances and adds little
//! latency.

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
/// Duration of the load, in milliseconds.
const LOAD_MS: u64 = 14_000;
/// Time after the start of the load at which the owner is suspended, in milliseconds.
const SUSPEND_AT_MS: u64 = 3_000;
/// Duration of the suspension, in milliseconds.
const SUSPENDED_MS: u64 = 3_000;
/// Time after each loss of the owner in which requests are measured, in milliseconds.
const WINDOW_MS: u64 = 3_000;
/// Bound on the 99th percentile of the latency added to requests at other instances, in milliseconds (issue 4).
const ADDED_P99_MS: f64 = 100.0;

pub(crate) async fn run(options: RunOptions, figures: &mut Figures) -> io::Result<()> {
    let mut cluster = Cluster::start(Topology::single_data_centre(options.instances)).await?;
    let balancer = Balancer::new(&cluster);
    let load = LoadProfile::new(&cluster, "owner", options.seed)
        .with_rate(RATE_PER_S, Duration::from_millis(LOAD_MS));
    let owner = find_owner(&cluster);
    // Callers use only the other instances: requests that fail because their own instance is lost would not show the
    // effect of losing an owner.
    balancer.remove_target(cluster.instances[owner].process.caller_address);
    let load_task = tokio::spawn(load::run_load(load, balancer, cluster.client.clone()));
    sleep(Duration::from_millis(SUSPEND_AT_MS)).await;
    let suspended_at = Instant::now();
    cluster.instances[owner].process.suspend();
    sleep(Duration::from_millis(SUSPENDED_MS)).await;
    cluster.instances[owner].process.resume();
    sleep(Duration::from_millis(WINDOW_MS)).await;
    let killed_at = Instant::now();
    cluster.instances[owner].process.kill();
    let outcomes = load_task.await.map_err(io::Error::other)?;
    report("frozen", &cluster, &outcomes, suspended_at, figures);
    report("killed", &cluster, &outcomes, killed_at, figures);
    let failed = outcomes
        .iter()
        .filter(|outcome| !outcome.is_success())
        .count() as f64;
    figures.record(
        "requests without a good answer",
        failed,
        "1",
        Bound::AtMost(0.0),
    );
    Ok(())
}

/// Returns the index of the pool's owner, which is the first live instance in rendezvous order.
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
        .position(|instance| instance.process.config.name == name);
    position.unwrap_or(0)
}

fn report(
    loss: &str,
    cluster: &Cluster,
    outcomes: &[RequestOutcome],
    since: Instant,
    figures: &mut Figures,
) {
    let until = since + Duration::from_millis(WINDOW_MS);
    let in_window = outcomes
        .iter()
        .filter(|outcome| outcome.scheduled_at >= since && outcome.scheduled_at < until);
    let in_window: Vec<RequestOutcome> = in_window.cloned().collect();
    let added = load::added_latency(&in_window, cluster);
    let milliseconds = |quantile| added.value_at_quantile(quantile) as f64 / 1_000.0;
    let label = |figure: &str| format!("owner {loss}: {figure}");
    figures.record(
        &label("added p99"),
        milliseconds(0.99),
        "ms",
        Bound::AtMost(ADDED_P99_MS),
    );
    figures.record(
        &label("added at most"),
        milliseconds(1.0),
        "ms",
        Bound::None,
    );
    figures.record(
        &label("requests"),
        in_window.len() as f64,
        "1",
        Bound::AtLeast(1.0),
    );
}
