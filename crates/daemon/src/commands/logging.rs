//! Logging as JSON lines on standard output.
//!
//! Invariants: a slow reader of the log never blocks a request, because a separate thread writes the lines, and
//! lines that don't fit into its queue are dropped. Each target is rate-limited. Dropped lines are counted, in
//! the log and in a metric.

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

/// Capacity of the writer's queue, in lines.
const QUEUE_LINES: usize = 16_384;
/// Maximum lines per second of one target; bounds the log volume under load, at a few hundred bytes per line.
const TARGET_LINES_PER_S: u32 = 200;
/// Lines dropped since the process started.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);
/// Target prefix of records whose message is itself a JSON object.
const DECISION_PREFIX: &str = "decision.";

/// Crates of this project that write log lines.
const OWN_TARGETS: [&str; 6] = ["daemon", "entry", "feed", "front", "platform", "stream"];

/// Installs the logger of this process.
///
/// # Errors
///
/// A logger is already installed.
pub fn init_logging(instance: &str, level: LevelFilter) -> Result<(), SetLoggerError> {
    let instance = instance.to_owned();
    Dispatch::new()
        .format(move |out, message, record| {
            let line = format_line(
                &instance,
                record.target(),
                record.level(),
                &message.to_string(),
            );
            out.finish(format_args!("{line}"));
        })
        .level(level)
        .filter(|metadata| metadata.level() <= Level::Warn || is_own_target(metadata.target()))
        .chain(Output::call(line_sender(start_writer())))
        .apply()
}

/// Returns whether a target belongs to this project; of other crates only warnings and errors are logged.
fn is_own_target(target: &str) -> bool {
    let first = target.split("::").next().unwrap_or(target);
    target.starts_with(DECISION_PREFIX) || OWN_TARGETS.contains(&first)
}

/// Per-target counts of the lines in the current second, and of the lines dropped since the last report.
#[derive(Debug, Default)]
struct Limiter {
    second: u64,
    counts: HashMap<String, u32>,
    dropped: HashMap<String, u64>,
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

    fn record_drop(&mut self, target: &str) {
        DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        *self.dropped.entry(target.to_owned()).or_default() += 1;
    }

    /// Returns a line with the counts of dropped lines and resets them; `None` if no lines were dropped.
    fn report(&mut self) -> Option<String> {
        if self.dropped.is_empty() {
            return None;
        }
        let counts = std::mem::take(&mut self.dropped);
        Some(json!({ "at_ms": crate::node::unix_time_ms(), "left_out_lines": counts }).to_string())
    }
}

/// Returns the number of lines dropped since the process started.
pub(crate) fn dropped_log_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Returns the function that hands a formatted line to the writer.
fn line_sender(lines: SyncSender<String>) -> impl Fn(&Record<'_>) + Send + Sync + 'static {
    let limiter = Mutex::new(Limiter::default());
    move |record| {
        let target = record.target();
        let second = crate::node::unix_time_ms() / 1_000;
        let mut limiter = limiter.lock().unwrap_or_else(PoisonError::into_inner);
        let is_new_second = second != limiter.second;
        if !limiter.allows(target, second) {
            return limiter.record_drop(target);
        }
        if is_new_second {
            if let Some(report) = limiter.report() {
                // A full queue drops the report as well; the metric still counts the lines.
                let _ = lines.try_send(report);
            }
        }
        if lines.try_send(record.args().to_string()).is_err() {
            limiter.record_drop(target);
        }
    }
}

/// Spawns the thread that writes the lines. It runs until the process exits or standard output is closed; from then on
/// all lines are dropped.
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

fn format_line(instance: &str, target: &str, level: log::Level, message: &str) -> String {
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
