//! A rolling replacement of all instances under load cuts off no request.

use {
    crate::{
        balancer::Balancer,
        cluster::Cluster,
        experiments::RunOptions,
        figures::{Bound, Figures},
        load::{self, LoadProfile, RequestClass, RequestOutcome},
        topology::Topology,
    },
    member::Presence,
    std::{
        io,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Requests a second, over all services.
const RATE_PER_S: f64 = 250.0;
/// Mean service time, long enough that every stop meets requests in flight, in microseconds.
const SERVICE_US: u64 = 200_000;
/// Instances replaced at a time.
const AT_A_TIME: usize = 4;
/// Longest time for one instance to stop, in milliseconds.
const STOP_TIMEOUT_MS: u64 = 10_000;
/// Load after the last replacement, in milliseconds.
const AFTER_MS: u64 = 1_000;
/// Pause between looks, in milliseconds.
const LOOK_MS: u64 = 50;
/// Longest time under load, in seconds.
const LOAD_MAX_S: u64 = 45;

pub(crate) async fn run(options: RunOptions, figures: &mut Figures) -> io::Result<()> {
    let mut topology = Topology::three_data_centres(options.instances);
    for service in &mut topology.services {
        service.backend_knobs.service_us = SERVICE_US;
    }
    let mut cluster = Cluster::start(topology).await?;
    let balancer = Balancer::new(&cluster);
    tokio::spawn(balancer.clone().poll_readiness(cluster.client.clone()));
    let batches = options.instances.div_ceil(AT_A_TIME) as u64;
    let load = LoadProfile::new(&cluster, "stop", options.seed)
        .with_rate(
            RATE_PER_S,
            Duration::from_secs((batches * 3 + 2).min(LOAD_MAX_S)),
        )
        .with_classes(&[
            RequestClass::Idempotent,
            RequestClass::Unkeyed,
            RequestClass::Keyed,
        ]);
    let loading = tokio::spawn(load::run_load(
        load,
        balancer.clone(),
        cluster.client.clone(),
    ));
    let mut worst_s: f64 = 0.0;
    let mut replaced = 0;
    while replaced < options.instances && !loading.is_finished() {
        let batch: Vec<usize> = (replaced..options.instances.min(replaced + AT_A_TIME)).collect();
        worst_s = worst_s.max(replace(&mut cluster, &balancer, &batch).await?);
        replaced += batch.len();
    }
    sleep(Duration::from_millis(AFTER_MS)).await;
    let outcomes = loading.await.map_err(io::Error::other)?;
    judge(&outcomes, figures);
    let all = options.instances as f64;
    figures.record(
        "instances replaced",
        replaced as f64,
        "1",
        Bound::AtLeast(all),
    );
    figures.record("longest stop", worst_s, "s", Bound::None);
    Ok(())
}

/// Stops a batch gracefully, waits for its end, and puts new processes in its place.
async fn replace(cluster: &mut Cluster, balancer: &Balancer, batch: &[usize]) -> io::Result<f64> {
    let start = Instant::now();
    for &index in batch {
        cluster.instances[index].presence = Presence::Leaving;
        cluster.instances[index].process.terminate();
    }
    cluster.publish_membership();
    let limit = Duration::from_millis(STOP_TIMEOUT_MS);
    while !batch
        .iter()
        .all(|&index| cluster.instances[index].process.has_exited())
    {
        if start.elapsed() > limit {
            return Err(io::Error::other("an instance did not stop"));
        }
        sleep(Duration::from_millis(LOOK_MS)).await;
    }
    let seconds = start.elapsed().as_secs_f64();
    for &index in batch {
        cluster.replace_instance(index).await?;
    }
    balancer.update_targets(cluster);
    Ok(seconds)
}

fn judge(outcomes: &[RequestOutcome], figures: &mut Figures) {
    let cut = outcomes
        .iter()
        .filter(|outcome| outcome.error.is_some())
        .count() as f64;
    figures.record("requests cut", cut, "1", Bound::AtMost(0.0));
    let unknown = outcomes
        .iter()
        .filter(|outcome| outcome.execution_status == "unknown")
        .count() as f64;
    figures.record(
        "requests of unknown outcome",
        unknown,
        "1",
        Bound::AtMost(0.0),
    );
    let refused = outcomes
        .iter()
        .filter(|outcome| outcome.execution_status == "not-run")
        .count() as f64;
    figures.record("requests refused as not run", refused, "1", Bound::None);
    figures.record("requests", outcomes.len() as f64, "1", Bound::AtLeast(1.0));
}
