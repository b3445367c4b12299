//! Runs variants of a policy on an emulated workload and writes a table and a plot of the results.

use {
    bpaf::Bpaf,
    emu::{
        commands::run,
        queries::{
            at_most_once_failed_share, failed_share, least_used_share, refused_share,
            retries_to_failing_share, served_percentile_ms, served_share,
        },
        Policy, RunStats, Workload,
    },
    std::{fs, io, path::PathBuf, process::ExitCode},
};

/// Number of seeds over which each row is averaged.
const SEEDS: u64 = 10;
/// Time after which the least use of the sound servers is measured, in milliseconds.
const SETTLED_MS: u64 = 4_000;
/// Window in which it is measured, in milliseconds.
const USE_WINDOW_MS: u64 = 2_000;
/// Requests for each sound server in a window that is measured.
const REQUESTS_PER_SERVER_MIN: usize = 2;
/// Size of the plot, in pixels.
const PLOT_SIZE: (f64, f64) = (640.0, 320.0);
/// Margin of the plot, in pixels.
const MARGIN: f64 = 40.0;

/// Command line of the emulator.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
/// Emulates one pool under a workload like the users' ordering service and compares variants of the policy.
///
/// Example: cargo run --release -p emu -- --out docs
struct Arguments {
    /// Folder to which EMULATOR.md and emulator.svg are written; if omitted, the table is printed.
    #[bpaf(argument("FOLDER"))]
    out: Option<PathBuf>,
}

/// One row of the table: a policy that is run on a workload.
struct Row {
    name: String,
    policy: Policy,
    workload: Workload,
}

/// Means over the seeds; shares in percent.
struct Means {
    served: f64,
    failed: f64,
    refused: f64,
    sent_to_failing: f64,
    at_most_once_failed: f64,
    retries_to_failing: f64,
    least_used: f64,
    p50_ms: f64,
    p99_ms: f64,
}

fn main() -> ExitCode {
    let arguments = arguments().run();
    match write_results(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs all rows and writes the results to the folder of `arguments` or prints the table.
fn write_results(arguments: &Arguments) -> io::Result<()> {
    let rows = rows();
    let means: Vec<Means> = rows.iter().map(row_means).collect();
    let text = render_table(&rows, &means);
    match &arguments.out {
        Some(folder) => {
            fs::write(folder.join("EMULATOR.md"), text)?;
            fs::write(folder.join("emulator.svg"), render_plot(&rows, &means))
        }
        None => {
            print!("{text}");
            Ok(())
        }
    }
}

/// Returns the policy used in production, then its variants, then that policy under other workloads.
fn rows() -> Vec<Row> {
    let mut rows = Vec::new();
    let mut add = |name: String, policy: Policy, workload: Workload| {
        rows.push(Row {
            name,
            policy,
            workload,
        })
    };
    let (policy, workload) = (Policy::new(), Workload::new());
    add("in use".to_owned(), policy, workload);
    for delay_ms in [50, 200, 1_000] {
        let delayed = Policy {
            outcome_delay_ms: delay_ms,
            ..policy
        };
        add(
            format!("outcomes delayed by {delay_ms} ms"),
            delayed,
            workload,
        );
    }
    for owners in [2, 4, 41] {
        let independent = Policy { owners, ..policy };
        add(
            format!("{owners} independent owners"),
            independent,
            workload,
        );
    }
    for percent in [0, 60, 80, 100] {
        let spread = permit::SpreadPolicy {
            once_target_percent: percent,
            once_failing_target_percent: percent.max(80),
            ..permit::SpreadPolicy::new()
        };
        add(
            format!("spread to {percent} % of the servers"),
            Policy { spread, ..policy },
            workload,
        );
    }
    let with_suspects = Policy {
        avoid_suspects: false,
        ..policy
    };
    add("suspects not avoided".to_owned(), with_suspects, workload);
    let without_health = Policy {
        use_health: false,
        ..policy
    };
    add(
        "least used, health ignored".to_owned(),
        without_health,
        workload,
    );
    for requests_per_s in [70.0, 100.0] {
        add(
            format!("in use, {requests_per_s} requests/s"),
            policy,
            Workload {
                requests_per_s,
                ..workload
            },
        );
    }
    let without_faults = Workload {
        gray_share: 0.0,
        ..workload
    };
    add("in use, no server fails".to_owned(), policy, without_faults);
    for idempotent_percent in [0, 10, 50, 100] {
        let submissions = Workload {
            idempotent_share: f64::from(idempotent_percent) / 100.0,
            ..Workload::submissions()
        };
        add(
            format!("submissions, {idempotent_percent} % idempotent"),
            policy,
            submissions,
        );
    }
    rows
}

/// Runs the row's workload once for each seed.
fn row_means(row: &Row) -> Means {
    let runs: Vec<RunStats> = (1..=SEEDS)
        .map(|seed| run(&row.workload, &row.policy, seed))
        .collect();
    let mean_of =
        |value: &dyn Fn(&RunStats) -> f64| runs.iter().map(value).sum::<f64>() / runs.len() as f64;
    let until_ms = row.workload.duration_ms;
    let least_used = |stats: &RunStats| {
        let period = (SETTLED_MS, until_ms);
        let servers = row.workload.servers;
        least_used_share(
            stats,
            servers,
            period,
            USE_WINDOW_MS,
            REQUESTS_PER_SERVER_MIN,
        ) * 100.0
    };
    Means {
        served: mean_of(&|stats| served_share(stats, 0, until_ms) * 100.0),
        failed: mean_of(&|stats| failed_share(stats, 0, until_ms) * 100.0),
        refused: mean_of(&|stats| refused_share(stats, 0, until_ms) * 100.0),
        sent_to_failing: mean_of(&|stats| {
            stats.sent_to_failing as f64 * 100.0 / stats.outcomes.len().max(1) as f64
        }),
        at_most_once_failed: mean_of(&|stats| at_most_once_failed_share(stats) * 100.0),
        retries_to_failing: mean_of(&|stats| retries_to_failing_share(stats) * 100.0),
        least_used: runs.iter().map(least_used).fold(100.0, f64::min),
        p50_ms: mean_of(&|stats| served_percentile_ms(stats, 50) as f64),
        p99_ms: mean_of(&|stats| served_percentile_ms(stats, 99) as f64),
    }
}

fn render_table(rows: &[Row], means: &[Means]) -> String {
    let mut text = String::from(
        "# Emulated policies\n\n\
        Written by `cargo run --release -p emu -- --out docs`: one pool of 12 servers of 4 slots, 49 requests per\n\
        second of 300 ms that are not idempotent, 30 % of the servers failing 85 % of their requests without delay for\n\
        nine seconds at a time; 60 s, mean of 10 seeds. Shares in percent of the requests. The submissions are 70 requests\n\
        per second of 260 ms to 20 servers of 4 slots with the same faults; those that may run only once fail as the column\n\
        `at most once failed` says, in percent of these. The least use is that of the sound servers in any two seconds of the\n\
        10 runs.\n\n\
        ![failed requests by policy](emulator.svg)\n\n\
        | policy | served | failed | refused | sent to a failing server | at most once failed | second tries to a failing server | least use | p50, ms | p99, ms |\n\
        | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for (row, mean) in rows.iter().zip(means) {
        text.push_str(&format!(
            "| {} | {:.1} | {:.1} | {:.1} | {:.1} | {:.1} | {:.1} | {:.0} | {:.0} | {:.0} |\n",
            row.name,
            mean.served,
            mean.failed,
            mean.refused,
            mean.sent_to_failing,
            mean.at_most_once_failed,
            mean.retries_to_failing,
            mean.least_used,
            mean.p50_ms,
            mean.p99_ms
        ));
    }
    text
}

/// Draws a bar for each row with its share of failed requests, as SVG.
fn render_plot(rows: &[Row], means: &[Means]) -> String {
    let (width, height) = PLOT_SIZE;
    let max_failed = means.iter().map(|mean| mean.failed).fold(1.0, f64::max);
    let row_height = (height - MARGIN) / rows.len() as f64;
    let mut bars = String::new();
    for (index, (row, mean)) in rows.iter().zip(means).enumerate() {
        let top = MARGIN / 2.0 + index as f64 * row_height;
        let length = mean.failed / max_failed * (width / 2.0 - MARGIN);
        bars.push_str(&format!(
            "<text x=\"{:.0}\" y=\"{:.1}\" text-anchor=\"end\">{}</text>\
             <rect x=\"{:.0}\" y=\"{:.1}\" width=\"{length:.1}\" height=\"{:.1}\" fill=\"#4a7\"/>\
             <text x=\"{:.1}\" y=\"{:.1}\">{:.1} %</text>\n",
            width / 2.0 - 6.0,
            top + row_height * 0.7,
            row.name,
            width / 2.0,
            top + row_height * 0.1,
            row_height * 0.8,
            width / 2.0 + length + 4.0,
            top + row_height * 0.7,
            mean.failed
        ));
    }
    format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{width}\" height=\"{height}\" \
         font-family=\"sans-serif\" font-size=\"11\">\n{bars}</svg>\n"
    )
}
