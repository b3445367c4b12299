//! Commands: following the platform and other instances, and announcing this one.

mod announce;
mod apply;
mod pull;
mod read;

pub use self::{
    announce::{announce, withdraw},
    apply::{note_asker, note_config_changed},
    pull::pull,
    read::{read_configuration, read_instances, read_servers},
};

use {
    crate::{queries, Feed},
    futures_util::future::join_all,
    std::{future::Future, pin::Pin, sync::Arc},
};

/// Follows everything for ever.
pub async fn follow(feed: Arc<Feed>) {
    let tasks: [Pin<Box<dyn Future<Output = ()> + Send>>; 6] = [
        Box::pin(announce(Arc::clone(&feed))),
        Box::pin(pull(Arc::clone(&feed))),
        Box::pin(read_configuration(Arc::clone(&feed))),
        Box::pin(read_servers(Arc::clone(&feed))),
        Box::pin(read_instances(Arc::clone(&feed))),
        Box::pin(apply::settle(feed)),
    ];
    join_all(tasks).await;
}

/// Publishes the list to the node and wakes whoever waits for a change.
fn publish(feed: &Feed) {
    let view = feed.lists.with(0, |lists| queries::view(lists));
    (feed.hooks.publish)(view);
    feed.changed.send_modify(|count| *count += 1);
}
