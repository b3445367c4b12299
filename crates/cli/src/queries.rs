//! Queries: read-only calls to an instance, and the text output.

mod check;
mod client;
mod format;

pub use self::{
    check::{check_document, format_check, format_findings},
    client::{call_admin, fetch_config, fetch_history, fetch_status},
    format::{format_config, format_history, format_status},
};
