//! Conversions between the generated types and the types of the crates that make decisions.

mod claims;
mod configs;
mod ejections;
mod members;

pub use self::{
    claims::{decode_claim_events, encode_claim_events},
    configs::{
        decode_config_event, decode_document, decode_document_patch, encode_config_event,
        encode_config_patch, encode_document, encode_findings, simple_route,
    },
    ejections::{decode_ejection_event, encode_ejection_event},
    members::{
        decode_delta, decode_instance, decode_member_list, decode_removed_server, encode_delta,
        encode_instance, encode_member_list, encode_removed_server,
    },
};
