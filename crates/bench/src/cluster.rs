//! A whole system under test: platform, backend servers, fault proxies and instances.

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

/// Longest time until all instances are ready, in milliseconds.
const READY_TIMEOUT_MS: u64 = 15_000;
/// Time for the first readings of the list after the start, in milliseconds.
const SETTLE_MS: u64 = 300;
/// Pause between looks, in milliseconds.
const LOOK_MS: u64 = 50;

/// A backend server under test.
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

/// An instance under test with the fault proxies around it.
#[derive(Debug)]
pub(crate) struct TestInstance {
    pub(crate) process: InstanceProcess,
    /// In front of the platform, for this instance alone.
    pub(crate) platform_proxy: FaultProxy,
    /// In front of this instance's JSON-RPC, for all others.
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

/// One placement decision out of a process's log.
#[derive(Clone, Debug)]
pub(crate) struct PlacementDecision {
    pub(crate) at_ms: u64,
    pub(crate) instance: String,
    pub(crate) server: String,
    pub(crate) standing: String,
}

fn placement(line: &str) -> Option<PlacementDecision> {
    let value: Value = serde_json::from_str(line).ok()?;
    let text = |value: &Value| value.as_str().map(str::to_owned);
    Some(PlacementDecision {
        at_ms: value["at_ms"].as_u64()?,
        instance: text(&value["instance"])?,
        server: text(&value["decision"]["server"])?,
        standing: text(&value["decision"]["standing"])?,
    })
}

/// The system under test.
#[derive(Debug)]
pub(crate) struct Cluster {
    pub(crate) topology: Topology,
    pub(crate) platform: Platform,
    pub(crate) servers: Vec<TestServer>,
    pub(crate) instances: Vec<TestInstance>,
    pub(crate) client: HttpClient,
    folder: PathBuf,
    next_instance: usize,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        // Kept on demand, to read the logs of a run that failed.
        if std::env::var_os("CATKINHITCH_KEEP").is_none() {
            self.instances.clear();
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Cluster {
    /// Starts the system, puts its document in force and waits until every instance is ready.
    pub(crate) async fn start(topology: Topology) -> io::Result<Self> {
        let cluster = Self::start_without_document(topology).await?;
        let document = cluster.topology.document();
        cluster.activate_document(0, &document).await?;
        cluster.wait_until_ready(1).await?;
        sleep(Duration::from_millis(SETTLE_MS)).await;
        Ok(cluster)
    }

    /// Starts the system without a document.
    pub(crate) async fn start_without_document(topology: Topology) -> io::Result<Self> {
        let mut cluster = Self {
            platform: Platform::new(SocketAddr::from(([127, 0, 0, 1], 0))).await?,
            servers: Vec::new(),
            instances: Vec::new(),
            client: client::new_client(),
            folder: create_run_dir()?,
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
                let proxy = self.proxy(backend.address).await?;
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

    async fn proxy(&self, target: SocketAddr) -> io::Result<Option<FaultProxy>> {
        if !self.topology.has_fault_proxies {
            return Ok(None);
        }
        let proxy = FaultProxy::new(target).await?;
        proxy.update_knobs(|knobs| knobs.delay_us = self.topology.one_way_delay_us);
        Ok(Some(proxy))
    }

    /// Starts one more instance; it is listed with the next [`Cluster::publish_membership`].
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
        let process = InstanceProcess::spawn(config, &self.folder)?;
        let rpc_proxy = self.proxy(process.rpc_address).await?;
        self.instances.push(TestInstance {
            process,
            platform_proxy,
            rpc_proxy,
            presence: Presence::Live,
        });
        Ok(self.instances.len() - 1)
    }

    /// Replaces an instance by a new process of another name in the same data centre.
    pub(crate) async fn replace_instance(&mut self, index: usize) -> io::Result<()> {
        self.add_instance().await?;
        let new = self.instances.pop();
        if let Some(new) = new {
            self.instances[index] = new;
        }
        self.publish_membership();
        Ok(())
    }

    /// Publishes the platform's list.
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

    /// Proposes and approves a document at one instance; returns the receipt of the approval.
    pub(crate) async fn activate_document(
        &self,
        base_version: u64,
        document: &DocumentJson,
    ) -> io::Result<AdminResponse> {
        let admin = self.instances[0].process.admin_address;
        self.wait_admin(admin).await?;
        let ask = ProposeRequest {
            base_version,
            document: document.clone(),
        };
        let proposed = self
            .post_admin(admin, "/config/propose", PROPOSER.1, to_json(&ask))
            .await?;
        let ask = DecideRequest {
            offset: proposed.offset,
            digest: proposed.digest,
        };
        self.post_admin(admin, "/config/approve", APPROVER.1, to_json(&ask))
            .await
    }

    /// Calls the administration API of one instance.
    pub(crate) async fn post_admin(
        &self,
        admin: SocketAddr,
        path: &str,
        token: &str,
        body: String,
    ) -> io::Result<AdminResponse> {
        let reply = client::call_admin(&self.client, admin, Method::POST, path, token, body).await;
        let reply = reply.map_err(|failure| io::Error::other(format!("{failure:?}")))?;
        from_json("receipt", &reply.body).map_err(io::Error::other)
    }

    /// Reads the status of one instance.
    pub(crate) async fn fetch_status(&self, admin: SocketAddr) -> Option<StatusReport> {
        let reply = client::call_admin(
            &self.client,
            admin,
            Method::GET,
            "/status",
            "",
            String::new(),
        )
        .await;
        from_json("status", &reply.ok()?.body).ok()
    }

    async fn wait_admin(&self, admin: SocketAddr) -> io::Result<()> {
        let until = Instant::now() + Duration::from_millis(READY_TIMEOUT_MS);
        while Instant::now() < until {
            if self.fetch_status(admin).await.is_some() {
                return Ok(());
            }
            sleep(Duration::from_millis(LOOK_MS)).await;
        }
        Err(io::Error::other("an instance did not start"))
    }

    /// Waits until every instance is ready with at least this version.
    pub(crate) async fn wait_until_ready(&self, version: u64) -> io::Result<()> {
        let until = Instant::now() + Duration::from_millis(READY_TIMEOUT_MS);
        for instance in &self.instances {
            loop {
                let status = self.fetch_status(instance.process.admin_address).await;
                if status.is_some_and(|status| status.ready && status.config_version >= version) {
                    break;
                }
                if Instant::now() > until {
                    return Err(io::Error::other("an instance did not get ready"));
                }
                sleep(Duration::from_millis(LOOK_MS)).await;
            }
        }
        Ok(())
    }

    /// Sums how often each request id ran, over all servers.
    pub(crate) fn execution_counts(&self) -> HashMap<String, u32> {
        let mut counts = HashMap::new();
        for (id, runs) in self
            .servers
            .iter()
            .flat_map(|server| server.backend.executions())
        {
            *counts.entry(id).or_default() += runs.count;
        }
        counts
    }

    /// Reads the placement decisions out of the logs of all processes, replaced ones included.
    pub(crate) fn read_placements(&self) -> Vec<PlacementDecision> {
        let mut placements = Vec::new();
        let files = fs::read_dir(&self.folder).into_iter().flatten().flatten();
        for file in files.filter(|file| file.path().extension().is_some_and(|end| end == "log")) {
            let text = fs::read_to_string(file.path()).unwrap_or_default();
            let lines = text
                .lines()
                .filter(|line| line.contains("decision.placement"));
            placements.extend(lines.filter_map(placement));
        }
        placements
    }

    /// Names of the services under test.
    pub(crate) fn service_names(&self) -> Vec<String> {
        let services = self.topology.services.iter();
        services.map(|service| service.name.clone()).collect()
    }

    /// Requests a second that all slots of all services can serve.
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
