//! The metrics of one node, in a registry of its own.

use {
    crate::commands::dropped_log_lines,
    log::warn,
    prometheus::{
        core::Collector, Histogram, HistogramOpts, HistogramVec, IntCounterVec, IntGauge,
        IntGaugeVec, Opts, Registry, TextEncoder,
    },
};

/// Bounds of the queue wait's buckets, in seconds.
const WAIT_BUCKETS_S: [f64; 8] = [0.001, 0.002, 0.005, 0.01, 0.05, 0.1, 0.5, 2.0];

/// Bounds of the latency's buckets, in seconds: from the added time aimed at to the longest route timeout seen.
const LATENCY_BUCKETS_S: [f64; 12] = [
    0.0026, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2.0, 4.0, 8.0,
];

/// All metrics of a node.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    /// Requests by service and result code.
    pub(crate) requests: IntCounterVec,
    /// Time from a request's arrival to the head of its answer, by service and result code.
    pub(crate) latency: HistogramVec,
    /// Retries and hedges by service and verdict.
    pub(crate) retries: IntCounterVec,
    /// Permit asks answered as owner, by verdict.
    pub(crate) permit_requests: IntCounterVec,
    /// Permits out, by pool.
    pub(crate) held_permits: IntGaugeVec,
    /// Time that granted asks waited in the queue.
    pub(crate) queue_wait: Histogram,
    /// Backend servers by standing.
    pub(crate) servers: IntGaugeVec,
    /// Ejection proposals by verdict.
    pub(crate) ejections: IntCounterVec,
    /// Time from the first bad outcome to suspicion is in the log; this counts suspicions by service.
    pub(crate) suspicions: IntCounterVec,
    /// Claims by verdict.
    pub(crate) claims: IntCounterVec,
    /// Version of the configuration in force.
    pub(crate) config_version: IntGauge,
    /// Log lines left out.
    pub(crate) dropped_log_lines: IntGauge,
    /// Time since the log was last read, in milliseconds.
    pub(crate) log_age: IntGauge,
    /// Choices made without an owner, by reason.
    pub(crate) owner_fallbacks: IntCounterVec,
}

impl Metrics {
    /// Creates and registers all metrics.
    ///
    /// # Errors
    ///
    /// A name is not valid or stands twice, which is a fault of this module.
    pub(crate) fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        Ok(Self {
            requests: counter(
                &registry,
                "requests_total",
                "Requests by result",
                &["service", "code"],
            )?,
            latency: latency(&registry)?,
            retries: counter(
                &registry,
                "retries_total",
                "Retries and hedges",
                &["service", "verdict"],
            )?,
            permit_requests: counter(
                &registry,
                "permit_asks_total",
                "Permit asks as owner",
                &["verdict"],
            )?,
            held_permits: gauge(
                &registry,
                "permits_held",
                "Permits out",
                &["service", "data_centre"],
            )?,
            queue_wait: wait(&registry)?,
            servers: gauge(
                &registry,
                "servers",
                "Servers by standing",
                &["service", "standing"],
            )?,
            ejections: counter(
                &registry,
                "ejections_total",
                "Ejection proposals",
                &["verdict"],
            )?,
            suspicions: counter(&registry, "suspects_total", "Suspicions", &["service"])?,
            claims: counter(&registry, "claims_total", "Claims", &["verdict"])?,
            config_version: number(&registry, "config_version", "Version in force")?,
            dropped_log_lines: number(&registry, "log_lines_left_out", "Log lines left out")?,
            log_age: number(&registry, "log_age_ms", "Time since the log was read")?,
            owner_fallbacks: counter(
                &registry,
                "owner_fallbacks_total",
                "Choices without an owner",
                &["reason"],
            )?,
            registry,
        })
    }

    /// Returns all metrics as text.
    pub(crate) fn render(&self) -> String {
        self.dropped_log_lines.set(dropped_log_lines() as i64);
        let encoded = TextEncoder::new().encode_to_string(&self.registry.gather());
        encoded.unwrap_or_else(|error| {
            warn!("the metrics can't be written: {error}");
            String::new()
        })
    }
}

fn keep<Metric>(registry: &Registry, metric: Metric) -> Result<Metric, prometheus::Error>
where
    Metric: Clone + Collector + 'static,
{
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn named(name: &str, help: &str) -> Opts {
    Opts::new(format!("catkinhitch_{name}"), help)
}

fn counter(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> Result<IntCounterVec, prometheus::Error> {
    keep(registry, IntCounterVec::new(named(name, help), labels)?)
}

fn gauge(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> Result<IntGaugeVec, prometheus::Error> {
    keep(registry, IntGaugeVec::new(named(name, help), labels)?)
}

fn number(registry: &Registry, name: &str, help: &str) -> Result<IntGauge, prometheus::Error> {
    keep(registry, IntGauge::with_opts(named(name, help))?)
}

fn latency(registry: &Registry) -> Result<HistogramVec, prometheus::Error> {
    let opts = HistogramOpts::from(named("request_seconds", "Time to the head of the answer"));
    let opts = opts.buckets(LATENCY_BUCKETS_S.to_vec());
    keep(registry, HistogramVec::new(opts, &["service", "code"])?)
}

fn wait(registry: &Registry) -> Result<Histogram, prometheus::Error> {
    let opts = HistogramOpts::from(named("queue_wait_seconds", "Wait for a slot"));
    keep(
        registry,
        Histogram::with_opts(opts.buckets(WAIT_BUCKETS_S.to_vec()))?,
    )
}
