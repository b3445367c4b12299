//! Queries: read-only operations on the node's state.

mod claim_responses;
mod config;
mod notices;
mod peers;
mod quota;
mod status;
mod wait;

pub(crate) use self::{
    claim_responses::{decode_stored_response, encode_claim_response},
    config::{
        accepts_keys, authenticate, config_response, config_view, encoded_patch, history,
        is_config_current, whole_config,
    },
    notices::{closed_servers, limited_servers, server_closed_reason, ClosedServers},
    peers::{candidate_owners, is_in_backoff, known_instances},
    quota::{has_quotas, quota_owners, quota_terms, time_gatherer},
    status::{active_config_version, is_ready, log_age_ms, standing_name, status},
    wait::wait_for_value,
};
