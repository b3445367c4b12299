//! The daemon: one node that plays every role.
//!
//! [`Node`] holds the state, split into shards; `commands` change it and `queries` read it. Decisions are
//! made by the decision crates; this crate gives them time, messages and the log.

pub mod commands;
mod metrics;
mod node;
pub mod queries;
mod settings;

pub use crate::{
    node::{Node, Stage},
    settings::{Principal, Settings, SettingsError},
};
