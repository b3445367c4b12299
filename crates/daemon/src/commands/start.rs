//! Command line, start and graceful shutdown of a node.

use {
    crate::{
        commands::{assemble, logging::init_logging, members, pool_handover, reload, rpc_server},
        Node, Settings, SettingsError, Stage,
    },
    bpaf::Bpaf,
    entry::Proxy,
    front::commands::{serve_admin, serve_callers},
    jsonrpsee::server::ServerHandle,
    log::info,
    serde_json::json,
    snafu::{ResultExt, Snafu},
    std::{
        io,
        net::SocketAddr,
        path::{Path, PathBuf},
        process::ExitCode,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        net::TcpListener,
        runtime::Builder,
        signal::unix::{signal, SignalKind},
        sync::watch,
        task::JoinHandle,
        time::sleep,
    },
};

/// Time reserved for the exit itself at the end of the maximum duration of a shutdown, when no request is in flight any
/// more, in milliseconds; a slow instance needs it.
const STOP_MARGIN_MS: u64 = 300;
/// Time reserved for sending the last responses before connections are cut, in milliseconds.
const ANSWER_MARGIN_MS: u64 = 150;
/// Time allowed for sending the releases of permits and claims after the last response, in milliseconds.
const RELEASE_WAIT_MS: u64 = 200;
/// Exit status for invalid settings.
const EXIT_SETTINGS: u8 = 2;

/// Command line of the daemon.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
/// An instance of catkinhitch: proxies callers' requests to backend servers that fail in partial ways.
///
/// Example: catkinhitchd --settings /etc/catkinhitch/settings.json
struct Arguments {
    /// Settings file (JSON); docs/SETTINGS.md lists its fields.
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
    /// Check the settings, print every error and exit.
    check: bool,
}

/// Error while starting a node.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The settings file can't be read.
    #[snafu(display("{}: {source}", path.display()))]
    ReadSettings {
        /// Path of the settings file.
        path: PathBuf,
        /// Underlying error.
        source: io::Error,
    },
    /// The settings are invalid.
    #[snafu(display("{source}"), context(false))]
    InvalidSettings {
        /// All errors found.
        source: SettingsError,
    },
    /// A listen address can't be bound.
    #[snafu(display("can't listen on {address}: {source}"))]
    Listen {
        /// Listen address.
        address: SocketAddr,
        /// Underlying error.
        source: io::Error,
    },
    /// A component can't be initialized.
    #[snafu(display("initialization failed: {reason}"))]
    Setup {
        /// Message of the underlying error.
        reason: String,
    },
}

/// Handle of a running node.
pub struct RunningNode {
    /// State of the node.
    pub node: Arc<Node>,
    /// Address on which it accepts callers.
    pub caller_address: SocketAddr,
    /// Address on which it accepts operators.
    pub admin_address: SocketAddr,
    proxy: Arc<Proxy>,
    callers: JoinHandle<()>,
    rpc: ServerHandle,
    stop: watch::Sender<Stage>,
}

/// Parses the command line and runs the daemon until it exits.
pub fn run_main() -> ExitCode {
    let arguments = arguments().run();
    run_with_settings_file(&arguments.settings, arguments.check)
}

/// Runs an instance with the settings file at `path` until it exits; with `check`, only validates the file.
pub fn run_with_settings_file(path: &Path, check: bool) -> ExitCode {
    let settings = match load_settings(path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if check {
        println!("{}: no errors", path.display());
        return ExitCode::SUCCESS;
    }
    match serve_until_signal(path, settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

/// Reads and validates a settings file.
///
/// # Errors
///
/// The file can't be read, or its settings are invalid.
pub fn load_settings(path: &Path) -> Result<Settings, StartError> {
    let text = std::fs::read(path).context(ReadSettingsSnafu { path })?;
    Ok(Settings::parse(&text)?)
}

fn serve_until_signal(path: &Path, settings: Settings) -> Result<(), StartError> {
    init_logging(&settings.instance, settings.log_level).map_err(setup_error)?;
    let runtime = Builder::new_multi_thread()
        .worker_threads(settings.worker_threads as usize)
        .enable_all()
        .build()
        .map_err(setup_error)?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate()).map_err(setup_error)?;
        let mut interrupt = signal(SignalKind::interrupt()).map_err(setup_error)?;
        let hangup = signal(SignalKind::hangup()).map_err(setup_error)?;
        let running_node = start(settings).await?;
        let reload_task = tokio::spawn(reload::reload_settings(
            Arc::clone(&running_node.node),
            path.to_owned(),
            hangup,
        ));
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        reload_task.abort();
        running_node.stop().await;
        Ok(())
    })
}

fn setup_error(error: impl std::fmt::Display) -> StartError {
    StartError::Setup {
        reason: error.to_string(),
    }
}

/// Starts a node in the current Tokio runtime.
///
/// # Errors
///
/// A listen address can't be bound, or a component can't be initialized.
pub async fn start(settings: Settings) -> Result<RunningNode, StartError> {
    let caller_listener = listen(settings.caller_address).await?;
    let admin_listener = listen(settings.admin_address).await?;
    let rpc_listener = listen(settings.rpc_address).await?;
    let node = Arc::new(Node::new(settings).map_err(setup_error)?);
    let rpc = rpc_server::serve_rpc(&node, rpc_listener.into_std().map_err(setup_error)?)
        .map_err(setup_error)?;
    if node.settings.uses_store {
        assemble::spawn_store_tasks(&node);
    } else {
        members::refresh_members(&node).await;
        assemble::spawn_log_tasks(&node);
    }
    let (stop, stage) = watch::channel(Stage::Starting);
    let caller_address = caller_listener.local_addr().map_err(setup_error)?;
    let admin_address = admin_listener.local_addr().map_err(setup_error)?;
    let proxy = assemble::create_proxy(&node);
    let settings = &node.settings;
    let finish_ms = settings.stop_ms - settings.drain_ms.min(settings.stop_ms);
    let callers = tokio::spawn(serve_callers(
        caller_listener,
        Arc::new(assemble::caller_handlers(&node, Arc::clone(&proxy))),
        wait_for_stage(stage.clone(), Stage::Stopping),
        finish_ms.saturating_sub(RELEASE_WAIT_MS + STOP_MARGIN_MS),
    ));
    // Operators are served until the process exits, so this task is not awaited.
    tokio::spawn(serve_admin(
        admin_listener,
        Arc::new(assemble::admin_handlers(&node)),
        std::future::pending(),
    ));
    let line = json!({
        "event": "start",
        "incarnation": node.incarnation,
        "data_centre": settings.data_centre,
        "uses_store": settings.uses_store,
        "uses_permits": settings.uses_permits,
    });
    info!(target: "decision.process", "{line}");
    Ok(RunningNode {
        node,
        proxy,
        caller_address,
        admin_address,
        callers,
        rpc,
        stop,
    })
}

impl RunningNode {
    /// Shuts down gracefully: reports not ready, hands the pools over on a store platform, stops accepting callers,
    /// completes the requests in flight and releases the permits.
    pub async fn stop(self) {
        log_event("stop");
        self.node.advance_stage(Stage::Draining);
        let settings = &self.node.settings;
        let answer_ms = settings
            .stop_ms
            .saturating_sub(RELEASE_WAIT_MS + STOP_MARGIN_MS + ANSWER_MARGIN_MS);
        let answer_by = Instant::now() + Duration::from_millis(answer_ms);
        self.proxy.answer_by.send_replace(Some(answer_by));
        // Other instances are notified while callers are still accepted, so that neither delays the exit.
        let notifying = async {
            if let Some(feed) = self.node.feed.get() {
                pool_handover::send_to_successors(&self.node).await;
                feed::commands::withdraw(feed).await;
            }
        };
        let draining = sleep(Duration::from_millis(self.node.settings.drain_ms));
        tokio::join!(notifying, draining);
        self.node.advance_stage(Stage::Stopping);
        self.stop.send_replace(Stage::Stopping);
        // An error means that the task panicked; there is nothing left to do about it.
        let _ = self.callers.await;
        sleep(Duration::from_millis(RELEASE_WAIT_MS)).await;
        // Fails only if the server has already stopped.
        let _ = self.rpc.stop();
        log_event("stopped");
    }
}

fn log_event(event: &str) {
    info!(target: "decision.process", "{}", json!({ "event": event }));
}

async fn wait_for_stage(mut stage: watch::Receiver<Stage>, target: Stage) {
    // A closed channel means that the node was dropped without being stopped.
    let _ = stage.wait_for(|stage| *stage >= target).await;
}

async fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address)
        .await
        .context(ListenSnafu { address })
}
