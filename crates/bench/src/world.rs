//! A whole system under test: platform, backend servers, fault proxies and instances.

use {
    crate::{
        client::{self, HttpClient},
        fleet::{run_folder, Process, ProcessPlan, APPROVER, PROPOSER},
        shape::Shape,
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
pub(crate) struct ServerUnderTest {
    pub(crate) name: String,
    pub(crate) service: String,
    pub(crate) data_centre: String,
    pub(crate) slots: u32,
    pub(crate) backend: Backend,
    pub(crate) proxy: Option<FaultProxy>,
    pub(crate) presence: Presence,
}

impl ServerUnderTest {
    fn address(&self) -> SocketAddr {
        self.proxy
            .as_ref()
            .map_or(self.backend.address, |proxy| proxy.address)
    }
}

/// An instance under test with the fault proxies around it.
#[derive(Debug)]
pub(crate) struct InstanceUnderTest {
    pub(crate) process: Process,
    /// In front of the platform, for this instance alone.
    pub(crate) to_platform: FaultProxy,
    /// In front of this instance's JSON-RPC, for all others.
    pub(crate) to_rpc: Option<FaultProxy>,
    pub(crate) presence: Presence,
}

impl InstanceUnderTest {
    fn rpc_address(&self) -> SocketAddr {
        self.to_rpc
            .as_ref()
            .map_or(self.process.rpc_address, |proxy| proxy.address)
    }
}

/// One placement decision out of a process's log.
#[derive(Clone, Debug)]
pub(crate) struct Placement {
    pub(crate) at_ms: u64,
    pub(crate) instance: String,
    pub(crate) server: String,
    pub(crate) standing: String,
}

fn placement(line: &str) -> Option<Placement> {
    let value: Value = serde_json::from_str(line).ok()?;
    let text = |value: &Value| value.as_str().map(str::to_owned);
    Some(Placement {
        at_ms: value["at_ms"].as_u64()?,
        instance: text(&value["instance"])?,
        server: text(&value["decision"]["server"])?,
        standing: text(&value["decision"]["standing"])?,
    })
}

/// The system under test.
#[derive(Debug)]
pub(crate) struct World {
    pub(crate) shape: Shape,
    pub(crate) platform: Platform,
    pub(crate) servers: Vec<ServerUnderTest>,
    pub(crate) instances: Vec<InstanceUnderTest>,
    pub(crate) client: HttpClient,
    folder: PathBuf,
    next_instance: usize,
}

impl Drop for World {
    fn drop(&mut self) {
        // Kept on demand, to read the logs of a run that failed.
        if std::env::var_os("CATKINHITCH_KEEP").is_none() {
            self.instances.clear();
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl World {
    /// Starts the system, puts its document in force and waits until every instance is ready.
    pub(crate) async fn new(shape: Shape) -> io::Result<Self> {
        let world = Self::without_document(shape).await?;
        let document = world.shape.document();
        world.put_in_force(0, &document).await?;
        world.wait_ready(1).await?;
        sleep(Duration::from_millis(SETTLE_MS)).await;
        Ok(world)
    }

    /// Starts the system without a document.
    pub(crate) async fn without_document(shape: Shape) -> io::Result<Self> {
        let mut world = Self {
            platform: Platform::new(SocketAddr::from(([127, 0, 0, 1], 0))).await?,
            servers: Vec::new(),
            instances: Vec::new(),
            client: client::new(),
            folder: run_folder()?,
            next_instance: 0,
            shape,
        };
        world.start_servers().await?;
        for _ in 0..world.shape.instances {
            world.add_instance().await?;
        }
        world.publish();
        Ok(world)
    }

    async fn start_servers(&mut self) -> io::Result<()> {
        for service in self.shape.services.clone() {
            for number in 0..service.servers {
                let name = format!("{}-{number:02}", service.name);
                let address = SocketAddr::from(([127, 0, 0, 1], 0));
                let backend = Backend::new(&name, address, service.knobs.clone()).await?;
                let proxy = self.proxy(backend.address).await?;
                self.servers.push(ServerUnderTest {
                    name,
                    service: service.name.clone(),
                    data_centre: format!("dc{}", number % self.shape.data_centres),
                    slots: service.knobs.slots,
                    backend,
                    proxy,
                    presence: Presence::Live,
                });
            }
        }
        Ok(())
    }

    async fn proxy(&self, target: SocketAddr) -> io::Result<Option<FaultProxy>> {
        if !self.shape.has_proxies {
            return Ok(None);
        }
        let proxy = FaultProxy::new(target).await?;
        proxy.update_knobs(|knobs| knobs.delay_us = self.shape.delay_us);
        Ok(Some(proxy))
    }

    /// Starts one more instance; it is listed with the next [`World::publish`].
    pub(crate) async fn add_instance(&mut self) -> io::Result<usize> {
        let number = self.next_instance;
        self.next_instance += 1;
        let to_platform = FaultProxy::new(self.platform.address).await?;
        let plan = ProcessPlan {
            name: format!("i{number:03}"),
            data_centre: format!("dc{}", number % self.shape.data_centres),
            platform_address: to_platform.address,
            uses_permits: self.shape.uses_permits,
            snapshot_interval_ms: self.shape.snapshot_interval_ms,
        };
        let process = Process::new(plan, &self.folder)?;
        let to_rpc = self.proxy(process.rpc_address).await?;
        self.instances.push(InstanceUnderTest {
            process,
            to_platform,
            to_rpc,
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
        self.publish();
        Ok(())
    }

    /// Publishes the platform's list.
    pub(crate) fn publish(&self) {
        let instances = self.instances.iter().map(|instance| {
            let plan = &instance.process.plan;
            let listed = Instance::new(&plan.name, &plan.data_centre, instance.rpc_address());
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
    pub(crate) async fn put_in_force(
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
            .change(admin, "/config/propose", PROPOSER.1, to_json(&ask))
            .await?;
        let ask = DecideRequest {
            offset: proposed.offset,
            digest: proposed.digest,
        };
        self.change(admin, "/config/approve", APPROVER.1, to_json(&ask))
            .await
    }

    /// Calls the administration API of one instance.
    pub(crate) async fn change(
        &self,
        admin: SocketAddr,
        path: &str,
        token: &str,
        body: String,
    ) -> io::Result<AdminResponse> {
        let reply = client::admin(&self.client, admin, Method::POST, path, token, body).await;
        let reply = reply.map_err(|failure| io::Error::other(format!("{failure:?}")))?;
        from_json("receipt", &reply.body).map_err(io::Error::other)
    }

    /// Reads the status of one instance.
    pub(crate) async fn status(&self, admin: SocketAddr) -> Option<StatusReport> {
        let reply = client::admin(
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
            if self.status(admin).await.is_some() {
                return Ok(());
            }
            sleep(Duration::from_millis(LOOK_MS)).await;
        }
        Err(io::Error::other("an instance did not start"))
    }

    /// Waits until every instance is ready with at least this version.
    pub(crate) async fn wait_ready(&self, version: u64) -> io::Result<()> {
        let until = Instant::now() + Duration::from_millis(READY_TIMEOUT_MS);
        for instance in &self.instances {
            loop {
                let status = self.status(instance.process.admin_address).await;
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
    pub(crate) fn run_counts(&self) -> HashMap<String, u32> {
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
    pub(crate) fn placements(&self) -> Vec<Placement> {
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
        let services = self.shape.services.iter();
        services.map(|service| service.name.clone()).collect()
    }

    /// Requests a second that all slots of all services can serve.
    pub(crate) fn capacity_per_s(&self) -> f64 {
        let services = self.shape.services.iter();
        services
            .map(|service| {
                let slots = service.servers as f64 * f64::from(service.knobs.slots);
                slots * 1e6 / service.knobs.service_us as f64
            })
            .sum()
    }
}
