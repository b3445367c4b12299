//! The cluster under test and the observations of a run.

use {
    standin::{Backend, BackendKnobs, FaultProxy, InstanceSettings, PortRange, ServerEntry, Store},
    std::{
        env, fs, io,
        net::SocketAddr,
        path::{Path, PathBuf},
        process::Stdio,
        sync::{Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
    tokio::process::{Child, Command},
};

/// Request timeout of the configured routes, in seconds.
const TIMEOUT_S: f64 = 1.2;
/// Time for which a stopping instance still accepts requests, in milliseconds.
const DRAIN_MS: u64 = 400;
/// Retries that the fleet may send in a window beyond a percentage of the requests.
pub(crate) const RETRY_SLACK: u32 = 20;
/// Requests that a server runs at a time.
pub(crate) const SERVER_SLOTS: u32 = 4;
/// Data centres, over which instances and servers are spread in turn.
const DATA_CENTRES: [&str; 2] = ["dc0", "dc1"];

static PORTS: PortRange = PortRange::new(11_000, 15_000);

/// Number of processes and length of a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunSize {
    pub(crate) instances: usize,
    pub(crate) servers: usize,
    pub(crate) fault_duration_s: u64,
}

/// Outcome of one request as its caller saw it.
#[derive(Clone, Debug)]
pub(crate) struct RequestOutcome {
    pub(crate) id: String,
    pub(crate) is_order: bool,
    pub(crate) instance: usize,
    pub(crate) sent_at: Instant,
    pub(crate) ended_at: Instant,
    /// HTTP status; `None` if there was no complete response.
    pub(crate) status: Option<u16>,
    /// Name of the backend server whose response the caller got.
    pub(crate) server: Option<String>,
    /// Whether a response with status 200 is complete and belongs to this request; `true` for other outcomes.
    pub(crate) is_own_response: bool,
}

/// An injected fault or change, and when it was in effect.
#[derive(Clone, Debug)]
pub(crate) struct Disruption {
    pub(crate) kind: &'static str,
    /// Index of the affected instance or server; `None` if it affects the store or all.
    pub(crate) target: Option<usize>,
    pub(crate) started_at: Instant,
    pub(crate) ends_at: Instant,
}

/// What callers saw and which disruptions were injected during a run.
#[derive(Debug, Default)]
pub(crate) struct Observations {
    pub(crate) outcomes: Vec<RequestOutcome>,
    pub(crate) disruptions: Vec<Disruption>,
    /// Index of each server that says in its answers that it leaves, and since when it does.
    pub(crate) draining_by_answer: Vec<(usize, Instant)>,
    /// Index of each draining server, and when its `draining` record was in the store.
    pub(crate) draining: Vec<(usize, Instant)>,
}

impl Observations {
    /// Returns whether one of these kinds of disruption of an instance was in effect between the two times, or less than
    /// `margin` before.
    pub(crate) fn has_disruption(
        &self,
        kinds: &[&str],
        target: usize,
        from: Instant,
        until: Instant,
        margin: Duration,
    ) -> bool {
        self.disruptions.iter().any(|disruption| {
            kinds.contains(&disruption.kind)
                && disruption.target == Some(target)
                && disruption.started_at < until
                && disruption.ends_at + margin > from
        })
    }
}

/// A process under test, behind a fault proxy to the store.
pub(crate) struct Instance {
    pub(crate) caller_address: SocketAddr,
    pub(crate) admin_address: SocketAddr,
    pub(crate) store_proxy: FaultProxy,
    settings: PathBuf,
    log: PathBuf,
    pub(crate) child: Mutex<Child>,
    /// Held while the process is stopped or killed and started again.
    pub(crate) restarting: tokio::sync::Mutex<()>,
}

impl Instance {
    /// Sends a signal to the child process, unless it was reaped.
    pub(crate) fn signal(&self, signal: libc::c_int) {
        let child = self.child.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(id) = child.id() {
            // SAFETY: `kill` takes no pointers, and the id is that of a child that was not waited for yet.
            unsafe { libc::kill(id as libc::pid_t, signal) };
        }
    }

    /// Starts a new process with the same settings; the previous one must have exited.
    pub(crate) fn restart(&self) -> io::Result<()> {
        let child = spawn(&self.settings, &self.log)?;
        *self.child.lock().unwrap_or_else(PoisonError::into_inner) = child;
        Ok(())
    }
}

/// A simulated backend server behind a fault proxy.
pub(crate) struct TestServer {
    pub(crate) backend: Backend,
    pub(crate) proxy: FaultProxy,
}

/// The cluster under test: the store, backend servers and instance processes.
pub(crate) struct Cluster {
    pub(crate) store: Store,
    pub(crate) servers: Vec<TestServer>,
    pub(crate) instances: Vec<Instance>,
    pub(crate) dir: PathBuf,
    observations: Mutex<Observations>,
}

impl Cluster {
    /// Starts the store, the servers and the instances; the instances need not be ready on return.
    pub(crate) async fn new(seed: u64, size: RunSize) -> io::Result<Self> {
        let free_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let dir = env::temp_dir().join(format!("catkinhitch-soak-{seed}-{}", std::process::id()));
        fs::create_dir_all(&dir)?;
        let mut cluster = Self {
            store: Store::new(free_port).await?,
            servers: Vec::new(),
            instances: Vec::new(),
            dir,
            observations: Mutex::default(),
        };
        for number in 0..size.servers {
            let knobs = BackendKnobs {
                service_us: 20_000,
                slots: SERVER_SLOTS,
                uses_store_protocol: true,
                ..BackendKnobs::default()
            };
            let name = format!("b{number}");
            let backend = Backend::new(&name, free_port, knobs).await?;
            let proxy = FaultProxy::new(backend.address).await?;
            cluster.servers.push(TestServer { backend, proxy });
            cluster.put_server(number, "ready", 1);
        }
        cluster.put_config(1);
        let addresses = (0..size.instances).map(|_| free_addresses());
        let addresses: Vec<[SocketAddr; 3]> = addresses.collect::<io::Result<_>>()?;
        let seeds: Vec<String> = addresses
            .iter()
            .take(3)
            .map(|address| address[1].to_string())
            .collect();
        for (number, address) in addresses.iter().enumerate() {
            let instance = cluster.start_instance(number, address, &seeds).await?;
            cluster.instances.push(instance);
        }
        Ok(cluster)
    }

    async fn start_instance(
        &self,
        number: usize,
        &[caller_address, rpc_address, admin_address]: &[SocketAddr; 3],
        seeds: &[String],
    ) -> io::Result<Instance> {
        let store_proxy = FaultProxy::new(self.store.address).await?;
        let settings = InstanceSettings {
            name: &format!("i{number}"),
            data_centre: DATA_CENTRES[number % 2],
            data_centres: &DATA_CENTRES,
            caller_address,
            rpc_address,
            admin_address,
            store_address: store_proxy.address,
            seeds,
            drain_ms: DRAIN_MS,
            retry_slack: RETRY_SLACK,
        };
        let settings = settings.to_json();
        let file = self.dir.join(format!("i{number}.json"));
        let log = self.dir.join(format!("i{number}.log"));
        fs::write(&file, settings)?;
        Ok(Instance {
            caller_address,
            admin_address,
            store_proxy,
            child: Mutex::new(spawn(&file, &log)?),
            restarting: tokio::sync::Mutex::default(),
            settings: file,
            log,
        })
    }

    pub(crate) fn observations(&self) -> MutexGuard<'_, Observations> {
        self.observations
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes a server's record; the state `gone` deletes it.
    pub(crate) fn put_server(&self, server: usize, state: &str, sequence: u64) {
        let id = format!("b{server}");
        if state == "gone" {
            return self.store.delete_server(&id);
        }
        self.store.put_server(&ServerEntry {
            id: &id,
            address: self.servers[server].proxy.address,
            data_centre: DATA_CENTRES[server % 2],
            state,
            sequence,
        });
    }

    /// Writes a configuration; one of its routes contains the version.
    pub(crate) fn put_config(&self, version: u64) {
        self.store.put_config(version, TIMEOUT_S);
    }

    /// Returns how often a request was executed, over all servers.
    pub(crate) fn execution_count(&self, id: &str) -> u32 {
        let servers = self.servers.iter();
        servers
            .map(|server| server.backend.execution_count(id))
            .sum()
    }
}

/// Starts an instance; its program is expected beside the soak's own.
fn spawn(settings: &Path, log: &Path) -> io::Result<Child> {
    let program = env::current_exe()?.with_file_name("catkinhitchd");
    let log_file = fs::OpenOptions::new().create(true).append(true).open(log)?;
    Command::new(program)
        .arg("--settings")
        .arg(settings)
        .stdout(Stdio::from(log_file))
        .kill_on_drop(true)
        .spawn()
}

/// Picks addresses for callers, for other instances and for the administration API.
fn free_addresses() -> io::Result<[SocketAddr; 3]> {
    Ok([
        PORTS.free_address()?,
        PORTS.free_address()?,
        PORTS.free_address()?,
    ])
}
