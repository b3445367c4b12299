//! Checks that under twice the capacity goodput stays close to the capacity and that rejected requests were not
//! executed.

use {
    crate::{
        balancer::Balancer,
        cluster::Cluster,
        experiments::RunOptions,
        figures::{Bound, Figures},
        load::{self, LoadProfile, RequestClass, RequestOutcome},
        topology::Topology,
    },
    std::{
        io,
        time::{Duration, Instant},
    },
};

/// Offered load as a multiple of the capacity.
const OFFERED_FACTOR: f64 = 2.0;
/// Time after the start in which the queues fill up, which is not measured, in seconds.
const FILL_S: u64 = 3;
/// Duration of the load, in seconds.
const LOAD_S: u64 = 12;
/// Lower bound of the goodput, in percent of the capacity.
const GOODPUT_MIN_PERCENT: f64 = 90.0;

pub(crate) async fn run(options: RunOptions, figures: &mut Figures) -> io::Result<()> {
    let cluster = Cluster::start(Topology {
        has_fault_proxies: false,
        ..Topology::single_data_centre(options.instances)
    })
    .await?;
    let capacity_per_s = cluster.capacity_per_s();
    let load = LoadProfile::new(&cluster, "over", options.seed)
        .with_rate(capacity_per_s * OFFERED_FACTOR, Duration::from_secs(LOAD_S))
        .with_classes(&[RequestClass::Idempotent, RequestClass::Unkeyed]);
    let start = Instant::now();
    let balancer = Balancer::new(&cluster);
    let outcomes = load::run_load(load, balancer, cluster.client.clone()).await;
    let percentage = 100.0 * goodput_per_s(&outcomes, start) / capacity_per_s;
    figures.record(
        "goodput, of the capacity",
        percentage,
        "%",
        Bound::AtLeast(GOODPUT_MIN_PERCENT),
    );
    report_rejections(&cluster, &outcomes, figures);
    Ok(())
}

/// Returns the number of successful responses a second between the end of the fill time and the end of the load.
fn goodput_per_s(outcomes: &[RequestOutcome], start: Instant) -> f64 {
    let from = start + Duration::from_secs(FILL_S);
    let until = start + Duration::from_secs(LOAD_S);
    let succeeded = outcomes.iter().filter(|outcome| {
        let completed_at = outcome.scheduled_at + Duration::from_micros(outcome.latency_us);
        outcome.is_success() && completed_at >= from && completed_at < until
    });
    succeeded.count() as f64 / (LOAD_S - FILL_S) as f64
}

fn report_rejections(cluster: &Cluster, outcomes: &[RequestOutcome], figures: &mut Figures) {
    let counts = cluster.execution_counts();
    let rejected: Vec<&RequestOutcome> = outcomes
        .iter()
        .filter(|outcome| outcome.execution_status == "not-run")
        .collect();
    let executed = rejected
        .iter()
        .filter(|outcome| counts.contains_key(&outcome.id))
        .count() as f64;
    figures.record(
        "refused as not run that ran",
        executed,
        "1",
        Bound::AtMost(0.0),
    );
    let percentage = |count: usize| 100.0 * count as f64 / outcomes.len() as f64;
    figures.record(
        "refused as not run",
        percentage(rejected.len()),
        "%",
        Bound::None,
    );
    let unknown = outcomes
        .iter()
        .filter(|outcome| outcome.execution_status == "unknown")
        .count();
    figures.record("unknown", percentage(unknown), "%", Bound::None);
    let rejection_latency = load::histogram(rejected.iter().map(|outcome| outcome.latency_us));
    let median_ms = rejection_latency.value_at_quantile(0.5) as f64 / 1_000.0;
    figures.record("median time to a refusal", median_ms, "ms", Bound::None);
}
