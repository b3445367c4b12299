//! Logs as JSON lines on standard output.
//!
//! Invariant: a slow reader of the log never stalls a request; lines go to a thread of their own, and those
//! that don't fit its queue are dropped and counted.

use {
    fern::{Dispatch, Output},
    log::{Level, LevelFilter, Record, SetLoggerError},
    serde_json::json,
    std::{
        io::{self, Write},
        sync::{
            atomic::{AtomicU64, Ordering},
            mpsc::{sync_channel, SyncSender},
        },
        thread,
    },
};

/// Lines that wait for the writer.
const QUEUE_LINES: usize = 16_384;
/// Target prefix of records whose message is itself a JSON object.
const DECISION_PREFIX: &str = "decision.";

/// Crates of this project that log.
const OWN_TARGETS: [&str; 6] = ["daemon", "entry", "feed", "front", "platform", "stream"];

/// Starts logging for this process.
///
/// # Errors
///
/// Logging was started before.
pub fn start_logging(instance: &str, level: LevelFilter) -> Result<(), SetLoggerError> {
    let instance = instance.to_owned();
    Dispatch::new()
        .format(move |out, message, record| {
            let line = line(
                &instance,
                record.target(),
                record.level(),
                &message.to_string(),
            );
            out.finish(format_args!("{line}"));
        })
        .level(level)
        .filter(|metadata| metadata.level() <= Level::Warn || is_own(metadata.target()))
        .chain(Output::call(send(start_writer())))
        .apply()
}

/// Libraries log warnings and errors only.
fn is_own(target: &str) -> bool {
    let first = target.split("::").next().unwrap_or(target);
    target.starts_with(DECISION_PREFIX) || OWN_TARGETS.contains(&first)
}

/// Returns the function that hands a formatted line to the writer.
fn send(lines: SyncSender<String>) -> impl Fn(&Record<'_>) + Send + Sync + 'static {
    let dropped = AtomicU64::new(0);
    move |record| {
        if lines.try_send(record.args().to_string()).is_err() {
            dropped.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let count = dropped.swap(0, Ordering::Relaxed);
        if count > 0
            && lines
                .try_send(json!({ "dropped_lines": count }).to_string())
                .is_err()
        {
            dropped.fetch_add(count, Ordering::Relaxed);
        }
    }
}

/// Starts the thread that writes the lines; it ends with the process.
fn start_writer() -> SyncSender<String> {
    let (sender, lines) = sync_channel::<String>(QUEUE_LINES);
    thread::spawn(move || {
        let mut out = io::stdout().lock();
        for line in lines {
            if writeln!(out, "{line}").is_err() {
                return;
            }
        }
    });
    sender
}

fn line(instance: &str, target: &str, level: log::Level, message: &str) -> String {
    let at_ms = crate::node::wall_ms();
    let mut line = json!({
        "at_ms": at_ms,
        "instance": instance,
        "level": level.as_str(),
        "target": target,
    });
    let decision = target
        .starts_with(DECISION_PREFIX)
        .then(|| serde_json::from_str(message).ok())
        .flatten();
    match decision {
        Some(decision) => line["decision"] = decision,
        None => line["message"] = message.into(),
    }
    line.to_string()
}
