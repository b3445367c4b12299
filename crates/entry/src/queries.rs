//! Queries: classifying requests, and reading and making headers.

mod classify;
mod headers;

pub use self::{
    classify::{classify, request_id},
    headers::{is_measured, is_own_answer, pass_on, promises_not_run, without_hop_headers},
};
