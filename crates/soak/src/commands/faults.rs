//! Faults and changes in series that overlap, from outside the processes.

use {
    crate::world::{Disruption, World},
    fastrand::Rng,
    standin::{Away, Gray},
    std::{
        collections::BTreeMap,
        io,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        task::JoinSet,
        time::{sleep, timeout},
    },
};

/// Longest pause between the begins of two disruptions, in milliseconds.
const GAP_MAX_MS: u64 = 900;
/// Bounds of a disruption's length, in milliseconds.
const LENGTH_MS: std::ops::Range<u64> = 300..2_500;
/// Time allowed for a stop, in milliseconds; the settings give four seconds.
const STOP_MS: u64 = 5_000;

/// One kind of disruption: what it does to a target for a time.
const KINDS: [&str; 16] = [
    "stop",
    "kill",
    "pause",
    "reload",
    "store refuses",
    "store closes",
    "store silent",
    "store slow",
    "store loses answers",
    "store cut",
    "server gray",
    "server silent",
    "server reset",
    "server delayed",
    "server leaves",
    "configuration",
];

/// Plays the faults of a seed and ends all of them; returns the version of the last configuration.
pub(crate) async fn run(world: &Arc<World>, rng: &mut Rng) -> io::Result<u64> {
    let until = Instant::now() + Duration::from_secs(world.shape.seconds);
    let mut running = JoinSet::new();
    let mut version = 1;
    let mut busy: Vec<Instant> = vec![Instant::now(); world.instances.len()];
    let mut left = 0;
    while Instant::now() < until {
        sleep(Duration::from_millis(rng.u64(0..GAP_MAX_MS))).await;
        let kind = KINDS[rng.usize(..KINDS.len())];
        let length = Duration::from_millis(rng.u64(LENGTH_MS));
        let instance = rng.usize(..world.instances.len());
        let server = rng.usize(..world.servers.len());
        let world = Arc::clone(world);
        let pick = rng.u64(..);
        match kind {
            "configuration" => {
                version += rng.u64(1..4);
                world.configure(version);
                note(&world, kind, None, Duration::ZERO);
            }
            // Two servers stay, and one that left does not come back.
            "server leaves" if left + 2 < world.servers.len() => {
                let leaver = left;
                left += 1;
                running.spawn(async move { leave(&world, leaver, length).await });
            }
            "server leaves" => {}
            "stop" | "kill" | "pause" | "reload" if busy[instance] <= Instant::now() => {
                busy[instance] = Instant::now() + length + Duration::from_millis(STOP_MS);
                running.spawn(async move { process(&world, kind, instance, length).await });
            }
            "stop" | "kill" | "pause" | "reload" => {}
            "store cut" => {
                running.spawn(async move { cut_store(&world, instance, length).await });
            }
            kind if kind.starts_with("store") => {
                running.spawn(async move { store(&world, kind, length).await });
            }
            _ => {
                running.spawn(async move { one_server(&world, kind, server, length, pick).await });
            }
        }
    }
    while let Some(ended) = running.join_next().await {
        ended.map_err(io::Error::other)??;
    }
    Ok(version)
}

/// Counts the disruptions of a run by kind.
pub(crate) fn summary(world: &World) -> BTreeMap<&'static str, usize> {
    let mut counts = BTreeMap::new();
    for disruption in &world.notes().disruptions {
        *counts.entry(disruption.kind).or_default() += 1;
    }
    counts
}

fn note(world: &World, kind: &'static str, target: Option<usize>, length: Duration) {
    let from = Instant::now();
    world.notes().disruptions.push(Disruption {
        kind,
        target,
        from,
        until: from + length,
    });
}

async fn process(
    world: &World,
    kind: &'static str,
    number: usize,
    length: Duration,
) -> io::Result<()> {
    let instance = &world.instances[number];
    let margin = Duration::from_millis(STOP_MS);
    note(world, kind, Some(number), length + margin);
    match kind {
        "reload" => instance.signal(libc::SIGHUP),
        "pause" => {
            instance.signal(libc::SIGSTOP);
            sleep(length).await;
            instance.signal(libc::SIGCONT);
        }
        kind => {
            let signal = if kind == "stop" {
                libc::SIGTERM
            } else {
                libc::SIGKILL
            };
            instance.signal(signal);
            let ended = timeout(margin, async {
                while !has_ended(instance) {
                    sleep(Duration::from_millis(20)).await;
                }
            });
            if ended.await.is_err() {
                instance.signal(libc::SIGKILL);
                return Err(io::Error::other(format!(
                    "instance {number} did not end in time"
                )));
            }
            sleep(length / 4).await;
            instance.start_again()?;
        }
    }
    Ok(())
}

fn has_ended(instance: &crate::world::Instance) -> bool {
    let mut child = instance
        .child
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    // An error means that there is no such process any more.
    child.try_wait().map_or(true, |status| status.is_some())
}

async fn store(world: &World, kind: &'static str, length: Duration) -> io::Result<()> {
    note(world, kind, None, length);
    world.store.turn(|knobs| match kind {
        "store refuses" => knobs.away = Away::Refusing,
        "store closes" => knobs.away = Away::Closing,
        "store silent" => knobs.away = Away::Silent,
        "store slow" => knobs.slow_ms = 200,
        _ => {
            knobs.lose_answers_percent = 40;
            knobs.late_ms = 700;
        }
    });
    sleep(length).await;
    world.store.turn(|knobs| match kind {
        "store slow" => knobs.slow_ms = 0,
        "store loses answers" => knobs.lose_answers_percent = 0,
        _ => knobs.away = Away::No,
    });
    Ok(())
}

async fn cut_store(world: &World, instance: usize, length: Duration) -> io::Result<()> {
    note(world, "store cut", Some(instance), length);
    let proxy = &world.instances[instance].to_store;
    proxy.turn(|knobs| knobs.cut_down = true);
    sleep(length).await;
    proxy.turn(|knobs| knobs.cut_down = false);
    proxy.silence();
    Ok(())
}

async fn one_server(
    world: &World,
    kind: &'static str,
    number: usize,
    length: Duration,
    pick: u64,
) -> io::Result<()> {
    note(world, kind, Some(number), length);
    let server = &world.servers[number];
    match kind {
        "server gray" => {
            let modes = [Gray::Errors, Gray::Hang, Gray::Slow, Gray::Cut, Gray::Mixed];
            let mode = modes[(pick % modes.len() as u64) as usize];
            server.backend.turn(|knobs| knobs.gray = mode);
            sleep(length).await;
            server.backend.turn(|knobs| knobs.gray = Gray::None);
        }
        "server silent" => server.proxy.silence(),
        "server reset" => {
            server.proxy.turn(|knobs| knobs.reset = true);
            sleep(length).await;
            server.proxy.turn(|knobs| knobs.reset = false);
        }
        _ => {
            server.proxy.turn(|knobs| knobs.delay_us = 30_000);
            sleep(length).await;
            server.proxy.turn(|knobs| knobs.delay_us = 0);
        }
    }
    Ok(())
}

/// A server says that it leaves, goes on serving for a while, and is taken off the list.
async fn leave(world: &World, server: usize, length: Duration) -> io::Result<()> {
    note(world, "server leaves", Some(server), length);
    world.report(server, "draining", 2);
    world.notes().leaving.push((server, Instant::now()));
    sleep(length).await;
    world.report(server, "gone", 3);
    // A write of before, executed late.
    sleep(length / 2).await;
    world.report(server, "ready", 1);
    sleep(Duration::from_millis(500)).await;
    world.report(server, "gone", 3);
    Ok(())
}
