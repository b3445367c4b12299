//! Outlier detection: suspects, ejections agreed through the log, and the capacity floor that ejections must respect.
//!
//! Pure logic without I/O. Servers are judged by the outcomes of real requests relative to the rest of the service,
//! never by absolute thresholds: when all servers degrade at once, none is an outlier.

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
