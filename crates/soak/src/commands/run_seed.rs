//! Runs one seed: startup, faults, recovery, checks.

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
        time::{Duration, Instant},
    },
    tokio::time::{sleep, timeout},
};

/// Time allowed until all instances are ready, in seconds.
const STARTUP_TIMEOUT_S: u64 = 15;
/// Time from the last fault to the final checks, in milliseconds. Within it the last configuration must become active
/// everywhere, and all remaining servers must be in use again.
const RECOVERY_MS: u64 = 5_000;

/// Runs a seed and returns the violations; the logs are kept if there are any.
pub(crate) async fn run_seed(seed: u64, size: &RunSize) -> io::Result<Vec<String>> {
    let cluster = Arc::new(Cluster::new(seed, *size).await?);
    let startup = async {
        for instance in &cluster.instances {
            while !is_ready(instance).await {
                sleep(Duration::from_millis(50)).await;
            }
        }
    };
    if timeout(Duration::from_secs(STARTUP_TIMEOUT_S), startup)
        .await
        .is_err()
    {
        return Err(io::Error::other("not all instances became ready in time"));
    }
    let mut rng = Rng::with_seed(seed);
    let stop = Arc::new(AtomicBool::new(false));
    let caller_tasks = callers::spawn_callers(&cluster, rng.fork(), &stop);
    let end = Instant::now() + Duration::from_secs(size.fault_duration_s);
    let series_rng = Rng::with_seed(!seed);
    let series = faults::inject_series(Arc::clone(&cluster), series_rng, end);
    let (config_version, series) =
        tokio::join!(faults::inject_faults(&cluster, &mut rng, end), series);
    let config_version = config_version.and_then(|version| series.map(|()| version))?;
    sleep(Duration::from_millis(RECOVERY_MS)).await;
    let mut violations = check_recovery(&cluster, config_version).await;
    stop.store(true, Ordering::SeqCst);
    for caller in caller_tasks {
        // Joining fails only if the caller panicked.
        if let Err(error) = caller.await {
            violations.push(format!("a caller task failed: {error}"));
        }
    }
    violations.extend(invariant_violations(&cluster));
    if violations.is_empty() {
        fs::remove_dir_all(&cluster.dir)?;
    } else {
        violations.push(format!("logs are kept in {}", cluster.dir.display()));
        violations.push(format!(
            "disruptions: {:?}",
            faults::disruption_counts(&cluster)
        ));
    }
    Ok(violations)
}
