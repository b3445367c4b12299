//! The platform's balancer: sends callers to instances that say they are ready.

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

/// Time between looks at an instance's readiness, in milliseconds.
const LOOK_INTERVAL_MS: u64 = 250;

/// An instance as the balancer knows it.
#[derive(Clone, Copy, Debug)]
struct Target {
    caller_address: SocketAddr,
    admin_address: SocketAddr,
    ready: bool,
}

/// The balancer; clones share what it knows.
#[derive(Clone, Debug, Default)]
pub(crate) struct Balancer {
    targets: Arc<RwLock<Vec<Target>>>,
}

impl Balancer {
    /// Creates a balancer in front of the world's instances, which are taken as ready.
    pub(crate) fn new(cluster: &Cluster) -> Self {
        let balancer = Self::default();
        balancer.update_targets(cluster);
        balancer
    }

    /// Takes over the world's instances; those known already keep their state.
    pub(crate) fn update_targets(&self, cluster: &Cluster) {
        let mut targets = self.targets.write().unwrap_or_else(PoisonError::into_inner);
        let known = targets.clone();
        *targets = cluster
            .instances
            .iter()
            .map(|instance| {
                let caller_address = instance.process.caller_address;
                let old = known
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

    /// Sends no more callers to one instance; for balancers that do not look by themselves.
    pub(crate) fn remove_target(&self, caller_address: SocketAddr) {
        let mut targets = self.targets.write().unwrap_or_else(PoisonError::into_inner);
        targets.retain(|target| target.caller_address != caller_address);
    }

    /// Picks a ready instance by a random number.
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

    /// Looks at every instance's readiness for ever.
    pub(crate) async fn poll_readiness(self, client: HttpClient) {
        loop {
            let targets = self
                .targets
                .read()
                .unwrap_or_else(PoisonError::into_inner)
                .clone();
            for target in targets {
                let (balancer, client) = (self.clone(), client.clone());
                tokio::spawn(async move { balancer.look(&client, target).await });
            }
            sleep(Duration::from_millis(LOOK_INTERVAL_MS)).await;
        }
    }

    async fn look(&self, client: &HttpClient, target: Target) {
        let address = target.admin_address;
        let looking = client::call_admin(client, address, Method::GET, "/ready", "", String::new());
        let limit = Duration::from_millis(LOOK_INTERVAL_MS * 2);
        let reply = tokio::time::timeout(limit, looking).await;
        let ready = matches!(reply, Ok(Ok(reply)) if reply.status.is_success());
        let mut targets = self.targets.write().unwrap_or_else(PoisonError::into_inner);
        if let Some(found) = targets
            .iter_mut()
            .find(|found| found.admin_address == address)
        {
            found.ready = ready;
        }
    }
}
