//! The owned types of a configuration document.
//!
//! A document is stored as it was accepted; all other code borrows it.

/// SHA-256 of an API key. Instances store and pass on digests only, so that a key can't leak from a log or a message.
pub type ApiKeyDigest = [u8; 32];

/// Trade-off of the outlier detector between missed detections and false ejections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DetectionMode {
    /// A missed detection costs more.
    Fast,
    /// A false ejection costs more.
    Careful,
}

/// A service with its set of backend servers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Service {
    /// Unique name of 1 to 64 characters from a-z, 0-9 and `-`.
    pub name: String,
    /// Trade-off of the outlier detector.
    pub detection: DetectionMode,
    /// Healthy capacity that ejections must leave in service, in slots.
    pub floor_slots: u32,
    /// Maximum time until a request's deadline, in milliseconds; the caller and the route may only shorten it.
    pub deadline_ms: u64,
    /// Maximum number of retries and hedged requests relative to the number of requests, in percent.
    pub retry_percent: u32,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: u64,
    /// Maximum size of a response that is buffered until it is complete, in bytes; a larger one is streamed.
    pub hold_bytes: u64,
}

/// Whether the requests of a route may be retried. The variant names are part of a document's canonical text and thus
/// of its digest.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RequestKind {
    /// A request is idempotent and may run more than once.
    Safe,
    /// A request must run at most once.
    Unsafe,
    /// A request must run at most once, and its body may be large.
    Upload,
}

impl RequestKind {
    /// Returns whether a request may run more than once.
    pub fn is_idempotent(self) -> bool {
        self == Self::Safe
    }
}

/// A service and its share of the requests of a route.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Destination {
    /// Name of the service.
    pub service: String,
    /// Weight of the service, relative to the other weights of the route.
    pub weight: u32,
}

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Maximum size of a request's header section, in bytes.
    pub header_bytes: u64,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: u64,
    /// Time allowed to receive a request's header section, in milliseconds. It is not enforced apart from
    /// `idle_timeout_ms`, because the HTTP library counts both from the end of the previous response.
    pub header_timeout_ms: u64,
    /// Time from the end of a response after which the connection is closed, unless the header section of the next
    /// request has been received, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// A client account: who may send requests, with which priority and how many.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Account {
    /// Unique name of 1 to 64 characters from a-z, 0-9 and `-`; backend servers get it with each request.
    pub name: String,
    /// Digests of the account's API keys; an account without keys can't send requests.
    pub key_digests: Vec<ApiKeyDigest>,
    /// Priority of its requests when slots are scarce, compared before that of the route; 0 is the most urgent.
    pub priority: u32,
    /// Requests that the account may send to all instances together, in thousandths of a request a second; 0 for no
    /// limit.
    pub rate_milli: u64,
    /// Requests that it may send at once beyond the rate.
    pub burst_requests: u64,
}

impl Account {
    /// Creates an account of the highest priority, without keys and without a limit.
    pub fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            key_digests: Vec::new(),
            priority: 0,
            rate_milli: 0,
            burst_requests: 0,
        }
    }
}

/// Routes the requests below a path prefix to one service or, by weight, to several.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Route {
    /// Host in lower case, without a port; empty matches every host.
    pub host: String,
    /// Path prefix, matched at segment boundaries; the longest match wins.
    pub prefix: String,
    /// HTTP methods that the route matches; empty matches every method.
    pub methods: Vec<String>,
    /// The services with their weights; a single one if the traffic is not split.
    pub destinations: Vec<Destination>,
    /// Whether requests may be retried.
    pub kind: RequestKind,
    /// Maximum time until a request's deadline, in milliseconds; none applies that of the service. A longer time than
    /// that of the service has no effect.
    pub timeout_ms: Option<u64>,
    /// Target latency, within which a response has its full value, in milliseconds. It is only stored: requests are not
    /// scheduled by it.
    pub target_ms: Option<u64>,
    /// Priority when slots are scarce; 0 is the most urgent.
    pub priority: u32,
    /// Maximum number of backend servers that one request is sent to.
    pub attempts_max: u32,
    /// Whether requests need no API key; without effect if the document has no accounts.
    pub is_public: bool,
}

impl Route {
    /// Default of `attempts_max`.
    pub const ATTEMPTS_MAX: u32 = 4;

    /// Creates a route for every host and method to one service, with neither timeout nor latency target.
    pub fn new(prefix: &str, service: &str, kind: RequestKind) -> Self {
        Self {
            host: String::new(),
            prefix: prefix.to_owned(),
            methods: Vec::new(),
            destinations: vec![Destination {
                service: service.to_owned(),
                weight: 1,
            }],
            kind,
            timeout_ms: None,
            target_ms: None,
            priority: 0,
            attempts_max: Self::ATTEMPTS_MAX,
            is_public: false,
        }
    }
}

/// A complete configuration, which is proposed, approved and activated as a unit.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Document {
    /// The services, in the operator's order.
    pub services: Vec<Service>,
    /// The routes, in the operator's order.
    pub routes: Vec<Route>,
    /// Limits on callers; none applies the limits of the services and the built-in ones.
    pub limits: Option<CallerLimits>,
    /// Client accounts, in the operator's order. Without any, requests need no API key.
    pub accounts: Vec<Account>,
}

/// One validation error of a document.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ValidationError {
    /// JSON path of the invalid value, such as `$.services[2].floor_slots`.
    pub path: String,
    /// What is wrong and what is allowed, in one sentence.
    pub message: String,
}
