//! Test doubles: the platform's service, the platform's store, backend servers, and a fault-injecting TCP proxy.
//!
//! Each runs inside the process that starts it. Knobs change its behaviour at run time from the same process and,
//! except for the store, also over HTTP.

mod backend;
mod backend_response;
mod fault;
mod log_store;
mod platform;
mod ports;
mod server;
mod store;
mod store_fixtures;

pub use crate::{
    backend::{Arrival, Backend, BackendKnobs, Executions, GrayFault},
    fault::{FaultKnobs, FaultProxy},
    log_store::StoredRecord,
    platform::{LogCopy, Platform, PlatformKnobs},
    ports::PortRange,
    server::{full_response, unix_time_ms, BoxedBody, HttpResponse},
    store::{OutageMode, Store, StoreCopy, StoreKnobs},
    store_fixtures::{
        caller_headers, is_matching_response, AccountEntry, InstanceSettings, ServerEntry,
        ROUTE_HOST,
    },
};
