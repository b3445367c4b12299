//! The request path: classify, acquire a slot, exchange, retry, hedge, answer whole.
//!
//! What varies (how a slot is acquired, how a key is claimed) is a struct of closures, so that a baseline
//! or another front end uses the same path. Invariants: a request that is not idempotent is given to a
//! backend server again only if its first attempt is proved not run; an answer is passed on whole or its
//! connection is aborted.

mod answer;
pub mod commands;
mod connections;
mod names;
mod plan;
mod policy;
pub mod queries;
mod trace;

pub use crate::{
    answer::{Answer, BodyKind, BoxedBody, StoredAnswer},
    connections::{open_socket, Connection, Connections},
    names::Names,
    plan::{Body, Head, Incoming, KeyPlan, OnceBody, Plan, Rules},
    policy::{
        AcquireAsk, ClaimEnd, Claims, Evidence, Grant, NoteAnswer, NoteRetry, Path, Policy,
        Refused, Release, Settlement,
    },
};
