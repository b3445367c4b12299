//! Which other instances this one turns to.

use {
    crate::Node,
    member::{queries, Instance, View},
    types::shard_hash,
};

/// Tells whether this node passes over the instance of that name for now.
pub(crate) fn is_in_backoff(node: &Node, name: &str) -> bool {
    let now_ms = node.now_ms();
    node.peer_backoffs.with(shard_hash(name), |peer_backoffs| {
        queries::is_in_backoff(peer_backoffs, name, now_ms)
    })
}

/// Tells whether this instance is the first that owns the pool, as far as it knows.
pub(crate) fn is_first_owner(node: &Node, service: &str, area: &str) -> bool {
    let view = node.view.load();
    let order = queries::owner_order(&view, service, area);
    order
        .first()
        .is_some_and(|first| first.name == node.settings.instance)
}

/// Walks the instances that may own a pool, first in order first, without those that are passed over.
pub(crate) fn candidate_owners<'a>(
    node: &'a Node,
    view: &'a View,
    service: &str,
    area: &str,
) -> impl Iterator<Item = &'a Instance> {
    let order = queries::owner_order(view, service, area).into_iter();
    order.filter(|instance| !is_in_backoff(node, &instance.name))
}
