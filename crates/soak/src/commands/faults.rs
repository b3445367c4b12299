//! Overlapping faults and changes, injected from outside the processes.

use {
    crate::cluster::{Cluster, Disruption},
    fastrand::Rng,
    standin::{GrayFault, OutageMode},
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

/// Upper bound of the time between the starts of two disruptions, in milliseconds.
const MAX_GAP_MS: u64 = 900;
/// Range of a disruption's duration, in milliseconds.
const DURATION_MS: std::ops::Range<u64> = 300..2_500;
/// Time in which a process must exit after a signal, in milliseconds; `stop_s` in its settings is four seconds.
const STOP_TIMEOUT_MS: u64 = 5_000;

/// Kinds of disruptions, drawn with equal probability. The prefixes `store` and `server` name what is affected; the
/// checks depend on these names.
const DISRUPTION_KINDS: [&str; 16] = [
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

/// Injects the faults of a seed and waits until all have ended; returns the version of the last configuration.
pub(crate) async fn inject_faults(cluster: &Arc<Cluster>, rng: &mut Rng) -> io::Result<u64> {
    let end = Instant::now() + Duration::from_secs(cluster.size.fault_duration_s);
    let mut tasks = JoinSet::new();
    let mut version = 1;
    let mut busy_until: Vec<Instant> = vec![Instant::now(); cluster.instances.len()];
    let mut drained_count = 0;
    while Instant::now() < end {
        sleep(Duration::from_millis(rng.u64(0..MAX_GAP_MS))).await;
        let kind = DISRUPTION_KINDS[rng.usize(..DISRUPTION_KINDS.len())];
        let duration = Duration::from_millis(rng.u64(DURATION_MS));
        let instance = rng.usize(..cluster.instances.len());
        let server = rng.usize(..cluster.servers.len());
        let cluster = Arc::clone(cluster);
        let random = rng.u64(..);
        match kind {
            "configuration" => {
                version += rng.u64(1..4);
                cluster.put_config(version);
                record_disruption(&cluster, kind, None, Duration::ZERO);
            }
            // Two servers always stay, and a drained one does not return.
            "server leaves" if drained_count + 2 < cluster.servers.len() => {
                let server_to_drain = drained_count;
                drained_count += 1;
                tasks.spawn(async move { drain_server(&cluster, server_to_drain, duration).await });
            }
            "server leaves" => {}
            "stop" | "kill" | "pause" | "reload" if busy_until[instance] <= Instant::now() => {
                busy_until[instance] =
                    Instant::now() + duration + Duration::from_millis(STOP_TIMEOUT_MS);
                tasks.spawn(
                    async move { disrupt_process(&cluster, kind, instance, duration).await },
                );
            }
            "stop" | "kill" | "pause" | "reload" => {}
            "store cut" => {
                tasks
                    .spawn(async move { drop_store_responses(&cluster, instance, duration).await });
            }
            kind if kind.starts_with("store") => {
                tasks.spawn(async move { disrupt_store(&cluster, kind, duration).await });
            }
            _ => {
                tasks.spawn(async move {
                    disrupt_server(&cluster, kind, server, duration, random).await
                });
            }
        }
    }
    while let Some(result) = tasks.join_next().await {
        result.map_err(io::Error::other)??;
    }
    Ok(version)
}

/// Counts a run's disruptions by kind.
pub(crate) fn disruption_counts(cluster: &Cluster) -> BTreeMap<&'static str, usize> {
    let mut counts = BTreeMap::new();
    for disruption in &cluster.observations().disruptions {
        *counts.entry(disruption.kind).or_default() += 1;
    }
    counts
}

fn record_disruption(
    cluster: &Cluster,
    kind: &'static str,
    target: Option<usize>,
    duration: Duration,
) {
    let started_at = Instant::now();
    cluster.observations().disruptions.push(Disruption {
        kind,
        target,
        started_at,
        ends_at: started_at + duration,
    });
}

/// Stops, kills, pauses or reloads an instance, and starts it again if it exited.
async fn disrupt_process(
    cluster: &Cluster,
    kind: &'static str,
    index: usize,
    duration: Duration,
) -> io::Result<()> {
    let instance = &cluster.instances[index];
    let stop_timeout = Duration::from_millis(STOP_TIMEOUT_MS);
    record_disruption(cluster, kind, Some(index), duration + stop_timeout);
    match kind {
        "reload" => instance.signal(libc::SIGHUP),
        "pause" => {
            instance.signal(libc::SIGSTOP);
            sleep(duration).await;
            instance.signal(libc::SIGCONT);
        }
        kind => {
            let signal = if kind == "stop" {
                libc::SIGTERM
            } else {
                libc::SIGKILL
            };
            instance.signal(signal);
            let exited = timeout(stop_timeout, async {
                while !has_exited(instance) {
                    sleep(Duration::from_millis(20)).await;
                }
            });
            if exited.await.is_err() {
                instance.signal(libc::SIGKILL);
                return Err(io::Error::other(format!(
                    "instance {index} did not exit in time after a {kind}"
                )));
            }
            sleep(duration / 4).await;
            instance.restart()?;
        }
    }
    Ok(())
}

fn has_exited(instance: &crate::cluster::Instance) -> bool {
    let mut child = instance
        .child
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    // `try_wait` fails if the process no longer exists.
    child.try_wait().map_or(true, |status| status.is_some())
}

async fn disrupt_store(
    cluster: &Cluster,
    kind: &'static str,
    duration: Duration,
) -> io::Result<()> {
    record_disruption(cluster, kind, None, duration);
    cluster.store.update_knobs(|knobs| match kind {
        "store refuses" => knobs.outage = OutageMode::Refuse,
        "store closes" => knobs.outage = OutageMode::Close,
        "store silent" => knobs.outage = OutageMode::Hang,
        "store slow" => knobs.slow_ms = 200,
        _ => {
            knobs.lose_responses_percent = 40;
            knobs.lost_append_delay_ms = 700;
        }
    });
    sleep(duration).await;
    cluster.store.update_knobs(|knobs| match kind {
        "store slow" => knobs.slow_ms = 0,
        "store loses answers" => knobs.lose_responses_percent = 0,
        _ => knobs.outage = OutageMode::None,
    });
    Ok(())
}

/// Drops the store's responses to one instance for `duration`; then silences its open connections, which may have lost
/// data, and lets new ones work.
async fn drop_store_responses(
    cluster: &Cluster,
    instance: usize,
    duration: Duration,
) -> io::Result<()> {
    record_disruption(cluster, "store cut", Some(instance), duration);
    let proxy = &cluster.instances[instance].store_proxy;
    proxy.update_knobs(|knobs| knobs.drop_from_target = true);
    sleep(duration).await;
    proxy.update_knobs(|knobs| knobs.drop_from_target = false);
    proxy.silence_open_connections();
    Ok(())
}

async fn disrupt_server(
    cluster: &Cluster,
    kind: &'static str,
    index: usize,
    duration: Duration,
    random: u64,
) -> io::Result<()> {
    record_disruption(cluster, kind, Some(index), duration);
    let server = &cluster.servers[index];
    match kind {
        "server gray" => {
            let faults = [
                GrayFault::Errors,
                GrayFault::Hang,
                GrayFault::Slow,
                GrayFault::Cut,
                GrayFault::Mixed,
            ];
            let fault = faults[(random % faults.len() as u64) as usize];
            server.backend.update_knobs(|knobs| knobs.gray = fault);
            sleep(duration).await;
            server
                .backend
                .update_knobs(|knobs| knobs.gray = GrayFault::None);
        }
        "server silent" => server.proxy.silence_open_connections(),
        "server reset" => {
            server.proxy.update_knobs(|knobs| knobs.reset = true);
            sleep(duration).await;
            server.proxy.update_knobs(|knobs| knobs.reset = false);
        }
        _ => {
            server.proxy.update_knobs(|knobs| knobs.delay_us = 30_000);
            sleep(duration).await;
            server.proxy.update_knobs(|knobs| knobs.delay_us = 0);
        }
    }
    Ok(())
}

/// Announces that a server is draining, lets it serve for `duration`, and deletes its record; then an outdated `ready`
/// record arrives late and is deleted again.
async fn drain_server(cluster: &Cluster, server: usize, duration: Duration) -> io::Result<()> {
    record_disruption(cluster, "server leaves", Some(server), duration);
    cluster.put_server(server, "draining", 2);
    cluster
        .observations()
        .draining
        .push((server, Instant::now()));
    sleep(duration).await;
    cluster.put_server(server, "gone", 3);
    // An earlier write that the store executes late.
    sleep(duration / 2).await;
    cluster.put_server(server, "ready", 1);
    sleep(Duration::from_millis(500)).await;
    cluster.put_server(server, "gone", 3);
    Ok(())
}
