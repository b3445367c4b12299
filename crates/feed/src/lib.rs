//! Keeps an instance's knowledge of configuration, servers and instances up to date.
//!
//! Two instances of the fleet follow the platform's lists; the others hear of changes from them, in a large fleet
//! through one instance of their data centre. An instance that hears nothing fresh from any of them reads the
//! platform itself until it does. Nothing is agreed for that: who reads is a rendezvous order over the instances
//! known, and two views of it only cost reads.

pub mod commands;
pub mod queries;
mod state;

pub use crate::state::{Feed, Hooks, SyncPeer};
