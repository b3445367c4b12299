//! An instance's settings: typed, with defaults, checked in one place.

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

/// Default worker threads.
const WORKER_THREADS: u32 = 2;
/// Most worker threads.
const WORKER_THREADS_MAX: u32 = 64;
/// Default time for which a key is remembered, in milliseconds.
const CLAIM_WINDOW_MS: u64 = 600_000;
/// Default time between snapshots of the configuration, in milliseconds.
const SNAPSHOT_INTERVAL_MS: u64 = 600_000;
/// Default time between readiness going false and the listener closing, in milliseconds.
const DRAIN_MS: u64 = 1_500;
/// Default time from the signal to stop to the end, in milliseconds.
const STOP_MS: u64 = 120_000;
/// Default share of retries with the store, in percent.
const RETRY_PERCENT: u32 = 20;
/// Default retries that the fleet may add in a window.
const RETRY_SLACK: u32 = 20;
/// Default window over which retries are counted, in milliseconds.
const RETRY_WINDOW_MS: u64 = 10_000;
/// Largest processor share, in thousandths of a core.
const CAPACITY_MAX_PERMILLE: u32 = 1_000_000;
/// Shortest token, in characters.
const TOKEN_MIN_CHARS: usize = 8;

/// Settings that can't be used.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The text is not a settings document.
    #[snafu(display("{source}"), context(false))]
    Parse {
        /// What is wrong.
        source: CodecError,
    },
    /// Fields have values that are not allowed.
    #[snafu(display("{}", findings.join("\n")))]
    InvalidFields {
        /// One sentence a field, with its JSON path.
        findings: Vec<String>,
    },
}

/// Someone who may use the administration API.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Principal {
    /// Name that stands in the history.
    pub name: String,
    /// Bearer token.
    pub token: String,
}

/// Checked settings of one instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Unique name of this instance.
    pub instance: String,
    /// Name of its data centre.
    pub data_centre: String,
    /// Listens for callers.
    pub caller_address: SocketAddr,
    /// Listens for other instances.
    pub rpc_address: SocketAddr,
    /// Listens for operators.
    pub admin_address: SocketAddr,
    /// The platform's service.
    pub platform_address: SocketAddr,
    /// Who may propose and approve.
    pub principals: Vec<Principal>,
    /// Whether backend servers are chosen by permits or by this instance alone.
    pub uses_permits: bool,
    /// Worker threads.
    pub worker_threads: u32,
    /// Time for which a key is remembered, in milliseconds.
    pub claim_window_ms: u64,
    /// Time between snapshots of the configuration, in milliseconds.
    pub snapshot_interval_ms: u64,
    /// Time between readiness going false and the listener closing, in milliseconds.
    pub drain_ms: u64,
    /// Whether the platform keeps lists in a store, rather than records in a log.
    pub uses_store: bool,
    /// Addresses of other instances, asked while none is known; they may be stale.
    pub seeds: Vec<SocketAddr>,
    /// Region of each data centre.
    pub regions: HashMap<String, String>,
    /// Processor share of this instance, in thousandths of a core.
    pub capacity_permille: u32,
    /// Longest time from the signal to stop to the end, in milliseconds.
    pub stop_ms: u64,
    /// Retries of a service as a share of its requests, in percent, where the platform does not say.
    pub retry_percent: u32,
    /// Retries of a service that the whole fleet may add in a window.
    pub retry_slack: u32,
    /// Window over which retries are counted, in milliseconds.
    pub retry_window_ms: u64,
    /// Least level that is logged.
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
            log_level: log::LevelFilter::Info,
        }
    }

    /// Returns the region of this instance.
    pub fn region(&self) -> &str {
        let region = self.regions.get(&self.data_centre);
        region.map_or(&self.data_centre, |region| region)
    }

    /// Returns these settings without what a running process takes over.
    pub(crate) fn without_reloadable(&self) -> Self {
        Self {
            log_level: log::LevelFilter::Off,
            ..self.clone()
        }
    }

    /// Reads and checks settings.
    ///
    /// # Errors
    ///
    /// Every wrong field at once, each with its JSON path.
    pub fn parse(text: &[u8]) -> Result<Self, SettingsError> {
        let text: SettingsJson = from_json("settings document", text)?;
        let mut check = Check::default();
        let settings = Self {
            caller_address: check.address("$.caller_address", &text.caller_address),
            rpc_address: check.address("$.rpc_address", &text.rpc_address),
            admin_address: check.address("$.admin_address", &text.admin_address),
            platform_address: check.address("$.platform_address", &text.platform_address),
            uses_permits: text.policy != Some(PolicyJson::Local),
            worker_threads: text.worker_threads.unwrap_or(WORKER_THREADS),
            claim_window_ms: text.claim_window_ms.unwrap_or(CLAIM_WINDOW_MS),
            snapshot_interval_ms: text.snapshot_interval_ms.unwrap_or(SNAPSHOT_INTERVAL_MS),
            drain_ms: text.drain_ms.unwrap_or(DRAIN_MS),
            log_level: check.level(text.log_level.as_deref().unwrap_or("info")),
            principals: text.principals.iter().map(principal).collect(),
            uses_store: text.platform == Some(PlatformJson::Store),
            seeds: check.seeds(&text.seeds),
            regions: text.regions,
            capacity_permille: text
                .processor_share
                .map_or(DEFAULT_CAPACITY_PERMILLE, thousandths),
            stop_ms: text.stop_s.map_or(STOP_MS, |s| u64::from(thousandths(s))),
            retry_percent: text
                .retry_share
                .map_or(RETRY_PERCENT, |share| thousandths(share) / 10),
            retry_slack: text.retry_slack.unwrap_or(RETRY_SLACK),
            retry_window_ms: text
                .retry_window_s
                .map_or(RETRY_WINDOW_MS, |s| u64::from(thousandths(s))),
            instance: text.instance,
            data_centre: text.data_centre,
        };
        check.fields(&settings);
        if check.findings.is_empty() {
            Ok(settings)
        } else {
            InvalidFieldsSnafu {
                findings: check.findings,
            }
            .fail()
        }
    }
}

/// Turns a number into thousandths of it; what does not fit is caught by the check of the field.
fn thousandths(number: f64) -> u32 {
    (number * 1_000.0).round() as u32
}

fn principal(text: &PrincipalJson) -> Principal {
    Principal {
        name: text.name.clone(),
        token: text.token.clone(),
    }
}

/// Gathers every error of a settings document.
#[derive(Debug, Default)]
struct Check {
    findings: Vec<String>,
}

impl Check {
    fn require(&mut self, holds: bool, path: &str, sentence: &str) {
        if !holds {
            self.findings.push(format!("{path}: {sentence}"));
        }
    }

    fn address(&mut self, path: &str, text: &str) -> SocketAddr {
        let parsed = text.parse();
        self.require(
            parsed.is_ok(),
            path,
            "expected an IP number and a port, such as 127.0.0.1:8080",
        );
        parsed.unwrap_or_else(|_| SocketAddr::from(([0, 0, 0, 0], 0)))
    }

    fn seeds(&mut self, texts: &[String]) -> Vec<SocketAddr> {
        let places = texts.iter().enumerate();
        places
            .map(|(place, text)| self.address(&format!("$.seeds[{place}]"), text))
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

    fn fields(&mut self, settings: &Settings) {
        self.require(
            !settings.instance.is_empty(),
            "$.instance",
            "a name is needed",
        );
        self.require(
            !settings.data_centre.is_empty(),
            "$.data_centre",
            "a name is needed",
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
        for (index, principal) in settings.principals.iter().enumerate() {
            let path = format!("$.principals[{index}]");
            let long = principal.token.chars().count() >= TOKEN_MIN_CHARS;
            self.require(long, &path, "a token has at least 8 characters");
            self.require(!principal.name.is_empty(), &path, "a name is needed");
            let earlier = &settings.principals[..index];
            let unique = earlier
                .iter()
                .all(|other| other.token != principal.token && other.name != principal.name);
            self.require(unique, &path, "its name or its token stands there before");
        }
    }
}
