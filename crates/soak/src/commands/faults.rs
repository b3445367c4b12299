//! Overlapping faults and changes, injected from outside the processes.

use {
    crate::cluster::{Cluster, Disruption, SERVER_SLOTS},
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
/// Time from a server's first answer that says that it leaves to its record, as a multiple of the drawn duration.
const RECORD_LAG: u32 = 3;
/// Time in which a process must exit after a signal, in milliseconds; `stop_s` in its settings is four seconds.
const STOP_TIMEOUT_MS: u64 = 5_000;

/// Upper bound of the time between the starts of two series, in milliseconds.
const SERIES_GAP_MS: u64 = 2_500;
/// Most signals of a series.
const SERIES_SIGNALS_MAX: usize = 4;
/// Upper bound of the time between two signals of a series, in milliseconds.
const SERIES_SIGNAL_GAP_MS: u64 = 300;
/// Range of the duration of a pause in a series, in milliseconds.
const SERIES_PAUSE_MS: std::ops::Range<u64> = 20..600;
/// Longest time for which a shedding server asks for no requests, in seconds.
const SHED_WAIT_MAX_S: u32 = 3;

/// Kinds of disruptions, drawn with equal probability. The prefixes `store` and `server` name what is affected; the
/// checks depend on these names.
const DISRUPTION_KINDS: [&str; 17] = [
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
    "store loses records",
    "server gray",
    "server silent",
    "server reset",
    "server delayed",
    "server leaves",
    "configuration",
];

/// Injects the faults of a seed and waits until all have ended; returns the version of the last configuration.
pub(crate) async fn inject_faults(
    cluster: &Arc<Cluster>,
    rng: &mut Rng,
    end: Instant,
) -> io::Result<u64> {
    let mut tasks = JoinSet::new();
    let mut version = 1;
    let mut busy_until: Vec<Instant> = vec![Instant::now(); cluster.instances.len()];
    let mut drained_count = 0;
    let mut store_busy_until = Instant::now();
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
                // Each version of a series replaces the one before at once.
                let newest = version + rng.u64(1..4);
                while version < newest {
                    version += 1;
                    cluster.put_config(version);
                }
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
            // A copy from before another loss has records that this one lost.
            "store loses records" if store_busy_until > Instant::now() => {}
            "store loses records" => {
                store_busy_until = Instant::now() + duration * 2;
                tasks.spawn(async move { roll_store_back(&cluster, duration).await });
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

/// Injects changes and signals in series until `end`: several configurations, several signals to one instance, and servers
/// that ask for no requests. They overlap with one another and with the other faults.
pub(crate) async fn inject_series(
    cluster: Arc<Cluster>,
    mut rng: Rng,
    end: Instant,
) -> io::Result<()> {
    let mut tasks = JoinSet::new();
    while Instant::now() < end {
        sleep(Duration::from_millis(rng.u64(0..SERIES_GAP_MS))).await;
        let (instance, server) = (
            rng.usize(..cluster.instances.len()),
            rng.usize(..cluster.servers.len()),
        );
        let (cluster, fork) = (Arc::clone(&cluster), rng.fork());
        match rng.u8(..2) {
            0 => tasks.spawn(send_signals(cluster, instance, fork)),
            _ => tasks.spawn(shed_all(cluster, server, fork)),
        };
    }
    while let Some(result) = tasks.join_next().await {
        result.map_err(io::Error::other)??;
    }
    Ok(())
}

/// Sends an instance several signals, each before the last has had its effect.
async fn send_signals(cluster: Arc<Cluster>, instance: usize, mut rng: Rng) -> io::Result<()> {
    let mut tasks = JoinSet::new();
    for _ in 0..rng.usize(2..=SERIES_SIGNALS_MAX) {
        let kind = ["reload", "reload", "pause", "stop", "kill"][rng.usize(..5)];
        let duration = Duration::from_millis(rng.u64(SERIES_PAUSE_MS));
        let cluster = Arc::clone(&cluster);
        tasks.spawn(async move { disrupt_process(&cluster, kind, instance, duration).await });
        sleep(Duration::from_millis(rng.u64(0..SERIES_SIGNAL_GAP_MS))).await;
    }
    while let Some(result) = tasks.join_next().await {
        result.map_err(io::Error::other)??;
    }
    Ok(())
}

/// Lets a server shed all requests for a time, and ask each instance for no more until later.
async fn shed_all(cluster: Arc<Cluster>, server: usize, mut rng: Rng) -> io::Result<()> {
    let duration = Duration::from_millis(rng.u64(DURATION_MS));
    record_disruption(&cluster, "server sheds", Some(server), duration);
    let backend = &cluster.servers[server].backend;
    let wait_s = rng.u32(1..=SHED_WAIT_MAX_S);
    backend.update_knobs(|knobs| (knobs.slots, knobs.retry_after_s) = (0, wait_s));
    sleep(duration).await;
    backend.update_knobs(|knobs| (knobs.slots, knobs.retry_after_s) = (SERVER_SLOTS, 0));
    Ok(())
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
            let _restarting = instance.restarting.lock().await;
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

/// Lets the store go away for a moment and return without the records of the last `duration`; operators and servers then write
/// theirs again.
async fn roll_store_back(cluster: &Cluster, duration: Duration) -> io::Result<()> {
    record_disruption(cluster, "store loses records", None, duration * 2);
    let copy = cluster.store.copy();
    sleep(duration).await;
    let set_outage = |outage| cluster.store.update_knobs(|knobs| knobs.outage = outage);
    set_outage(OutageMode::Close);
    sleep(duration / 2).await;
    let lost = cluster.store.roll_back(copy);
    set_outage(OutageMode::None);
    let by_others = |topic: &str| ["keyed.op", "keyed.servers"].contains(&topic);
    for (topic, record) in lost.into_iter().filter(|(topic, _)| by_others(topic)) {
        cluster.store.put_raw(&topic, record);
    }
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

/// Announces that a server is draining, first in its answers alone and then in its record, lets it serve for `duration`, and
/// deletes its record; then an outdated `ready` record arrives late and is deleted again.
async fn drain_server(cluster: &Cluster, server: usize, duration: Duration) -> io::Result<()> {
    let record_lag = duration * RECORD_LAG;
    record_disruption(
        cluster,
        "server leaves",
        Some(server),
        record_lag + duration,
    );
    let backend = &cluster.servers[server].backend;
    backend.update_knobs(|knobs| knobs.draining = true);
    let drain = (server, Instant::now());
    cluster.observations().draining_by_answer.push(drain);
    sleep(record_lag).await;
    cluster.put_server(server, "draining", 2);
    let drain = (server, Instant::now());
    cluster.observations().draining.push(drain);
    sleep(duration).await;
    cluster.put_server(server, "gone", 3);
    // An earlier write that the store executes late.
    sleep(duration / 2).await;
    cluster.put_server(server, "ready", 1);
    sleep(Duration::from_millis(500)).await;
    cluster.put_server(server, "gone", 3);
    Ok(())
}
