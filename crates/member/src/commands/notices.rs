//! Records what servers have told this instance.

use crate::{notices::Said, ServerNotice, ServerNotices};

/// Longest time for which a notice counts, in milliseconds; a faulty server may ask for any time.
const NOTICE_MAX_MS: u64 = 3_600_000;

/// Records what the process of `server` that started at `started_at_ms` said at `now_ms`; returns whether it was not known.
/// A later process of that name is not leaving, but the time that an earlier one asked for still counts.
pub fn record_notice(
    notices: &mut ServerNotices,
    server: &str,
    started_at_ms: u64,
    notice: ServerNotice,
    now_ms: u64,
) -> bool {
    if notice == ServerNotice::default() && !notices.servers.contains_key(server) {
        return false;
    }
    notices.servers.retain(|_, said| {
        let has_limit = said.limit_milli > 0 && now_ms < said.limit_named_ms + NOTICE_MAX_MS;
        has_limit || now_ms < said.leaving_until_ms.max(said.wait_until_ms)
    });
    let said = notices.servers.entry(server.to_owned()).or_default();
    let previous = *said;
    if said.started_at_ms < started_at_ms {
        said.started_at_ms = started_at_ms;
        said.leaving_until_ms = 0;
        said.limit_milli = 0;
    }
    if notice.is_leaving && started_at_ms == said.started_at_ms {
        said.leaving_until_ms = now_ms + NOTICE_MAX_MS;
    }
    if started_at_ms == said.started_at_ms {
        // A limit holds for as long as the answers name it.
        said.limit_milli = notice.limit_milli.unwrap_or(0);
        said.limit_named_ms = now_ms;
    }
    if let Some(wait_ms) = notice.wait_ms {
        let until_ms = now_ms + wait_ms.min(NOTICE_MAX_MS);
        said.wait_until_ms = said.wait_until_ms.max(until_ms);
    }
    is_news(&previous, said, now_ms)
}

fn is_news(previous: &Said, said: &Said, now_ms: u64) -> bool {
    let is_new = |previous_ms, until_ms| previous_ms <= now_ms && now_ms < until_ms;
    is_new(previous.leaving_until_ms, said.leaving_until_ms)
        || is_new(previous.wait_until_ms, said.wait_until_ms)
        || previous.limit_milli != said.limit_milli
}
