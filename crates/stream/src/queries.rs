//! Queries: reading and following streams, and reading the member list.

mod follow;
mod read;

pub use self::{
    follow::{follow, StreamHandler},
    read::{read, read_members, StreamPart},
};
