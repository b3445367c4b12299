//! Commands that change the record of contact and the roster.

mod contact;
mod roster;

pub use self::{
    contact::{answered, failed},
    roster::{
        drop_instance, drop_server, merge, report_instance, report_server, retain_instances,
        retain_servers, settle, source_back,
    },
};
