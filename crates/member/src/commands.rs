//! Commands that change peer backoff, the notices of servers and the roster.

mod contact;
mod notices;
mod roster;

pub use self::{
    contact::{record_failure, record_success},
    notices::record_notice,
    roster::{
        apply_delta, apply_instance_report, apply_refusals, apply_removals, apply_server_report,
        cancel_expiries, confirm_refused, expire_servers, outlast_rollback, remove_instance,
        remove_server, retain_instances, retain_servers, start_grace_period,
    },
};
