//! Measures how an instance's CPU time, memory and control traffic grow with the size of the system.
//!
//! Each size is measured at two request rates. The slope over the rate is the cost of a request, the intercept that of
//! the control plane.

use {
    crate::{
        balancer::Balancer,
        cluster::Cluster,
        experiments::RunOptions,
        figures::{Bound, Figures},
        load::{self, LoadProfile},
        topology::{ServiceTopology, Topology},
    },
    std::{fs, io, time::Duration},
};

/// Request rates at which each size is measured, in requests a second for each instance.
const RATES_PER_S: [f64; 2] = [2.0, 12.0];
/// Duration of one measurement, in seconds.
const MEASURE_S: u64 = 3;
/// Number of instances while the number of servers or services varies.
const FIXED_INSTANCES: usize = 10;
/// Clock ticks a second (`USER_HZ`), in which `/proc/PID/stat` counts CPU time.
const TICKS_PER_S: f64 = 100.0;

/// Measures the cost of an instance for several numbers of instances.
pub(crate) async fn scale_instances(options: RunOptions, figures: &mut Figures) -> io::Result<()> {
    let mut costs_by_size = Vec::new();
    for instances in [5, 10, 20, 41] {
        let cost = measure(
            Topology::four_data_centres(instances),
            options.seed,
            instances as f64,
        )
        .await?;
        costs_by_size.push(cost);
    }
    report("instance", &costs_by_size, figures);
    Ok(())
}

/// Measures the cost of an instance for several numbers of backend servers, in four services.
pub(crate) async fn scale_servers(options: RunOptions, figures: &mut Figures) -> io::Result<()> {
    let mut costs_by_size = Vec::new();
    for servers in [10, 40, 160] {
        let topology = topology_of(4, servers / 4);
        costs_by_size.push(measure(topology, options.seed, servers as f64).await?);
    }
    report("server", &costs_by_size, figures);
    Ok(())
}

/// Measures the cost of an instance for several numbers of services with two backend servers each.
pub(crate) async fn scale_services(options: RunOptions, figures: &mut Figures) -> io::Result<()> {
    let mut costs_by_size = Vec::new();
    for services in [4, 16, 64] {
        costs_by_size.push(measure(topology_of(services, 2), options.seed, services as f64).await?);
    }
    report("service", &costs_by_size, figures);
    Ok(())
}

fn topology_of(services: usize, servers_per_service: usize) -> Topology {
    let base = Topology::single_data_centre(FIXED_INSTANCES);
    let services = (0..services).map(|number| ServiceTopology {
        name: format!("s{number}"),
        servers: servers_per_service,
        ..base.services[0].clone()
    });
    Topology {
        services: services.collect(),
        ..base
    }
}

/// Mean cost of an instance in a system of one size.
#[derive(Clone, Copy, Debug)]
struct InstanceCost {
    count: f64,
    control_cpu_percent: f64,
    request_cpu_us: f64,
    memory_mb: f64,
    control_bytes_per_s: f64,
    request_bytes: f64,
}

/// CPU time and bytes forwarded by the instances' fault proxies: the totals of all instances since their start, or the
/// mean of an instance in a second.
#[derive(Clone, Copy, Debug)]
struct Usage {
    cpu_s: f64,
    bytes: f64,
}

async fn measure(topology: Topology, seed: u64, count: f64) -> io::Result<InstanceCost> {
    let cluster = Cluster::start(topology).await?;
    let balancer = Balancer::new(&cluster);
    offer(&cluster, &balancer, seed, RATES_PER_S[1]).await;
    let mut mean_rates = Vec::new();
    for rate in RATES_PER_S {
        let before = read_usage(&cluster)?;
        offer(&cluster, &balancer, seed + 1, rate).await;
        let after = read_usage(&cluster)?;
        let per_instance_second = 1.0 / (MEASURE_S as f64 * cluster.instances.len() as f64);
        mean_rates.push(Usage {
            cpu_s: (after.cpu_s - before.cpu_s) * per_instance_second,
            bytes: (after.bytes - before.bytes) * per_instance_second,
        });
    }
    let per_request = |high: f64, low: f64| (high - low) / (RATES_PER_S[1] - RATES_PER_S[0]);
    let request_cpu_s = per_request(mean_rates[1].cpu_s, mean_rates[0].cpu_s);
    let request_bytes = per_request(mean_rates[1].bytes, mean_rates[0].bytes);
    Ok(InstanceCost {
        count,
        control_cpu_percent: 100.0 * (mean_rates[0].cpu_s - RATES_PER_S[0] * request_cpu_s),
        request_cpu_us: 1e6 * request_cpu_s,
        memory_mb: mean_memory_mb(&cluster)?,
        control_bytes_per_s: mean_rates[0].bytes - RATES_PER_S[0] * request_bytes,
        request_bytes,
    })
}

async fn offer(cluster: &Cluster, balancer: &Balancer, seed: u64, rate_per_s: f64) {
    let load = LoadProfile::new(cluster, &format!("slope{rate_per_s}"), seed).with_rate(
        rate_per_s * cluster.instances.len() as f64,
        Duration::from_secs(MEASURE_S),
    );
    load::run_load(load, balancer.clone(), cluster.client.clone()).await;
}

fn read_usage(cluster: &Cluster) -> io::Result<Usage> {
    let (mut cpu_s, mut bytes) = (0.0, 0);
    for instance in &cluster.instances {
        let text = fs::read_to_string(format!("/proc/{}/stat", instance.process.id()))?;
        // The fields are counted from behind the program's name, which is in parentheses and may contain spaces: user
        // and system time are the 12th and 13th.
        let fields = text.rsplit(") ").next().unwrap_or_default().split(' ');
        let ticks: f64 = fields
            .skip(11)
            .take(2)
            .filter_map(|field| field.parse::<f64>().ok())
            .sum();
        cpu_s += ticks / TICKS_PER_S;
        bytes += instance.platform_proxy.forwarded_bytes();
        bytes += instance
            .rpc_proxy
            .as_ref()
            .map_or(0, |proxy| proxy.forwarded_bytes());
    }
    Ok(Usage {
        cpu_s,
        bytes: bytes as f64,
    })
}

fn mean_memory_mb(cluster: &Cluster) -> io::Result<f64> {
    let mut sum_kb = 0.0;
    for instance in &cluster.instances {
        let text = fs::read_to_string(format!("/proc/{}/status", instance.process.id()))?;
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let number = line.and_then(|line| line.trim().split(' ').next());
        sum_kb += number
            .and_then(|number| number.parse::<f64>().ok())
            .unwrap_or(f64::NAN);
    }
    Ok(sum_kb / 1_024.0 / cluster.instances.len() as f64)
}

fn report(varied: &str, costs_by_size: &[InstanceCost], figures: &mut Figures) {
    type Column = fn(&InstanceCost) -> f64;
    let columns: [(&str, &str, Column); 5] = [
        ("control cpu", "% of a core", |cost| {
            cost.control_cpu_percent
        }),
        ("cpu a request", "us", |cost| cost.request_cpu_us),
        ("memory", "MB", |cost| cost.memory_mb),
        ("control bytes", "B/s", |cost| cost.control_bytes_per_s),
        ("bytes a request", "B", |cost| cost.request_bytes),
    ];
    for (name, unit, column) in columns {
        let points: Vec<(f64, f64)> = costs_by_size
            .iter()
            .map(|cost| (cost.count, column(cost)))
            .collect();
        for (count, value) in &points {
            figures.record(
                &format!("{name} at {count} {varied}s"),
                *value,
                unit,
                Bound::None,
            );
        }
        let (slope, r_squared) = linear_regression(&points);
        figures.record(
            &format!("{name}: slope a {varied}"),
            slope,
            unit,
            Bound::None,
        );
        figures.record(&format!("{name}: fit"), r_squared, "R2", Bound::None);
    }
}

/// Fits a line by least squares; returns its slope and the coefficient of determination (R2).
fn linear_regression(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let sum_of = |product: fn(f64, f64) -> f64| -> f64 {
        points
            .iter()
            .map(|(x, y)| product(x - mean_x, y - mean_y))
            .sum()
    };
    let (xx, xy, yy) = (
        sum_of(|x, _| x * x),
        sum_of(|x, y| x * y),
        sum_of(|_, y| y * y),
    );
    let slope = xy / xx;
    let r_squared = if yy > 0.0 { slope * xy / yy } else { 1.0 };
    (slope, r_squared)
}
