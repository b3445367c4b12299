//! Commands: handling a request from its arrival to its response.

mod attempts;
mod claimed;
mod exchange;
mod handle_request;
mod permit;
mod request_body;

pub use self::handle_request::handle_request;
