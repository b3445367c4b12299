//! Stand-ins for tests: the platform's service, backend servers, and a fault-injecting TCP proxy.
//!
//! Each is small, runs inside the process that starts it, and has knobs that can be turned while it runs,
//! from the same process or over HTTP.

mod backend;
mod backend_answer;
mod entries;
mod fault;
mod log_store;
mod platform;
mod ports;
mod server;
mod store;

pub use crate::{
    backend::{Arrival, Backend, BackendKnobs, Gray, Runs},
    entries::{caller_headers, is_matching_response, ServerEntry, StoreInstance, STORE_HOST},
    fault::{FaultKnobs, FaultProxy},
    log_store::LogRecordText,
    platform::{Platform, PlatformKnobs},
    ports::Ports,
    server::{clock_ms, full, Answer, BoxedBody},
    store::{Away, Store, StoreKnobs},
};
