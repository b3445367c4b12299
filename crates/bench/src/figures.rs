//! Reports the measured figures of a run, one JSON line each, and whether all of them are within their bounds.

use {serde_json::json, std::process::ExitCode};

/// Acceptance bound of a figure.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Bound {
    /// The value must not exceed this limit.
    AtMost(f64),
    /// The value must not be below this limit.
    AtLeast(f64),
    /// The figure is reported without a check.
    None,
}

/// Prints each figure when it is recorded and keeps track of whether all bounds hold.
#[derive(Debug)]
pub(crate) struct Figures {
    experiment: String,
    seed: u64,
    all_bounds_hold: bool,
}

impl Figures {
    pub(crate) fn new(experiment: &str, seed: u64) -> Self {
        Self {
            experiment: experiment.to_owned(),
            seed,
            all_bounds_hold: true,
        }
    }

    /// Prints one figure and checks its bound; NaN violates any limit.
    pub(crate) fn record(&mut self, figure: &str, value: f64, unit: &str, bound: Bound) {
        let (bound_text, holds) = match bound {
            Bound::AtMost(most) => (format!("<= {most}"), value <= most),
            Bound::AtLeast(least) => (format!(">= {least}"), value >= least),
            Bound::None => ("none".to_owned(), true),
        };
        self.all_bounds_hold &= holds;
        println!(
            "{}",
            json!({
                "experiment": self.experiment,
                "seed": self.seed,
                "figure": figure,
                "value": (value * 1_000.0).round() / 1_000.0,
                "unit": unit,
                "bound": bound_text,
                "holds": holds,
            })
        );
    }

    /// Prints PASS or FAIL and returns the exit status that goes with it.
    pub(crate) fn finish(&self) -> ExitCode {
        if self.all_bounds_hold {
            println!("PASS");
            ExitCode::SUCCESS
        } else {
            println!("FAIL");
            ExitCode::FAILURE
        }
    }
}
