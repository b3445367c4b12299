//! The figures of a run, one JSON line each, and the verdict over their bounds.

use {serde_json::json, std::process::ExitCode};

/// What a figure must hold.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Bound {
    /// At most this much.
    AtMost(f64),
    /// At least this much.
    AtLeast(f64),
    /// Only reported.
    None,
}

/// Prints figures as they come and remembers whether all bounds held.
#[derive(Debug)]
pub(crate) struct Figures {
    experiment: String,
    seed: u64,
    all_hold: bool,
}

impl Figures {
    pub(crate) fn new(experiment: &str, seed: u64) -> Self {
        Self {
            experiment: experiment.to_owned(),
            seed,
            all_hold: true,
        }
    }

    /// Prints one figure and checks its bound; a value that is not a number holds no bound.
    pub(crate) fn record(&mut self, figure: &str, value: f64, unit: &str, bound: Bound) {
        let (text, holds) = match bound {
            Bound::AtMost(most) => (format!("<= {most}"), value <= most),
            Bound::AtLeast(least) => (format!(">= {least}"), value >= least),
            Bound::None => ("none".to_owned(), true),
        };
        self.all_hold &= holds;
        println!(
            "{}",
            json!({
                "experiment": self.experiment,
                "seed": self.seed,
                "figure": figure,
                "value": (value * 1_000.0).round() / 1_000.0,
                "unit": unit,
                "bound": text,
                "holds": holds,
            })
        );
    }

    /// Prints the verdict and returns the exit status.
    pub(crate) fn finish(&self) -> ExitCode {
        if self.all_hold {
            println!("PASS");
            ExitCode::SUCCESS
        } else {
            println!("FAIL");
            ExitCode::FAILURE
        }
    }
}
