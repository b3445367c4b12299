//! Commands: running a request from its intake to its answer.

mod attempts;
mod exchange;
mod intake;
mod keyed;
mod permit;
mod run;

pub use self::run::run;
