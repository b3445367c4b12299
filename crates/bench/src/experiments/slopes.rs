//! What one instance costs as the system grows: processor time, memory and control bytes, with their slopes.
//!
//! Each size is measured at two rates: the intercept is the cost of control, the slope that of a request.

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

/// Rates at which each size is measured, in requests a second an instance.
const RATES_PER_S: [f64; 2] = [2.0, 12.0];
/// Time of one measurement, in seconds.
const MEASURE_S: u64 = 3;
/// Instances while servers or services vary.
const FIXED_INSTANCES: usize = 10;
/// Processor ticks a second, as the system counts them.
const TICKS_PER_S: f64 = 100.0;

/// Varies the number of instances.
pub(crate) async fn scale_instances(options: RunOptions, figures: &mut Figures) -> io::Result<()> {
    let mut rows = Vec::new();
    for instances in [5, 10, 20, 41] {
        let row = measure(
            Topology::four_data_centres(instances),
            options.seed,
            instances as f64,
        )
        .await?;
        rows.push(row);
    }
    report("instance", &rows, figures);
    Ok(())
}

/// Varies the number of backend servers in four services.
pub(crate) async fn scale_servers(options: RunOptions, figures: &mut Figures) -> io::Result<()> {
    let mut rows = Vec::new();
    for servers in [10, 40, 160] {
        let topology = sized(4, servers / 4);
        rows.push(measure(topology, options.seed, servers as f64).await?);
    }
    report("server", &rows, figures);
    Ok(())
}

/// Varies the number of services of two backend servers each.
pub(crate) async fn scale_services(options: RunOptions, figures: &mut Figures) -> io::Result<()> {
    let mut rows = Vec::new();
    for services in [4, 16, 64] {
        rows.push(measure(sized(services, 2), options.seed, services as f64).await?);
    }
    report("service", &rows, figures);
    Ok(())
}

fn sized(services: usize, servers: usize) -> Topology {
    let base = Topology::single_data_centre(FIXED_INSTANCES);
    let services = (0..services).map(|number| ServiceTopology {
        name: format!("s{number}"),
        servers,
        ..base.services[0].clone()
    });
    Topology {
        services: services.collect(),
        ..base
    }
}

/// The cost of one instance at one size.
#[derive(Clone, Copy, Debug)]
struct Row {
    count: f64,
    control_cpu_percent: f64,
    request_cpu_us: f64,
    memory_mb: f64,
    control_bytes_per_s: f64,
    request_bytes: f64,
}

/// What all instances used up so far.
#[derive(Clone, Copy, Debug)]
struct Usage {
    cpu_s: f64,
    bytes: f64,
}

async fn measure(topology: Topology, seed: u64, count: f64) -> io::Result<Row> {
    let cluster = Cluster::start(topology).await?;
    let balancer = Balancer::new(&cluster);
    offer(&cluster, &balancer, seed, RATES_PER_S[1]).await;
    let mut costs = Vec::new();
    for rate in RATES_PER_S {
        let before = usage(&cluster)?;
        offer(&cluster, &balancer, seed + 1, rate).await;
        let after = usage(&cluster)?;
        let share = 1.0 / (MEASURE_S as f64 * cluster.instances.len() as f64);
        costs.push(Usage {
            cpu_s: (after.cpu_s - before.cpu_s) * share,
            bytes: (after.bytes - before.bytes) * share,
        });
    }
    let per_request = |high: f64, low: f64| (high - low) / (RATES_PER_S[1] - RATES_PER_S[0]);
    let request_cpu_s = per_request(costs[1].cpu_s, costs[0].cpu_s);
    let request_bytes = per_request(costs[1].bytes, costs[0].bytes);
    Ok(Row {
        count,
        control_cpu_percent: 100.0 * (costs[0].cpu_s - RATES_PER_S[0] * request_cpu_s),
        request_cpu_us: 1e6 * request_cpu_s,
        memory_mb: memory_mb(&cluster)?,
        control_bytes_per_s: costs[0].bytes - RATES_PER_S[0] * request_bytes,
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

fn usage(cluster: &Cluster) -> io::Result<Usage> {
    let (mut cpu_s, mut bytes) = (0.0, 0);
    for instance in &cluster.instances {
        let text = fs::read_to_string(format!("/proc/{}/stat", instance.process.id()))?;
        // The program's name ends with a parenthesis; user and system ticks are the 12th and 13th fields after it.
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

fn memory_mb(cluster: &Cluster) -> io::Result<f64> {
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

fn report(unit: &str, rows: &[Row], figures: &mut Figures) {
    type Read = fn(&Row) -> f64;
    let columns: [(&str, &str, Read); 5] = [
        ("control cpu", "% of a core", |row| row.control_cpu_percent),
        ("cpu a request", "us", |row| row.request_cpu_us),
        ("memory", "MB", |row| row.memory_mb),
        ("control bytes", "B/s", |row| row.control_bytes_per_s),
        ("bytes a request", "B", |row| row.request_bytes),
    ];
    for (name, of, read) in columns {
        let points: Vec<(f64, f64)> = rows.iter().map(|row| (row.count, read(row))).collect();
        for (count, value) in &points {
            figures.record(
                &format!("{name} at {count} {unit}s"),
                *value,
                of,
                Bound::None,
            );
        }
        let (slope, fit) = line(&points);
        figures.record(&format!("{name}: slope a {unit}"), slope, of, Bound::None);
        figures.record(&format!("{name}: fit"), fit, "R2", Bound::None);
    }
}

/// Least squares: the slope and how much of the variance the line explains.
fn line(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let sum = |value: fn(f64, f64) -> f64| -> f64 {
        points
            .iter()
            .map(|(x, y)| value(x - mean_x, y - mean_y))
            .sum()
    };
    let (xx, xy, yy) = (sum(|x, _| x * x), sum(|x, y| x * y), sum(|_, y| y * y));
    let slope = xy / xx;
    let fit = if yy > 0.0 { slope * xy / yy } else { 1.0 };
    (slope, fit)
}
