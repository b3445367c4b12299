//! Front ends over HTTP: one for callers (hyper), one for operators (warp).
//!
//! They only translate; what they call is given to them as closures.

pub mod commands;
mod handlers;
pub mod queries;

pub use crate::handlers::{
    AdminHandlers, Authenticate, CallerHandlers, CallerLimits, ChangeHandler,
};
