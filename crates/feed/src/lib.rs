//! Keeps an instance's configuration, server list and instance list up to date.
//!
//! The first instance in rendezvous order reads the platform's lists and the second stands in for it; the others get
//! changes from these two, in a large fleet through a relay in their data centre. An instance that follows the platform
//! for others or owns pools reads it itself while it gets no fresh data from any of them. Any other instance reads it
//! once whenever its own data has become too old, so that no instance depends on others for the age of its data. This
//! needs no consensus: each instance computes the rendezvous order over the instances that it knows, and differing views
//! only cost additional reads.

pub mod commands;
pub mod queries;
mod state;
mod transfer;

pub use crate::{
    state::{ActivateConfig, ActivatePatch, Feed, Hooks, RequestConfigPart, SyncPeer},
    transfer::ConfigPatch,
};
