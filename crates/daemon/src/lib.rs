//! The daemon: every node is entry proxy, pool owner and cluster member at once.
//!
//! [`Node`] holds the state in shards; `commands` modify it and `queries` read it. The decisions are made
//! by the decision crates, which do no I/O; this crate passes them the time, exchanges their messages and
//! connects them to the platform's log.

mod clock;
pub mod commands;
mod metrics;
mod node;
pub mod queries;
mod settings;

pub use crate::{
    node::{Node, Stage},
    settings::{Principal, Settings, SettingsError},
};
