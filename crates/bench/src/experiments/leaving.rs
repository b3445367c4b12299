//! A backend server that is leaving gets no new work after a few seconds.

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

/// Use of all slots, in percent.
const USE_PERCENT: f64 = 40.0;
/// Time under load, in milliseconds.
const LOAD_MS: u64 = 22_000;
/// When the servers begin to leave, in milliseconds.
const LEAVE_MS: u64 = 3_000;
/// Lag of the platform's list, in milliseconds.
const LIST_LAG_MS: u64 = 10_000;
/// Time after its first sign in which a leaving server may still get work, in milliseconds.
const GRACE_MS: u64 = 3_000;

pub(crate) async fn run(options: RunOptions, figures: &mut Figures) -> io::Result<()> {
    let mut cluster = Cluster::start(Topology::four_data_centres(options.instances)).await?;
    cluster
        .platform
        .update_knobs(|knobs| knobs.list_lag_ms = LIST_LAG_MS);
    let load = LoadProfile::new(&cluster, "leaving", options.seed)
        .with_rate(
            cluster.capacity_per_s() * USE_PERCENT / 100.0,
            Duration::from_millis(LOAD_MS),
        )
        .with_classes(&[RequestClass::Idempotent, RequestClass::Unkeyed]);
    let balancer = Balancer::new(&cluster);
    let loading = tokio::spawn(load::run_load(load, balancer, cluster.client.clone()));
    sleep(Duration::from_millis(LEAVE_MS)).await;
    let left = Instant::now();
    let (says, is_listed) = leave(&mut cluster, options.seed);
    let outcomes = loading.await.map_err(io::Error::other)?;
    let late = |indices: &[usize], sign: Instant| {
        let after = sign + Duration::from_millis(GRACE_MS);
        let arrivals = indices
            .iter()
            .flat_map(|&index| cluster.servers[index].backend.arrivals());
        arrivals
            .filter(|arrival| arrival.received_at > after)
            .count() as f64
    };
    let sign = left + Duration::from_millis(LIST_LAG_MS);
    let bound = Bound::AtMost(0.0);
    figures.record(
        "new work 3 s after the server's own word",
        late(&says, left),
        "1",
        bound,
    );
    figures.record(
        "new work 3 s after the list's word",
        late(&is_listed, sign),
        "1",
        bound,
    );
    let bad = outcomes
        .iter()
        .filter(|outcome| !outcome.is_success())
        .count() as f64;
    let share = 100.0 * bad / outcomes.len() as f64;
    figures.record("requests without a good answer", share, "%", Bound::None);
    figures.record("requests", outcomes.len() as f64, "1", Bound::AtLeast(1.0));
    Ok(())
}

/// One server of each service says that it drains, another is only listed as leaving; returns both groups.
fn leave(cluster: &mut Cluster, seed: u64) -> (Vec<usize>, Vec<usize>) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let (mut says, mut is_listed) = (Vec::new(), Vec::new());
    for service in cluster.service_names() {
        let mut servers: Vec<usize> = (0..cluster.servers.len())
            .filter(|&index| cluster.servers[index].service == service)
            .collect();
        rng.shuffle(&mut servers);
        says.push(servers[0]);
        is_listed.push(servers[1]);
    }
    for &index in says.iter().chain(&is_listed) {
        cluster.servers[index].presence = Presence::Leaving;
    }
    for &index in &says {
        cluster.servers[index]
            .backend
            .update_knobs(|knobs| knobs.draining = true);
    }
    cluster.publish_membership();
    (says, is_listed)
}
