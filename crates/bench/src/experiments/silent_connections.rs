//! Checks that connections that stop carrying data without being closed fail no idempotent request and eject no server.

use {
    crate::{
        balancer::Balancer,
        cluster::Cluster,
        experiments::RunOptions,
        figures::{Bound, Figures},
        load::{self, LoadProfile, RequestClass, RequestOutcome},
        topology::Topology,
    },
    std::{io, time::Duration},
    tokio::time::sleep,
};

/// Requests a second, over all services.
const RATE_PER_S: f64 = 300.0;
/// Duration of the load, in milliseconds.
const LOAD_MS: u64 = 16_000;
/// Interval at which open connections are silenced, in milliseconds.
const SILENCE_INTERVAL_MS: u64 = 3_000;

pub(crate) async fn run(options: RunOptions, figures: &mut Figures) -> io::Result<()> {
    let cluster = Cluster::start(Topology::three_data_centres(options.instances)).await?;
    let load = LoadProfile::new(&cluster, "silent", options.seed)
        .with_rate(RATE_PER_S, Duration::from_millis(LOAD_MS))
        .with_classes(&[
            RequestClass::Idempotent,
            RequestClass::Idempotent,
            RequestClass::Idempotent,
            RequestClass::Unkeyed,
        ]);
    let balancer = Balancer::new(&cluster);
    let load_task = tokio::spawn(load::run_load(load, balancer, cluster.client.clone()));
    silence_alternately(&cluster).await;
    let outcomes = load_task.await.map_err(io::Error::other)?;
    report(&cluster, &outcomes, figures);
    Ok(())
}

fn report(cluster: &Cluster, outcomes: &[RequestOutcome], figures: &mut Figures) {
    let idempotent = || {
        outcomes
            .iter()
            .filter(|outcome| outcome.class == RequestClass::Idempotent)
    };
    let failed = idempotent().filter(|outcome| !outcome.is_success()).count() as f64;
    figures.record(
        "idempotent requests not answered",
        failed,
        "1",
        Bound::AtMost(0.0),
    );
    let unkeyed = outcomes
        .iter()
        .filter(|outcome| outcome.class == RequestClass::Unkeyed);
    let unknown = unkeyed
        .filter(|outcome| outcome.execution_status == "unknown")
        .count() as f64;
    figures.record(
        "requests to run once of unknown outcome",
        unknown,
        "1",
        Bound::None,
    );
    let placements = cluster.read_placements();
    let count_decisions = |standing| {
        placements
            .iter()
            .filter(move |placement| placement.standing == standing)
            .count()
    };
    figures.record(
        "servers ejected",
        count_decisions("ejected") as f64,
        "1",
        Bound::AtMost(0.0),
    );
    figures.record(
        "suspicions",
        count_decisions("suspect") as f64,
        "1",
        Bound::None,
    );
    let latency = load::histogram(idempotent().map(|outcome| outcome.latency_us));
    let worst_ms = latency.max() as f64 / 1_000.0;
    figures.record(
        "worst latency of an idempotent request",
        worst_ms,
        "ms",
        Bound::None,
    );
    figures.record(
        "idempotent requests",
        idempotent().count() as f64,
        "1",
        Bound::AtLeast(1.0),
    );
}

/// Silences the open connections to backend servers and those between instances alternately.
async fn silence_alternately(cluster: &Cluster) {
    for round in 0..LOAD_MS / SILENCE_INTERVAL_MS - 1 {
        sleep(Duration::from_millis(SILENCE_INTERVAL_MS)).await;
        let servers = cluster
            .servers
            .iter()
            .filter_map(|server| server.proxy.as_ref());
        let peers = cluster
            .instances
            .iter()
            .filter_map(|instance| instance.rpc_proxy.as_ref());
        if round.is_multiple_of(2) {
            servers.for_each(standin::FaultProxy::silence_open_connections);
        } else {
            peers.for_each(standin::FaultProxy::silence_open_connections);
        }
    }
}
