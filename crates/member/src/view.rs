//! The platform's list as last read, and the asker's own record of contact.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
};

/// Processor share of an instance that gives none, in thousandths of a core.
pub const DEFAULT_CAPACITY_PERMILLE: u32 = 1_000;
/// Servers of a service in a region up to which one pool spans the region; above, each data centre has its own.
/// Below it a pool in one data centre has too few servers to compare; above it one owner has too much to do.
const REGION_POOL_SERVERS: usize = 24;

/// Whether the platform lists a machine as live or leaving.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Presence {
    /// Takes work.
    Live,
    /// Finishes its work and goes.
    Leaving,
}

/// An entry instance as listed.
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
    /// Processor share in thousandths of a core; pools are placed in proportion to it.
    pub capacity_permille: u32,
    /// Start of the process, in milliseconds since 1970; 0 if not known.
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

/// A backend server as listed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BackendServer {
    /// Unique name.
    pub name: String,
    /// Name of its service.
    pub service: String,
    /// Name of its data centre.
    pub data_centre: String,
    /// Address that takes its requests.
    pub address: SocketAddr,
    /// Requests it runs at a time.
    pub slots: u32,
    /// Live or leaving.
    pub presence: Presence,
    /// Name of its region; the data centre's where there are no regions.
    pub region: String,
    /// Start of the server, in milliseconds since 1970; 0 if not known.
    pub started_at_ms: u64,
    /// Count of the server's own reports; 0 if not known.
    pub sequence: u64,
    /// How much longer it stays slow after its start, as of its report, in milliseconds.
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

/// One reading of the platform's list, indexed so that no question costs more than its own pool.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Version of the list, as the platform counts them; 0 before the first reading.
    pub version: u64,
    pub(crate) instances: Vec<Instance>,
    pub(crate) servers: Vec<BackendServer>,
    /// Positions of live instances by data centre and by region.
    pub(crate) live_by_area: HashMap<String, Vec<usize>>,
    /// Positions of instances by name.
    pub(crate) instances_by_name: HashMap<String, usize>,
    /// Positions of backend servers by service, then by the data centre or region that a pool spans.
    pub(crate) pools: HashMap<String, BTreeMap<String, Vec<usize>>>,
}

impl View {
    /// Indexes one reading of the list.
    pub fn new(version: u64, instances: Vec<Instance>, servers: Vec<BackendServer>) -> Self {
        let mut view = Self {
            version,
            ..Self::default()
        };
        for (position, instance) in instances.iter().enumerate() {
            view.instances_by_name
                .insert(instance.name.clone(), position);
            if instance.presence == Presence::Live {
                view.add_live(&instance.data_centre, position);
                if instance.region != instance.data_centre {
                    view.add_live(&instance.region, position);
                }
            }
        }
        let sizes = region_sizes(&servers);
        for (position, server) in servers.iter().enumerate() {
            let size = sizes.get(&(server.service.as_str(), server.region.as_str()));
            let area = if size.is_some_and(|&size| size > REGION_POOL_SERVERS) {
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

    fn add_live(&mut self, area: &str, position: usize) {
        let live = self.live_by_area.entry(area.to_owned()).or_default();
        live.push(position);
    }
}

/// Counts the servers of each service in each region.
fn region_sizes(servers: &[BackendServer]) -> HashMap<(&str, &str), usize> {
    let mut sizes = HashMap::new();
    for server in servers {
        let key = (server.service.as_str(), server.region.as_str());
        *sizes.entry(key).or_default() += 1;
    }
    sizes
}

/// The asker's record of one peer that failed to answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PeerBackoff {
    /// Failures in a row.
    pub failures: u32,
    /// Time until which the peer is skipped, in milliseconds of the caller's clock.
    pub backoff_until_ms: u64,
}

/// The asker's record of contact with its peers, by name.
#[derive(Clone, Debug, Default)]
pub struct PeerBackoffs {
    pub(crate) peers: HashMap<String, PeerBackoff>,
}
