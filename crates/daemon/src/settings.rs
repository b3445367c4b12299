//! Settings of an instance: parsing, defaults and validation.

use {
    member::DEFAULT_CAPACITY_PERMILLE,
    snafu::Snafu,
    std::{collections::HashMap, net::SocketAddr},
    wire::{
        from_json,
        generated::{PlatformJson, PolicyJson, PrincipalJson, SettingsJson},
        CodecError,
    },
};

/// Default number of worker threads.
const WORKER_THREADS: u32 = 2;
/// Maximum number of worker threads.
const WORKER_THREADS_MAX: u32 = 64;
/// Default time for which an idempotency key is remembered, in milliseconds.
const CLAIM_WINDOW_MS: u64 = 600_000;
/// Default time between snapshots of the configuration, in milliseconds.
const SNAPSHOT_INTERVAL_MS: u64 = 600_000;
/// Default delay from readiness turning false to the callers' listener closing, in milliseconds.
const DRAIN_MS: u64 = 1_500;
/// Default limit on the time from the stop signal to process exit, in milliseconds.
const STOP_MS: u64 = 120_000;
/// Default retry budget on a platform with a store, in percent of the requests.
const RETRY_PERCENT: u32 = 20;
/// Default retry slack: retries that the fleet may spend in a window beyond the budget.
const RETRY_SLACK: u32 = 20;
/// Default length of the window over which retries are counted, in milliseconds.
const RETRY_WINDOW_MS: u64 = 10_000;
/// Default of `revocation_ms`.
const REVOCATION_MS: u64 = 5_000;
/// Default of `quota_window_ms`.
const QUOTA_WINDOW_MS: u64 = 5_000;
/// Default of `quota_tolerance_permille`.
const QUOTA_TOLERANCE_PERMILLE: u32 = 100;
/// Default of `quota_slack`.
const QUOTA_SLACK: u32 = 20;
/// Default memory of the instance, in MiB.
const MEMORY_MB: u32 = 16_384;
/// Default number of descriptors that the instance may have.
const DESCRIPTORS_MAX: u32 = 16_384;
/// Smallest number of descriptors with which an instance can serve callers.
const DESCRIPTORS_LEAST: u32 = 256;
/// Smallest memory with which an instance can serve callers, in MiB.
const MEMORY_LEAST_MB: u32 = 32;
/// Largest value of either.
const MACHINE_MAX: u32 = 1 << 20;
/// Maximum processor share, in thousandths of a core.
const CAPACITY_MAX_PERMILLE: u32 = 1_000_000;
/// Minimum length of a token, in characters.
const TOKEN_MIN_CHARS: usize = 8;

/// Error in a settings document.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The text can't be parsed as a settings document.
    #[snafu(display("{source}"), context(false))]
    Parse {
        /// Parse error.
        source: CodecError,
    },
    /// Fields have invalid values.
    #[snafu(display("{}", findings.join("\n")))]
    InvalidFields {
        /// One message per invalid field, with its JSON path.
        findings: Vec<String>,
    },
}

/// User of the administration API.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Principal {
    /// Name recorded in the configuration history.
    pub name: String,
    /// Bearer token.
    pub token: String,
}

/// Validated settings of one instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Unique name of this instance.
    pub instance: String,
    /// Name of its data centre.
    pub data_centre: String,
    /// Listen address for callers.
    pub caller_address: SocketAddr,
    /// Listen address for other instances.
    pub rpc_address: SocketAddr,
    /// Listen address for operators.
    pub admin_address: SocketAddr,
    /// Address of the platform's service.
    pub platform_address: SocketAddr,
    /// Users that may propose and approve configurations.
    pub principals: Vec<Principal>,
    /// Whether the pools' owners choose backend servers and grant permits; otherwise this instance chooses alone.
    pub uses_permits: bool,
    /// Number of worker threads.
    pub worker_threads: u32,
    /// Time for which an idempotency key is remembered, in milliseconds.
    pub claim_window_ms: u64,
    /// Time between snapshots of the configuration, in milliseconds.
    pub snapshot_interval_ms: u64,
    /// Delay from readiness turning false to the callers' listener closing, in milliseconds.
    pub drain_ms: u64,
    /// Whether the platform keeps lists in a store instead of records in a log.
    pub uses_store: bool,
    /// Addresses of other instances, contacted while no instance is known; they may be stale.
    pub seeds: Vec<SocketAddr>,
    /// Region of each data centre.
    pub regions: HashMap<String, String>,
    /// Processor share of this instance, in thousandths of a core.
    pub capacity_permille: u32,
    /// Maximum time from the stop signal to process exit, in milliseconds.
    pub stop_ms: u64,
    /// Retry budget of a service in percent of its requests, used where the platform specifies none.
    pub retry_percent: u32,
    /// Retry slack: retries of a service that the whole fleet may spend in a window beyond that budget.
    pub retry_slack: u32,
    /// Length of the window over which retries are counted, in milliseconds.
    pub retry_window_ms: u64,
    /// Whether API keys are refused while the configuration has not been confirmed for `revocation_ms`.
    pub has_strict_revocation: bool,
    /// Time for which the configuration may be unconfirmed with strict revocation, in milliseconds.
    pub revocation_ms: u64,
    /// Window over which the requests of a client account are counted, in milliseconds.
    pub quota_window_ms: u64,
    /// Share of an account's quota by which a window's requests may exceed it, in thousandths.
    pub quota_tolerance_permille: u32,
    /// Requests of an account that a window may have in addition.
    pub quota_slack: u32,
    /// Memory of the instance, in MiB.
    pub memory_mb: u32,
    /// Descriptors that the instance may have.
    pub descriptors_max: u32,
    /// Least severe level that is logged.
    pub log_level: log::LevelFilter,
}

impl Settings {
    /// Creates settings with the defaults; all three servers listen on `address`.
    pub fn new(
        instance: &str,
        data_centre: &str,
        address: SocketAddr,
        platform_address: SocketAddr,
    ) -> Self {
        Self {
            instance: instance.to_owned(),
            data_centre: data_centre.to_owned(),
            caller_address: address,
            rpc_address: address,
            admin_address: address,
            platform_address,
            principals: Vec::new(),
            uses_permits: true,
            worker_threads: WORKER_THREADS,
            claim_window_ms: CLAIM_WINDOW_MS,
            snapshot_interval_ms: SNAPSHOT_INTERVAL_MS,
            drain_ms: DRAIN_MS,
            uses_store: false,
            seeds: Vec::new(),
            regions: HashMap::new(),
            capacity_permille: DEFAULT_CAPACITY_PERMILLE,
            stop_ms: STOP_MS,
            retry_percent: RETRY_PERCENT,
            retry_slack: RETRY_SLACK,
            retry_window_ms: RETRY_WINDOW_MS,
            has_strict_revocation: false,
            revocation_ms: REVOCATION_MS,
            quota_window_ms: QUOTA_WINDOW_MS,
            quota_tolerance_permille: QUOTA_TOLERANCE_PERMILLE,
            quota_slack: QUOTA_SLACK,
            memory_mb: MEMORY_MB,
            descriptors_max: DESCRIPTORS_MAX,
            log_level: log::LevelFilter::Info,
        }
    }

    /// Returns the region of this instance; it is the data centre itself if the settings name no region for it.
    pub fn region(&self) -> &str {
        let region = self.regions.get(&self.data_centre);
        region.map_or(&self.data_centre, |region| region)
    }

    /// Returns these settings with the reloadable ones blanked, to detect changes that need a restart.
    pub(crate) fn without_reloadable(&self) -> Self {
        Self {
            log_level: log::LevelFilter::Off,
            ..self.clone()
        }
    }

    /// Parses and validates a settings document.
    ///
    /// # Errors
    ///
    /// The text is malformed, or fields are invalid; all of them are reported at once, with their JSON paths.
    pub fn parse(text: &[u8]) -> Result<Self, SettingsError> {
        let document: SettingsJson = from_json("settings document", text)?;
        let mut validator = Validator::default();
        let settings = Self {
            caller_address: validator.address("$.caller_address", &document.caller_address),
            rpc_address: validator.address("$.rpc_address", &document.rpc_address),
            admin_address: validator.address("$.admin_address", &document.admin_address),
            platform_address: validator.address("$.platform_address", &document.platform_address),
            uses_permits: document.policy != Some(PolicyJson::Local),
            worker_threads: document.worker_threads.unwrap_or(WORKER_THREADS),
            claim_window_ms: document.claim_window_ms.unwrap_or(CLAIM_WINDOW_MS),
            snapshot_interval_ms: document
                .snapshot_interval_ms
                .unwrap_or(SNAPSHOT_INTERVAL_MS),
            drain_ms: document.drain_ms.unwrap_or(DRAIN_MS),
            log_level: validator.level(document.log_level.as_deref().unwrap_or("info")),
            principals: document.principals.iter().map(decode_principal).collect(),
            uses_store: document.platform == Some(PlatformJson::Store),
            seeds: validator.seeds(&document.seeds),
            regions: document.regions,
            capacity_permille: document
                .processor_share
                .map_or(DEFAULT_CAPACITY_PERMILLE, to_thousandths),
            stop_ms: document
                .stop_s
                .map_or(STOP_MS, |s| u64::from(to_thousandths(s))),
            retry_percent: document
                .retry_share
                .map_or(RETRY_PERCENT, |share| to_thousandths(share) / 10),
            retry_slack: document.retry_slack.unwrap_or(RETRY_SLACK),
            retry_window_ms: document
                .retry_window_s
                .map_or(RETRY_WINDOW_MS, |s| u64::from(to_thousandths(s))),
            has_strict_revocation: document.strict_revocation.unwrap_or_default(),
            revocation_ms: document
                .revocation_s
                .map_or(REVOCATION_MS, |s| u64::from(to_thousandths(s))),
            quota_window_ms: document
                .quota_window_s
                .map_or(QUOTA_WINDOW_MS, |s| u64::from(to_thousandths(s))),
            quota_tolerance_permille: document
                .quota_tolerance
                .map_or(QUOTA_TOLERANCE_PERMILLE, to_thousandths),
            quota_slack: document.quota_slack.unwrap_or(QUOTA_SLACK),
            memory_mb: document.memory_mb.unwrap_or(MEMORY_MB),
            descriptors_max: document.descriptors_max.unwrap_or(DESCRIPTORS_MAX),
            instance: document.instance,
            data_centre: document.data_centre,
        };
        validator.validate(&settings);
        if validator.findings.is_empty() {
            Ok(settings)
        } else {
            InvalidFieldsSnafu {
                findings: validator.findings,
            }
            .fail()
        }
    }
}

/// Converts a number to thousandths. The cast saturates, so that a negative number becomes 0; the fields' ranges are
/// checked by [`Validator::validate`].
fn to_thousandths(number: f64) -> u32 {
    (number * 1_000.0).round() as u32
}

fn decode_principal(principal: &PrincipalJson) -> Principal {
    Principal {
        name: principal.name.clone(),
        token: principal.token.clone(),
    }
}

/// Collects all validation errors of a settings document.
#[derive(Debug, Default)]
struct Validator {
    findings: Vec<String>,
}

impl Validator {
    fn require(&mut self, condition: bool, path: &str, message: &str) {
        if !condition {
            self.findings.push(format!("{path}: {message}"));
        }
    }

    fn address(&mut self, path: &str, text: &str) -> SocketAddr {
        let parsed = text.parse();
        self.require(
            parsed.is_ok(),
            path,
            "expected an IP address and a port, such as 127.0.0.1:8080",
        );
        parsed.unwrap_or_else(|_| SocketAddr::from(([0, 0, 0, 0], 0)))
    }

    fn seeds(&mut self, texts: &[String]) -> Vec<SocketAddr> {
        let indexed = texts.iter().enumerate();
        indexed
            .map(|(index, text)| self.address(&format!("$.seeds[{index}]"), text))
            .collect()
    }

    fn level(&mut self, text: &str) -> log::LevelFilter {
        let level = match text {
            "error" => Some(log::LevelFilter::Error),
            "warn" => Some(log::LevelFilter::Warn),
            "info" => Some(log::LevelFilter::Info),
            "debug" => Some(log::LevelFilter::Debug),
            _ => None,
        };
        self.require(
            level.is_some(),
            "$.log_level",
            "expected error, warn, info or debug",
        );
        level.unwrap_or(log::LevelFilter::Info)
    }

    fn validate(&mut self, settings: &Settings) {
        self.require(
            !settings.instance.is_empty(),
            "$.instance",
            "must not be empty",
        );
        self.require(
            !settings.data_centre.is_empty(),
            "$.data_centre",
            "must not be empty",
        );
        self.require(
            (1..=WORKER_THREADS_MAX).contains(&settings.worker_threads),
            "$.worker_threads",
            "expected 1 to 64",
        );
        self.require(
            settings.claim_window_ms > 0,
            "$.claim_window_ms",
            "expected more than 0",
        );
        self.require(
            settings.snapshot_interval_ms > 0,
            "$.snapshot_interval_ms",
            "expected more than 0",
        );
        self.require(
            (1..=CAPACITY_MAX_PERMILLE).contains(&settings.capacity_permille),
            "$.processor_share",
            "expected above 0 to 1000",
        );
        self.require(
            settings.drain_ms <= settings.stop_ms,
            "$.drain_ms",
            "expected at most stop_s",
        );
        self.require(
            settings.retry_percent <= 100,
            "$.retry_share",
            "expected 0 to 1",
        );
        self.require(
            (1_000..=60_000).contains(&settings.retry_window_ms),
            "$.retry_window_s",
            "expected 1 to 60",
        );
        self.require(
            (1_000..=600_000).contains(&settings.revocation_ms),
            "$.revocation_s",
            "expected 1 to 600",
        );
        self.require(
            (1_000..=60_000).contains(&settings.quota_window_ms),
            "$.quota_window_s",
            "expected 1 to 60",
        );
        self.require(
            settings.quota_tolerance_permille <= 1_000,
            "$.quota_tolerance",
            "expected 0 to 1",
        );
        self.require(
            (MEMORY_LEAST_MB..=MACHINE_MAX).contains(&settings.memory_mb),
            "$.memory_mb",
            "expected 32 to 1048576",
        );
        self.require(
            (DESCRIPTORS_LEAST..=MACHINE_MAX).contains(&settings.descriptors_max),
            "$.descriptors_max",
            "expected 256 to 1048576",
        );
        for (index, principal) in settings.principals.iter().enumerate() {
            let path = format!("$.principals[{index}]");
            let is_long_enough = principal.token.chars().count() >= TOKEN_MIN_CHARS;
            self.require(
                is_long_enough,
                &path,
                "its token must have at least 8 characters",
            );
            self.require(
                !principal.name.is_empty(),
                &path,
                "its name must not be empty",
            );
            let earlier = &settings.principals[..index];
            let is_unique = earlier
                .iter()
                .all(|other| other.token != principal.token && other.name != principal.name);
            self.require(
                is_unique,
                &path,
                "its name or token is already used by an earlier principal",
            );
        }
    }
}
