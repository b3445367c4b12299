//! Healthy backend servers stay in service through noise, a slow moment of all, lying load endpoints and
//! cold starts.

use {
    crate::{
        balancer::Balancer,
        experiments::Options,
        figures::{Bound, Figures},
        load::{self, Load},
        shape::Shape,
        world::World,
    },
    std::{io, time::Duration},
    tokio::time::sleep,
    wire::{
        from_json,
        generated::{EjectionKind, EjectionRecord},
    },
};

/// Use of all slots, in percent.
const USE_PERCENT: f64 = 40.0;
/// Time under load, in milliseconds.
const LOAD_MS: u64 = 16_000;
/// Share of work that fails without a fault, in thousandths.
const NOISE_PERMILLE: u32 = 10;
/// Time for which all servers are slow, in milliseconds.
const SLOW_MS: u64 = 2_000;
/// Factor by which they are slow.
const SLOW_FACTOR: u64 = 5;
/// Requests that a cold server takes three times as long for.
const COLD_REQUESTS: u64 = 20;

pub(crate) async fn run(options: Options, figures: &mut Figures) -> io::Result<()> {
    let careful = Shape::tessera(options.instances);
    measure(
        "careful",
        careful,
        options.seed,
        figures,
        Bound::AtMost(0.0),
    )
    .await?;
    let fast = Shape::rinmitra(options.instances);
    measure("fast", fast, options.seed, figures, Bound::None).await
}

async fn measure(
    name: &str,
    mut shape: Shape,
    seed: u64,
    figures: &mut Figures,
    bound: Bound,
) -> io::Result<()> {
    for service in &mut shape.services {
        service.knobs.background_errors_permille = NOISE_PERMILLE;
        service.knobs.cold_requests = COLD_REQUESTS;
    }
    let world = World::new(shape).await?;
    let mut rng = fastrand::Rng::with_seed(seed);
    for server in &world.servers {
        let lies = rng.bool();
        server
            .backend
            .update_knobs(|knobs| knobs.reports_false_load = lies);
    }
    let load = Load::new(&world, name, seed).with_rate(
        world.capacity_per_s() * USE_PERCENT / 100.0,
        Duration::from_millis(LOAD_MS),
    );
    let balancer = Balancer::new(&world);
    let loading = tokio::spawn(load::run(load, balancer, world.client.clone()));
    sleep(Duration::from_millis(LOAD_MS / 2)).await;
    scale_service_time(&world, SLOW_FACTOR, 1);
    sleep(Duration::from_millis(SLOW_MS)).await;
    scale_service_time(&world, 1, SLOW_FACTOR);
    let outcomes = loading.await.map_err(io::Error::other)?;
    let label = |what: &str| format!("{name}: {what}");
    figures.put(
        &label("healthy servers ejected"),
        ejected(&world) as f64,
        "1",
        bound,
    );
    let placements = world.placements();
    let suspects = placements
        .iter()
        .filter(|placement| placement.standing == "suspect")
        .count();
    figures.put(
        &label("suspicions of healthy servers"),
        suspects as f64,
        "1",
        Bound::None,
    );
    let good = outcomes.iter().filter(|outcome| outcome.is_good()).count() as f64;
    figures.put(
        &label("good answers"),
        100.0 * good / outcomes.len() as f64,
        "%",
        Bound::None,
    );
    Ok(())
}

fn scale_service_time(world: &World, multiply: u64, divide: u64) {
    for server in &world.servers {
        server
            .backend
            .update_knobs(|knobs| knobs.service_us = knobs.service_us * multiply / divide);
    }
}

/// Counts the ejections that were proposed, accepted or not, which is the stricter count.
fn ejected(world: &World) -> usize {
    let services = world.service_names();
    let records = services
        .iter()
        .flat_map(|service| world.platform.records(&format!("ejections-{service}")));
    records
        .filter(|record| {
            let parsed: Result<EjectionRecord, _> = from_json("ejection", record.body.as_bytes());
            parsed.is_ok_and(|parsed| parsed.kind == EjectionKind::Eject)
        })
        .count()
}
