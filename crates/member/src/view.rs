//! The membership view: an indexed snapshot of the listed servers and instances. Also the backoff state of peers.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    net::SocketAddr,
};

/// Capacity of an instance that does not report one, in thousandths of a core.
pub const DEFAULT_CAPACITY_PERMILLE: u32 = 1_000;
/// Most servers of a service in a region for which one pool spans the region; with more, each data centre has a pool of
/// its own. With fewer servers, a pool of one data centre would have too few to compare with one another; with more, a
/// region's pool would put too much load on one owner.
const REGION_POOL_MAX_SERVERS: usize = 24;

/// State of a server or instance as listed by the platform.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Presence {
    /// Accepts new work.
    Live,
    /// Finishes its current work and then stops.
    Leaving,
}

/// An instance as listed by the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Instance {
    /// Unique name.
    pub name: String,
    /// Name of its data centre.
    pub data_centre: String,
    /// Name of its region; the data centre's where there are no regions.
    pub region: String,
    /// Address of its JSON-RPC server.
    pub rpc_address: SocketAddr,
    /// Live or leaving.
    pub presence: Presence,
    /// Processor share in thousandths of a core; instances with a larger share own more pools.
    pub capacity_permille: u32,
    /// Start of the process, in milliseconds since the Unix epoch; 0 if unknown.
    pub incarnation: u64,
}

impl Instance {
    /// Creates a live instance whose region is its data centre.
    pub fn new(name: &str, data_centre: &str, rpc_address: SocketAddr) -> Self {
        Self {
            name: name.to_owned(),
            data_centre: data_centre.to_owned(),
            region: data_centre.to_owned(),
            rpc_address,
            presence: Presence::Live,
            capacity_permille: DEFAULT_CAPACITY_PERMILLE,
            incarnation: 0,
        }
    }
}

/// A backend server as listed by the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BackendServer {
    /// Unique name.
    pub name: String,
    /// Name of its service.
    pub service: String,
    /// Name of its data centre.
    pub data_centre: String,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Most requests that it runs concurrently.
    pub slots: u32,
    /// Live or leaving.
    pub presence: Presence,
    /// Name of its region; the data centre's where there are no regions.
    pub region: String,
    /// Start of the server, in milliseconds since the Unix epoch; 0 if unknown.
    pub started_at_ms: u64,
    /// Sequence number of the server's report; 0 if unknown.
    pub sequence: u64,
    /// Remaining warm-up time at the time of the report, in milliseconds.
    pub warmup_left_ms: u64,
}

impl BackendServer {
    /// Creates a live server whose region is its data centre.
    pub fn new(
        name: &str,
        service: &str,
        data_centre: &str,
        address: SocketAddr,
        slots: u32,
    ) -> Self {
        Self {
            name: name.to_owned(),
            service: service.to_owned(),
            data_centre: data_centre.to_owned(),
            address,
            slots,
            presence: Presence::Live,
            region: data_centre.to_owned(),
            started_at_ms: 0,
            sequence: 0,
            warmup_left_ms: 0,
        }
    }
}

/// A snapshot of the listed servers and instances, indexed so that a query visits only the pool that it is about.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Version of the roster or member list that was indexed; 0 for an empty view.
    pub version: u64,
    pub(crate) instances: Vec<Instance>,
    pub(crate) servers: Vec<BackendServer>,
    /// Live instances by data centre and by region, as indices into `instances`.
    pub(crate) live_by_area: HashMap<String, Vec<usize>>,
    /// Instances by name, as indices into `instances`.
    pub(crate) instances_by_name: HashMap<String, usize>,
    /// Backend servers by name, as indices into `servers`.
    pub(crate) servers_by_name: HashMap<String, usize>,
    /// Names of backend servers that were listed and then removed.
    pub(crate) removed_servers: HashSet<String>,
    /// Backend servers by service, then by the data centre or region that their pool spans, as indices into `servers`.
    pub(crate) pools: HashMap<String, BTreeMap<String, Vec<usize>>>,
}

impl View {
    /// Indexes one version of the list.
    pub fn new(version: u64, instances: Vec<Instance>, servers: Vec<BackendServer>) -> Self {
        let mut view = Self {
            version,
            ..Self::default()
        };
        for (position, instance) in instances.iter().enumerate() {
            view.instances_by_name
                .insert(instance.name.clone(), position);
            if instance.presence == Presence::Live {
                view.index_live(&instance.data_centre, position);
                if instance.region != instance.data_centre {
                    view.index_live(&instance.region, position);
                }
            }
        }
        let server_counts = region_server_counts(&servers);
        for (position, server) in servers.iter().enumerate() {
            view.servers_by_name.insert(server.name.clone(), position);
            let count = server_counts.get(&(server.service.as_str(), server.region.as_str()));
            let area = if count.is_some_and(|&count| count > REGION_POOL_MAX_SERVERS) {
                &server.data_centre
            } else {
                &server.region
            };
            let pools = view.pools.entry(server.service.clone()).or_default();
            pools.entry(area.clone()).or_default().push(position);
        }
        view.instances = instances;
        view.servers = servers;
        view
    }

    /// Sets the names of servers that were listed and then removed.
    pub fn with_removed_servers(mut self, names: HashSet<String>) -> Self {
        self.removed_servers = names;
        self
    }

    /// Adds the live instance at `position` to the index of `area`.
    fn index_live(&mut self, area: &str, position: usize) {
        let live = self.live_by_area.entry(area.to_owned()).or_default();
        live.push(position);
    }
}

/// Counts the servers of each service in each region.
fn region_server_counts(servers: &[BackendServer]) -> HashMap<(&str, &str), usize> {
    let mut server_counts = HashMap::new();
    for server in servers {
        let key = (server.service.as_str(), server.region.as_str());
        *server_counts.entry(key).or_default() += 1;
    }
    server_counts
}

/// Backoff state of one peer that did not respond.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PeerBackoff {
    /// Consecutive failures.
    pub failures: u32,
    /// Time until which the peer is not called, in milliseconds of the local clock.
    pub backoff_until_ms: u64,
}

/// Backoff state of the peers that did not respond, by name.
#[derive(Clone, Debug, Default)]
pub struct PeerBackoffs {
    pub(crate) peers: HashMap<String, PeerBackoff>,
}
