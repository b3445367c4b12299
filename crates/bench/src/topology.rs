//! Topology of the system under test: data centres, instances, services and their backend servers.

use {
    config::RequestKind,
    standin::BackendKnobs,
    wire::{
        convert,
        generated::{DetectionJson, DocumentJson, ServiceJson},
    },
};

/// A service of the system under test and its backend servers.
#[derive(Clone, Debug)]
pub(crate) struct ServiceTopology {
    /// Name; also the service's path prefix.
    pub(crate) name: String,
    /// Number of backend servers, spread over all data centres.
    pub(crate) servers: usize,
    /// Detection mode, which weighs false ejections against missed failures.
    pub(crate) detection: DetectionJson,
    /// Healthy capacity that ejections must leave to the service, in slots.
    pub(crate) floor_slots: u32,
    /// Initial knobs of the service's stand-in servers.
    pub(crate) backend_knobs: BackendKnobs,
}

/// Size and settings of a system under test.
#[derive(Clone, Debug)]
pub(crate) struct Topology {
    /// Number of data centres.
    pub(crate) data_centres: usize,
    /// One-way delay that the fault proxies add to every connection, in microseconds. It is the required delay
    /// between data centres, applied to all connections, as if no two parts shared a data centre.
    pub(crate) one_way_delay_us: u64,
    /// Services and their servers.
    pub(crate) services: Vec<ServiceTopology>,
    /// Number of instances.
    pub(crate) instances: usize,
    /// Whether instances acquire permits from pool owners; if not, each chooses servers by itself.
    pub(crate) uses_permits: bool,
    /// Whether fault proxies stand in front of backend servers and of the instances' JSON-RPC.
    pub(crate) has_fault_proxies: bool,
    /// Interval between snapshots of the configuration, in milliseconds.
    pub(crate) snapshot_interval_ms: u64,
}

/// Deadline of the services under test, in milliseconds.
pub(crate) const DEADLINE_MS: u64 = 2_000;
/// Retry budget of the services under test, in percent of the requests.
const RETRY_PERCENT: u32 = 10;
/// Largest request body of the services under test, in bytes.
const MAX_BODY_BYTES: u64 = 200 << 20;
/// Largest response body that is buffered for the services under test, in bytes.
const MAX_BUFFERED_BYTES: u64 = 256 << 10;

impl Topology {
    /// Four services with 8 to 12 servers of 4 slots in four data centres; the size of the first user's system.
    pub(crate) fn four_data_centres(instances: usize) -> Self {
        Self::new(
            4,
            instances,
            &[8, 10, 11, 12],
            4,
            DetectionJson::Careful,
            1_500,
        )
    }

    /// Four services with 6 to 13 servers of 3 slots in three data centres; the size of the second user's system.
    pub(crate) fn three_data_centres(instances: usize) -> Self {
        Self::new(3, instances, &[6, 9, 12, 13], 3, DetectionJson::Fast, 500)
    }

    /// One service with 10 servers of 4 slots in one data centre, without added delay.
    pub(crate) fn single_data_centre(instances: usize) -> Self {
        Self::new(1, instances, &[10], 4, DetectionJson::Fast, 0)
    }

    fn new(
        data_centres: usize,
        instances: usize,
        servers: &[usize],
        slots: u32,
        detection: DetectionJson,
        one_way_delay_us: u64,
    ) -> Self {
        let services = servers
            .iter()
            .enumerate()
            .map(|(number, &servers)| ServiceTopology {
                name: format!("s{number}"),
                servers,
                detection,
                floor_slots: servers as u32 * slots / 2,
                backend_knobs: BackendKnobs {
                    slots,
                    ..BackendKnobs::default()
                },
            })
            .collect();
        Self {
            data_centres,
            one_way_delay_us,
            services,
            instances,
            uses_permits: true,
            has_fault_proxies: true,
            snapshot_interval_ms: 600_000,
        }
    }

    /// Returns the configuration document with the services and their routes.
    pub(crate) fn document(&self) -> DocumentJson {
        let routes = self.services.iter().flat_map(|service| {
            let route = |methods: &[&str], kind| {
                convert::simple_route(&format!("/{}", service.name), methods, &service.name, kind)
            };
            [
                route(&["GET", "PUT"], RequestKind::Safe),
                route(&["POST"], RequestKind::Unsafe),
            ]
        });
        DocumentJson {
            limits: None,
            accounts: Vec::new(),
            services: self.services.iter().map(service_json).collect(),
            routes: routes.collect(),
        }
    }
}

fn service_json(service: &ServiceTopology) -> ServiceJson {
    ServiceJson {
        name: service.name.clone(),
        detection: service.detection,
        floor_slots: service.floor_slots,
        deadline_ms: DEADLINE_MS,
        retry_percent: RETRY_PERCENT,
        max_body_bytes: MAX_BODY_BYTES,
        hold_bytes: MAX_BUFFERED_BYTES,
    }
}
