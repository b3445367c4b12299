//! Commands: running an emulation.

mod run;

pub use self::run::run;
