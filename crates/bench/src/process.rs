//! Instance processes under test. The bench's executable is started again with its `daemon` subcommand, which runs
//! the daemon's own code.

use {
    serde_json::json,
    standin::PortRange,
    std::{
        env, fs, io,
        net::SocketAddr,
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
    },
};

static PORTS: PortRange = PortRange::new(10_000, 20_000);

/// Returns a loopback address with a port that is not in use.
pub(crate) fn free_address() -> io::Result<SocketAddr> {
    PORTS.free_address()
}

/// Settings that differ between instance processes.
#[derive(Clone, Debug)]
pub(crate) struct ProcessConfig {
    pub(crate) name: String,
    pub(crate) data_centre: String,
    pub(crate) platform_address: SocketAddr,
    pub(crate) uses_permits: bool,
    pub(crate) snapshot_interval_ms: u64,
}

/// A running instance process; it is killed on drop.
#[derive(Debug)]
pub(crate) struct InstanceProcess {
    pub(crate) config: ProcessConfig,
    pub(crate) caller_address: SocketAddr,
    pub(crate) rpc_address: SocketAddr,
    pub(crate) admin_address: SocketAddr,
    child: Child,
}

impl Drop for InstanceProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Name and token of the principal that proposes configurations at every instance under test.
pub(crate) const PROPOSER: (&str, &str) = ("operations", "operations-token");
/// Name and token of the principal that approves them.
pub(crate) const APPROVER: (&str, &str) = ("finance", "finance-token");

impl InstanceProcess {
    /// Starts a process; writes its settings, log and standard error to files in `dir`.
    pub(crate) fn spawn(config: ProcessConfig, dir: &Path) -> io::Result<Self> {
        let caller_address = free_address()?;
        let rpc_address = free_address()?;
        let admin_address = free_address()?;
        let settings = json!({
            "instance": config.name,
            "data_centre": config.data_centre,
            "caller_address": caller_address.to_string(),
            "rpc_address": rpc_address.to_string(),
            "admin_address": admin_address.to_string(),
            "platform_address": config.platform_address.to_string(),
            "principals": [
                { "name": PROPOSER.0, "token": PROPOSER.1 },
                { "name": APPROVER.0, "token": APPROVER.1 },
            ],
            "policy": if config.uses_permits { "permits" } else { "local" },
            "snapshot_interval_ms": config.snapshot_interval_ms,
        });
        let file = dir.join(format!("{}.json", config.name));
        fs::write(&file, settings.to_string())?;
        let log = fs::File::create(dir.join(format!("{}.log", config.name)))?;
        let errors = fs::File::create(dir.join(format!("{}.err", config.name)))?;
        let child = Command::new(env::current_exe()?)
            .arg("daemon")
            .arg("--settings")
            .arg(file)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()?;
        Ok(Self {
            config,
            caller_address,
            rpc_address,
            admin_address,
            child,
        })
    }

    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends SIGTERM, on which the process drains and stops.
    pub(crate) fn terminate(&self) {
        self.signal(libc::SIGTERM);
    }

    /// Suspends the process with SIGSTOP, which it can't observe.
    pub(crate) fn suspend(&self) {
        self.signal(libc::SIGSTOP);
    }

    /// Resumes a suspended process.
    pub(crate) fn resume(&self) {
        self.signal(libc::SIGCONT);
    }

    /// Kills the process and waits until it has exited.
    pub(crate) fn kill(&mut self) {
        // Fails if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns whether the process has exited.
    pub(crate) fn has_exited(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    fn signal(&self, signal: libc::c_int) {
        let id = self.child.id() as libc::pid_t;
        // SAFETY: `kill` takes no pointers, and the id is that of a child that has not been waited for yet.
        unsafe { libc::kill(id, signal) };
    }
}

/// Creates the directory for the settings and logs of a run's processes.
pub(crate) fn create_run_dir() -> io::Result<PathBuf> {
    let dir = env::temp_dir().join(format!("catkinhitch-bench-{}", std::process::id()));
    fs::create_dir_all(&dir)?;
    Ok(dir)
}
