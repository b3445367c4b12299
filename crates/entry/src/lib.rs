//! The request path: classify, acquire a slot, exchange, retry, hedge, answer whole.
//!
//! What varies (how a slot is acquired, how a key is claimed) is a struct of closures, so that a baseline
//! or another front end uses the same path. Invariants: a request that is not idempotent is given to a
//! backend server again only if its first attempt is proved not run; an answer is passed on whole or its
//! connection is aborted.

pub mod commands;
mod connection_pool;
mod conventions;
mod proxy;
pub mod queries;
mod request;
mod request_log;
mod response;

pub use crate::{
    connection_pool::{connect_tcp, Connection, ConnectionPool},
    conventions::HeaderConventions,
    proxy::{
        AcquireRequest, AttemptOutcome, ClaimOutcome, Claims, Grant, OnResponse, OnRetry, Proxy,
        Refusal, Release, Settlement, SlotPolicy,
    },
    request::{
        IdempotencyKey, IncomingRequest, RequestBody, RequestHead, RequestPlan, RoutingConfig,
        StreamedBody,
    },
    response::{BoxedBody, CallerResponse, ForwardedResponse, StoredResponse},
};
