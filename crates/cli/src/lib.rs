//! Command-line tool that checks, proposes, approves and rejects configurations and shows the state of a fleet.

mod arguments;
pub mod commands;
mod error;
pub mod queries;

pub use crate::{
    arguments::{arguments, Arguments, Command, ProposalId, Target},
    error::CliError,
};
