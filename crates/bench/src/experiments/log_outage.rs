//! Checks that while the log is unavailable, idempotent requests are served and keyed requests are rejected as not run.

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
/// Duration of the load, in seconds.
const LOAD_S: u64 = 12;
/// Interval between replacements of an instance, in milliseconds.
const REPLACE_INTERVAL_MS: u64 = 2_000;
/// Share of idempotent requests that must succeed, in percent; the rest allows for requests at killed instances.
const SUCCESS_PERCENT: f64 = 99.0;

pub(crate) async fn run(options: RunOptions, figures: &mut Figures) -> io::Result<()> {
    let mut cluster = Cluster::start(Topology::three_data_centres(options.instances)).await?;
    cluster.platform.update_knobs(|knobs| knobs.away = true);
    let balancer = Balancer::new(&cluster);
    tokio::spawn(balancer.clone().poll_readiness(cluster.client.clone()));
    let load = LoadProfile::new(&cluster, "outage", options.seed)
        .with_rate(RATE_PER_S, Duration::from_secs(LOAD_S))
        .with_classes(&[
            RequestClass::Idempotent,
            RequestClass::Idempotent,
            RequestClass::Keyed,
        ]);
    let load_task = tokio::spawn(load::run_load(
        load,
        balancer.clone(),
        cluster.client.clone(),
    ));
    let mut rng = fastrand::Rng::with_seed(options.seed);
    let mut replaced = 0;
    while !load_task.is_finished() {
        let index = rng.usize(..cluster.instances.len());
        cluster.instances[index].process.kill();
        cluster.replace_instance(index).await?;
        balancer.update_targets(&cluster);
        replaced += 1;
        sleep(Duration::from_millis(REPLACE_INTERVAL_MS)).await;
    }
    let outcomes = load_task.await.map_err(io::Error::other)?;
    let all_configured = cluster.wait_until_ready(1).await.is_ok();
    report(&cluster, &outcomes, figures);
    figures.record(
        "instances replaced",
        f64::from(replaced),
        "1",
        Bound::AtLeast(1.0),
    );
    let all_configured = f64::from(u8::from(all_configured));
    figures.record(
        "all instances learnt the version in force",
        all_configured,
        "1",
        Bound::AtLeast(1.0),
    );
    Ok(())
}

fn report(cluster: &Cluster, outcomes: &[RequestOutcome], figures: &mut Figures) {
    let of_class = |class| {
        outcomes
            .iter()
            .filter(move |outcome| outcome.class == class)
    };
    let idempotent = of_class(RequestClass::Idempotent).count() as f64;
    let succeeded = of_class(RequestClass::Idempotent)
        .filter(|outcome| outcome.is_success())
        .count() as f64;
    figures.record(
        "idempotent requests answered",
        100.0 * succeeded / idempotent,
        "%",
        Bound::AtLeast(SUCCESS_PERCENT),
    );
    let counts = cluster.execution_counts();
    let executed = of_class(RequestClass::Keyed)
        .filter(|outcome| counts.contains_key(&outcome.id))
        .count();
    figures.record(
        "keyed requests that ran",
        executed as f64,
        "1",
        Bound::AtMost(0.0),
    );
    let with_response = of_class(RequestClass::Keyed).filter(|outcome| outcome.error.is_none());
    let not_rejected = with_response
        .filter(|outcome| outcome.execution_status != "not-run")
        .count();
    figures.record(
        "keyed requests not told not-run",
        not_rejected as f64,
        "1",
        Bound::AtMost(0.0),
    );
}
