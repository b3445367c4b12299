//! With the log away for the whole run, idempotent work goes on and keyed work is refused as not run.

use {
    crate::{
        balancer::Balancer,
        experiments::Options,
        figures::{Bound, Figures},
        load::{self, Kind, Load, Outcome},
        shape::Shape,
        world::World,
    },
    std::{io, time::Duration},
    tokio::time::sleep,
};

/// Requests a second, over all services.
const RATE_PER_S: f64 = 300.0;
/// Time under load, in seconds.
const LOAD_S: u64 = 12;
/// Time between replacements, in milliseconds.
const REPLACE_INTERVAL_MS: u64 = 2_000;
/// Share of idempotent requests that must be answered, in percent; the rest were at a killed instance.
const ANSWERED_PERCENT: f64 = 99.0;

pub(crate) async fn run(options: Options, figures: &mut Figures) -> io::Result<()> {
    let mut world = World::new(Shape::rinmitra(options.instances)).await?;
    world.platform.update_knobs(|knobs| knobs.away = true);
    let balancer = Balancer::new(&world);
    tokio::spawn(balancer.clone().watch(world.client.clone()));
    let load = Load::new(&world, "outage", options.seed)
        .with_rate(RATE_PER_S, Duration::from_secs(LOAD_S))
        .with_kinds(&[Kind::Read, Kind::Read, Kind::Keyed]);
    let loading = tokio::spawn(load::run(load, balancer.clone(), world.client.clone()));
    let mut rng = fastrand::Rng::with_seed(options.seed);
    let mut replaced = 0;
    while !loading.is_finished() {
        let index = rng.usize(..world.instances.len());
        world.instances[index].process.kill();
        world.replace_instance(index).await?;
        balancer.set(&world);
        replaced += 1;
        sleep(Duration::from_millis(REPLACE_INTERVAL_MS)).await;
    }
    let outcomes = loading.await.map_err(io::Error::other)?;
    let learnt = world.wait_ready(1).await.is_ok();
    judge(&world, &outcomes, figures);
    figures.put(
        "instances replaced",
        f64::from(replaced),
        "1",
        Bound::AtLeast(1.0),
    );
    let learnt = f64::from(u8::from(learnt));
    figures.put(
        "all instances learnt the version in force",
        learnt,
        "1",
        Bound::AtLeast(1.0),
    );
    Ok(())
}

fn judge(world: &World, outcomes: &[Outcome], figures: &mut Figures) {
    let of = |kind| outcomes.iter().filter(move |outcome| outcome.kind == kind);
    let reads = of(Kind::Read).count() as f64;
    let answered = of(Kind::Read).filter(|outcome| outcome.is_good()).count() as f64;
    figures.put(
        "idempotent requests answered",
        100.0 * answered / reads,
        "%",
        Bound::AtLeast(ANSWERED_PERCENT),
    );
    let counts = world.run_counts();
    let ran = of(Kind::Keyed)
        .filter(|outcome| counts.contains_key(&outcome.id))
        .count();
    figures.put(
        "keyed requests that ran",
        ran as f64,
        "1",
        Bound::AtMost(0.0),
    );
    let told = of(Kind::Keyed).filter(|outcome| outcome.failure.is_none());
    let otherwise = told
        .filter(|outcome| outcome.execution_status != "not-run")
        .count();
    figures.put(
        "keyed requests not told not-run",
        otherwise as f64,
        "1",
        Bound::AtMost(0.0),
    );
}
