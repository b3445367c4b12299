//! Commands: running a request from its intake to its answer.

mod attempts;
mod claimed;
mod exchange;
mod handle_request;
mod permit;
mod request_body;

pub use self::handle_request::handle_request;
