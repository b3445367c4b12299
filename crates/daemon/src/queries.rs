//! Queries: everything that only reads the node.

mod answers;
mod changes;
mod configs;
mod peers;
mod status;

pub(crate) use self::{
    answers::{answer_text, stored_answer},
    changes::find_by,
    configs::{config_answer, config_view, history, principal},
    peers::{is_first_owner, is_in_backoff, willing_owners},
    status::{is_ready, log_age_ms, standing_name, status, version_in_force},
};
