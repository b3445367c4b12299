//! Checks that ejections never reduce healthy capacity below the floor while many servers fail and two owners race.

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
/// Duration of the load, in milliseconds.
const LOAD_MS: u64 = 38_000;
/// Interval between samples of the capacity, in milliseconds.
const SAMPLE_INTERVAL_MS: u64 = 100;
/// Delay of every request to the platform, in milliseconds.
const PLATFORM_DELAY_MS: u64 = 300;
/// Start of each fault step after the start of the load, in milliseconds.
const STEP_STARTS_MS: [u64; 6] = [3_000, 11_000, 18_000, 22_000, 27_000, 32_000];
/// Number of first steps in which servers fail and don't recover; in these, healthy capacity must never be short.
const PERMANENT_FAULT_STEPS: usize = 2;
/// Number of steps after which all servers have recovered; later steps move the faults to other servers every few
/// seconds.
const RECOVERED_AFTER_STEPS: usize = 3;
/// Bound on the time for which capacity may be short after faults have moved to other servers, in seconds. Recovered
/// servers must be readmitted within it; it is shorter than the initial duration of an ejection, after which they would
/// return if there were no floor.
const SHORTFALL_MAX_S: f64 = 3.0;

pub(crate) async fn run(options: RunOptions, figures: &mut Figures) -> io::Result<()> {
    let cluster = Cluster::start(Topology::three_data_centres(options.instances)).await?;
    cluster
        .platform
        .update_knobs(|knobs| knobs.slow_ms = PLATFORM_DELAY_MS);
    let load = LoadProfile::new(&cluster, "floor", options.seed).with_rate(
        RATE_PER_S * cluster.topology.services.len() as f64,
        Duration::from_millis(LOAD_MS),
    );
    let balancer = Balancer::new(&cluster);
    let load_task = tokio::spawn(load::run_load(load, balancer, cluster.client.clone()));
    let mut rng = fastrand::Rng::with_seed(options.seed);
    let start = Instant::now();
    let mut step = 0;
    let mut samples = CapacitySamples::default();
    while !load_task.is_finished() {
        let elapsed_ms = start.elapsed().as_millis() as u64;
        if step < STEP_STARTS_MS.len() && elapsed_ms >= STEP_STARTS_MS[step] {
            apply_fault_step(&cluster, &mut rng, step);
            step += 1;
        }
        samples.sample(&cluster, step);
        sleep(Duration::from_millis(SAMPLE_INTERVAL_MS)).await;
    }
    // This experiment checks the servers' capacity, not the outcomes of the requests.
    let _ = load_task.await;
    samples.report(figures);
    Ok(())
}

/// Sets the faults of a step: 40 % of each service's servers fail, then 70 %, then none, then one third after the
/// other. In the first two steps, dropped responses make some instances turn to a second owner.
fn apply_fault_step(cluster: &Cluster, rng: &mut fastrand::Rng, step: usize) {
    for service in &cluster.topology.services {
        let servers: Vec<_> = cluster
            .servers
            .iter()
            .filter(|server| server.service == service.name)
            .collect();
        for (number, server) in servers.iter().enumerate() {
            let is_faulty = match step {
                0 => number * 10 < servers.len() * 4,
                1 => number * 10 < servers.len() * 7,
                2 => false,
                later_step => number * 3 / servers.len() == later_step % 3,
            };
            let fault = if !is_faulty {
                GrayFault::None
            } else if rng.bool() {
                GrayFault::Errors
            } else {
                GrayFault::Hang
            };
            server.backend.update_knobs(|knobs| knobs.gray = fault);
        }
    }
    for instance in &cluster.instances {
        let drops_responses = step < PERMANENT_FAULT_STEPS && rng.u32(0..4) == 0;
        if let Some(proxy) = &instance.rpc_proxy {
            proxy.update_knobs(|knobs| knobs.drop_from_target = drops_responses);
        }
    }
}

/// Healthy capacity and ejections as sampled during the load.
#[derive(Debug, Default)]
struct CapacitySamples {
    count: u32,
    below_floor: u32,
    max_ejected: usize,
    ejections: usize,
    short_since: HashMap<String, Instant>,
    longest_shortfall_s: f64,
}

impl CapacitySamples {
    fn sample(&mut self, cluster: &Cluster, step: usize) {
        let now_ms = unix_time_ms();
        let mut ejected_count = 0;
        self.ejections = 0;
        for service in &cluster.topology.services {
            let (replica, accepted) = build_replica(cluster, &service.name, now_ms);
            self.ejections += accepted;
            let (mut total, mut in_service) = (0, 0);
            for server in cluster
                .servers
                .iter()
                .filter(|server| server.service == service.name)
            {
                let healthy = server.backend.is_healthy();
                let ejected = queries::is_enforced(&replica, &server.name, now_ms);
                ejected_count += usize::from(ejected);
                total += if healthy { server.slots } else { 0 };
                in_service += if healthy && !ejected { server.slots } else { 0 };
            }
            // If failures alone bring the capacity below the floor, no healthy server may be ejected.
            let is_short = in_service < service.floor_slots.min(total);
            self.record_sample(&service.name, is_short, step);
        }
        self.max_ejected = self.max_ejected.max(ejected_count);
    }

    fn record_sample(&mut self, service: &str, is_short: bool, step: usize) {
        if step < RECOVERED_AFTER_STEPS {
            self.count += 1;
            self.below_floor += u32::from(is_short);
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
        self.longest_shortfall_s = self.longest_shortfall_s.max(since.elapsed().as_secs_f64());
    }

    fn report(&self, figures: &mut Figures) {
        let below_floor = f64::from(self.below_floor);
        figures.record(
            "samples with healthy capacity below the floor",
            below_floor,
            "1",
            Bound::AtMost(0.0),
        );
        figures.record("samples", f64::from(self.count), "1", Bound::AtLeast(1.0));
        let shortfall_s = self.longest_shortfall_s;
        figures.record(
            "longest shortfall after faults moved on",
            shortfall_s,
            "s",
            Bound::AtMost(SHORTFALL_MAX_S),
        );
        figures.record(
            "accepted ejections",
            self.ejections as f64,
            "1",
            Bound::AtLeast(1.0),
        );
        figures.record(
            "most servers ejected at a time",
            self.max_ejected as f64,
            "1",
            Bound::None,
        );
    }
}

/// Builds the replica of a service's ejection stream as every owner does; also returns the number of accepted
/// ejections.
fn build_replica(cluster: &Cluster, service: &str, now_ms: u64) -> (EjectionReplica, usize) {
    let mut replica = EjectionReplica::new();
    let mut accepted = 0;
    for record in cluster.platform.records(&format!("ejections-{service}")) {
        let parsed: Result<EjectionRecord, _> = from_json("ejection", record.body.as_bytes());
        if let Ok(parsed) = parsed {
            let event = convert::decode_ejection_event(&parsed);
            let age_ms = now_ms.saturating_sub(record.at_ms);
            let is_accepted = commands::apply_event(
                &mut replica,
                record.offset,
                &event,
                record.at_ms,
                age_ms,
                now_ms,
            );
            accepted += usize::from(is_accepted && event.kind == outlier::EjectionEventKind::Eject);
        }
    }
    (replica, accepted)
}
