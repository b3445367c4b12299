//! Commands: following the platform and other instances, and announcing this one.

mod announce;
mod apply;
mod pull;
mod read;

pub use self::{
    announce::{announce, withdraw},
    apply::record_requester,
    pull::pull,
    read::{read_configuration, read_instances, read_servers},
};

use {crate::Feed, member::queries, std::sync::Arc, tokio::join};

/// Follows everything for ever.
pub async fn follow(feed: Arc<Feed>) {
    join!(
        announce(Arc::clone(&feed)),
        pull(Arc::clone(&feed)),
        read_configuration(Arc::clone(&feed)),
        read_servers(Arc::clone(&feed)),
        read_instances(Arc::clone(&feed)),
        apply::expire_servers_loop(feed),
    );
}

/// Publishes the list to the node and wakes whoever waits for a change.
fn publish_view(feed: &Feed) {
    let view = feed.state.with(0, |state| {
        state.view = Arc::new(queries::view(&state.roster));
        state.digest = queries::digest(&state.roster);
        Arc::clone(&state.view)
    });
    (feed.hooks.publish_view)(view);
    notify_waiters(feed);
}

/// Wakes whoever waits here for news: a newer list or configuration, or that the platform can't be read.
pub fn notify_waiters(feed: &Feed) {
    feed.changed.send_modify(|count| *count += 1);
}
