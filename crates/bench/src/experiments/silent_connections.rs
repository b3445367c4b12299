//! Connections that go silent for good cost no answer and no server.

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
/// Time under load, in milliseconds.
const LOAD_MS: u64 = 16_000;
/// Time between the silences, in milliseconds.
const SILENCE_INTERVAL_MS: u64 = 3_000;

pub(crate) async fn run(options: Options, figures: &mut Figures) -> io::Result<()> {
    let world = World::new(Shape::rinmitra(options.instances)).await?;
    let load = Load::new(&world, "silent", options.seed)
        .with_rate(RATE_PER_S, Duration::from_millis(LOAD_MS))
        .with_kinds(&[Kind::Read, Kind::Read, Kind::Read, Kind::Keyless]);
    let balancer = Balancer::new(&world);
    let loading = tokio::spawn(load::run(load, balancer, world.client.clone()));
    silence_in_turns(&world).await;
    let outcomes = loading.await.map_err(io::Error::other)?;
    judge(&world, &outcomes, figures);
    Ok(())
}

fn judge(world: &World, outcomes: &[Outcome], figures: &mut Figures) {
    let reads = || outcomes.iter().filter(|outcome| outcome.kind == Kind::Read);
    let unanswered = reads().filter(|outcome| !outcome.is_good()).count() as f64;
    figures.put(
        "idempotent requests not answered",
        unanswered,
        "1",
        Bound::AtMost(0.0),
    );
    let once = outcomes
        .iter()
        .filter(|outcome| outcome.kind == Kind::Keyless);
    let unknown = once
        .filter(|outcome| outcome.execution_status == "unknown")
        .count() as f64;
    figures.put(
        "requests to run once of unknown outcome",
        unknown,
        "1",
        Bound::None,
    );
    let placements = world.placements();
    let of = |standing| {
        placements
            .iter()
            .filter(move |one| one.standing == standing)
            .count()
    };
    figures.put(
        "servers ejected",
        of("ejected") as f64,
        "1",
        Bound::AtMost(0.0),
    );
    figures.put("suspicions", of("suspect") as f64, "1", Bound::None);
    let latency = load::histogram(reads().map(|outcome| outcome.latency_us));
    let worst_ms = latency.max() as f64 / 1_000.0;
    figures.put(
        "worst latency of an idempotent request",
        worst_ms,
        "ms",
        Bound::None,
    );
    figures.put(
        "idempotent requests",
        reads().count() as f64,
        "1",
        Bound::AtLeast(1.0),
    );
}

/// Connections to backend servers and those between instances take turns in going silent.
async fn silence_in_turns(world: &World) {
    for round in 0..LOAD_MS / SILENCE_INTERVAL_MS - 1 {
        sleep(Duration::from_millis(SILENCE_INTERVAL_MS)).await;
        let servers = world
            .servers
            .iter()
            .filter_map(|server| server.proxy.as_ref());
        let peers = world
            .instances
            .iter()
            .filter_map(|instance| instance.to_rpc.as_ref());
        if round.is_multiple_of(2) {
            servers.for_each(standin::FaultProxy::silence_open_connections);
        } else {
            peers.for_each(standin::FaultProxy::silence_open_connections);
        }
    }
}
