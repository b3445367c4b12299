//! Checks that a leaving backend server receives no new requests after a few seconds.

use {
    crate::{
        balancer::Balancer,
        cluster::Cluster,
        experiments::RunOptions,
        figures::{Bound, Figures},
        load::{self, LoadProfile, RequestClass},
        topology::Topology,
    },
    member::Presence,
    std::{
        io,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Utilisation of all slots, in percent.
const UTILISATION_PERCENT: f64 = 40.0;
/// Duration of the load, in milliseconds.
const LOAD_MS: u64 = 22_000;
/// Time after the start of the load at which servers begin to leave, in milliseconds.
const LEAVE_MS: u64 = 3_000;
/// Delay with which the platform's list shows changes, in milliseconds.
const LIST_LAG_MS: u64 = 10_000;
/// Time after the first notice that a server is leaving in which it may still receive requests, in milliseconds.
const GRACE_MS: u64 = 3_000;

pub(crate) async fn run(options: RunOptions, figures: &mut Figures) -> io::Result<()> {
    let mut cluster = Cluster::start(Topology::four_data_centres(options.instances)).await?;
    cluster
        .platform
        .update_knobs(|knobs| knobs.list_lag_ms = LIST_LAG_MS);
    let load = LoadProfile::new(&cluster, "leaving", options.seed)
        .with_rate(
            cluster.capacity_per_s() * UTILISATION_PERCENT / 100.0,
            Duration::from_millis(LOAD_MS),
        )
        .with_classes(&[RequestClass::Idempotent, RequestClass::Unkeyed]);
    let balancer = Balancer::new(&cluster);
    let load_task = tokio::spawn(load::run_load(load, balancer, cluster.client.clone()));
    sleep(Duration::from_millis(LEAVE_MS)).await;
    let left_at = Instant::now();
    let (draining, listed) = start_leaving(&mut cluster, options.seed);
    let outcomes = load_task.await.map_err(io::Error::other)?;
    let late_requests = |indices: &[usize], notice: Instant| {
        let deadline = notice + Duration::from_millis(GRACE_MS);
        let arrivals = indices
            .iter()
            .flat_map(|&index| cluster.servers[index].backend.arrivals());
        arrivals
            .filter(|arrival| arrival.received_at > deadline)
            .count() as f64
    };
    let listed_at = left_at + Duration::from_millis(LIST_LAG_MS);
    let bound = Bound::AtMost(0.0);
    figures.record(
        "new work 3 s after the server's own word",
        late_requests(&draining, left_at),
        "1",
        bound,
    );
    figures.record(
        "new work 3 s after the list's word",
        late_requests(&listed, listed_at),
        "1",
        bound,
    );
    let failed = outcomes
        .iter()
        .filter(|outcome| !outcome.is_success())
        .count() as f64;
    let percentage = 100.0 * failed / outcomes.len() as f64;
    figures.record(
        "requests without a good answer",
        percentage,
        "%",
        Bound::None,
    );
    figures.record("requests", outcomes.len() as f64, "1", Bound::AtLeast(1.0));
    Ok(())
}

/// Lets two servers of each service leave: one reports that it is draining, the other is only listed as leaving.
/// Returns the indices of both groups.
fn start_leaving(cluster: &mut Cluster, seed: u64) -> (Vec<usize>, Vec<usize>) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let (mut draining, mut listed) = (Vec::new(), Vec::new());
    for service in cluster.service_names() {
        let mut servers: Vec<usize> = (0..cluster.servers.len())
            .filter(|&index| cluster.servers[index].service == service)
            .collect();
        rng.shuffle(&mut servers);
        draining.push(servers[0]);
        listed.push(servers[1]);
    }
    for &index in draining.iter().chain(&listed) {
        cluster.servers[index].presence = Presence::Leaving;
    }
    for &index in &draining {
        cluster.servers[index]
            .backend
            .update_knobs(|knobs| knobs.draining = true);
    }
    cluster.publish_membership();
    (draining, listed)
}
