//! Applies the limits on requests a second that servers name.

use {
    crate::PoolState,
    permit::commands::{add_time_share, set_rate_limit},
    types::ServerIndex,
};

/// A limit that a server has named to an instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NamedLimit<'a> {
    /// Name of the server.
    pub server: &'a str,
    /// Requests that it takes from all instances together, in thousandths of a request a second.
    pub limit_milli: u64,
    /// Start of the process that named it, in Unix milliseconds; 0 if not known.
    pub started_at_ms: u64,
    /// Time at which it did, in milliseconds of the owner's clock.
    pub named_ms: u64,
}

/// What an instance that acquires a slot passes on about servers with limits.
#[derive(Clone, Copy, Debug, Default)]
pub struct LimitShare<'a> {
    /// Limits that servers have named to it. An owner that knows them grants that instance nothing beyond them.
    pub limits: &'a [NamedLimit<'a>],
    /// Time whose part of the limits it passes on, in milliseconds.
    pub share_ms: u64,
    /// Number of instances among which the limits are divided; 0 if it passes on nothing.
    pub instances: u32,
}

/// Applies what an instance passes on, before it acquires a slot.
pub fn apply_limit_share(state: &mut PoolState, share: &LimitShare<'_>, now_ms: u64) {
    for limit in share.limits {
        let Some(index) = state.pool.names.find(limit.server) else {
            continue;
        };
        let started_at_ms = state.server_meta.get(index).map(|meta| meta.started_at_ms);
        if started_at_ms == Some(limit.started_at_ms) {
            set_limit(state, index, limit.limit_milli, limit.named_ms);
        }
    }
    if add_time_share(&mut state.pool, share.share_ms, share.instances, now_ms) {
        state.wake_first_waiter(now_ms);
    }
}

/// Records the limit with which a server answered the request of a permit, in thousandths of a request a second; 0 if it
/// named none.
pub fn record_limit(state: &mut PoolState, server: &str, limit_milli: u64, now_ms: u64) {
    if let Some(index) = state.pool.names.find(server) {
        set_limit(state, index, limit_milli, now_ms);
    }
}

/// Sets a server's limit unless the server has said something else since `named_ms`.
fn set_limit(state: &mut PoolState, index: ServerIndex, limit_milli: u64, named_ms: u64) {
    let Some(meta) = state.server_meta.get_mut(index) else {
        return;
    };
    if named_ms >= meta.limit_named_ms {
        meta.limit_named_ms = named_ms;
        set_rate_limit(&mut state.pool, index, limit_milli);
    }
}
