//! Keeps an instance's configuration, server list and instance list up to date.
//!
//! The first instance in rendezvous order reads the platform's lists and the second stands in for it; the others get
//! changes from these two, in a large fleet through a relay in their data centre. An instance that gets no fresh data
//! from any of them reads the platform itself until it does. This needs no consensus: each instance computes the
//! rendezvous order over the instances that it knows, and differing views only cost additional reads.

pub mod commands;
pub mod queries;
mod state;

pub use crate::state::{Feed, Hooks, SyncPeer};
