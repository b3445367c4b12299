//! Commands: the servers for callers and operators, and the administration calls that change the configuration.

mod admin;
mod admin_calls;
mod callers;
mod read_ahead;

pub use self::{admin::serve_admin, callers::serve_callers};
