//! Fault soak: real processes on one machine, faults from outside them, promises checked by what callers and backend
//! servers see.
//!
//! A seed gives the order of faults and requests; the machine's timing is its own, so a seed that failed once may need
//! several runs to fail again. Seeds that ever failed stand in `seeds/regressions.txt` and run first.

mod cluster;
mod commands;
mod queries;

use {
    crate::{cluster::RunSize, commands::run_seed, queries::regression_seeds},
    bpaf::Bpaf,
    std::process::ExitCode,
    tokio::runtime::Builder,
};

/// Worker threads of the soak itself; the processes under test have the rest of the machine.
const WORKER_THREADS: usize = 2;

/// Command line of the soak.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
/// Plays days of faults against real catkinhitchd processes; build them first (cargo build --release).
///
/// Example: cargo run --release -p soak -- --seeds 50
struct Arguments {
    /// Seeds to play after those that failed before.
    #[bpaf(argument("N"), fallback(3))]
    seeds: u64,
    /// First seed; drawn if left out.
    #[bpaf(argument("SEED"))]
    first: Option<u64>,
    /// Leave out the seeds that failed before.
    fresh_only: bool,
    /// Instances.
    #[bpaf(argument("N"), fallback(5))]
    instances: usize,
    /// Backend servers.
    #[bpaf(argument("N"), fallback(5))]
    servers: usize,
    /// Length of the faults of a seed, in seconds.
    #[bpaf(argument("S"), fallback(8))]
    seconds: u64,
}

fn main() -> ExitCode {
    let arguments = arguments().run();
    let runtime = Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("can't start: {error}");
            return ExitCode::FAILURE;
        }
    };
    let shape = RunSize {
        instances: arguments.instances,
        servers: arguments.servers,
        fault_seconds: arguments.seconds,
    };
    let first = arguments.first.unwrap_or_else(|| fastrand::u64(1..1 << 40));
    let mut seeds = if arguments.fresh_only {
        Vec::new()
    } else {
        regression_seeds()
    };
    seeds.extend(first..first + arguments.seeds);
    let mut failed = 0;
    for seed in &seeds {
        let broken = match runtime.block_on(run_seed(*seed, &shape)) {
            Ok(broken) => broken,
            Err(error) => vec![format!("the system can't be set up: {error}")],
        };
        for sentence in &broken {
            println!("seed {seed}: {sentence}");
        }
        failed += usize::from(!broken.is_empty());
        println!(
            "seed {seed}: {}",
            if broken.is_empty() { "ok" } else { "FAILED" }
        );
    }
    println!("{} passed, {failed} failed", seeds.len() - failed);
    if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
