//! At twice the capacity nearly all of the capacity still gives good answers, and refused requests did not run.

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

/// Multiple of the capacity that is offered.
const OFFERED: f64 = 2.0;
/// Time to fill the queue, in seconds.
const FILL_S: u64 = 3;
/// Time under load, in seconds.
const LOAD_S: u64 = 12;
/// Least goodput as a share of the capacity, in percent.
const GOODPUT_PERCENT: f64 = 90.0;

pub(crate) async fn run(options: RunOptions, figures: &mut Figures) -> io::Result<()> {
    let cluster = Cluster::start(Topology {
        has_fault_proxies: false,
        ..Topology::single_data_centre(options.instances)
    })
    .await?;
    let capacity_per_s = cluster.capacity_per_s();
    let load = LoadProfile::new(&cluster, "over", options.seed)
        .with_rate(capacity_per_s * OFFERED, Duration::from_secs(LOAD_S))
        .with_classes(&[RequestClass::Idempotent, RequestClass::Unkeyed]);
    let start = Instant::now();
    let balancer = Balancer::new(&cluster);
    let outcomes = load::run_load(load, balancer, cluster.client.clone()).await;
    let share = 100.0 * goodput_per_s(&outcomes, start) / capacity_per_s;
    figures.record(
        "goodput, of the capacity",
        share,
        "%",
        Bound::AtLeast(GOODPUT_PERCENT),
    );
    judge_refusals(&cluster, &outcomes, figures);
    Ok(())
}

/// Good answers a second that came between the filling of the queue and the end of the load.
fn goodput_per_s(outcomes: &[RequestOutcome], start: Instant) -> f64 {
    let from = start + Duration::from_secs(FILL_S);
    let until = start + Duration::from_secs(LOAD_S);
    let good = outcomes.iter().filter(|outcome| {
        let at = outcome.scheduled_at + Duration::from_micros(outcome.latency_us);
        outcome.is_success() && at >= from && at < until
    });
    good.count() as f64 / (LOAD_S - FILL_S) as f64
}

fn judge_refusals(cluster: &Cluster, outcomes: &[RequestOutcome], figures: &mut Figures) {
    let counts = cluster.execution_counts();
    let refused: Vec<&RequestOutcome> = outcomes
        .iter()
        .filter(|outcome| outcome.execution_status == "not-run")
        .collect();
    let ran = refused
        .iter()
        .filter(|outcome| counts.contains_key(&outcome.id))
        .count() as f64;
    figures.record("refused as not run that ran", ran, "1", Bound::AtMost(0.0));
    let of_all = |count: usize| 100.0 * count as f64 / outcomes.len() as f64;
    figures.record(
        "refused as not run",
        of_all(refused.len()),
        "%",
        Bound::None,
    );
    let unknown = outcomes
        .iter()
        .filter(|outcome| outcome.execution_status == "unknown")
        .count();
    figures.record("unknown", of_all(unknown), "%", Bound::None);
    let refusal = load::histogram(refused.iter().map(|outcome| outcome.latency_us));
    let median_ms = refusal.value_at_quantile(0.5) as f64 / 1_000.0;
    figures.record("median time to a refusal", median_ms, "ms", Bound::None);
}
