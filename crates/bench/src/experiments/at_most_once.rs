//! Checks that no request is executed twice and that none that was executed is reported as not run, under random faults
//! and concurrent retries.

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
/// Duration of the load, in seconds.
const LOAD_S: u64 = 20;
/// Interval between injected faults, in milliseconds.
const FAULT_INTERVAL_MS: u64 = 500;
/// Upper limit of the delay of a retry, in milliseconds.
const RETRY_DELAY_MAX_MS: u64 = 1_500;
/// Time for the last executions at the servers to end, in seconds.
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
    let load_task = tokio::spawn(run_with_retries(load, balancer.clone(), client));
    inject_faults(&mut cluster, &balancer, options.seed).await?;
    let outcomes = load_task.await.map_err(io::Error::other)?;
    sleep(Duration::from_secs(SETTLE_S)).await;
    report(&cluster, &outcomes, figures);
    Ok(())
}

/// Generates the load and sends each keyed request once or twice more, after a random delay and at random instances.
async fn run_with_retries(
    load: LoadProfile,
    balancer: Balancer,
    client: HttpClient,
) -> Vec<RequestOutcome> {
    let (sender, mut receiver) = mpsc::unbounded_channel();
    let runtime = tokio::runtime::Handle::current();
    let generator = tokio::task::spawn_blocking(move || {
        let mut rng = Rng::with_seed(load.seed + 1);
        load::generate_requests(&load, |request| {
            let retries = if request.class == RequestClass::Keyed {
                rng.u64(1..=2)
            } else {
                0
            };
            for attempt in 0..=retries {
                let delay_ms = if attempt == 0 {
                    0
                } else {
                    rng.u64(0..RETRY_DELAY_MAX_MS)
                };
                let attempt_request = ScheduledRequest {
                    target_random: rng.usize(..),
                    ..request.clone()
                };
                let (client, balancer) = (client.clone(), balancer.clone());
                let sender = sender.clone();
                runtime.spawn(async move {
                    sleep(Duration::from_millis(delay_ms)).await;
                    // Can't fail: the receiver lives until all senders are dropped.
                    let _ =
                        sender.send(load::send_balanced(client, balancer, attempt_request).await);
                });
            }
        });
    });
    let mut outcomes = Vec::new();
    while let Some(outcome) = receiver.recv().await {
        outcomes.push(outcome);
    }
    // Does not block: the channel closes only after the generator has dropped its sender.
    let _ = generator.await;
    outcomes
}

async fn inject_faults(cluster: &mut Cluster, balancer: &Balancer, seed: u64) -> io::Result<()> {
    let mut rng = Rng::with_seed(seed + 2);
    let deadline = Instant::now() + Duration::from_secs(LOAD_S);
    while Instant::now() < deadline {
        let index = rng.usize(..cluster.instances.len());
        match rng.u32(0..7) {
            0 => {
                cluster.instances[index].process.kill();
                cluster.replace_instance(index).await?;
                balancer.update_targets(cluster);
            }
            1 => suspend_for(cluster, index, rng.u64(100..2_000)).await,
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
                let faults = [
                    GrayFault::Cut,
                    GrayFault::Errors,
                    GrayFault::Hang,
                    GrayFault::Mixed,
                ];
                let fault = faults[rng.usize(..faults.len())];
                cluster.servers[server]
                    .backend
                    .update_knobs(|knobs| knobs.gray = fault);
            }
            _ => clear_faults(cluster),
        }
        sleep(Duration::from_millis(FAULT_INTERVAL_MS)).await;
    }
    clear_faults(cluster);
    Ok(())
}

async fn suspend_for(cluster: &Cluster, index: usize, time_ms: u64) {
    cluster.instances[index].process.suspend();
    sleep(Duration::from_millis(time_ms)).await;
    cluster.instances[index].process.resume();
}

fn clear_faults(cluster: &Cluster) {
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

fn report(cluster: &Cluster, outcomes: &[RequestOutcome], figures: &mut Figures) {
    let counts = cluster.execution_counts();
    let executions = |id: &str| counts.get(id).copied().unwrap_or(0);
    let mut by_id: HashMap<&str, Vec<&RequestOutcome>> = HashMap::new();
    for outcome in outcomes {
        by_id.entry(&outcome.id).or_default().push(outcome);
    }
    let executed_twice = by_id.keys().filter(|id| executions(id) > 1).count();
    let executed_as_not_run = by_id
        .iter()
        .filter(|(id, attempts)| {
            executions(id) > 0
                && attempts
                    .iter()
                    .all(|attempt| attempt.execution_status == "not-run")
        })
        .count();
    let percentage = |status: &str| {
        let count = outcomes
            .iter()
            .filter(|outcome| outcome.execution_status == status)
            .count();
        100.0 * count as f64 / outcomes.len() as f64
    };
    figures.record(
        "requests that ran twice",
        executed_twice as f64,
        "1",
        Bound::AtMost(0.0),
    );
    figures.record(
        "not-run that ran",
        executed_as_not_run as f64,
        "1",
        Bound::AtMost(0.0),
    );
    figures.record("ids", by_id.len() as f64, "1", Bound::AtLeast(1.0));
    figures.record("answered as ran", percentage("ran"), "%", Bound::None);
    figures.record(
        "answered as not-run",
        percentage("not-run"),
        "%",
        Bound::None,
    );
    figures.record(
        "answered as unknown",
        percentage("unknown"),
        "%",
        Bound::None,
    );
    let (appended, rejected) = cluster.platform.append_counts();
    figures.record("appends", appended as f64, "1", Bound::None);
    figures.record(
        "appends refused for their rate",
        rejected as f64,
        "1",
        Bound::None,
    );
}
