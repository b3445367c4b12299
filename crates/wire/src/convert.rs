//! Conversions between the generated types and the decision crates' types.

mod claims;
mod configs;
mod ejections;
mod members;

pub use self::{
    claims::{claim_entries, claim_record},
    configs::{
        config_entry, config_record, document_from_text, document_text, finding_texts, plain_route,
    },
    ejections::{ejection_record, ejection_text},
    members::{delta, instance, instance_text, member_list, sync_answer, view},
};
