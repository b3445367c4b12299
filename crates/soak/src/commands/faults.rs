//! Faults and changes in series that overlap, from outside the processes.

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
pub(crate) async fn inject_faults(cluster: &Arc<Cluster>, rng: &mut Rng) -> io::Result<u64> {
    let until = Instant::now() + Duration::from_secs(cluster.shape.fault_seconds);
    let mut running = JoinSet::new();
    let mut version = 1;
    let mut busy: Vec<Instant> = vec![Instant::now(); cluster.instances.len()];
    let mut left = 0;
    while Instant::now() < until {
        sleep(Duration::from_millis(rng.u64(0..GAP_MAX_MS))).await;
        let kind = KINDS[rng.usize(..KINDS.len())];
        let length = Duration::from_millis(rng.u64(LENGTH_MS));
        let instance = rng.usize(..cluster.instances.len());
        let server = rng.usize(..cluster.servers.len());
        let cluster = Arc::clone(cluster);
        let pick = rng.u64(..);
        match kind {
            "configuration" => {
                version += rng.u64(1..4);
                cluster.put_config(version);
                note(&cluster, kind, None, Duration::ZERO);
            }
            // Two servers stay, and one that left does not come back.
            "server leaves" if left + 2 < cluster.servers.len() => {
                let leaver = left;
                left += 1;
                running.spawn(async move { leave(&cluster, leaver, length).await });
            }
            "server leaves" => {}
            "stop" | "kill" | "pause" | "reload" if busy[instance] <= Instant::now() => {
                busy[instance] = Instant::now() + length + Duration::from_millis(STOP_MS);
                running.spawn(async move { process(&cluster, kind, instance, length).await });
            }
            "stop" | "kill" | "pause" | "reload" => {}
            "store cut" => {
                running.spawn(async move { cut_store(&cluster, instance, length).await });
            }
            kind if kind.starts_with("store") => {
                running.spawn(async move { store(&cluster, kind, length).await });
            }
            _ => {
                running
                    .spawn(async move { one_server(&cluster, kind, server, length, pick).await });
            }
        }
    }
    while let Some(ended) = running.join_next().await {
        ended.map_err(io::Error::other)??;
    }
    Ok(version)
}

/// Counts the disruptions of a run by kind.
pub(crate) fn disruption_counts(cluster: &Cluster) -> BTreeMap<&'static str, usize> {
    let mut counts = BTreeMap::new();
    for disruption in &cluster.observations().disruptions {
        *counts.entry(disruption.kind).or_default() += 1;
    }
    counts
}

fn note(cluster: &Cluster, kind: &'static str, target: Option<usize>, length: Duration) {
    let started_at = Instant::now();
    cluster.observations().disruptions.push(Disruption {
        kind,
        target,
        started_at,
        ends_at: started_at + length,
    });
}

async fn process(
    cluster: &Cluster,
    kind: &'static str,
    number: usize,
    length: Duration,
) -> io::Result<()> {
    let instance = &cluster.instances[number];
    let margin = Duration::from_millis(STOP_MS);
    note(cluster, kind, Some(number), length + margin);
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
            instance.restart()?;
        }
    }
    Ok(())
}

fn has_ended(instance: &crate::cluster::Instance) -> bool {
    let mut child = instance
        .child
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    // An error means that there is no such process any more.
    child.try_wait().map_or(true, |status| status.is_some())
}

async fn store(cluster: &Cluster, kind: &'static str, length: Duration) -> io::Result<()> {
    note(cluster, kind, None, length);
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
    sleep(length).await;
    cluster.store.update_knobs(|knobs| match kind {
        "store slow" => knobs.slow_ms = 0,
        "store loses answers" => knobs.lose_responses_percent = 0,
        _ => knobs.outage = OutageMode::None,
    });
    Ok(())
}

async fn cut_store(cluster: &Cluster, instance: usize, length: Duration) -> io::Result<()> {
    note(cluster, "store cut", Some(instance), length);
    let proxy = &cluster.instances[instance].store_proxy;
    proxy.update_knobs(|knobs| knobs.drop_from_target = true);
    sleep(length).await;
    proxy.update_knobs(|knobs| knobs.drop_from_target = false);
    proxy.silence_open_connections();
    Ok(())
}

async fn one_server(
    cluster: &Cluster,
    kind: &'static str,
    number: usize,
    length: Duration,
    pick: u64,
) -> io::Result<()> {
    note(cluster, kind, Some(number), length);
    let server = &cluster.servers[number];
    match kind {
        "server gray" => {
            let modes = [
                GrayFault::Errors,
                GrayFault::Hang,
                GrayFault::Slow,
                GrayFault::Cut,
                GrayFault::Mixed,
            ];
            let mode = modes[(pick % modes.len() as u64) as usize];
            server.backend.update_knobs(|knobs| knobs.gray = mode);
            sleep(length).await;
            server
                .backend
                .update_knobs(|knobs| knobs.gray = GrayFault::None);
        }
        "server silent" => server.proxy.silence_open_connections(),
        "server reset" => {
            server.proxy.update_knobs(|knobs| knobs.reset = true);
            sleep(length).await;
            server.proxy.update_knobs(|knobs| knobs.reset = false);
        }
        _ => {
            server.proxy.update_knobs(|knobs| knobs.delay_us = 30_000);
            sleep(length).await;
            server.proxy.update_knobs(|knobs| knobs.delay_us = 0);
        }
    }
    Ok(())
}

/// A server says that it leaves, goes on serving for a while, and is taken off the list.
async fn leave(cluster: &Cluster, server: usize, length: Duration) -> io::Result<()> {
    note(cluster, "server leaves", Some(server), length);
    cluster.put_server(server, "draining", 2);
    cluster
        .observations()
        .draining
        .push((server, Instant::now()));
    sleep(length).await;
    cluster.put_server(server, "gone", 3);
    // A write of before, executed late.
    sleep(length / 2).await;
    cluster.put_server(server, "ready", 1);
    sleep(Duration::from_millis(500)).await;
    cluster.put_server(server, "gone", 3);
    Ok(())
}
