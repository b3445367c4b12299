//! The command-line tool: checks, proposes, shows, approves and rejects configuration, and shows status.

mod arguments;
pub mod commands;
mod error;
pub mod queries;

pub use crate::{
    arguments::{arguments, Arguments, Command, ProposalId, Target},
    error::CliError,
};
