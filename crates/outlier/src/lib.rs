//! Outlier detection: suspects, ejections through the log, and the floor that ejections must leave.
//!
//! Pure decisions. Evidence is real work, compared with the rest of the service and never with absolutes:
//! when all servers go bad at once nobody is an outlier.

pub mod commands;
mod ejections;
mod health;
pub mod queries;

pub use crate::{
    ejections::{
        ActiveEjection, EjectionEvent, EjectionEventKind, EjectionReplica, CAPACITY_MARGIN_MS,
        EJECTION_TTL_MS,
    },
    health::{Assessment, AttemptOutcome, PoolHealth, Sensitivity, ServerHealth, TailLatency},
};
