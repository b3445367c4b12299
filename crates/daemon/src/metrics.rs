//! Prometheus metrics of one node, in a registry of their own.

use {
    crate::commands::dropped_log_lines,
    log::warn,
    prometheus::{
        core::Collector, Histogram, HistogramOpts, HistogramVec, IntCounterVec, IntGauge,
        IntGaugeVec, Opts, Registry, TextEncoder,
    },
};

/// Bucket bounds of the queue wait histogram, in seconds.
const WAIT_BUCKETS_S: [f64; 8] = [0.001, 0.002, 0.005, 0.01, 0.05, 0.1, 0.5, 2.0];

/// Bucket bounds of the latency histogram, in seconds: from the target for added latency to the longest
/// route timeout seen.
const LATENCY_BUCKETS_S: [f64; 12] = [
    0.0026, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2.0, 4.0, 8.0,
];

/// All metrics of a node.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    /// Requests by service and result code.
    pub(crate) requests: IntCounterVec,
    /// Time from a request's arrival to the head of its response, by service and result code.
    pub(crate) latency: HistogramVec,
    /// Retries and hedges by service and verdict.
    pub(crate) retries: IntCounterVec,
    /// Permit requests answered as owner, by verdict.
    pub(crate) permit_requests: IntCounterVec,
    /// Permits granted as owner, by kind of request and by what the last outcomes of the server show.
    pub(crate) granted_permits: IntCounterVec,
    /// Outstanding permits, by pool.
    pub(crate) held_permits: IntGaugeVec,
    /// Time that granted permit requests waited in the queue.
    pub(crate) queue_wait: Histogram,
    /// Backend servers by standing.
    pub(crate) servers: IntGaugeVec,
    /// Ejection proposals by verdict.
    pub(crate) ejections: IntCounterVec,
    /// Changes of a server's standing from good to suspect, by service. The time from the first bad outcome to the
    /// suspicion is no metric: it can be computed from the log, which has a line for each attempt and each change.
    pub(crate) suspicions: IntCounterVec,
    /// Claims by verdict.
    pub(crate) claims: IntCounterVec,
    /// Version of the active configuration.
    pub(crate) config_version: IntGauge,
    /// Newest era of the store's data.
    pub(crate) store_era: IntGauge,
    /// Losses of the store's records since the start of the process.
    pub(crate) store_losses: IntGauge,
    /// Dropped log lines.
    pub(crate) dropped_log_lines: IntGauge,
    /// Time since the platform's log was last read, in milliseconds.
    pub(crate) log_age: IntGauge,
    /// Credit left for retries in the pools that this instance owns, in thousandths of a retry.
    pub(crate) retry_credit: IntGaugeVec,
    /// Requests refused as owner of their pool, by service and reason.
    pub(crate) admission_refusals: IntCounterVec,
    /// Server choices made without an owner, by reason.
    pub(crate) owner_fallbacks: IntCounterVec,
    /// Requests of accounts with a limit, by what the quota decided about them.
    pub(crate) quota_requests: IntCounterVec,
    /// Recent requests at this instance as a pool's owner, of the accounts with the most refusals.
    pub(crate) quota_accounts: IntGaugeVec,
    /// Calls to other instances, by method and outcome.
    pub(crate) peer_calls: IntCounterVec,
    /// Bytes of other instances' responses, by method.
    pub(crate) peer_bytes: IntCounterVec,
    /// Callers that were refused or evicted for want of memory or connections, by event.
    pub(crate) memory_events: IntCounterVec,
    /// Bytes held for bodies and responses beyond the connections' own part.
    pub(crate) held_bytes: IntGauge,
    /// Open connections from callers.
    pub(crate) caller_connections: IntGauge,
}

impl Metrics {
    /// Creates and registers all metrics.
    ///
    /// # Errors
    ///
    /// A metric name is invalid or registered twice, which is a bug in this module.
    pub(crate) fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        Ok(Self {
            requests: counter_vec(
                &registry,
                "requests_total",
                "Requests by result",
                &["service", "code"],
            )?,
            latency: latency_histogram(&registry)?,
            retries: counter_vec(
                &registry,
                "retries_total",
                "Retries and hedges",
                &["service", "verdict"],
            )?,
            permit_requests: counter_vec(
                &registry,
                "permit_asks_total",
                "Permit asks as owner",
                &["verdict"],
            )?,
            granted_permits: counter_vec(
                &registry,
                "permits_granted_total",
                "Permits granted as owner",
                &["request", "server"],
            )?,
            held_permits: gauge_vec(
                &registry,
                "permits_held",
                "Permits out",
                &["service", "data_centre"],
            )?,
            queue_wait: queue_wait_histogram(&registry)?,
            servers: gauge_vec(
                &registry,
                "servers",
                "Servers by standing",
                &["service", "standing"],
            )?,
            ejections: counter_vec(
                &registry,
                "ejections_total",
                "Ejection proposals",
                &["verdict"],
            )?,
            suspicions: counter_vec(&registry, "suspects_total", "Suspicions", &["service"])?,
            claims: counter_vec(&registry, "claims_total", "Claims", &["verdict"])?,
            config_version: gauge(&registry, "config_version", "Version in force")?,
            store_era: gauge(&registry, "store_era", "Newest era of the store's data")?,
            store_losses: gauge(
                &registry,
                "store_losses",
                "Losses of the store's records since the start",
            )?,
            dropped_log_lines: gauge(&registry, "log_lines_left_out", "Log lines left out")?,
            log_age: gauge(&registry, "log_age_ms", "Time since the log was read")?,
            retry_credit: gauge_vec(
                &registry,
                "retry_credit_milli",
                "Credit left for retries, in thousandths of a retry",
                &["service", "area"],
            )?,
            admission_refusals: counter_vec(
                &registry,
                "admission_refusals_total",
                "Requests refused as owner of their pool",
                &["service", "reason"],
            )?,
            owner_fallbacks: counter_vec(
                &registry,
                "owner_fallbacks_total",
                "Choices without an owner",
                &["reason"],
            )?,
            quota_requests: counter_vec(
                &registry,
                "quota_requests_total",
                "Requests of accounts with a limit",
                &["verdict"],
            )?,
            quota_accounts: gauge_vec(
                &registry,
                "quota_account_requests",
                "Recent requests of the accounts with the most refusals",
                &["account", "verdict"],
            )?,
            peer_calls: counter_vec(
                &registry,
                "peer_calls_total",
                "Calls to other instances",
                &["method", "outcome"],
            )?,
            peer_bytes: counter_vec(
                &registry,
                "peer_response_bytes_total",
                "Bytes of other instances' responses",
                &["method"],
            )?,
            memory_events: counter_vec(
                &registry,
                "memory_events_total",
                "Callers refused or evicted for want of memory or connections",
                &["event"],
            )?,
            held_bytes: gauge(
                &registry,
                "held_bytes",
                "Bytes held for bodies and responses",
            )?,
            caller_connections: gauge(
                &registry,
                "caller_connections",
                "Open connections from callers",
            )?,
            registry,
        })
    }

    /// Returns all metrics in the text exposition format.
    pub(crate) fn render(&self) -> String {
        self.dropped_log_lines.set(dropped_log_lines() as i64);
        let encoded = TextEncoder::new().encode_to_string(&self.registry.gather());
        encoded.unwrap_or_else(|error| {
            warn!("encoding the metrics failed: {error}");
            String::new()
        })
    }
}

fn register<Metric>(registry: &Registry, metric: Metric) -> Result<Metric, prometheus::Error>
where
    Metric: Clone + Collector + 'static,
{
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn metric_opts(name: &str, help: &str) -> Opts {
    Opts::new(format!("catkinhitch_{name}"), help)
}

fn counter_vec(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> Result<IntCounterVec, prometheus::Error> {
    register(
        registry,
        IntCounterVec::new(metric_opts(name, help), labels)?,
    )
}

fn gauge_vec(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> Result<IntGaugeVec, prometheus::Error> {
    register(registry, IntGaugeVec::new(metric_opts(name, help), labels)?)
}

fn gauge(registry: &Registry, name: &str, help: &str) -> Result<IntGauge, prometheus::Error> {
    register(registry, IntGauge::with_opts(metric_opts(name, help))?)
}

fn latency_histogram(registry: &Registry) -> Result<HistogramVec, prometheus::Error> {
    let opts = HistogramOpts::from(metric_opts(
        "request_seconds",
        "Time to the head of the answer",
    ));
    let opts = opts.buckets(LATENCY_BUCKETS_S.to_vec());
    register(registry, HistogramVec::new(opts, &["service", "code"])?)
}

fn queue_wait_histogram(registry: &Registry) -> Result<Histogram, prometheus::Error> {
    let opts = HistogramOpts::from(metric_opts("queue_wait_seconds", "Wait for a slot"));
    register(
        registry,
        Histogram::with_opts(opts.buckets(WAIT_BUCKETS_S.to_vec()))?,
    )
}
