//! The processes under test: each runs the daemon's own code in a process of its own.

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

/// Finds a loopback address that nobody listens on.
pub(crate) fn free_address() -> io::Result<SocketAddr> {
    PORTS.free_address()
}

/// What a process is told.
#[derive(Clone, Debug)]
pub(crate) struct ProcessConfig {
    pub(crate) name: String,
    pub(crate) data_centre: String,
    pub(crate) platform_address: SocketAddr,
    pub(crate) uses_permits: bool,
    pub(crate) snapshot_interval_ms: u64,
}

/// A process under test; dropping it kills it.
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

/// Principals of every process under test.
pub(crate) const PROPOSER: (&str, &str) = ("operations", "operations-token");
/// See [`PROPOSER`].
pub(crate) const APPROVER: (&str, &str) = ("finance", "finance-token");

impl InstanceProcess {
    /// Starts a process whose files go to `folder`.
    pub(crate) fn spawn(config: ProcessConfig, folder: &Path) -> io::Result<Self> {
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
        let file = folder.join(format!("{}.json", config.name));
        fs::write(&file, settings.to_string())?;
        let log = fs::File::create(folder.join(format!("{}.log", config.name)))?;
        let errors = fs::File::create(folder.join(format!("{}.err", config.name)))?;
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

    /// Asks the process to stop gracefully.
    pub(crate) fn terminate(&self) {
        self.signal(libc::SIGTERM);
    }

    /// Stops the process in its tracks, unaware.
    pub(crate) fn suspend(&self) {
        self.signal(libc::SIGSTOP);
    }

    /// Lets a frozen process go on.
    pub(crate) fn resume(&self) {
        self.signal(libc::SIGCONT);
    }

    /// Kills the process and waits for its end.
    pub(crate) fn kill(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Tells whether the process has ended.
    pub(crate) fn has_exited(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    fn signal(&self, signal: libc::c_int) {
        let id = self.child.id() as libc::pid_t;
        // SAFETY: `kill` takes no pointers, and the id is that of a child that was not waited for yet.
        unsafe { libc::kill(id, signal) };
    }
}

/// Makes a new folder for a run's files.
pub(crate) fn create_run_dir() -> io::Result<PathBuf> {
    let folder = env::temp_dir().join(format!("catkinhitch-bench-{}", std::process::id()));
    fs::create_dir_all(&folder)?;
    Ok(folder)
}
