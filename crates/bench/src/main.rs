//! The bench: an example system to try, and experiments with real processes and injected faults.
//!
//! Not part of the product: it starts the daemon's processes, which the product itself never does.

mod balancer;
mod client;
mod cluster;
mod example;
mod experiments;
mod figures;
mod load;
mod process;
mod topology;

use {
    bpaf::Bpaf,
    std::{path::PathBuf, process::ExitCode},
};

/// Tries catkinhitch out and measures it under faults.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
enum Arguments {
    /// List the experiments
    #[bpaf(command)]
    List,
    /// Serve an example system on loopback and print lines to try
    #[bpaf(command)]
    Up,
    /// Run one experiment. Example: bench run added-latency --seed 1
    #[bpaf(command)]
    Run {
        /// Seed of the load and of the faults
        #[bpaf(argument("N"), fallback(1))]
        seed: u64,
        /// Number of instances
        #[bpaf(argument("N"), fallback(41))]
        instances: usize,
        /// Also measure the baseline, where each instance chooses alone
        baseline: bool,
        /// Name of the experiment
        #[bpaf(positional("EXPERIMENT"))]
        experiment: String,
    },
    /// Run one instance; used by the bench for the processes it starts
    #[bpaf(command, hide)]
    Daemon {
        /// Settings file
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
    },
}

fn main() -> ExitCode {
    match arguments().run() {
        Arguments::List => experiments::list(),
        Arguments::Up => example::run(),
        Arguments::Daemon { settings } => {
            daemon::commands::run_with_settings_file(&settings, false)
        }
        Arguments::Run {
            seed,
            instances,
            baseline,
            experiment,
        } => experiments::run(
            &experiment,
            experiments::RunOptions::new(seed, instances, baseline),
        ),
    }
}
