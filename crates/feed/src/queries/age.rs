//! The age of the configuration and of the list of servers.
//!
//! Ages are never underestimated: what was read or received counts as current as of the earliest time at which its sender
//! can have made it.

use {
    crate::{state::FeedState, Feed},
    stream::{Cursor, ListUpdate},
    wire::generated::SyncResponse,
};

/// Age from which data is stale, in milliseconds: an instance then syncs with further peers to get fresher data.
pub(crate) const STALE_AFTER_MS: u64 = 2_500;
/// Age from which an instance reads the platform itself, in milliseconds. It is above the age that data reaches between
/// two syncs, and leaves time for a read and its repetition until a change must be active everywhere.
pub(crate) const REFRESH_AGE_MS: u64 = 1_300;
/// Age from which an instance on which others depend reads the platform itself, in milliseconds: its data then reaches the
/// others before theirs is too old, and they need not read.
const SOURCE_REFRESH_AGE_MS: u64 = 1_000;
/// Time after the start within which no instance without data reads the platform for itself alone, in milliseconds. If all
/// instances start together, the first in order must read before it can respond.
pub(crate) const STARTUP_SYNC_MS: u64 = 700;
/// Instances with which each can read the list of all when they start together.
const SMALL_FLEET_INSTANCES: usize = 200;
/// Instances that a fleet of unknown size is taken for.
const UNKNOWN_FLEET_INSTANCES: usize = 450;
/// Divisor of the square of the number of instances that gives the time over which the first reads of the platform by those
/// that got no data from others are spread, in milliseconds. The lists grow with the fleet, so that all these reads together
/// take a time that grows with its square.
const START_SPREAD_DIVISOR: usize = 60;
/// Age up to which the configuration counts as current, in milliseconds: within it an instance that reaches the platform
/// has read it again.
const CONFIG_CURRENT_MS: u64 = 1_800;
/// Time after which it is checked again whether the configuration was refreshed, in milliseconds.
const CONFIG_FIRST_MS: u64 = 50;
/// Age of data from which a failure to read the platform is reported, in milliseconds; other instances may have
/// refreshed the data since the failure.
const FAILING_AGE_MS: u64 = 600;
/// Name of the list of one record that is the configuration.
pub(crate) const CONFIG_LIST: &str = "configuration";
/// Name of the list of backend servers.
pub(crate) const SERVER_LIST: &str = "servers";
/// Age reported until both a configuration and a full list of servers were received, in milliseconds; a day.
pub(crate) const UNKNOWN_AGE_MS: u64 = 86_400_000;

/// Returns whether a full list of servers was ever received.
pub fn has_server_list(feed: &Feed) -> bool {
    feed.state.with(0, |state| state.servers_as_of_ms.is_some())
}

/// Returns whether a full list of instances was ever received.
pub fn has_instance_list(feed: &Feed) -> bool {
    feed.state.with(0, |state| state.has_instance_list)
}

/// Returns whether both a configuration and a full list of servers were received.
pub(crate) fn is_initialized(feed: &Feed) -> bool {
    (feed.hooks.active_config_version)() > 0 && has_server_list(feed)
}

/// Returns the latest time as of which an update is certainly current, in milliseconds of the feed's clock: the time at
/// which the read was sent or, if the platform waited in vain for a change, the end of that wait.
pub(crate) fn as_of_ms<Value>(
    cursor: &Cursor,
    update: &ListUpdate<Value>,
    sent_ms: u64,
    now_ms: u64,
) -> u64 {
    let is_unchanged = cursor.from == Some(update.next_offset);
    let waited_ms = if is_unchanged { cursor.wait_ms } else { 0 };
    now_ms.min(sent_ms + waited_ms)
}

/// Returns the latest time as of which the list in another instance's response to a request sent at `sent_ms` is certainly
/// current, in milliseconds of the feed's clock; none if its age is not known. The time that the messages were underway
/// counts towards the age.
pub(crate) fn response_as_of_ms(response: &SyncResponse, sent_ms: u64) -> Option<u64> {
    as_of_stated_age_ms(response, response.source_age_ms, sent_ms)
}

/// Returns the latest time as of which the responding instance's configuration is certainly current, as
/// [`response_as_of_ms`] does for its list.
pub(crate) fn config_as_of_ms(response: &SyncResponse, sent_ms: u64) -> Option<u64> {
    as_of_stated_age_ms(response, response.config_age_ms, sent_ms)
}

/// Returns the latest time as of which the requester's configuration certainly was current, if the response says so of it.
pub(crate) fn superseded_as_of_ms(response: &SyncResponse, sent_ms: u64) -> Option<u64> {
    as_of_stated_age_ms(response, response.superseded_age_ms?, sent_ms)
}

fn as_of_stated_age_ms(response: &SyncResponse, age_ms: u64, sent_ms: u64) -> Option<u64> {
    let is_known = age_ms < UNKNOWN_AGE_MS;
    is_known.then(|| (sent_ms + response.waited_ms).saturating_sub(age_ms))
}

/// Returns the time until this instance has to read the configuration itself, in milliseconds.
pub(crate) fn until_config_refresh_ms(feed: &Feed) -> Option<u64> {
    let now_ms = feed.now_ms();
    let due_ms = feed.state.with(0, |state| {
        refresh_due_ms(feed, state, state.config_as_of_ms)
    });
    Some(due_ms.saturating_sub(now_ms))
}

/// Returns the time until this instance has to read the list of servers itself, in milliseconds; not before it could
/// refresh the configuration, so that an outage of the platform costs one call at a time.
pub(crate) fn until_server_refresh_ms(feed: &Feed) -> Option<u64> {
    let now_ms = feed.now_ms();
    let (config_due_ms, servers_due_ms) = feed.state.with(0, |state| {
        (
            refresh_due_ms(feed, state, state.config_as_of_ms),
            refresh_due_ms(feed, state, state.servers_as_of_ms),
        )
    });
    Some(if config_due_ms <= now_ms {
        CONFIG_FIRST_MS
    } else {
        servers_due_ms.saturating_sub(now_ms)
    })
}

/// Returns the time at which this instance has to read data itself that is current as of a time, in milliseconds of the
/// feed's clock.
fn refresh_due_ms(feed: &Feed, state: &FeedState, as_of_ms: Option<u64>) -> u64 {
    match as_of_ms {
        Some(as_of_ms) if state.is_source => as_of_ms + SOURCE_REFRESH_AGE_MS,
        Some(as_of_ms) => as_of_ms + REFRESH_AGE_MS,
        None => UNKNOWN_AGE_MS + first_read_ms(feed, state),
    }
}

/// Returns the time after the start at which an instance that got no data from others reads the platform, in milliseconds.
/// Those on which others depend read first; the others read one after the other, so that the platform can answer them
/// however many start at once.
fn first_read_ms(feed: &Feed, state: &FeedState) -> u64 {
    STARTUP_SYNC_MS + (first_read_spread_ms(state) as f64 * feed.start_position) as u64
}

/// Returns the time over which the instances that got no data from others spread their reads of the platform, in
/// milliseconds.
pub(crate) fn first_read_spread_ms(state: &FeedState) -> u64 {
    if state.is_source {
        return 0;
    }
    let instances = if is_fleet_size_known(state) {
        known_instances(state)
    } else {
        UNKNOWN_FLEET_INSTANCES
    };
    (instances.pow(2) / START_SPREAD_DIVISOR) as u64
}

/// Returns whether the fleet is known to be so small that each instance can read the platform when all start together.
pub(crate) fn is_small_fleet(state: &FeedState) -> bool {
    is_fleet_size_known(state) && known_instances(state) <= SMALL_FLEET_INSTANCES
}

fn is_fleet_size_known(state: &FeedState) -> bool {
    let listed = state.directory.as_ref();
    state.has_instance_list || listed.is_some_and(|directory| directory.fleet_instances > 0)
}

/// Returns whether the list of instances has as many as the directory says that the fleet has.
pub fn is_instance_list_complete(feed: &Feed) -> bool {
    feed.state.with(0, |state| {
        let listed = state.directory.as_ref();
        let fleet_instances = listed.map_or(0, |directory| directory.fleet_instances);
        fleet_instances > 0 && member::queries::instance_count(&state.view) >= fleet_instances
    })
}

/// Returns the number of instances in the fleet, as far as it is known by the list or by the directory.
pub(crate) fn known_instances(state: &FeedState) -> usize {
    let listed = state.directory.as_ref();
    let listed = listed.map_or(0, |directory| directory.fleet_instances);
    listed.max(member::queries::instance_count(&state.view))
}

/// Returns whether the configuration is young enough that every newer one can still be on its way.
pub fn is_config_current(feed: &Feed) -> bool {
    let as_of_ms = feed.state.with(0, |state| state.config_as_of_ms);
    as_of_ms.is_some_and(|as_of_ms| feed.now_ms() < as_of_ms + CONFIG_CURRENT_MS)
}

/// Returns whether this instance has a configuration, and data that it need not refresh.
pub(crate) fn has_fresh_data(feed: &Feed) -> bool {
    data_age_ms(feed) < REFRESH_AGE_MS && (feed.hooks.active_config_version)() > 0
}

/// Returns the age of the older of server list and configuration, in milliseconds: the time since the platform was
/// read, here or by another instance.
fn data_age_ms(feed: &Feed) -> u64 {
    let now_ms = feed.now_ms();
    feed.state.with(0, |state| {
        let ages_ms = [state.servers_as_of_ms, state.config_as_of_ms];
        let ages_ms = ages_ms.map(|as_of_ms| age_ms(as_of_ms, now_ms));
        ages_ms[0].max(ages_ms[1])
    })
}

/// Returns the age of data that is current as of a time, in milliseconds; [`UNKNOWN_AGE_MS`] without data.
pub(super) fn age_ms(as_of_ms: Option<u64>, now_ms: u64) -> u64 {
    as_of_ms.map_or(UNKNOWN_AGE_MS, |as_of_ms| now_ms.saturating_sub(as_of_ms))
}

/// Returns the age of the older of server list and configuration as other instances are told it, in milliseconds.
pub fn source_age_ms(feed: &Feed) -> u64 {
    server_age_ms(feed).max(config_age_ms(feed))
}

/// Returns the age of the server list, in milliseconds. While this instance fails to read it from the platform and no other
/// instance refreshes it, the age is at least that of stale data, so that others need not wait until it has aged.
pub(crate) fn server_age_ms(feed: &Feed) -> u64 {
    stated_age_ms(feed, SERVER_LIST)
}

/// Returns the age of the configuration, in milliseconds, as [`server_age_ms`] does for the list.
pub fn config_age_ms(feed: &Feed) -> u64 {
    stated_age_ms(feed, CONFIG_LIST)
}

fn stated_age_ms(feed: &Feed, list: &'static str) -> u64 {
    let now_ms = feed.now_ms();
    feed.state.with(0, |state| {
        let floor_ms = if is_failing(state, list, now_ms) {
            STALE_AFTER_MS
        } else {
            0
        };
        age_ms(as_of_list_ms(state, list), now_ms).max(floor_ms)
    })
}

fn as_of_list_ms(state: &FeedState, list: &'static str) -> Option<u64> {
    if list == CONFIG_LIST {
        state.config_as_of_ms
    } else {
        state.servers_as_of_ms
    }
}

/// Returns whether this instance fails to read a list from the platform and its data has aged meanwhile.
pub(super) fn is_failing(state: &FeedState, list: &'static str, now_ms: u64) -> bool {
    state.failing_lists.contains(list)
        && age_ms(as_of_list_ms(state, list), now_ms) >= FAILING_AGE_MS
}
