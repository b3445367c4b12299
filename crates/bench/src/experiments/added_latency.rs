//! Measures the added latency without faults, and how many sheds and rejections the exact accounting of slots by
//! permits saves over the baseline.

use {
    crate::{
        balancer::Balancer,
        cluster::Cluster,
        experiments::RunOptions,
        figures::{Bound, Figures},
        load::{self, LoadProfile, RequestOutcome},
        topology::Topology,
    },
    std::{io, time::Duration},
};

/// Bound on the 99th percentile of the added latency, in milliseconds (letter 1).
const ADDED_P99_MS: f64 = 2.6;
/// Utilisation of the slots at which the bound is checked, in percent.
const BOUND_UTILISATION_PERCENT: u32 = 60;
/// Utilisations at which permits and the baseline are compared, in percent.
const UTILISATIONS_PERCENT: [u32; 3] = [50, 70, 85];
/// Duration of the load that precedes the measurements, in seconds.
const WARM_UP_S: u64 = 2;
/// Duration of one measurement, in seconds.
const MEASURE_S: u64 = 5;

pub(crate) async fn run(options: RunOptions, figures: &mut Figures) -> io::Result<()> {
    measure(options, figures, true).await?;
    if options.baseline {
        measure(options, figures, false).await?;
    }
    Ok(())
}

async fn measure(options: RunOptions, figures: &mut Figures, uses_permits: bool) -> io::Result<()> {
    let label = if uses_permits { "permits" } else { "baseline" };
    let cluster = Cluster::start(Topology {
        uses_permits,
        has_fault_proxies: false,
        ..Topology::single_data_centre(options.instances)
    })
    .await?;
    let balancer = Balancer::new(&cluster);
    let mut record = |utilisation_percent, name: &str, value, unit, bound| {
        figures.record(
            &format!("{label} at {utilisation_percent} %: {name}"),
            value,
            unit,
            bound,
        );
    };
    offer(
        &cluster,
        &balancer,
        options.seed,
        BOUND_UTILISATION_PERCENT,
        WARM_UP_S,
    )
    .await;
    for utilisation_percent in [BOUND_UTILISATION_PERCENT]
        .into_iter()
        .chain(UTILISATIONS_PERCENT)
    {
        let sheds_before = count_sheds(&cluster);
        let seed = options.seed * 1_000 + u64::from(utilisation_percent);
        let outcomes = offer(&cluster, &balancer, seed, utilisation_percent, MEASURE_S).await;
        let added = load::added_latency(&outcomes, &cluster);
        let is_bound = uses_permits && utilisation_percent == BOUND_UTILISATION_PERCENT;
        let bound = if is_bound {
            Bound::AtMost(ADDED_P99_MS)
        } else {
            Bound::None
        };
        let milliseconds = |quantile| added.value_at_quantile(quantile) as f64 / 1_000.0;
        record(
            utilisation_percent,
            "added p50",
            milliseconds(0.5),
            "ms",
            Bound::None,
        );
        record(
            utilisation_percent,
            "added p99",
            milliseconds(0.99),
            "ms",
            bound,
        );
        let count = outcomes.len() as f64;
        let sheds_per_request = (count_sheds(&cluster) - sheds_before) as f64 / count;
        record(
            utilisation_percent,
            "sheds a request",
            sheds_per_request,
            "1",
            Bound::None,
        );
        let failed = outcomes
            .iter()
            .filter(|outcome| !outcome.is_success())
            .count() as f64;
        record(
            utilisation_percent,
            "refused",
            100.0 * failed / count,
            "%",
            Bound::None,
        );
        record(utilisation_percent, "requests", count, "1", Bound::None);
    }
    Ok(())
}

async fn offer(
    cluster: &Cluster,
    balancer: &Balancer,
    seed: u64,
    utilisation_percent: u32,
    duration_s: u64,
) -> Vec<RequestOutcome> {
    let service = &cluster.topology.services[0];
    let slots = service.servers as f64 * f64::from(service.backend_knobs.slots);
    let capacity_per_s = slots * 1e6 / service.backend_knobs.service_us as f64;
    let load = LoadProfile::new(cluster, &format!("u{seed}"), seed).with_rate(
        capacity_per_s * f64::from(utilisation_percent) / 100.0,
        Duration::from_secs(duration_s),
    );
    load::run_load(load, balancer.clone(), cluster.client.clone()).await
}

fn count_sheds(cluster: &Cluster) -> usize {
    let arrivals = cluster
        .servers
        .iter()
        .map(|server| server.backend.arrivals());
    arrivals
        .map(|arrivals| arrivals.iter().filter(|arrival| arrival.shed).count())
        .sum()
}
