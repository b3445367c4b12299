//! Queries: request classification, and header parsing and construction.

mod classify;
mod headers;

pub use self::{
    classify::{classify, request_id},
    headers::{
        echoes_request, has_reliable_framing, implies_not_run, is_close_delimited, is_final_status,
        is_matching_response, server_notice, upstream_headers, without_hop_by_hop_headers,
    },
};
