//! Passes this instance's part of the time on to the owners of pools, for requests to servers with a limit.

use {
    crate::{commands::credit::is_catching_up, queries::known_instances, Node},
    member::{queries::instances_in_area, View},
    permit::{commands::record_fleet_size, FleetSize},
    std::collections::HashMap,
    types::shard_hash,
};

/// The time that this instance has passed on for the pools of a service.
#[derive(Debug, Default)]
pub(crate) struct PassedTime {
    /// By area: the time up to which this instance has passed its part on, in milliseconds.
    passed_ms: HashMap<String, u64>,
    /// By area: the number of instances among which limits are divided.
    sizes: HashMap<String, FleetSize>,
}

/// A part of the time, and the number of instances that have one each.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct TimeShare {
    pub(crate) share_ms: u64,
    pub(crate) instances: u32,
}

/// Returns the time since this instance last passed its part on to the owner of a pool, and counts it as passed on. Only
/// instances of the pool's area have a part, so that all parts together are no more than the time. What is passed on with a
/// message that gets lost is lost.
pub(crate) fn take_time_share(node: &Node, view: &View, service: &str, area: &str) -> TimeShare {
    let is_own_area = area == node.settings.data_centre || area == node.settings.region();
    if !is_own_area || known_instances(node).is_none() {
        return TimeShare::default();
    }
    let is_stalled = is_catching_up(node);
    let now_ms = node.now_ms();
    let window_ms = node.settings.retry_window_ms;
    let known = instances_in_area(view, area).count() as u32;
    node.passed_times.with(shard_hash(&service), |services| {
        let passed = services.entry(service.to_owned()).or_default();
        let size = passed.sizes.entry(area.to_owned()).or_default();
        let instances = record_fleet_size(size, known, window_ms, now_ms);
        // The time of a process begins with its start.
        let passed_ms = passed.passed_ms.entry(area.to_owned()).or_default();
        let share_ms = now_ms.saturating_sub(std::mem::replace(passed_ms, now_ms));
        // A new process may know only half of the others.
        let is_new = now_ms < window_ms;
        TimeShare {
            share_ms: if is_stalled { 0 } else { share_ms },
            instances: if is_new { 2 * instances } else { instances },
        }
    })
}
