//! Commands: following the platform and other instances, and announcing this one.

mod announce;
mod apply;
mod pull;
mod read;

pub use self::{
    announce::{announce, withdraw},
    apply::note_asker,
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
        apply::settle(feed),
    );
}

/// Publishes the list to the node and wakes whoever waits for a change.
fn publish(feed: &Feed) {
    let view = feed.lists.with(0, |lists| {
        lists.view = Arc::new(queries::view(&lists.roster));
        lists.digest = queries::digest(&lists.roster);
        Arc::clone(&lists.view)
    });
    (feed.hooks.publish)(view);
    wake(feed);
}

/// Wakes whoever waits here for news: a newer list or configuration, or that the platform can't be read.
pub fn wake(feed: &Feed) {
    feed.changed.send_modify(|count| *count += 1);
}
