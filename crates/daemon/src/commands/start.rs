//! Starts a node, and stops it gracefully.

use {
    crate::{
        commands::{assemble, logging::init_logging, members, pool_handover, reload, rpc_server},
        Node, Settings, SettingsError, Stage,
    },
    bpaf::Bpaf,
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
        time::Duration,
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

/// Time kept between the end of the last exchanges and the longest time that a stop may take, in milliseconds; a slow
/// instance needs it to end.
const STOP_MARGIN_MS: u64 = 300;
/// Time left for permits and releases to go out after the last answer, in milliseconds.
const FAREWELL_MS: u64 = 200;
/// Exit status for settings that can't be used.
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

/// A node that can't be started.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The settings file can't be read.
    #[snafu(display("{}: {source}", path.display()))]
    ReadSettings {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The settings are wrong.
    #[snafu(display("{source}"), context(false))]
    InvalidSettings {
        /// Every error.
        source: SettingsError,
    },
    /// An address can't be listened on.
    #[snafu(display("can't listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// A part of the program can't be set up.
    #[snafu(display("can't set up: {reason}"))]
    Setup {
        /// Why.
        reason: String,
    },
}

/// A running node.
pub struct RunningNode {
    /// The node.
    pub node: Arc<Node>,
    /// Where it listens for callers.
    pub caller_address: SocketAddr,
    /// Where it listens for operators.
    pub admin_address: SocketAddr,
    callers: JoinHandle<()>,
    rpc: ServerHandle,
    stop: watch::Sender<Stage>,
}

/// Runs the daemon from its command line to its end.
pub fn run_main() -> ExitCode {
    let arguments = arguments().run();
    run_with_settings_file(&arguments.settings, arguments.check)
}

/// Runs an instance from its settings file to its end; with `check` only checks the file.
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
    match serve(path, settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// The file can't be read, or every wrong field of it.
pub fn load_settings(path: &Path) -> Result<Settings, StartError> {
    let text = std::fs::read(path).context(ReadSettingsSnafu { path })?;
    Ok(Settings::parse(&text)?)
}

fn serve(path: &Path, settings: Settings) -> Result<(), StartError> {
    init_logging(&settings.instance, settings.log_level).map_err(setup)?;
    let runtime = Builder::new_multi_thread()
        .worker_threads(settings.worker_threads as usize)
        .enable_all()
        .build()
        .map_err(setup)?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate()).map_err(setup)?;
        let mut interrupt = signal(SignalKind::interrupt()).map_err(setup)?;
        let reloads = signal(SignalKind::hangup()).map_err(setup)?;
        let started = start(settings).await?;
        let reloading = tokio::spawn(reload::reload_settings(
            Arc::clone(&started.node),
            path.to_owned(),
            reloads,
        ));
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        reloading.abort();
        started.stop().await;
        Ok(())
    })
}

fn setup(error: impl std::fmt::Display) -> StartError {
    StartError::Setup {
        reason: error.to_string(),
    }
}

/// Starts a node inside the running runtime.
///
/// # Errors
///
/// An address can't be listened on, or a part can't be set up.
pub async fn start(settings: Settings) -> Result<RunningNode, StartError> {
    let callers_at = listen(settings.caller_address).await?;
    let admin_at = listen(settings.admin_address).await?;
    let rpc_at = listen(settings.rpc_address).await?;
    let node = Arc::new(Node::new(settings).map_err(setup)?);
    let rpc = rpc_server::serve_rpc(&node, rpc_at.into_std().map_err(setup)?).map_err(setup)?;
    if node.settings.uses_store {
        assemble::spawn_store_tasks(&node);
    } else {
        members::refresh_members(&node).await;
        assemble::spawn_log_tasks(&node);
    }
    let (stop, stage) = watch::channel(Stage::Starting);
    let caller_address = callers_at.local_addr().map_err(setup)?;
    let admin_address = admin_at.local_addr().map_err(setup)?;
    let path = assemble::request_path(&node);
    let settings = &node.settings;
    let finish_ms = settings.stop_ms - settings.drain_ms.min(settings.stop_ms);
    let callers = tokio::spawn(serve_callers(
        callers_at,
        Arc::new(assemble::caller_handlers(&node, path)),
        reaches(stage.clone(), Stage::Stopping),
        finish_ms.saturating_sub(FAREWELL_MS + STOP_MARGIN_MS),
    ));
    // Operators are served to the end, so the task is not waited for.
    tokio::spawn(serve_admin(
        admin_at,
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
        caller_address,
        admin_address,
        callers,
        rpc,
        stop,
    })
}

impl RunningNode {
    /// Stops gracefully: not ready, no new callers, finish what is in flight, give permits back.
    pub async fn stop(self) {
        log_event("stop");
        self.node.advance_stage(Stage::Draining);
        // Others are told while callers still come, so that neither delays the end.
        let telling = async {
            if let Some(feed) = self.node.feed.get() {
                pool_handover::send_to_successors(&self.node).await;
                feed::commands::withdraw(feed).await;
            }
        };
        let draining = sleep(Duration::from_millis(self.node.settings.drain_ms));
        tokio::join!(telling, draining);
        self.node.advance_stage(Stage::Stopping);
        self.stop.send_replace(Stage::Stopping);
        // Only a panic of the task is an error here, and there is nothing left to do about it.
        let _ = self.callers.await;
        sleep(Duration::from_millis(FAREWELL_MS)).await;
        // The server may have stopped by itself.
        let _ = self.rpc.stop();
        log_event("stopped");
    }
}

fn log_event(event: &str) {
    info!(target: "decision.process", "{}", json!({ "event": event }));
}

async fn reaches(mut stage: watch::Receiver<Stage>, wanted: Stage) {
    // A closed channel means that the node was dropped without a stop.
    let _ = stage.wait_for(|stage| *stage >= wanted).await;
}

async fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address)
        .await
        .context(ListenSnafu { address })
}
