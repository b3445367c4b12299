//! Queries that only read; what they hand out is borrowed from the state.

mod digest;
mod explain;
mod read;
mod route;
mod verify;

pub use self::{
    digest::{canonical, digest},
    explain::explain,
    read::{accepted, has_gap, history, may_approve, next_offset, proposal, proposals, version},
    route::{find_route, find_service, pick_part},
    verify::verify,
};
