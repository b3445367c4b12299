//! Connections that go silent for good cost no answer and no server.

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
/// Time under load, in milliseconds.
const LOAD_MS: u64 = 16_000;
/// Time between the silences, in milliseconds.
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
    let loading = tokio::spawn(load::run_load(load, balancer, cluster.client.clone()));
    silence_in_turns(&cluster).await;
    let outcomes = loading.await.map_err(io::Error::other)?;
    judge(&cluster, &outcomes, figures);
    Ok(())
}

fn judge(cluster: &Cluster, outcomes: &[RequestOutcome], figures: &mut Figures) {
    let reads = || {
        outcomes
            .iter()
            .filter(|outcome| outcome.class == RequestClass::Idempotent)
    };
    let unanswered = reads().filter(|outcome| !outcome.is_success()).count() as f64;
    figures.record(
        "idempotent requests not answered",
        unanswered,
        "1",
        Bound::AtMost(0.0),
    );
    let once = outcomes
        .iter()
        .filter(|outcome| outcome.class == RequestClass::Unkeyed);
    let unknown = once
        .filter(|outcome| outcome.execution_status == "unknown")
        .count() as f64;
    figures.record(
        "requests to run once of unknown outcome",
        unknown,
        "1",
        Bound::None,
    );
    let placements = cluster.read_placements();
    let of = |standing| {
        placements
            .iter()
            .filter(move |one| one.standing == standing)
            .count()
    };
    figures.record(
        "servers ejected",
        of("ejected") as f64,
        "1",
        Bound::AtMost(0.0),
    );
    figures.record("suspicions", of("suspect") as f64, "1", Bound::None);
    let latency = load::histogram(reads().map(|outcome| outcome.latency_us));
    let worst_ms = latency.max() as f64 / 1_000.0;
    figures.record(
        "worst latency of an idempotent request",
        worst_ms,
        "ms",
        Bound::None,
    );
    figures.record(
        "idempotent requests",
        reads().count() as f64,
        "1",
        Bound::AtLeast(1.0),
    );
}

/// Connections to backend servers and those between instances take turns in going silent.
async fn silence_in_turns(cluster: &Cluster) {
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
