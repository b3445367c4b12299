//! A small cluster of daemon processes on the store platform.

use {
    crate::support::{free_address, send, wait_ready, Response},
    hyper::Method,
    standin::{
        caller_headers, Backend, BackendKnobs, FaultProxy, InstanceSettings, ServerEntry, Store,
    },
    std::{
        env, fs,
        net::SocketAddr,
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
    },
};

/// Retries in a window beyond a percentage of the requests. The slack accrues from the start of an instance, and the tests
/// send requests a tenth of a second later.
const RETRY_SLACK: u32 = 400;
/// Deadline that the requests carry, in milliseconds.
const DEADLINE_MS: u64 = 3_000;

/// A running `catkinhitchd` process on the store platform; dropping it kills the process.
pub(crate) struct StoreProcess {
    pub(crate) caller: SocketAddr,
    pub(crate) admin: SocketAddr,
    pub(crate) store_proxy: FaultProxy,
    pub(crate) log: PathBuf,
    settings: PathBuf,
    pub(crate) child: Child,
}

impl Drop for StoreProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl StoreProcess {
    pub(crate) fn signal(&self, signal: libc::c_int) {
        // SAFETY: `kill` takes no pointers, and the id is that of a child that was not waited for yet.
        unsafe { libc::kill(self.child.id() as libc::pid_t, signal) };
    }

    /// Kills the process and starts it again with the same settings.
    pub(crate) fn restart(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.child = spawn(&self.settings, &self.log);
    }
}

fn spawn(settings: &Path, log: &Path) -> Child {
    let file = fs::OpenOptions::new().create(true).append(true).open(log);
    Command::new(env!("CARGO_BIN_EXE_catkinhitchd"))
        .arg("--settings")
        .arg(settings)
        .stdout(Stdio::from(file.expect("a log file")))
        .spawn()
        .expect("a process")
}

/// The cluster under test: two backend servers of one service, and instances behind fault proxies.
pub(crate) struct StoreCluster {
    pub(crate) store: Store,
    pub(crate) backends: Vec<Backend>,
    pub(crate) processes: Vec<StoreProcess>,
    pub(crate) dir: PathBuf,
    seeds: Vec<String>,
}

impl Drop for StoreCluster {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.dir);
    }
}

impl StoreCluster {
    pub(crate) async fn new(test: &str, count: usize) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let store = Store::new(any).await.expect("a store");
        let dir = env::temp_dir().join(format!("catkinhitch-{test}-{}", std::process::id()));
        fs::create_dir_all(&dir).expect("a directory");
        let mut cluster = Self {
            store,
            backends: Vec::new(),
            processes: Vec::new(),
            dir,
            seeds: Vec::new(),
        };
        for number in 0..2 {
            let knobs = BackendKnobs {
                service_us: 5_000,
                uses_store_protocol: true,
                ..BackendKnobs::default()
            };
            let name = format!("b{number}");
            let backend = Backend::new(&name, any, knobs).await;
            cluster.backends.push(backend.expect("a server"));
            cluster.report_server(number, "ready", 1);
        }
        cluster.write_config(1, 1.0);
        for number in 0..count {
            cluster.start(number).await;
        }
        for process in &cluster.processes {
            wait_ready(process.admin).await;
        }
        cluster
    }

    /// Writes the entry of a backend server, as the server itself does.
    pub(crate) fn report_server(&self, backend: usize, state: &str, sequence: u64) {
        self.store.put_server(&ServerEntry {
            id: &format!("b{backend}"),
            address: self.backends[backend].address,
            data_centre: "a",
            state,
            sequence,
        });
    }

    /// Writes a configuration as an operator does.
    pub(crate) fn write_config(&self, version: u64, timeout_s: f64) {
        self.store.put_config(version, timeout_s);
    }

    async fn start(&mut self, number: usize) {
        let (caller, rpc, admin) = (free_address(), free_address(), free_address());
        let store_proxy = FaultProxy::new(self.store.address).await.expect("a proxy");
        self.seeds.push(rpc.to_string());
        let settings = InstanceSettings {
            name: &format!("i{number}"),
            data_centre: "a",
            data_centres: &["a"],
            caller_address: caller,
            rpc_address: rpc,
            admin_address: admin,
            store_address: store_proxy.address,
            seeds: &self.seeds[..self.seeds.len().min(3)],
            drain_ms: 200,
            retry_slack: RETRY_SLACK,
        };
        let file = self.dir.join(format!("i{number}.json"));
        let log = self.dir.join(format!("i{number}.log"));
        fs::write(&file, settings.to_json()).expect("a settings file");
        self.processes.push(StoreProcess {
            caller,
            admin,
            store_proxy,
            child: spawn(&file, &log),
            settings: file,
            log,
        });
    }

    /// Sends one request with an id and a deadline.
    pub(crate) async fn send_request(
        &self,
        process: usize,
        method: Method,
        path: &str,
        id: &str,
    ) -> Option<Response> {
        let owned = caller_headers(id, DEADLINE_MS);
        let headers = [0, 1, 2].map(|index| (owned[index].0, owned[index].1.as_str()));
        send(
            self.processes[process].caller,
            method,
            path,
            &headers,
            "body",
        )
        .await
    }

    /// Returns how often all servers together ran the request with that id.
    pub(crate) fn execution_count(&self, id: &str) -> u32 {
        let runs = self.backends.iter();
        runs.map(|backend| backend.execution_count(id)).sum()
    }
}
