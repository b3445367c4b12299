//! The system under test and what is kept of its run.

use {
    standin::{Backend, BackendKnobs, FaultProxy, Ports, ServerEntry, Store, StoreInstance},
    std::{
        env, fs, io,
        net::SocketAddr,
        path::{Path, PathBuf},
        process::Stdio,
        sync::{Mutex, MutexGuard, PoisonError},
        time::Instant,
    },
    tokio::process::{Child, Command},
};

/// Timeout of the routes, in seconds.
const TIMEOUT_S: f64 = 1.2;
/// Time for which an instance that stops still takes callers, in milliseconds.
const DRAIN_MS: u64 = 400;
/// Data centres, which instances and servers stand in by turns.
const DATA_CENTRES: [&str; 2] = ["dc0", "dc1"];

static PORTS: Ports = Ports::new(11_000, 15_000);

/// Size of a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Shape {
    pub(crate) instances: usize,
    pub(crate) servers: usize,
    pub(crate) seconds: u64,
}

/// What a caller saw of one request.
#[derive(Clone, Debug)]
pub(crate) struct Outcome {
    pub(crate) id: String,
    pub(crate) is_order: bool,
    pub(crate) instance: usize,
    pub(crate) sent: Instant,
    pub(crate) ended: Instant,
    /// HTTP status; nothing if the connection ended without an answer.
    pub(crate) status: Option<u16>,
    /// Whether a success was this request's own whole answer.
    pub(crate) is_own: bool,
}

/// A fault or a change, from its begin to its end.
#[derive(Clone, Debug)]
pub(crate) struct Disruption {
    pub(crate) kind: &'static str,
    /// Instance or server that it hit; nothing if it hit the store or all.
    pub(crate) target: Option<usize>,
    pub(crate) from: Instant,
    pub(crate) until: Instant,
}

/// Everything noted during a run.
#[derive(Debug, Default)]
pub(crate) struct Notes {
    pub(crate) outcomes: Vec<Outcome>,
    pub(crate) disruptions: Vec<Disruption>,
    /// When a server's leaving was acknowledged by the store.
    pub(crate) leaving: Vec<(usize, Instant)>,
}

pub(crate) struct Instance {
    pub(crate) caller: SocketAddr,
    pub(crate) admin: SocketAddr,
    pub(crate) to_store: FaultProxy,
    settings: PathBuf,
    log: PathBuf,
    pub(crate) child: Mutex<Child>,
}

impl Instance {
    /// Signals the process, by the id of the child that this soak started.
    pub(crate) fn signal(&self, signal: libc::c_int) {
        let child = self.child.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(id) = child.id() {
            // SAFETY: `kill` takes no pointers, and the id is that of a child that was not waited for yet.
            unsafe { libc::kill(id as libc::pid_t, signal) };
        }
    }

    /// Starts the process again; the one before has ended.
    pub(crate) fn start_again(&self) -> io::Result<()> {
        let child = spawn(&self.settings, &self.log)?;
        *self.child.lock().unwrap_or_else(PoisonError::into_inner) = child;
        Ok(())
    }
}

pub(crate) struct Server {
    pub(crate) backend: Backend,
    pub(crate) proxy: FaultProxy,
}

/// The system under test.
pub(crate) struct World {
    pub(crate) shape: Shape,
    pub(crate) store: Store,
    pub(crate) servers: Vec<Server>,
    pub(crate) instances: Vec<Instance>,
    pub(crate) folder: PathBuf,
    notes: Mutex<Notes>,
}

impl World {
    pub(crate) async fn new(seed: u64, shape: Shape) -> io::Result<Self> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let folder =
            env::temp_dir().join(format!("catkinhitch-soak-{seed}-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let mut world = Self {
            shape,
            store: Store::new(any).await?,
            servers: Vec::new(),
            instances: Vec::new(),
            folder,
            notes: Mutex::default(),
        };
        for number in 0..shape.servers {
            let knobs = BackendKnobs {
                service_us: 20_000,
                proves: true,
                ..BackendKnobs::default()
            };
            let name = format!("b{number}");
            let backend = Backend::new(&name, any, knobs).await?;
            let proxy = FaultProxy::new(backend.address).await?;
            world.servers.push(Server { backend, proxy });
            world.report(number, "ready", 1);
        }
        world.configure(1);
        let addresses = (0..shape.instances).map(|_| free_addresses());
        let addresses: Vec<[SocketAddr; 3]> = addresses.collect::<io::Result<_>>()?;
        let seeds: Vec<String> = addresses.iter().take(3).map(|a| a[1].to_string()).collect();
        for (number, address) in addresses.iter().enumerate() {
            let instance = world.start(number, address, &seeds).await?;
            world.instances.push(instance);
        }
        Ok(world)
    }

    async fn start(
        &self,
        number: usize,
        &[caller, rpc, admin]: &[SocketAddr; 3],
        seeds: &[String],
    ) -> io::Result<Instance> {
        let to_store = FaultProxy::new(self.store.address).await?;
        let settings = StoreInstance {
            name: &format!("i{number}"),
            data_centre: DATA_CENTRES[number % 2],
            data_centres: &DATA_CENTRES,
            caller,
            rpc,
            admin,
            store: to_store.address,
            seeds,
            drain_ms: DRAIN_MS,
        };
        let settings = settings.text();
        let file = self.folder.join(format!("i{number}.json"));
        let log = self.folder.join(format!("i{number}.log"));
        fs::write(&file, settings)?;
        Ok(Instance {
            caller,
            admin,
            to_store,
            child: Mutex::new(spawn(&file, &log)?),
            settings: file,
            log,
        })
    }

    pub(crate) fn notes(&self) -> MutexGuard<'_, Notes> {
        self.notes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes a server's own entry; `gone` takes it away.
    pub(crate) fn report(&self, server: usize, state: &str, sequence: u64) {
        let id = format!("b{server}");
        if state == "gone" {
            return self.store.forget(&id);
        }
        self.store.report(&ServerEntry {
            id: &id,
            address: self.servers[server].proxy.address,
            data_centre: DATA_CENTRES[server % 2],
            state,
            sequence,
        });
    }

    /// Writes a configuration whose version shows in one of its routes.
    pub(crate) fn configure(&self, version: u64) {
        self.store.configure(version, TIMEOUT_S);
    }

    /// How often a request ran, over all servers.
    pub(crate) fn run_count(&self, id: &str) -> u32 {
        let runs = self.servers.iter();
        runs.filter_map(|server| server.backend.runs().get(id).map(|runs| runs.count))
            .sum()
    }
}

fn spawn(settings: &Path, log: &Path) -> io::Result<Child> {
    let program = env::current_exe()?.with_file_name("catkinhitchd");
    let out = fs::OpenOptions::new().create(true).append(true).open(log)?;
    Command::new(program)
        .arg("--settings")
        .arg(settings)
        .stdout(Stdio::from(out))
        .kill_on_drop(true)
        .spawn()
}

fn free_addresses() -> io::Result<[SocketAddr; 3]> {
    Ok([
        PORTS.free_address()?,
        PORTS.free_address()?,
        PORTS.free_address()?,
    ])
}
