//! Front ends over HTTP: one for callers (hyper), one for operators (warp).
//!
//! They only translate; what they call is given to them as closures.

mod admin;
pub mod commands;
pub mod queries;

pub use crate::admin::{Admin, CallerLimits, Callers, Change, FindPrincipal};
