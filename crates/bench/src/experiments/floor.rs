//! Ejections never drop healthy capacity below the floor, with many gray servers and two owners racing.

use {
    crate::{
        balancer::Balancer,
        cluster::Cluster,
        experiments::RunOptions,
        figures::{Bound, Figures},
        load::{self, LoadProfile},
        topology::Topology,
    },
    outlier::{commands, queries, EjectionReplica},
    standin::{unix_time_ms, GrayFault},
    std::{
        collections::HashMap,
        io,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
    wire::{convert, from_json, generated::EjectionRecord},
};

/// Requests a second to each service.
const RATE_PER_S: f64 = 80.0;
/// Time under load, in milliseconds.
const LOAD_MS: u64 = 38_000;
/// Time between samples, in milliseconds.
const SAMPLE_MS: u64 = 100;
/// Delay of every call to the platform, in milliseconds.
const LOG_SLOW_MS: u64 = 300;
/// When each step begins, in milliseconds of the load.
const STEPS_MS: [u64; 6] = [3_000, 11_000, 18_000, 22_000, 27_000, 32_000];
/// Steps in which servers fail and stay so; there healthy capacity may never be short.
const FIXED_STEPS: usize = 2;
/// Step in which all servers heal; in later ones the faults move on to other servers every few seconds.
const HEAL_STEP: usize = 3;
/// Time in which healed servers are let back in once failures elsewhere made capacity short, in seconds;
/// shorter than an ejection's first hold, which would be the time without a floor.
const SHORT_S: f64 = 3.0;

pub(crate) async fn run(options: RunOptions, figures: &mut Figures) -> io::Result<()> {
    let cluster = Cluster::start(Topology::three_data_centres(options.instances)).await?;
    cluster
        .platform
        .update_knobs(|knobs| knobs.slow_ms = LOG_SLOW_MS);
    let load = LoadProfile::new(&cluster, "floor", options.seed).with_rate(
        RATE_PER_S * cluster.topology.services.len() as f64,
        Duration::from_millis(LOAD_MS),
    );
    let balancer = Balancer::new(&cluster);
    let loading = tokio::spawn(load::run_load(load, balancer, cluster.client.clone()));
    let mut rng = fastrand::Rng::with_seed(options.seed);
    let start = Instant::now();
    let mut step = 0;
    let mut samples = Samples::default();
    while !loading.is_finished() {
        let elapsed_ms = start.elapsed().as_millis() as u64;
        if step < STEPS_MS.len() && elapsed_ms >= STEPS_MS[step] {
            take_step(&cluster, &mut rng, step);
            step += 1;
        }
        samples.take(&cluster, step);
        sleep(Duration::from_millis(SAMPLE_MS)).await;
    }
    // The load's own outcomes are not judged here.
    let _ = loading.await;
    samples.report(figures);
    Ok(())
}

/// First 4 in 10 servers of each service fail, then 7 in 10, then all are well, then each third in turn;
/// meanwhile one-way cuts make part of the instances ask second owners.
fn take_step(cluster: &Cluster, rng: &mut fastrand::Rng, step: usize) {
    for service in &cluster.topology.services {
        let servers: Vec<_> = cluster
            .servers
            .iter()
            .filter(|server| server.service == service.name)
            .collect();
        for (number, server) in servers.iter().enumerate() {
            let fails = match step {
                0 => number * 10 < servers.len() * 4,
                1 => number * 10 < servers.len() * 7,
                2 => false,
                turn => number * 3 / servers.len() == turn % 3,
            };
            let gray = if !fails {
                GrayFault::None
            } else if rng.bool() {
                GrayFault::Errors
            } else {
                GrayFault::Hang
            };
            server.backend.update_knobs(|knobs| knobs.gray = gray);
        }
    }
    for instance in &cluster.instances {
        let cut = step < FIXED_STEPS && rng.u32(0..4) == 0;
        if let Some(proxy) = &instance.rpc_proxy {
            proxy.update_knobs(|knobs| knobs.drop_from_target = cut);
        }
    }
}

#[derive(Debug, Default)]
struct Samples {
    count: u32,
    broken: u32,
    most_ejected: usize,
    ejections: usize,
    short_since: HashMap<String, Instant>,
    longest_short_s: f64,
}

impl Samples {
    fn take(&mut self, cluster: &Cluster, step: usize) {
        let now_ms = unix_time_ms();
        let mut out = 0;
        self.ejections = 0;
        for service in &cluster.topology.services {
            let (fold, accepted) = fold(cluster, &service.name, now_ms);
            self.ejections += accepted;
            let (mut total, mut in_service) = (0, 0);
            for server in cluster
                .servers
                .iter()
                .filter(|server| server.service == service.name)
            {
                let healthy = server.backend.is_healthy();
                let ejected = queries::is_enforced(&fold, &server.name, now_ms);
                out += usize::from(ejected);
                total += if healthy { server.slots } else { 0 };
                in_service += if healthy && !ejected { server.slots } else { 0 };
            }
            // Below the floor by failures alone, ejections may take nothing more.
            let is_short = in_service < service.floor_slots.min(total);
            self.note(&service.name, is_short, step);
        }
        self.most_ejected = self.most_ejected.max(out);
    }

    fn note(&mut self, service: &str, is_short: bool, step: usize) {
        if step < HEAL_STEP {
            self.count += 1;
            self.broken += u32::from(is_short);
            return;
        }
        if !is_short {
            self.short_since.remove(service);
            return;
        }
        let since = self
            .short_since
            .entry(service.to_owned())
            .or_insert_with(Instant::now);
        self.longest_short_s = self.longest_short_s.max(since.elapsed().as_secs_f64());
    }

    fn report(&self, figures: &mut Figures) {
        let broken = f64::from(self.broken);
        figures.record(
            "samples with healthy capacity below the floor",
            broken,
            "1",
            Bound::AtMost(0.0),
        );
        figures.record("samples", f64::from(self.count), "1", Bound::AtLeast(1.0));
        let short_s = self.longest_short_s;
        figures.record(
            "longest shortfall after faults moved on",
            short_s,
            "s",
            Bound::AtMost(SHORT_S),
        );
        figures.record(
            "accepted ejections",
            self.ejections as f64,
            "1",
            Bound::AtLeast(1.0),
        );
        figures.record(
            "most servers ejected at a time",
            self.most_ejected as f64,
            "1",
            Bound::None,
        );
    }
}

/// Folds a service's ejection stream as every owner does; also counts the accepted ejections.
fn fold(cluster: &Cluster, service: &str, now_ms: u64) -> (EjectionReplica, usize) {
    let mut ejections = EjectionReplica::new();
    let mut accepted = 0;
    for record in cluster.platform.records(&format!("ejections-{service}")) {
        let parsed: Result<EjectionRecord, _> = from_json("ejection", record.body.as_bytes());
        if let Ok(parsed) = parsed {
            let entry = convert::decode_ejection_event(&parsed);
            let age_ms = now_ms.saturating_sub(record.at_ms);
            let is_taken = commands::apply_event(
                &mut ejections,
                record.offset,
                &entry,
                record.at_ms,
                age_ms,
                now_ms,
            );
            accepted += usize::from(is_taken && entry.kind == outlier::EjectionEventKind::Eject);
        }
    }
    (ejections, accepted)
}
