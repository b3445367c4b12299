//! At twice the capacity nearly all of the capacity still gives good answers, and refused requests did not run.

use {
    crate::{
        balancer::Balancer,
        experiments::Options,
        figures::{Bound, Figures},
        load::{self, Kind, Load, Outcome},
        shape::Shape,
        world::World,
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

pub(crate) async fn run(options: Options, figures: &mut Figures) -> io::Result<()> {
    let world = World::new(Shape {
        has_proxies: false,
        ..Shape::single(options.instances)
    })
    .await?;
    let capacity_per_s = world.capacity_per_s();
    let load = Load::new(&world, "over", options.seed)
        .with_rate(capacity_per_s * OFFERED, Duration::from_secs(LOAD_S))
        .with_kinds(&[Kind::Read, Kind::Keyless]);
    let start = Instant::now();
    let balancer = Balancer::new(&world);
    let outcomes = load::run(load, balancer, world.client.clone()).await;
    let share = 100.0 * goodput_per_s(&outcomes, start) / capacity_per_s;
    figures.put(
        "goodput, of the capacity",
        share,
        "%",
        Bound::AtLeast(GOODPUT_PERCENT),
    );
    judge_refusals(&world, &outcomes, figures);
    Ok(())
}

/// Good answers a second that came between the filling of the queue and the end of the load.
fn goodput_per_s(outcomes: &[Outcome], start: Instant) -> f64 {
    let from = start + Duration::from_secs(FILL_S);
    let until = start + Duration::from_secs(LOAD_S);
    let good = outcomes.iter().filter(|outcome| {
        let at = outcome.due + Duration::from_micros(outcome.latency_us);
        outcome.is_good() && at >= from && at < until
    });
    good.count() as f64 / (LOAD_S - FILL_S) as f64
}

fn judge_refusals(world: &World, outcomes: &[Outcome], figures: &mut Figures) {
    let counts = world.run_counts();
    let refused: Vec<&Outcome> = outcomes
        .iter()
        .filter(|outcome| outcome.execution_status == "not-run")
        .collect();
    let ran = refused
        .iter()
        .filter(|outcome| counts.contains_key(&outcome.id))
        .count() as f64;
    figures.put("refused as not run that ran", ran, "1", Bound::AtMost(0.0));
    let of_all = |count: usize| 100.0 * count as f64 / outcomes.len() as f64;
    figures.put(
        "refused as not run",
        of_all(refused.len()),
        "%",
        Bound::None,
    );
    let unknown = outcomes
        .iter()
        .filter(|outcome| outcome.execution_status == "unknown")
        .count();
    figures.put("unknown", of_all(unknown), "%", Bound::None);
    let refusal = load::histogram(refused.iter().map(|outcome| outcome.latency_us));
    let median_ms = refusal.value_at_quantile(0.5) as f64 / 1_000.0;
    figures.put("median time to a refusal", median_ms, "ms", Bound::None);
}
