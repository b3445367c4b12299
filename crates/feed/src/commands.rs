//! Commands: following the platform and other instances, and announcing this instance.

mod announce;
mod apply;
mod directory;
mod era;
mod fetch;
mod pull;
mod read;
mod send_part;

pub use self::{
    announce::{announce, withdraw},
    apply::{record_request, record_requester},
    pull::pull,
    read::{read_configuration, read_instances, read_servers},
    send_part::send_config_part,
};

use {
    crate::{queries::is_source, Feed},
    member::queries,
    std::sync::Arc,
    tokio::join,
};

/// Runs all tasks of the feed forever.
pub async fn follow(feed: Arc<Feed>) {
    join!(
        announce(Arc::clone(&feed)),
        pull(Arc::clone(&feed)),
        fetch::fetch_configurations(Arc::clone(&feed)),
        read_configuration(Arc::clone(&feed)),
        read_servers(Arc::clone(&feed)),
        read_instances(Arc::clone(&feed)),
        apply::expire_servers_loop(feed),
    );
}

/// Passes the current membership view to the node, and wakes the sync requests that wait for a change.
fn publish_view(feed: &Feed) {
    let view = feed.state.with(0, |state| {
        state.view = Arc::new(queries::view(&state.roster));
        state.is_source = is_source(feed, state);
        state.digest = queries::digest(&state.roster);
        state.server_digest = queries::server_digest(&state.roster);
        Arc::clone(&state.view)
    });
    (feed.hooks.publish_view)(view);
    notify_waiters(feed);
}

/// Wakes the sync requests that wait for newer or fresher data, or for a failure to read the platform.
pub fn notify_waiters(feed: &Feed) {
    feed.changed.send_modify(|count| *count += 1);
}
