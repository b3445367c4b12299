//! Logs as JSON lines on standard output.
//!
//! Invariants: a slow reader of the log never stalls a request; lines go to a thread of their own, and those that
//! don't fit its queue are left out. Each target has a rate; what is left out is counted, in the log and as a metric.

use {
    fern::{Dispatch, Output},
    log::{Level, LevelFilter, Record, SetLoggerError},
    serde_json::json,
    std::{
        collections::HashMap,
        io::{self, Write},
        sync::{
            atomic::{AtomicU64, Ordering},
            mpsc::{sync_channel, SyncSender},
            Mutex, PoisonError,
        },
        thread,
    },
};

/// Lines that wait for the writer.
const QUEUE_LINES: usize = 16_384;
/// Lines of one target that are written a second; bounds the volume under load, at a few hundred bytes a line.
const TARGET_LINES_PER_S: u32 = 200;
/// Lines left out since the process started.
static LEFT_OUT: AtomicU64 = AtomicU64::new(0);
/// Target prefix of records whose message is itself a JSON object.
const DECISION_PREFIX: &str = "decision.";

/// Crates of this project that log.
const OWN_TARGETS: [&str; 6] = ["daemon", "entry", "feed", "front", "platform", "stream"];

/// Starts logging for this process.
///
/// # Errors
///
/// Logging was started before.
pub fn init_logging(instance: &str, level: LevelFilter) -> Result<(), SetLoggerError> {
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

/// Lines of each target let through in the current second, and lines left out since they were last reported.
#[derive(Debug, Default)]
struct Limiter {
    second: u64,
    counts: HashMap<String, u32>,
    left_out: HashMap<String, u64>,
}

impl Limiter {
    /// Counts a line of `target`; returns whether it may be written.
    fn allows(&mut self, target: &str, second: u64) -> bool {
        if second != self.second {
            self.second = second;
            self.counts.clear();
        }
        let count = self.counts.entry(target.to_owned()).or_default();
        *count += 1;
        *count <= TARGET_LINES_PER_S
    }

    fn leave_out(&mut self, target: &str) {
        LEFT_OUT.fetch_add(1, Ordering::Relaxed);
        *self.left_out.entry(target.to_owned()).or_default() += 1;
    }

    /// Takes the line that tells what was left out, if anything was.
    fn report(&mut self) -> Option<String> {
        if self.left_out.is_empty() {
            return None;
        }
        let counts = std::mem::take(&mut self.left_out);
        Some(json!({ "at_ms": crate::node::unix_time_ms(), "left_out_lines": counts }).to_string())
    }
}

/// Returns how many lines this process has left out.
pub(crate) fn dropped_log_lines() -> u64 {
    LEFT_OUT.load(Ordering::Relaxed)
}

/// Returns the function that hands a formatted line to the writer.
fn send(lines: SyncSender<String>) -> impl Fn(&Record<'_>) + Send + Sync + 'static {
    let limiter = Mutex::new(Limiter::default());
    move |record| {
        let target = record.target();
        let second = crate::node::unix_time_ms() / 1_000;
        let mut limiter = limiter.lock().unwrap_or_else(PoisonError::into_inner);
        let is_new_second = second != limiter.second;
        if !limiter.allows(target, second) {
            return limiter.leave_out(target);
        }
        if is_new_second {
            if let Some(report) = limiter.report() {
                // A full queue leaves the report out as well; the metric still counts.
                let _ = lines.try_send(report);
            }
        }
        if lines.try_send(record.args().to_string()).is_err() {
            limiter.leave_out(target);
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
    let at_ms = crate::node::unix_time_ms();
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
