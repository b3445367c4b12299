//! Time added to a request without any fault, and what exact accounting of slots saves in sheds and refusals.

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

/// Bound on the added time, in milliseconds (letter 1).
const ADDED_P99_MS: f64 = 2.6;
/// Use at which the bound holds, in percent.
const BOUND_USE_PERCENT: u32 = 60;
/// Uses measured for the comparison with the baseline, in percent.
const USES_PERCENT: [u32; 3] = [50, 70, 85];
/// Time to warm up before a measurement, in seconds.
const WARM_UP_S: u64 = 2;
/// Time of one measurement, in seconds.
const MEASURE_S: u64 = 5;

pub(crate) async fn run(options: RunOptions, figures: &mut Figures) -> io::Result<()> {
    measure(options, figures, true).await?;
    if options.baseline {
        measure(options, figures, false).await?;
    }
    Ok(())
}

async fn measure(options: RunOptions, figures: &mut Figures, permits: bool) -> io::Result<()> {
    let name = if permits { "permits" } else { "baseline" };
    let cluster = Cluster::start(Topology {
        uses_permits: permits,
        has_fault_proxies: false,
        ..Topology::single_data_centre(options.instances)
    })
    .await?;
    let balancer = Balancer::new(&cluster);
    let mut put = |use_percent, what: &str, value, unit, bound| {
        figures.record(
            &format!("{name} at {use_percent} %: {what}"),
            value,
            unit,
            bound,
        );
    };
    offer(
        &cluster,
        &balancer,
        options.seed,
        BOUND_USE_PERCENT,
        WARM_UP_S,
    )
    .await;
    for use_percent in [BOUND_USE_PERCENT].into_iter().chain(USES_PERCENT) {
        let sheds_before = sheds(&cluster);
        let seed = options.seed * 1_000 + u64::from(use_percent);
        let outcomes = offer(&cluster, &balancer, seed, use_percent, MEASURE_S).await;
        let added = load::added_latency(&outcomes, &cluster);
        let is_bound = permits && use_percent == BOUND_USE_PERCENT;
        let bound = if is_bound {
            Bound::AtMost(ADDED_P99_MS)
        } else {
            Bound::None
        };
        let milliseconds = |quantile| added.value_at_quantile(quantile) as f64 / 1_000.0;
        put(
            use_percent,
            "added p50",
            milliseconds(0.5),
            "ms",
            Bound::None,
        );
        put(use_percent, "added p99", milliseconds(0.99), "ms", bound);
        let count = outcomes.len() as f64;
        let shed = (sheds(&cluster) - sheds_before) as f64 / count;
        put(use_percent, "sheds a request", shed, "1", Bound::None);
        let refused = outcomes
            .iter()
            .filter(|outcome| !outcome.is_success())
            .count() as f64;
        put(
            use_percent,
            "refused",
            100.0 * refused / count,
            "%",
            Bound::None,
        );
        put(use_percent, "requests", count, "1", Bound::None);
    }
    Ok(())
}

async fn offer(
    cluster: &Cluster,
    balancer: &Balancer,
    seed: u64,
    use_percent: u32,
    seconds: u64,
) -> Vec<RequestOutcome> {
    let service = &cluster.topology.services[0];
    let slots = service.servers as f64 * f64::from(service.backend_knobs.slots);
    let capacity_per_s = slots * 1e6 / service.backend_knobs.service_us as f64;
    let load = LoadProfile::new(cluster, &format!("u{seed}"), seed).with_rate(
        capacity_per_s * f64::from(use_percent) / 100.0,
        Duration::from_secs(seconds),
    );
    load::run_load(load, balancer.clone(), cluster.client.clone()).await
}

fn sheds(cluster: &Cluster) -> usize {
    let arrivals = cluster
        .servers
        .iter()
        .map(|server| server.backend.arrivals());
    arrivals
        .map(|arrivals| arrivals.iter().filter(|arrival| arrival.shed).count())
        .sum()
}
