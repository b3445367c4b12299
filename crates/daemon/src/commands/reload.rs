//! Reloads the settings file on a hangup signal, or when the file has changed without one.
//!
//! Settings that a running process can change take effect at once; the rest is logged as waiting for the next
//! start. Invalid settings change nothing.

use {
    crate::{commands::start::load_settings, Node},
    log::{error, info},
    serde_json::json,
    std::{
        path::{Path, PathBuf},
        sync::Arc,
        time::{Duration, SystemTime},
    },
    tokio::{signal::unix::Signal, time::sleep},
};

/// Time between checks of the file's modification time, in milliseconds; a change need not be signalled.
const CHECK_INTERVAL_MS: u64 = 5_000;

/// Reloads the settings after each signal or change; never returns.
pub(crate) async fn reload_settings(node: Arc<Node>, path: PathBuf, mut signals: Signal) {
    let mut known = modified_at(&path);
    loop {
        let signalled = tokio::select! {
            _ = signals.recv() => true,
            () = sleep(Duration::from_millis(CHECK_INTERVAL_MS)) => false,
        };
        let modified = modified_at(&path);
        if signalled || modified != known {
            known = modified;
            reload(&node, &path);
        }
    }
}

fn modified_at(path: &Path) -> Option<SystemTime> {
    // An error here is not reported: reading the file reports it.
    std::fs::metadata(path)
        .and_then(|file| file.modified())
        .ok()
}

fn reload(node: &Node, path: &Path) {
    let settings = match load_settings(path) {
        Ok(settings) => settings,
        Err(error) => {
            return error!("reload failed, the previous settings stay in effect: {error}")
        }
    };
    log::set_max_level(settings.log_level);
    let needs_restart = settings.without_reloadable() != node.settings.without_reloadable();
    let line = json!({
        "event": "reload",
        "log_level": settings.log_level.as_str(),
        "waits_for_next_start": needs_restart,
    });
    info!(target: "decision.process", "{line}");
}
