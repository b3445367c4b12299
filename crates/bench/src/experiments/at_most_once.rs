//! No key runs twice and no request that ran is called not run, whatever fails.

use {
    crate::{
        balancer::Balancer,
        client::HttpClient,
        cluster::Cluster,
        experiments::RunOptions,
        figures::{Bound, Figures},
        load::{self, LoadProfile, RequestClass, RequestOutcome, ScheduledRequest},
        topology::Topology,
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

pub(crate) async fn run(options: RunOptions, figures: &mut Figures) -> io::Result<()> {
    let mut cluster = Cluster::start(Topology::four_data_centres(options.instances)).await?;
    cluster
        .platform
        .update_knobs(|knobs| knobs.lose_responses_percent = 20);
    let balancer = Balancer::new(&cluster);
    tokio::spawn(balancer.clone().poll_readiness(cluster.client.clone()));
    let load = LoadProfile::new(&cluster, "once", options.seed)
        .with_rate(RATE_PER_S, Duration::from_secs(LOAD_S))
        .with_classes(&[
            RequestClass::Keyed,
            RequestClass::Keyed,
            RequestClass::Unkeyed,
        ]);
    let client = cluster.client.clone();
    let loading = tokio::spawn(repeated(load, balancer.clone(), client));
    inject(&mut cluster, &balancer, options.seed).await?;
    let outcomes = loading.await.map_err(io::Error::other)?;
    sleep(Duration::from_secs(SETTLE_S)).await;
    judge(&cluster, &outcomes, figures);
    Ok(())
}

/// Puts the load on, and repeats each keyed request once or twice at random instances.
async fn repeated(
    load: LoadProfile,
    balancer: Balancer,
    client: HttpClient,
) -> Vec<RequestOutcome> {
    let (sender, mut receiver) = mpsc::unbounded_channel();
    let runtime = tokio::runtime::Handle::current();
    let pacing = tokio::task::spawn_blocking(move || {
        let mut rng = Rng::with_seed(load.seed + 1);
        load::generate_requests(&load, |ask| {
            let repeats = if ask.class == RequestClass::Keyed {
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
                let again = ScheduledRequest {
                    target_random: rng.usize(..),
                    ..ask.clone()
                };
                let (client, balancer) = (client.clone(), balancer.clone());
                let sender = sender.clone();
                runtime.spawn(async move {
                    sleep(Duration::from_millis(pause_ms)).await;
                    // The receiver outlives all senders.
                    let _ = sender.send(load::send_balanced(client, balancer, again).await);
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

async fn inject(cluster: &mut Cluster, balancer: &Balancer, seed: u64) -> io::Result<()> {
    let mut rng = Rng::with_seed(seed + 2);
    let until = Instant::now() + Duration::from_secs(LOAD_S);
    while Instant::now() < until {
        let index = rng.usize(..cluster.instances.len());
        match rng.u32(0..7) {
            0 => {
                cluster.instances[index].process.kill();
                cluster.replace_instance(index).await?;
                balancer.update_targets(cluster);
            }
            1 => freeze_for(cluster, index, rng.u64(100..2_000)).await,
            2 => cluster.instances[index]
                .platform_proxy
                .update_knobs(|knobs| knobs.drop_from_target = true),
            3 => cluster.instances[index]
                .platform_proxy
                .update_knobs(|knobs| knobs.drop_to_target = true),
            4 => {
                if let Some(proxy) = &cluster.instances[index].rpc_proxy {
                    proxy.update_knobs(|knobs| knobs.drop_from_target = !knobs.drop_from_target);
                }
            }
            5 => {
                let server = rng.usize(..cluster.servers.len());
                let modes = [
                    GrayFault::Cut,
                    GrayFault::Errors,
                    GrayFault::Hang,
                    GrayFault::Mixed,
                ];
                let gray = modes[rng.usize(..modes.len())];
                cluster.servers[server]
                    .backend
                    .update_knobs(|knobs| knobs.gray = gray);
            }
            _ => heal(cluster),
        }
        sleep(Duration::from_millis(FAULT_INTERVAL_MS)).await;
    }
    heal(cluster);
    Ok(())
}

async fn freeze_for(cluster: &Cluster, index: usize, time_ms: u64) {
    cluster.instances[index].process.suspend();
    sleep(Duration::from_millis(time_ms)).await;
    cluster.instances[index].process.resume();
}

fn heal(cluster: &Cluster) {
    for instance in &cluster.instances {
        instance.platform_proxy.update_knobs(|knobs| {
            knobs.drop_to_target = false;
            knobs.drop_from_target = false;
        });
        if let Some(proxy) = &instance.rpc_proxy {
            proxy.update_knobs(|knobs| knobs.drop_from_target = false);
        }
    }
    for server in &cluster.servers {
        server
            .backend
            .update_knobs(|knobs| knobs.gray = GrayFault::None);
    }
}

fn judge(cluster: &Cluster, outcomes: &[RequestOutcome], figures: &mut Figures) {
    let counts = cluster.execution_counts();
    let runs = |id: &str| counts.get(id).copied().unwrap_or(0);
    let mut by_id: HashMap<&str, Vec<&RequestOutcome>> = HashMap::new();
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
    figures.record(
        "requests that ran twice",
        twice as f64,
        "1",
        Bound::AtMost(0.0),
    );
    figures.record("not-run that ran", denied as f64, "1", Bound::AtMost(0.0));
    figures.record("ids", by_id.len() as f64, "1", Bound::AtLeast(1.0));
    figures.record("answered as ran", share("ran"), "%", Bound::None);
    figures.record("answered as not-run", share("not-run"), "%", Bound::None);
    figures.record("answered as unknown", share("unknown"), "%", Bound::None);
    let (appended, refused) = cluster.platform.append_counts();
    figures.record("appends", appended as f64, "1", Bound::None);
    figures.record(
        "appends refused for their rate",
        refused as f64,
        "1",
        Bound::None,
    );
}
