//! Plays one seed from its start to its checks.

use {
    crate::{
        commands::{callers, faults},
        queries::{broken_promises, is_ready, unserved},
        world::{Shape, World},
    },
    fastrand::Rng,
    std::{
        fs, io,
        sync::{
            atomic::{AtomicBool, Ordering},
            Arc,
        },
        time::Duration,
    },
    tokio::time::{sleep, timeout},
};

/// Time allowed until all instances are ready, in seconds.
const START_S: u64 = 15;
/// Time from the last fault to the last checks, in milliseconds: within it all configurations are in force and all
/// servers that live are in use again.
const RECOVERY_MS: u64 = 5_000;

/// Plays a seed and returns what broke; the logs are kept if anything did.
pub(crate) async fn play(seed: u64, shape: &Shape) -> io::Result<Vec<String>> {
    let world = Arc::new(World::new(seed, *shape).await?);
    let starting = async {
        for instance in &world.instances {
            while !is_ready(instance).await {
                sleep(Duration::from_millis(50)).await;
            }
        }
    };
    if timeout(Duration::from_secs(START_S), starting)
        .await
        .is_err()
    {
        return Err(io::Error::other("not all instances got ready"));
    }
    let mut rng = Rng::with_seed(seed);
    let stop = Arc::new(AtomicBool::new(false));
    let calling = callers::call_all(&world, rng.fork(), &stop);
    let version = faults::run(&world, &mut rng).await?;
    sleep(Duration::from_millis(RECOVERY_MS)).await;
    let mut broken = unserved(&world, version).await;
    stop.store(true, Ordering::SeqCst);
    for caller in calling {
        // Only a panic of a caller is an error here, and it shows as one.
        if let Err(error) = caller.await {
            broken.push(format!("a caller of the soak failed: {error}"));
        }
    }
    broken.extend(broken_promises(&world));
    if broken.is_empty() {
        fs::remove_dir_all(&world.folder)?;
    } else {
        broken.push(format!("logs are kept in {}", world.folder.display()));
        broken.push(format!("disruptions: {:?}", faults::summary(&world)));
    }
    Ok(broken)
}
