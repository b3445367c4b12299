//! Plays one seed from its start to its checks.

use {
    crate::{
        cluster::{Cluster, RunSize},
        commands::{callers, faults},
        queries::{check_recovery, invariant_violations, is_ready},
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
pub(crate) async fn run_seed(seed: u64, shape: &RunSize) -> io::Result<Vec<String>> {
    let cluster = Arc::new(Cluster::new(seed, *shape).await?);
    let starting = async {
        for instance in &cluster.instances {
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
    let calling = callers::spawn_callers(&cluster, rng.fork(), &stop);
    let version = faults::inject_faults(&cluster, &mut rng).await?;
    sleep(Duration::from_millis(RECOVERY_MS)).await;
    let mut broken = check_recovery(&cluster, version).await;
    stop.store(true, Ordering::SeqCst);
    for caller in calling {
        // Only a panic of a caller is an error here, and it shows as one.
        if let Err(error) = caller.await {
            broken.push(format!("a caller of the soak failed: {error}"));
        }
    }
    broken.extend(invariant_violations(&cluster));
    if broken.is_empty() {
        fs::remove_dir_all(&cluster.dir)?;
    } else {
        broken.push(format!("logs are kept in {}", cluster.dir.display()));
        broken.push(format!(
            "disruptions: {:?}",
            faults::disruption_counts(&cluster)
        ));
    }
    Ok(broken)
}
