//! The experiments by name.

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

/// Worker threads of the bench itself; the processes under test need the rest of the machine.
const WORKER_THREADS: usize = 3;

/// What a run was asked for.
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

type Running<'a> = LocalBoxFuture<'a, io::Result<()>>;

/// One experiment.
struct Experiment {
    name: &'static str,
    about: &'static str,
    run: fn(RunOptions, &mut Figures) -> Running<'_>,
}

/// Makes the table's row of an experiment by its async function.
macro_rules! experiment {
    ($name:literal, $module:ident::$run:ident, $about:literal) => {
        Experiment {
            name: $name,
            about: $about,
            run: |options, figures| Box::pin($module::$run(options, figures)),
        }
    };
}

const EXPERIMENTS: &[Experiment] = &[
    experiment!(
        "added-latency",
        added_latency::run,
        "No fault: time added, sheds, refusals; --baseline beside it"
    ),
    experiment!(
        "gray-detection",
        gray_detection::run,
        "One server of a service fails: errors, hangs, slow, flapping; busy traffic"
    ),
    experiment!(
        "gray-detection-low",
        gray_detection::run_low_traffic,
        "The same under low traffic"
    ),
    experiment!(
        "false-ejection",
        false_ejection::run,
        "Noise, a slow moment of all, lying load endpoints, cold starts"
    ),
    experiment!(
        "floor",
        floor::run,
        "Many gray servers at once, two owners racing, the log slow"
    ),
    experiment!(
        "at-most-once",
        at_most_once::run,
        "Kills, freezes, cuts, lost append answers, repeats at other instances"
    ),
    experiment!(
        "whole-answers",
        whole_answers::run,
        "Cut, mixed, unmeasured and late answers; a 100 MB upload"
    ),
    experiment!(
        "log-outage",
        log_outage::run,
        "The log away for the whole run, instances replaced"
    ),
    experiment!(
        "leaving",
        leaving::run,
        "Servers leave; the list lags 10 s; some say that they drain"
    ),
    experiment!(
        "planned-stop",
        planned_stop::run,
        "Rolling replacement of all instances under load"
    ),
    experiment!(
        "silent-connections",
        silent_connections::run,
        "Open connections go silent for good, new ones work"
    ),
    experiment!("overload", overload::run, "Twice the capacity"),
    experiment!(
        "owner-loss",
        owner_loss::run,
        "A pool's owner is frozen, then killed, in mid-load"
    ),
    experiment!(
        "config-force",
        config_force::run,
        "Operators race, the log is cut in turns, instances replaced, early trim"
    ),
    experiment!(
        "slopes-instances",
        slopes::scale_instances,
        "Cost of an instance at 5, 10, 20, 41 instances"
    ),
    experiment!(
        "slopes-servers",
        slopes::scale_servers,
        "Cost of an instance at 10, 40, 160 backend servers"
    ),
    experiment!(
        "slopes-services",
        slopes::scale_services,
        "Cost of an instance at 4, 16, 64 services"
    ),
];

/// Prints the experiments.
pub(crate) fn list() -> ExitCode {
    for experiment in EXPERIMENTS {
        println!("{:<20} {}", experiment.name, experiment.about);
    }
    ExitCode::SUCCESS
}

/// Runs the experiment called `name`.
pub(crate) fn run(name: &str, options: RunOptions) -> ExitCode {
    let Some(experiment) = EXPERIMENTS
        .iter()
        .find(|experiment| experiment.name == name)
    else {
        eprintln!("no experiment is named {name:?}; `list` prints them");
        return ExitCode::from(2);
    };
    let runtime = Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(2);
        }
    };
    let mut figures = Figures::new(name, options.seed);
    match runtime.block_on((experiment.run)(options, &mut figures)) {
        Ok(()) => figures.finish(),
        Err(error) => {
            eprintln!("the run could not be carried out: {error}");
            println!("FAIL");
            ExitCode::FAILURE
        }
    }
}
