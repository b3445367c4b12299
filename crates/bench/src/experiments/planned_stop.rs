//! Checks that a rolling replacement of all instances under load interrupts no request.

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
/// Mean service time, long enough that every instance has requests in flight when it stops, in microseconds.
const SERVICE_US: u64 = 200_000;
/// Number of instances that are replaced at the same time.
const BATCH_SIZE: usize = 4;
/// Timeout for a batch of instances to stop, in milliseconds.
const STOP_TIMEOUT_MS: u64 = 10_000;
/// Wait after the last replacement, while the load goes on, in milliseconds.
const SETTLE_MS: u64 = 1_000;
/// Interval between checks whether the processes have exited, in milliseconds.
const POLL_INTERVAL_MS: u64 = 50;
/// Upper limit of the duration of the load, in seconds.
const LOAD_MAX_S: u64 = 45;

pub(crate) async fn run(options: RunOptions, figures: &mut Figures) -> io::Result<()> {
    let mut topology = Topology::three_data_centres(options.instances);
    for service in &mut topology.services {
        service.backend_knobs.service_us = SERVICE_US;
    }
    let mut cluster = Cluster::start(topology).await?;
    let balancer = Balancer::new(&cluster);
    tokio::spawn(balancer.clone().poll_readiness(cluster.client.clone()));
    let batches = options.instances.div_ceil(BATCH_SIZE) as u64;
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
    let load_task = tokio::spawn(load::run_load(
        load,
        balancer.clone(),
        cluster.client.clone(),
    ));
    let mut longest_stop_s: f64 = 0.0;
    let mut replaced = 0;
    while replaced < options.instances && !load_task.is_finished() {
        let batch: Vec<usize> = (replaced..options.instances.min(replaced + BATCH_SIZE)).collect();
        longest_stop_s = longest_stop_s.max(replace_batch(&mut cluster, &balancer, &batch).await?);
        replaced += batch.len();
    }
    sleep(Duration::from_millis(SETTLE_MS)).await;
    let outcomes = load_task.await.map_err(io::Error::other)?;
    report(&outcomes, figures);
    let instances = options.instances as f64;
    figures.record(
        "instances replaced",
        replaced as f64,
        "1",
        Bound::AtLeast(instances),
    );
    figures.record("longest stop", longest_stop_s, "s", Bound::None);
    Ok(())
}

/// Stops a batch of instances gracefully, waits until they have exited and replaces them by new processes. Returns the
/// time until all had stopped, in seconds.
async fn replace_batch(
    cluster: &mut Cluster,
    balancer: &Balancer,
    batch: &[usize],
) -> io::Result<f64> {
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
            return Err(io::Error::other("an instance did not stop in time"));
        }
        sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
    let stop_s = start.elapsed().as_secs_f64();
    for &index in batch {
        cluster.replace_instance(index).await?;
    }
    balancer.update_targets(cluster);
    Ok(stop_s)
}

fn report(outcomes: &[RequestOutcome], figures: &mut Figures) {
    let interrupted = outcomes
        .iter()
        .filter(|outcome| outcome.error.is_some())
        .count() as f64;
    figures.record("requests cut", interrupted, "1", Bound::AtMost(0.0));
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
    let rejected = outcomes
        .iter()
        .filter(|outcome| outcome.execution_status == "not-run")
        .count() as f64;
    figures.record("requests refused as not run", rejected, "1", Bound::None);
    figures.record("requests", outcomes.len() as f64, "1", Bound::AtLeast(1.0));
}
