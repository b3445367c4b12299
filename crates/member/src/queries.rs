//! Queries over the list, the record of contact and the roster.

mod roster;
mod view;

pub use self::{
    roster::{delta, digest, is_settled, list_version, view},
    view::{
        feeds, feeds_others, find_instance, is_skipped, live_instances, owner_order, pool_areas,
        pool_servers, task_order, task_owner,
    },
};
