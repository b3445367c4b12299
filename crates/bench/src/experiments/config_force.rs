//! Accepted versions are in force everywhere within seconds and never revert.

use {
    crate::{
        cluster::Cluster,
        experiments::RunOptions,
        figures::{Bound, Figures},
        process::{APPROVER, PROPOSER},
        topology::Topology,
    },
    std::{
        collections::HashMap,
        io,
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
    wire::{
        generated::{AdminResponse, DecideRequest, DocumentJson, ProposeRequest},
        to_json,
    },
};

/// Bound on the time until a version is in force everywhere, in seconds (letter 1).
const FORCE_S: f64 = 5.0;
/// Code of a receipt that reports success.
const DONE: u32 = 1_000;
/// Versions put in force under faults.
const ROUNDS: u64 = 6;
/// Pause between looks, in milliseconds.
const LOOK_MS: u64 = 50;

pub(crate) async fn run(options: RunOptions, figures: &mut Figures) -> io::Result<()> {
    let mut cluster = Cluster::start(Topology {
        snapshot_interval_ms: 2_000,
        ..Topology::three_data_centres(options.instances)
    })
    .await?;
    let mut rng = fastrand::Rng::with_seed(options.seed);
    let mut seen = Seen::default();
    let mut worst_s: f64 = 0.0;
    let mut both_accepted = 0.0;
    for round in 1..=ROUNDS {
        fault(&mut cluster, &mut rng, round).await?;
        let base = seen.highest.max(1);
        let (accepted, count) = race(&cluster, base, round).await?;
        if count != 1 {
            both_accepted += 1.0;
        }
        let Some(version) = accepted else {
            continue;
        };
        worst_s = worst_s.max(seen.wait_everywhere(&cluster, version).await);
        heal(&cluster);
    }
    figures.record(
        "worst time until in force everywhere",
        worst_s,
        "s",
        Bound::AtMost(FORCE_S),
    );
    figures.record(
        "races not won by exactly one",
        both_accepted,
        "1",
        Bound::AtMost(0.0),
    );
    figures.record(
        "versions that went back",
        f64::from(seen.reverts),
        "1",
        Bound::AtMost(0.0),
    );
    let disagreed = f64::from(seen.disagreed);
    figures.record(
        "versions with two digests",
        disagreed,
        "1",
        Bound::AtMost(0.0),
    );
    figures.record(
        "highest version",
        seen.highest as f64,
        "1",
        Bound::AtLeast((ROUNDS + 1) as f64),
    );
    Ok(())
}

/// One instance's link to the log is cut or slow, one instance is replaced, and the log is trimmed early.
async fn fault(cluster: &mut Cluster, rng: &mut fastrand::Rng, round: u64) -> io::Result<()> {
    let count = cluster.instances.len();
    for _ in 0..count / 4 {
        // The first two instances serve the operators of this experiment.
        let index = rng.usize(2.min(count - 1)..count);
        let up = rng.bool();
        cluster.instances[index]
            .platform_proxy
            .update_knobs(|knobs| {
                knobs.drop_to_target = up;
                knobs.drop_from_target = !up;
            });
    }
    cluster.platform.update_knobs(|knobs| {
        knobs.slow_ms = if round.is_multiple_of(2) { 200 } else { 0 };
        knobs.lose_responses_percent = if round.is_multiple_of(3) { 50 } else { 0 };
    });
    if round % 2 == 1 {
        cluster.platform.trim_stream("config");
    }
    if count > 2 {
        let index = rng.usize(2..count);
        cluster.replace_instance(index).await?;
    }
    Ok(())
}

fn heal(cluster: &Cluster) {
    for instance in &cluster.instances {
        instance.platform_proxy.update_knobs(|knobs| {
            knobs.drop_to_target = false;
            knobs.drop_from_target = false;
        });
    }
}

/// Two operators propose and approve at the same time; returns the accepted version and how many succeeded.
async fn race(cluster: &Cluster, base: u64, round: u64) -> io::Result<(Option<u64>, usize)> {
    let first = cluster.instances[0].process.admin_address;
    let second = cluster.instances[1 % cluster.instances.len()]
        .process
        .admin_address;
    let (one, other) = tokio::join!(
        change(cluster, first, base, document(cluster, round, 1)),
        change(cluster, second, base, document(cluster, round, 2)),
    );
    let receipts = [one?, other?];
    let done: Vec<&AdminResponse> = receipts
        .iter()
        .filter(|receipt| receipt.code == DONE)
        .collect();
    Ok((done.first().map(|receipt| receipt.version), done.len()))
}

fn document(cluster: &Cluster, round: u64, operator: u64) -> DocumentJson {
    let mut document = cluster.topology.document();
    document.services[0].deadline_ms = 1_000 + round * 10 + operator;
    document
}

async fn change(
    cluster: &Cluster,
    admin: SocketAddr,
    base_version: u64,
    document: DocumentJson,
) -> io::Result<AdminResponse> {
    let ask = ProposeRequest {
        base_version,
        document,
    };
    let proposed = cluster
        .post_admin(admin, "/config/propose", PROPOSER.1, to_json(&ask))
        .await?;
    if proposed.code != DONE {
        return Ok(proposed);
    }
    let ask = DecideRequest {
        offset: proposed.offset,
        digest: proposed.digest,
    };
    cluster
        .post_admin(admin, "/config/approve", APPROVER.1, to_json(&ask))
        .await
}

/// What was seen of versions at the instances.
#[derive(Debug, Default)]
struct Seen {
    highest: u64,
    reverts: u32,
    disagreed: u32,
    by_instance: HashMap<String, u64>,
    digests: HashMap<u64, String>,
}

impl Seen {
    /// Waits until every instance has at least `version`; returns how long that took, in seconds.
    async fn wait_everywhere(&mut self, cluster: &Cluster, version: u64) -> f64 {
        let start = Instant::now();
        self.highest = self.highest.max(version);
        let limit = Duration::from_secs_f64(FORCE_S * 2.0);
        loop {
            let mut missing = Vec::new();
            for instance in &cluster.instances {
                let status = cluster.fetch_status(instance.process.admin_address).await;
                match status {
                    Some(status) => {
                        self.note(
                            &status.instance,
                            status.config_version,
                            &status.config_digest,
                        );
                        if status.config_version < version {
                            missing.push(status.instance);
                        }
                    }
                    None => missing.push(instance.process.config.name.clone()),
                }
            }
            let elapsed = start.elapsed();
            if missing.is_empty() || elapsed > limit {
                if !missing.is_empty() {
                    eprintln!("version {version} is missing at {}", missing.join(", "));
                }
                return elapsed.as_secs_f64();
            }
            sleep(Duration::from_millis(LOOK_MS)).await;
        }
    }

    fn note(&mut self, instance: &str, version: u64, digest: &str) {
        let before = self.by_instance.insert(instance.to_owned(), version);
        self.reverts += u32::from(before.is_some_and(|before| version < before));
        if version > 0 {
            let known = self
                .digests
                .entry(version)
                .or_insert_with(|| digest.to_owned());
            self.disagreed += u32::from(known != digest);
        }
    }
}
