//! No key runs twice and no request that ran is called not run, whatever fails.

use {
    crate::{
        balancer::Balancer,
        client::HttpClient,
        experiments::Options,
        figures::{Bound, Figures},
        load::{self, Ask, Kind, Load, Outcome},
        shape::Shape,
        world::World,
    },
    fastrand::Rng,
    standin::GrayFault,
    std::{
        collections::HashMap,
        io,
        time::{Duration, Instant},
    },
    tokio::{sync::mpsc, time::sleep},
};

/// Requests a second, over all services.
const RATE_PER_S: f64 = 120.0;
/// Time under load, in seconds.
const LOAD_S: u64 = 20;
/// Time between faults, in milliseconds.
const FAULT_INTERVAL_MS: u64 = 500;
/// Longest pause before a repeat, in milliseconds.
const REPEAT_MAX_MS: u64 = 1_500;
/// Time for late repeats to end, in seconds.
const SETTLE_S: u64 = 2;

pub(crate) async fn run(options: Options, figures: &mut Figures) -> io::Result<()> {
    let mut world = World::new(Shape::tessera(options.instances)).await?;
    world
        .platform
        .update_knobs(|knobs| knobs.lose_responses_percent = 20);
    let balancer = Balancer::new(&world);
    tokio::spawn(balancer.clone().watch(world.client.clone()));
    let load = Load::new(&world, "once", options.seed)
        .with_rate(RATE_PER_S, Duration::from_secs(LOAD_S))
        .with_kinds(&[Kind::Keyed, Kind::Keyed, Kind::Keyless]);
    let client = world.client.clone();
    let loading = tokio::spawn(repeated(load, balancer.clone(), client));
    inject(&mut world, &balancer, options.seed).await?;
    let outcomes = loading.await.map_err(io::Error::other)?;
    sleep(Duration::from_secs(SETTLE_S)).await;
    judge(&world, &outcomes, figures);
    Ok(())
}

/// Puts the load on, and repeats each keyed request once or twice at random instances.
async fn repeated(load: Load, balancer: Balancer, client: HttpClient) -> Vec<Outcome> {
    let (sender, mut receiver) = mpsc::unbounded_channel();
    let runtime = tokio::runtime::Handle::current();
    let pacing = tokio::task::spawn_blocking(move || {
        let mut rng = Rng::with_seed(load.seed + 1);
        load::pace(&load, |ask| {
            let repeats = if ask.kind == Kind::Keyed {
                rng.u64(1..=2)
            } else {
                0
            };
            for repeat in 0..=repeats {
                let pause_ms = if repeat == 0 {
                    0
                } else {
                    rng.u64(0..REPEAT_MAX_MS)
                };
                let again = Ask {
                    random: rng.usize(..),
                    ..ask.clone()
                };
                let (client, balancer) = (client.clone(), balancer.clone());
                let sender = sender.clone();
                runtime.spawn(async move {
                    sleep(Duration::from_millis(pause_ms)).await;
                    // The receiver outlives all senders.
                    let _ = sender.send(load::one(client, balancer, again).await);
                });
            }
        });
    });
    let mut outcomes = Vec::new();
    while let Some(outcome) = receiver.recv().await {
        outcomes.push(outcome);
    }
    // The thread has ended, or the channel would still be open.
    let _ = pacing.await;
    outcomes
}

async fn inject(world: &mut World, balancer: &Balancer, seed: u64) -> io::Result<()> {
    let mut rng = Rng::with_seed(seed + 2);
    let until = Instant::now() + Duration::from_secs(LOAD_S);
    while Instant::now() < until {
        let index = rng.usize(..world.instances.len());
        match rng.u32(0..7) {
            0 => {
                world.instances[index].process.kill();
                world.replace_instance(index).await?;
                balancer.set(world);
            }
            1 => freeze_for(world, index, rng.u64(100..2_000)).await,
            2 => world.instances[index]
                .to_platform
                .update_knobs(|knobs| knobs.drop_from_target = true),
            3 => world.instances[index]
                .to_platform
                .update_knobs(|knobs| knobs.drop_to_target = true),
            4 => {
                if let Some(proxy) = &world.instances[index].to_rpc {
                    proxy.update_knobs(|knobs| knobs.drop_from_target = !knobs.drop_from_target);
                }
            }
            5 => {
                let server = rng.usize(..world.servers.len());
                let modes = [
                    GrayFault::Cut,
                    GrayFault::Errors,
                    GrayFault::Hang,
                    GrayFault::Mixed,
                ];
                let gray = modes[rng.usize(..modes.len())];
                world.servers[server]
                    .backend
                    .update_knobs(|knobs| knobs.gray = gray);
            }
            _ => heal(world),
        }
        sleep(Duration::from_millis(FAULT_INTERVAL_MS)).await;
    }
    heal(world);
    Ok(())
}

async fn freeze_for(world: &World, index: usize, time_ms: u64) {
    world.instances[index].process.freeze();
    sleep(Duration::from_millis(time_ms)).await;
    world.instances[index].process.thaw();
}

fn heal(world: &World) {
    for instance in &world.instances {
        instance.to_platform.update_knobs(|knobs| {
            knobs.drop_to_target = false;
            knobs.drop_from_target = false;
        });
        if let Some(proxy) = &instance.to_rpc {
            proxy.update_knobs(|knobs| knobs.drop_from_target = false);
        }
    }
    for server in &world.servers {
        server
            .backend
            .update_knobs(|knobs| knobs.gray = GrayFault::None);
    }
}

fn judge(world: &World, outcomes: &[Outcome], figures: &mut Figures) {
    let counts = world.run_counts();
    let runs = |id: &str| counts.get(id).copied().unwrap_or(0);
    let mut by_id: HashMap<&str, Vec<&Outcome>> = HashMap::new();
    for outcome in outcomes {
        by_id.entry(&outcome.id).or_default().push(outcome);
    }
    let twice = by_id.keys().filter(|id| runs(id) > 1).count();
    let denied = by_id
        .iter()
        .filter(|(id, all)| runs(id) > 0 && all.iter().all(|one| one.execution_status == "not-run"))
        .count();
    let share = |state: &str| {
        let count = outcomes
            .iter()
            .filter(|outcome| outcome.execution_status == state)
            .count();
        100.0 * count as f64 / outcomes.len() as f64
    };
    figures.put(
        "requests that ran twice",
        twice as f64,
        "1",
        Bound::AtMost(0.0),
    );
    figures.put("not-run that ran", denied as f64, "1", Bound::AtMost(0.0));
    figures.put("ids", by_id.len() as f64, "1", Bound::AtLeast(1.0));
    figures.put("answered as ran", share("ran"), "%", Bound::None);
    figures.put("answered as not-run", share("not-run"), "%", Bound::None);
    figures.put("answered as unknown", share("unknown"), "%", Bound::None);
    let (appended, refused) = world.platform.append_counts();
    figures.put("appends", appended as f64, "1", Bound::None);
    figures.put(
        "appends refused for their rate",
        refused as f64,
        "1",
        Bound::None,
    );
}
