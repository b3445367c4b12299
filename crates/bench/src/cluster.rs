//! Cluster under test: stand-ins for the platform and the backend servers, fault proxies and instance processes.

use {
    crate::{
        client::{self, HttpClient},
        process::{create_run_dir, InstanceProcess, ProcessConfig, APPROVER, PROPOSER},
        topology::Topology,
    },
    hyper::Method,
    member::{BackendServer, Instance, Presence},
    serde_json::Value,
    standin::{Backend, FaultProxy, Platform},
    std::{
        collections::HashMap,
        fs, io,
        net::SocketAddr,
        path::PathBuf,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
    wire::{
        from_json,
        generated::{AdminResponse, DecideRequest, DocumentJson, ProposeRequest, StatusReport},
        to_json,
    },
};

/// Timeout for an instance to respond after its start, and for all instances to become ready, in milliseconds.
const READY_TIMEOUT_MS: u64 = 15_000;
/// Wait after all instances have become ready, in which each reads the platform's list for the first time, in
/// milliseconds.
const SETTLE_MS: u64 = 300;
/// Interval between status polls, in milliseconds.
const POLL_INTERVAL_MS: u64 = 50;

/// A stand-in backend server with its fault proxy.
#[derive(Debug)]
pub(crate) struct TestServer {
    pub(crate) name: String,
    pub(crate) service: String,
    pub(crate) data_centre: String,
    pub(crate) slots: u32,
    pub(crate) backend: Backend,
    pub(crate) proxy: Option<FaultProxy>,
    pub(crate) presence: Presence,
}

impl TestServer {
    fn address(&self) -> SocketAddr {
        self.proxy
            .as_ref()
            .map_or(self.backend.address, |proxy| proxy.address)
    }
}

/// An instance process with its fault proxies.
#[derive(Debug)]
pub(crate) struct TestInstance {
    pub(crate) process: InstanceProcess,
    /// Proxy between this instance and the platform.
    pub(crate) platform_proxy: FaultProxy,
    /// Proxy between the other instances and this instance's JSON-RPC.
    pub(crate) rpc_proxy: Option<FaultProxy>,
    pub(crate) presence: Presence,
}

impl TestInstance {
    fn rpc_address(&self) -> SocketAddr {
        self.rpc_proxy
            .as_ref()
            .map_or(self.process.rpc_address, |proxy| proxy.address)
    }
}

/// A placement decision that an instance has logged.
#[derive(Clone, Debug)]
pub(crate) struct PlacementDecision {
    pub(crate) at_ms: u64,
    pub(crate) instance: String,
    pub(crate) server: String,
    pub(crate) standing: String,
}

fn parse_placement(line: &str) -> Option<PlacementDecision> {
    let value: Value = serde_json::from_str(line).ok()?;
    let text = |value: &Value| value.as_str().map(str::to_owned);
    Some(PlacementDecision {
        at_ms: value["at_ms"].as_u64()?,
        instance: text(&value["instance"])?,
        server: text(&value["decision"]["server"])?,
        standing: text(&value["decision"]["standing"])?,
    })
}

/// The running system under test.
#[derive(Debug)]
pub(crate) struct Cluster {
    pub(crate) topology: Topology,
    pub(crate) platform: Platform,
    pub(crate) servers: Vec<TestServer>,
    pub(crate) instances: Vec<TestInstance>,
    pub(crate) client: HttpClient,
    dir: PathBuf,
    next_instance: usize,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        // With CATKINHITCH_KEEP set, the logs stay on disk, so that a failed run can be examined.
        if std::env::var_os("CATKINHITCH_KEEP").is_none() {
            self.instances.clear();
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

impl Cluster {
    /// Starts the cluster, activates the topology's document and waits until every instance is ready.
    pub(crate) async fn start(topology: Topology) -> io::Result<Self> {
        let cluster = Self::start_without_document(topology).await?;
        let document = cluster.topology.document();
        cluster.activate_document(0, &document).await?;
        cluster.wait_until_ready(1).await?;
        sleep(Duration::from_millis(SETTLE_MS)).await;
        Ok(cluster)
    }

    /// Starts the cluster without a configuration.
    pub(crate) async fn start_without_document(topology: Topology) -> io::Result<Self> {
        let mut cluster = Self {
            platform: Platform::new(SocketAddr::from(([127, 0, 0, 1], 0))).await?,
            servers: Vec::new(),
            instances: Vec::new(),
            client: client::new_client(),
            dir: create_run_dir()?,
            next_instance: 0,
            topology,
        };
        cluster.start_servers().await?;
        for _ in 0..cluster.topology.instances {
            cluster.add_instance().await?;
        }
        cluster.publish_membership();
        Ok(cluster)
    }

    async fn start_servers(&mut self) -> io::Result<()> {
        for service in self.topology.services.clone() {
            for number in 0..service.servers {
                let name = format!("{}-{number:02}", service.name);
                let address = SocketAddr::from(([127, 0, 0, 1], 0));
                let backend = Backend::new(&name, address, service.backend_knobs.clone()).await?;
                let proxy = self.start_proxy(backend.address).await?;
                self.servers.push(TestServer {
                    name,
                    service: service.name.clone(),
                    data_centre: format!("dc{}", number % self.topology.data_centres),
                    slots: service.backend_knobs.slots,
                    backend,
                    proxy,
                    presence: Presence::Live,
                });
            }
        }
        Ok(())
    }

    async fn start_proxy(&self, target: SocketAddr) -> io::Result<Option<FaultProxy>> {
        if !self.topology.has_fault_proxies {
            return Ok(None);
        }
        let proxy = FaultProxy::new(target).await?;
        proxy.update_knobs(|knobs| knobs.delay_us = self.topology.one_way_delay_us);
        Ok(Some(proxy))
    }

    /// Starts another instance and returns its index; the next [`Cluster::publish_membership`] lists it.
    pub(crate) async fn add_instance(&mut self) -> io::Result<usize> {
        let number = self.next_instance;
        self.next_instance += 1;
        let platform_proxy = FaultProxy::new(self.platform.address).await?;
        let config = ProcessConfig {
            name: format!("i{number:03}"),
            data_centre: format!("dc{}", number % self.topology.data_centres),
            platform_address: platform_proxy.address,
            uses_permits: self.topology.uses_permits,
            snapshot_interval_ms: self.topology.snapshot_interval_ms,
        };
        let process = InstanceProcess::spawn(config, &self.dir)?;
        let rpc_proxy = self.start_proxy(process.rpc_address).await?;
        self.instances.push(TestInstance {
            process,
            platform_proxy,
            rpc_proxy,
            presence: Presence::Live,
        });
        Ok(self.instances.len() - 1)
    }

    /// Replaces an instance by a new process under a new name, kills the old process and publishes the list. The data
    /// centre of the new instance follows from its number and may differ.
    pub(crate) async fn replace_instance(&mut self, index: usize) -> io::Result<()> {
        self.add_instance().await?;
        let replacement = self.instances.pop();
        if let Some(replacement) = replacement {
            self.instances[index] = replacement;
        }
        self.publish_membership();
        Ok(())
    }

    /// Publishes the platform's list of instances and backend servers.
    pub(crate) fn publish_membership(&self) {
        let instances = self.instances.iter().map(|instance| {
            let config = &instance.process.config;
            let listed = Instance::new(&config.name, &config.data_centre, instance.rpc_address());
            Instance {
                presence: instance.presence,
                ..listed
            }
        });
        let servers = self.servers.iter().map(|server| BackendServer {
            presence: server.presence,
            ..BackendServer::new(
                &server.name,
                &server.service,
                &server.data_centre,
                server.address(),
                server.slots,
            )
        });
        let (instances, servers): (Vec<_>, Vec<_>) = (instances.collect(), servers.collect());
        self.platform.publish_members(&instances, &servers);
    }

    /// Proposes and approves a document at the first instance; returns the response to the approval.
    pub(crate) async fn activate_document(
        &self,
        base_version: u64,
        document: &DocumentJson,
    ) -> io::Result<AdminResponse> {
        let admin = self.instances[0].process.admin_address;
        self.wait_until_started(admin).await?;
        let proposal = ProposeRequest {
            base_version,
            document: document.clone(),
        };
        let proposed = self
            .post_admin(admin, "/config/propose", PROPOSER.1, to_json(&proposal))
            .await?;
        let approval = DecideRequest {
            offset: proposed.offset,
            digest: proposed.digest,
        };
        self.post_admin(admin, "/config/approve", APPROVER.1, to_json(&approval))
            .await
    }

    /// Sends a POST request to the administration API of one instance.
    pub(crate) async fn post_admin(
        &self,
        admin: SocketAddr,
        path: &str,
        token: &str,
        body: String,
    ) -> io::Result<AdminResponse> {
        let response =
            client::call_admin(&self.client, admin, Method::POST, path, token, body).await;
        let response = response.map_err(|error| {
            io::Error::other(format!("administration request {path} failed: {error:?}"))
        })?;
        from_json("receipt", &response.body).map_err(io::Error::other)
    }

    /// Fetches the status of one instance; `None` if it does not respond.
    pub(crate) async fn fetch_status(&self, admin: SocketAddr) -> Option<StatusReport> {
        let response = client::call_admin(
            &self.client,
            admin,
            Method::GET,
            "/status",
            "",
            String::new(),
        )
        .await;
        from_json("status", &response.ok()?.body).ok()
    }

    async fn wait_until_started(&self, admin: SocketAddr) -> io::Result<()> {
        let until = Instant::now() + Duration::from_millis(READY_TIMEOUT_MS);
        while Instant::now() < until {
            if self.fetch_status(admin).await.is_some() {
                return Ok(());
            }
            sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
        Err(io::Error::other("an instance did not start in time"))
    }

    /// Waits until every instance is ready and its configuration has at least this version.
    pub(crate) async fn wait_until_ready(&self, version: u64) -> io::Result<()> {
        let until = Instant::now() + Duration::from_millis(READY_TIMEOUT_MS);
        for instance in &self.instances {
            loop {
                let status = self.fetch_status(instance.process.admin_address).await;
                if status.is_some_and(|status| status.ready && status.config_version >= version) {
                    break;
                }
                if Instant::now() > until {
                    return Err(io::Error::other("an instance did not become ready in time"));
                }
                sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
            }
        }
        Ok(())
    }

    /// Returns the number of executions of each request id, summed over all servers.
    pub(crate) fn execution_counts(&self) -> HashMap<String, u32> {
        let mut counts = HashMap::new();
        for (id, executions) in self
            .servers
            .iter()
            .flat_map(|server| server.backend.executions())
        {
            *counts.entry(id).or_default() += executions.count;
        }
        counts
    }

    /// Reads the placement decisions from the logs of all processes, including replaced ones.
    pub(crate) fn read_placements(&self) -> Vec<PlacementDecision> {
        let mut placements = Vec::new();
        let files = fs::read_dir(&self.dir).into_iter().flatten().flatten();
        for file in files.filter(|file| {
            file.path()
                .extension()
                .is_some_and(|extension| extension == "log")
        }) {
            let text = fs::read_to_string(file.path()).unwrap_or_default();
            let lines = text
                .lines()
                .filter(|line| line.contains("decision.placement"));
            placements.extend(lines.filter_map(parse_placement));
        }
        placements
    }

    /// Returns the names of the services under test.
    pub(crate) fn service_names(&self) -> Vec<String> {
        let services = self.topology.services.iter();
        services.map(|service| service.name.clone()).collect()
    }

    /// Returns the number of requests a second that all slots of all services can serve.
    pub(crate) fn capacity_per_s(&self) -> f64 {
        let services = self.topology.services.iter();
        services
            .map(|service| {
                let slots = service.servers as f64 * f64::from(service.backend_knobs.slots);
                slots * 1e6 / service.backend_knobs.service_us as f64
            })
            .sum()
    }
}
