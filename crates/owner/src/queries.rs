//! Queries over a pool at its owner; none of them changes it.

mod eject;
mod knowledge;

pub use self::{
    eject::{ejection_due, proved_slots},
    knowledge::{knowledge, Knowledge, KnownServer},
};
