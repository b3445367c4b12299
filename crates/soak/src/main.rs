//! Fault injection soak test: runs real processes on one machine, injects faults from outside, and checks the
//! guarantees against what callers and backend servers observe.
//!
//! A seed determines the sequence of faults and requests but not the timing, so a failing seed may need several runs to
//! fail again. Seeds of past failures are listed in `seeds/regressions.txt` and run first.

mod cluster;
mod commands;
mod queries;

use {
    crate::{cluster::RunSize, commands::run_seed, queries::regression_seeds},
    bpaf::Bpaf,
    std::process::ExitCode,
    tokio::runtime::Builder,
};

/// Worker threads of the soak itself; the remaining cores are for the processes under test.
const WORKER_THREADS: usize = 2;

/// Command line of the soak.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
/// Injects faults into real catkinhitchd processes; build them first (cargo build --release).
///
/// Example: cargo run --release -p soak -- --seeds 50
struct Arguments {
    /// Number of new seeds to run after those of past failures.
    #[bpaf(argument("N"), fallback(3))]
    seeds: u64,
    /// First new seed; random if omitted.
    #[bpaf(argument("SEED"))]
    first: Option<u64>,
    /// Skip the seeds of past failures.
    fresh_only: bool,
    /// Number of instances.
    #[bpaf(argument("N"), fallback(5))]
    instances: usize,
    /// Number of backend servers.
    #[bpaf(argument("N"), fallback(5))]
    servers: usize,
    /// Time for which faults are injected per seed, in seconds.
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
            eprintln!("failed to start the async runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    let size = RunSize {
        instances: arguments.instances,
        servers: arguments.servers,
        fault_duration_s: arguments.seconds,
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
        let violations = match runtime.block_on(run_seed(*seed, &size)) {
            Ok(violations) => violations,
            Err(error) => vec![format!("the run could not be completed: {error}")],
        };
        for violation in &violations {
            println!("seed {seed}: {violation}");
        }
        failed += usize::from(!violations.is_empty());
        println!(
            "seed {seed}: {}",
            if violations.is_empty() {
                "ok"
            } else {
                "FAILED"
            }
        );
    }
    println!("{} passed, {failed} failed", seeds.len() - failed);
    if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
