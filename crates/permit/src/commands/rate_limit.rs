//! Applies the limits that servers name.

use {
    crate::{commands::add_credit, queries::has_credit, Pool, RateLimit},
    types::ServerIndex,
};

/// Sets the limit of a server, in thousandths of a request a second; 0 removes it. Credit that arose under another limit
/// is lost.
pub fn set_rate_limit(pool: &mut Pool, server: ServerIndex, limit_milli: u64) {
    let Some(server) = pool.servers.get_mut(server) else {
        return;
    };
    let known_milli = server.rate_limit.as_ref().map_or(0, |it| it.limit_milli);
    if limit_milli != known_milli {
        server.rate_limit = (limit_milli > 0).then(|| RateLimit::new(limit_milli));
        server.is_at_limit = limit_milli > 0;
    }
}

/// Turns the time that one of `instances` instances passes on into credit for each server with a limit; returns whether
/// there is any.
pub fn add_time_share(pool: &mut Pool, share_ms: u64, instances: u32, now_ms: u64) -> bool {
    let mut has_limits = false;
    for (_, server) in pool.servers.iter_mut() {
        let Some(limit) = server.rate_limit.as_mut() else {
            continue;
        };
        has_limits = true;
        let time_ms = share_ms.min(limit.share_max_ms);
        if time_ms > 0 && instances > 0 {
            let credit_micro =
                limit.limit_milli * time_ms / u64::from(instances) + limit.remainder_micro;
            limit.remainder_micro = credit_micro % 1_000;
            add_credit(&mut limit.credit, credit_micro / 1_000, now_ms);
        }
    }
    has_limits
}

/// Records for each server with a limit whether there is credit for a request.
pub fn refresh_limits(pool: &mut Pool, now_ms: u64) {
    for (_, server) in pool.servers.iter_mut() {
        if let Some(limit) = &server.rate_limit {
            server.is_at_limit = !has_credit(&limit.credit, now_ms);
        }
    }
}
