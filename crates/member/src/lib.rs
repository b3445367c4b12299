//! Membership: the servers and instances that the platform lists, and the backoff of peers that do not respond.
//!
//! Pure logic without I/O. The platform's list lags behind reality, so each instance keeps its own backoff for peers
//! that do not respond to it: a one-way network partition then affects only the pairs of instances that it separates.

pub mod commands;
mod notices;
pub mod queries;
mod roster;
mod view;

pub use crate::{
    notices::{ClosedReason, ServerLimit, ServerNotice, ServerNotices},
    roster::{Delta, ReportVersion, Roster},
    view::{
        BackendServer, Instance, PeerBackoff, PeerBackoffs, Presence, View,
        DEFAULT_CAPACITY_PERMILLE,
    },
};
