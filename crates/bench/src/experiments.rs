//! Table of the experiments, and the runner that looks one up by name.

mod added_latency;
mod at_most_once;
mod config_force;
mod false_ejection;
mod floor;
mod gray_detection;
mod leaving;
mod log_outage;
mod overload;
mod owner_loss;
mod planned_stop;
mod silent_connections;
mod slopes;
mod whole_answers;

use {
    crate::figures::Figures,
    futures_util::future::LocalBoxFuture,
    std::{io, process::ExitCode},
    tokio::runtime::Builder,
};

/// Worker threads of the bench's own runtime; the other cores are left to the processes under test.
const WORKER_THREADS: usize = 3;

/// Command-line options of a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunOptions {
    pub(crate) seed: u64,
    pub(crate) instances: usize,
    pub(crate) baseline: bool,
}

impl RunOptions {
    pub(crate) fn new(seed: u64, instances: usize, baseline: bool) -> Self {
        Self {
            seed,
            instances,
            baseline,
        }
    }
}

type ExperimentFuture<'a> = LocalBoxFuture<'a, io::Result<()>>;

/// An experiment: its name on the command line, a one-line description and its entry point.
struct Experiment {
    name: &'static str,
    description: &'static str,
    run: fn(RunOptions, &mut Figures) -> ExperimentFuture<'_>,
}

/// Builds a table entry whose `run` boxes the future of an async function.
macro_rules! experiment {
    ($name:literal, $module:ident::$run:ident, $description:literal) => {
        Experiment {
            name: $name,
            description: $description,
            run: |options, figures| Box::pin($module::$run(options, figures)),
        }
    };
}

const EXPERIMENTS: &[Experiment] = &[
    experiment!(
        "added-latency",
        added_latency::run,
        "No fault: added latency, sheds, rejections; --baseline for comparison"
    ),
    experiment!(
        "gray-detection",
        gray_detection::run,
        "One server of each service fails: errors, hangs, slow, flapping; busy traffic"
    ),
    experiment!(
        "gray-detection-low",
        gray_detection::run_low_traffic,
        "gray-detection under low traffic"
    ),
    experiment!(
        "false-ejection",
        false_ejection::run,
        "Random errors, all servers slow at once, false load reports, cold starts"
    ),
    experiment!(
        "floor",
        floor::run,
        "Many servers failing at once, two owners racing, a slow log"
    ),
    experiment!(
        "at-most-once",
        at_most_once::run,
        "Kills, pauses, partitions, lost append responses, retries at other instances"
    ),
    experiment!(
        "whole-answers",
        whole_answers::run,
        "Truncated, wrong, unsized and slow responses; a 100 MB upload"
    ),
    experiment!(
        "log-outage",
        log_outage::run,
        "The log unavailable for the whole run while instances are replaced"
    ),
    experiment!(
        "leaving",
        leaving::run,
        "Servers leave, the platform's list lags by 10 s, some report draining"
    ),
    experiment!(
        "planned-stop",
        planned_stop::run,
        "Rolling replacement of all instances under load"
    ),
    experiment!(
        "silent-connections",
        silent_connections::run,
        "Open connections stop carrying data, new ones work"
    ),
    experiment!(
        "overload",
        overload::run,
        "Offered load of twice the capacity"
    ),
    experiment!(
        "owner-loss",
        owner_loss::run,
        "A pool's owner is suspended, then killed, under load"
    ),
    experiment!(
        "config-force",
        config_force::run,
        "Racing operators, partitions from the log, replaced instances, early trim"
    ),
    experiment!(
        "slopes-instances",
        slopes::scale_instances,
        "Cost per instance with 5, 10, 20, 41 instances"
    ),
    experiment!(
        "slopes-servers",
        slopes::scale_servers,
        "Cost per instance with 10, 40, 160 backend servers"
    ),
    experiment!(
        "slopes-services",
        slopes::scale_services,
        "Cost per instance with 4, 16, 64 services"
    ),
];

/// Prints each experiment's name and description.
pub(crate) fn list() -> ExitCode {
    for experiment in EXPERIMENTS {
        println!("{:<20} {}", experiment.name, experiment.description);
    }
    ExitCode::SUCCESS
}

/// Runs the experiment called `name`.
pub(crate) fn run(name: &str, options: RunOptions) -> ExitCode {
    let Some(experiment) = EXPERIMENTS
        .iter()
        .find(|experiment| experiment.name == name)
    else {
        eprintln!("unknown experiment {name:?}; `bench list` prints the available ones");
        return ExitCode::from(2);
    };
    let runtime = Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("failed to start the async runtime: {error}");
            return ExitCode::from(2);
        }
    };
    let mut figures = Figures::new(name, options.seed);
    match runtime.block_on((experiment.run)(options, &mut figures)) {
        Ok(()) => figures.finish(),
        Err(error) => {
            eprintln!("experiment {name:?} could not be completed: {error}");
            println!("FAIL");
            ExitCode::FAILURE
        }
    }
}
