//! Benchmarks: an example system on loopback, and experiments with real processes under injected faults.
//!
//! This is a development tool. It starts daemon processes itself, which no shipped binary does.

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

/// Runs an example catkinhitch system and measures catkinhitch under injected faults.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
enum Arguments {
    /// List the experiments
    #[bpaf(command)]
    List,
    /// Serve an example system on loopback and print commands to try
    #[bpaf(command)]
    Up,
    /// Run one experiment. Example: bench run added-latency --seed 1
    #[bpaf(command)]
    Run {
        /// Seed of the generated load and the injected faults
        #[bpaf(argument("N"), fallback(1))]
        seed: u64,
        /// Number of instances
        #[bpaf(argument("N"), fallback(41))]
        instances: usize,
        /// Also measure the baseline, in which each instance chooses servers without permits
        baseline: bool,
        /// Name of the experiment
        #[bpaf(positional("EXPERIMENT"))]
        experiment: String,
    },
    /// Run one instance; the bench starts its instance processes with this command
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
