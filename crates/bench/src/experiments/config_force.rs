//! Checks that every accepted configuration is active at all instances within seconds and that no instance goes back to
//! an older version.

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

/// Bound on the time until a version is active at all instances, in seconds (letter 1).
const ACTIVATION_S: f64 = 5.0;
/// Response code of the administration API for success.
const SUCCESS_CODE: u32 = 1_000;
/// Number of versions that are activated under faults.
const ROUNDS: u64 = 6;
/// Interval between status polls, in milliseconds.
const POLL_INTERVAL_MS: u64 = 50;

pub(crate) async fn run(options: RunOptions, figures: &mut Figures) -> io::Result<()> {
    let mut cluster = Cluster::start(Topology {
        snapshot_interval_ms: 2_000,
        ..Topology::three_data_centres(options.instances)
    })
    .await?;
    let mut rng = fastrand::Rng::with_seed(options.seed);
    let mut observed = ObservedVersions::default();
    let mut worst_s: f64 = 0.0;
    let mut races_without_single_winner = 0.0;
    for round in 1..=ROUNDS {
        inject_faults(&mut cluster, &mut rng, round).await?;
        let base_version = observed.highest.max(1);
        let (accepted, count) = race_proposals(&cluster, base_version, round).await?;
        if count != 1 {
            races_without_single_winner += 1.0;
        }
        let Some(version) = accepted else {
            continue;
        };
        worst_s = worst_s.max(observed.wait_until_active(&cluster, version).await);
        reconnect_platform(&cluster);
    }
    figures.record(
        "worst time until in force everywhere",
        worst_s,
        "s",
        Bound::AtMost(ACTIVATION_S),
    );
    figures.record(
        "races not won by exactly one",
        races_without_single_winner,
        "1",
        Bound::AtMost(0.0),
    );
    figures.record(
        "versions that went back",
        f64::from(observed.reverts),
        "1",
        Bound::AtMost(0.0),
    );
    let conflicts = f64::from(observed.conflicts);
    figures.record(
        "versions with two digests",
        conflicts,
        "1",
        Bound::AtMost(0.0),
    );
    figures.record(
        "highest version",
        observed.highest as f64,
        "1",
        Bound::AtLeast((ROUNDS + 1) as f64),
    );
    Ok(())
}

/// Cuts up to a quarter of the instances off from the platform in one direction and replaces one instance. Depending on
/// the round, the log is also slow, loses responses or is trimmed early.
async fn inject_faults(
    cluster: &mut Cluster,
    rng: &mut fastrand::Rng,
    round: u64,
) -> io::Result<()> {
    let count = cluster.instances.len();
    for _ in 0..count / 4 {
        // The first two instances serve the operators' requests and keep their connection.
        let index = rng.usize(2.min(count - 1)..count);
        let drops_requests = rng.bool();
        cluster.instances[index]
            .platform_proxy
            .update_knobs(|knobs| {
                knobs.drop_to_target = drops_requests;
                knobs.drop_from_target = !drops_requests;
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

fn reconnect_platform(cluster: &Cluster) {
    for instance in &cluster.instances {
        instance.platform_proxy.update_knobs(|knobs| {
            knobs.drop_to_target = false;
            knobs.drop_from_target = false;
        });
    }
}

/// Lets two operators propose and approve different documents at the same time; returns the accepted version and the
/// number of operators that succeeded.
async fn race_proposals(
    cluster: &Cluster,
    base_version: u64,
    round: u64,
) -> io::Result<(Option<u64>, usize)> {
    let first_admin = cluster.instances[0].process.admin_address;
    let second_admin = cluster.instances[1 % cluster.instances.len()]
        .process
        .admin_address;
    let (first_result, second_result) = tokio::join!(
        propose_and_approve(
            cluster,
            first_admin,
            base_version,
            document(cluster, round, 1)
        ),
        propose_and_approve(
            cluster,
            second_admin,
            base_version,
            document(cluster, round, 2)
        ),
    );
    let responses = [first_result?, second_result?];
    let accepted: Vec<&AdminResponse> = responses
        .iter()
        .filter(|response| response.code == SUCCESS_CODE)
        .collect();
    Ok((
        accepted.first().map(|response| response.version),
        accepted.len(),
    ))
}

fn document(cluster: &Cluster, round: u64, operator: u64) -> DocumentJson {
    let mut document = cluster.topology.document();
    document.services[0].deadline_ms = 1_000 + round * 10 + operator;
    document
}

async fn propose_and_approve(
    cluster: &Cluster,
    admin: SocketAddr,
    base_version: u64,
    document: DocumentJson,
) -> io::Result<AdminResponse> {
    let proposal = ProposeRequest {
        base_version,
        document,
    };
    let proposed = cluster
        .post_admin(admin, "/config/propose", PROPOSER.1, to_json(&proposal))
        .await?;
    if proposed.code != SUCCESS_CODE {
        return Ok(proposed);
    }
    let approval = DecideRequest {
        offset: proposed.offset,
        digest: proposed.digest,
    };
    cluster
        .post_admin(admin, "/config/approve", APPROVER.1, to_json(&approval))
        .await
}

/// Configuration versions and digests that the instances have reported.
#[derive(Debug, Default)]
struct ObservedVersions {
    highest: u64,
    reverts: u32,
    conflicts: u32,
    by_instance: HashMap<String, u64>,
    digests: HashMap<u64, String>,
}

impl ObservedVersions {
    /// Polls all instances until each has at least `version`; returns the time that this took, in seconds. Gives up
    /// after twice the bound and prints the instances that don't have the version.
    async fn wait_until_active(&mut self, cluster: &Cluster, version: u64) -> f64 {
        let start = Instant::now();
        self.highest = self.highest.max(version);
        let limit = Duration::from_secs_f64(ACTIVATION_S * 2.0);
        loop {
            let mut missing = Vec::new();
            for instance in &cluster.instances {
                let status = cluster.fetch_status(instance.process.admin_address).await;
                match status {
                    Some(status) => {
                        self.observe(
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
                    eprintln!("version {version} is not active at {}", missing.join(", "));
                }
                return elapsed.as_secs_f64();
            }
            sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
    }

    fn observe(&mut self, instance: &str, version: u64, digest: &str) {
        let previous = self.by_instance.insert(instance.to_owned(), version);
        self.reverts += u32::from(previous.is_some_and(|previous| version < previous));
        if version > 0 {
            let known = self
                .digests
                .entry(version)
                .or_insert_with(|| digest.to_owned());
            self.conflicts += u32::from(known != digest);
        }
    }
}
