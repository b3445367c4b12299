//! Reads the settings file again when a signal says so, or when the file changed without one.
//!
//! What a running process can take over is taken over; the rest is logged as waiting for the next start. Settings
//! with an error change nothing.

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

/// Time between looks at the file's time of change, in milliseconds; a change need not be signalled.
const LOOK_INTERVAL_MS: u64 = 5_000;

/// Reloads for ever.
pub(crate) async fn reload_settings(node: Arc<Node>, path: PathBuf, mut signals: Signal) {
    let mut known = changed_at(&path);
    loop {
        let signalled = tokio::select! {
            _ = signals.recv() => true,
            () = sleep(Duration::from_millis(LOOK_INTERVAL_MS)) => false,
        };
        let changed = changed_at(&path);
        if signalled || changed != known {
            known = changed;
            reload(&node, &path);
        }
    }
}

fn changed_at(path: &Path) -> Option<SystemTime> {
    // A file that can't be looked at is reported once it is read.
    std::fs::metadata(path)
        .and_then(|file| file.modified())
        .ok()
}

fn reload(node: &Node, path: &Path) {
    let settings = match load_settings(path) {
        Ok(settings) => settings,
        Err(wrong) => return error!("reload: {wrong}; the settings before stay in force"),
    };
    log::set_max_level(settings.log_level);
    let waits = settings.without_reloadable() != node.settings.without_reloadable();
    let line = json!({
        "event": "reload",
        "log_level": settings.log_level.as_str(),
        "waits_for_next_start": waits,
    });
    info!(target: "decision.process", "{line}");
}
