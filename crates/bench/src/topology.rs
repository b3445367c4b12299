//! The shape of a system under test: data centres, services and their backend servers.

use {
    config::RequestKind,
    standin::BackendKnobs,
    wire::{
        convert,
        generated::{DetectionJson, DocumentJson, ServiceJson},
    },
};

/// One service of the system under test.
#[derive(Clone, Debug)]
pub(crate) struct ServiceTopology {
    /// Name, also its path prefix.
    pub(crate) name: String,
    /// Backend servers over all data centres.
    pub(crate) servers: usize,
    /// Weighing of the detector.
    pub(crate) detection: DetectionJson,
    /// Floor, in slots.
    pub(crate) floor_slots: u32,
    /// Knobs that its servers start with.
    pub(crate) backend_knobs: BackendKnobs,
}

/// The system under test.
#[derive(Clone, Debug)]
pub(crate) struct Topology {
    /// Number of data centres.
    pub(crate) data_centres: usize,
    /// Delay of one way that the fault proxies put in, within a data centre too, in microseconds; the
    /// brief's delay between data centres, so all are taken as far apart.
    pub(crate) one_way_delay_us: u64,
    /// The services.
    pub(crate) services: Vec<ServiceTopology>,
    /// Number of instances.
    pub(crate) instances: usize,
    /// Whether instances use permits or choose alone.
    pub(crate) uses_permits: bool,
    /// Whether faults can be injected between the parts.
    pub(crate) has_fault_proxies: bool,
    /// Time between snapshots of the configuration, in milliseconds.
    pub(crate) snapshot_interval_ms: u64,
}

/// Deadline of the services under test, in milliseconds.
pub(crate) const DEADLINE_MS: u64 = 2_000;
/// Share of retries of the services under test, in percent.
const RETRY_PERCENT: u32 = 10;
/// Largest request body of the services under test, in bytes.
const MAX_BODY_BYTES: u64 = 200 << 20;
/// Largest answer that the services under test hold, in bytes.
const HOLD_BYTES: u64 = 256 << 10;

impl Topology {
    /// Services of the size of the first user: four, with 8 to 12 servers of 4 slots, in four data centres.
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

    /// Services of the size of the second user: four, with 6 to 13 servers of 3 slots, in three data centres.
    pub(crate) fn three_data_centres(instances: usize) -> Self {
        Self::new(3, instances, &[6, 9, 12, 13], 3, DetectionJson::Fast, 500)
    }

    /// One service of 10 servers with 4 slots in one data centre.
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

    /// The configuration document of the system.
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
            services: self.services.iter().map(service_text).collect(),
            routes: routes.collect(),
        }
    }
}

fn service_text(service: &ServiceTopology) -> ServiceJson {
    ServiceJson {
        name: service.name.clone(),
        detection: service.detection,
        floor_slots: service.floor_slots,
        deadline_ms: DEADLINE_MS,
        retry_percent: RETRY_PERCENT,
        max_body_bytes: MAX_BODY_BYTES,
        hold_bytes: HOLD_BYTES,
    }
}
