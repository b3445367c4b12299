//! Membership: what the platform's list proposes and what contact decides.
//!
//! Pure decisions. The list lags, so an instance that does not answer is skipped by the asker alone, for a
//! time: a one-way cut costs only the pairs that are cut.

pub mod commands;
pub mod queries;
mod roster;
mod view;

pub use crate::{
    roster::{Delta, ReportVersion, Roster},
    view::{
        BackendServer, Instance, PeerBackoff, PeerBackoffs, Presence, View,
        DEFAULT_CAPACITY_PERMILLE,
    },
};
