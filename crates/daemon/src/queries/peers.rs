//! Selects the instances that this one contacts.

use {
    crate::Node,
    member::{queries, Instance, View},
    types::shard_hash,
};

/// Returns whether the instance with that name is in backoff, because calls to it failed.
pub(crate) fn is_in_backoff(node: &Node, name: &str) -> bool {
    let now_ms = node.now_ms();
    node.peer_backoffs.with(shard_hash(name), |peer_backoffs| {
        queries::is_in_backoff(peer_backoffs, name, now_ms)
    })
}

/// Returns the instances that may own a pool, in owner order, without those in backoff.
pub(crate) fn candidate_owners<'a>(
    node: &'a Node,
    view: &'a View,
    service: &str,
    area: &str,
) -> impl Iterator<Item = &'a Instance> {
    let order = queries::owner_order(view, service, area).into_iter();
    order.filter(|instance| !is_in_backoff(node, &instance.name))
}

/// Returns the number of instances that this one knows, itself included; none before it has received a list of them.
pub(crate) fn known_instances(node: &Node) -> Option<u32> {
    let has_list = node
        .feed
        .get()
        .is_none_or(|feed| feed::queries::has_instance_list(feed));
    has_list.then(|| queries::instance_count(&node.view.load()) as u32)
}
