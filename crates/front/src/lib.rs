//! HTTP front ends: one for callers (hyper) and the administration API for operators (warp).
//!
//! They only convert between HTTP and the types of the request path; their handlers are closures.

pub mod commands;
mod handlers;
pub mod queries;

pub use crate::handlers::{
    AdminHandlers, Authenticate, CallerHandlers, CallerLimits, ChangeHandler,
};
