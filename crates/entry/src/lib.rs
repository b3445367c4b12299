//! The request path: classifies requests, acquires slots, forwards to backend servers, retries and hedges.
//!
//! Slot acquisition and key claims are structs of closures, so that the baseline policy and other front ends
//! share the same code. Invariants: a non-idempotent request is sent to another backend server only if the
//! previous attempt is known not to have run; a response is forwarded completely, or the caller's connection
//! is aborted.

pub mod commands;
mod connection_pool;
mod conventions;
mod memory_budget;
mod proxy;
pub mod queries;
mod request;
mod request_log;
mod response;
mod slot_shortage;

pub use crate::{
    connection_pool::{connect_tcp, Connection, ConnectionPool},
    conventions::HeaderConventions,
    memory_budget::{
        CallerConnection, MeasuredBody, MemoryBudget, MemoryEvent, OnMemoryEvent, OpenConnection,
    },
    proxy::{
        AcquireRequest, AttemptOutcome, ClaimOutcome, Claims, Grant, OnResponse, OnRetry, Proxy,
        RecordNotice, Refusal, Release, Settlement, SlotPolicy,
    },
    request::{
        BufferedBody, IdempotencyKey, IncomingRequest, RequestBody, RequestHead, RequestPlan,
        RoutingConfig, StreamedBody,
    },
    response::{BoxedBody, CallerResponse, ForwardedResponse, StoredResponse},
    slot_shortage::SlotShortage,
};
