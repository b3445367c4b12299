//! Queries over the membership view, peer backoff, the notices of servers and the roster.

mod notices;
mod roster;
mod view;

pub use self::{
    notices::{closed_reason, named_limits, noticed_servers, server_start_ms},
    roster::{
        delta, digest, has_missing_server, has_returning_server, have_records_lapsed,
        is_grace_over, list_version, logged_removals, recent_removals, refused_removals,
        server_count, server_digest, view,
    },
    view::{
        find_instance, find_server, instance_count, instances_in_area, is_in_backoff,
        is_sync_source, listed_sources, live_instances, owner_order, pool_areas, pool_servers,
        source_directory, sync_sources, task_order, task_owner,
    },
};
