//! Read-only queries; results are borrowed from the replica or the document.

mod diff;
mod digest;
mod patch;
mod route;
mod state;
mod validate;
mod warnings;

pub use self::{
    diff::describe_changes,
    digest::{canonical_text, document_digest},
    patch::{document_patch, patched_document},
    route::{
        find_limited_account, find_route, find_service, has_limited_accounts, pick_destination,
    },
    state::{
        accepted_config, accepted_version, check_approval, has_gap, history, next_offset,
        open_proposal, open_proposals,
    },
    validate::validate,
    warnings::warnings,
};
