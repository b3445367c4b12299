//! Model of the platform's load balancer, which sends callers to instances that report ready.

use {
    crate::{
        client::{self, HttpClient},
        cluster::Cluster,
    },
    hyper::Method,
    std::{
        net::SocketAddr,
        sync::{Arc, PoisonError, RwLock},
        time::Duration,
    },
    tokio::time::sleep,
};

/// Interval between readiness probes of an instance, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 250;

/// An instance and the result of its last readiness probe.
#[derive(Clone, Copy, Debug)]
struct Target {
    caller_address: SocketAddr,
    admin_address: SocketAddr,
    ready: bool,
}

/// Load balancer; clones share one list of targets.
#[derive(Clone, Debug, Default)]
pub(crate) struct Balancer {
    targets: Arc<RwLock<Vec<Target>>>,
}

impl Balancer {
    /// Creates a balancer for the cluster's instances, which count as ready until a probe fails.
    pub(crate) fn new(cluster: &Cluster) -> Self {
        let balancer = Self::default();
        balancer.update_targets(cluster);
        balancer
    }

    /// Replaces the targets by the cluster's instances; known instances keep their readiness, new ones count as
    /// ready.
    pub(crate) fn update_targets(&self, cluster: &Cluster) {
        let mut targets = self.targets.write().unwrap_or_else(PoisonError::into_inner);
        let previous = targets.clone();
        *targets = cluster
            .instances
            .iter()
            .map(|instance| {
                let caller_address = instance.process.caller_address;
                let old = previous
                    .iter()
                    .find(|target| target.caller_address == caller_address);
                Target {
                    caller_address,
                    admin_address: instance.process.admin_address,
                    ready: old.is_none_or(|target| target.ready),
                }
            })
            .collect();
    }

    /// Stops sending callers to one instance until the next [`Self::update_targets`].
    pub(crate) fn remove_target(&self, caller_address: SocketAddr) {
        let mut targets = self.targets.write().unwrap_or_else(PoisonError::into_inner);
        targets.retain(|target| target.caller_address != caller_address);
    }

    /// Picks a ready instance; `random` selects among them. Returns `None` if none is ready.
    pub(crate) fn pick(&self, random: usize) -> Option<SocketAddr> {
        let targets = self.targets.read().unwrap_or_else(PoisonError::into_inner);
        let ready: Vec<SocketAddr> = targets
            .iter()
            .filter(|target| target.ready)
            .map(|target| target.caller_address)
            .collect();
        if ready.is_empty() {
            return None;
        }
        Some(ready[random % ready.len()])
    }

    /// Probes the readiness of every instance at a fixed interval; never returns.
    pub(crate) async fn poll_readiness(self, client: HttpClient) {
        loop {
            let targets = self
                .targets
                .read()
                .unwrap_or_else(PoisonError::into_inner)
                .clone();
            for target in targets {
                let (balancer, client) = (self.clone(), client.clone());
                tokio::spawn(async move { balancer.probe(&client, target).await });
            }
            sleep(Duration::from_millis(PROBE_INTERVAL_MS)).await;
        }
    }

    async fn probe(&self, client: &HttpClient, target: Target) {
        let address = target.admin_address;
        let probe = client::call_admin(client, address, Method::GET, "/ready", "", String::new());
        let limit = Duration::from_millis(PROBE_INTERVAL_MS * 2);
        let response = tokio::time::timeout(limit, probe).await;
        let ready = matches!(response, Ok(Ok(response)) if response.status.is_success());
        let mut targets = self.targets.write().unwrap_or_else(PoisonError::into_inner);
        if let Some(found) = targets
            .iter_mut()
            .find(|found| found.admin_address == address)
        {
            found.ready = ready;
        }
    }
}
