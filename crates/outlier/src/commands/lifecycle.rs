//! Schedules trial requests and tracks the beginning and end of ejections.

use {
    crate::{PoolHealth, Sensitivity},
    types::{exponential_backoff_ms, ServerIndex},
};

/// Time for which a first ejection is renewed, in milliseconds; doubles with each further ejection.
const INITIAL_RENEWAL_MS: u64 = 5_000;
/// Maximum time for which an ejection is renewed, in milliseconds.
const MAX_RENEWAL_MS: u64 = 300_000;
/// Distance below the ejection threshold at which a reinstated server starts, in nats.
const REINSTATED_MARGIN_LLR: f64 = 1.0;

/// Returns the suspects that are due for a trial request and schedules the next trial of each.
pub fn take_due_trials(health: &mut PoolHealth, now_ms: u64) -> Vec<ServerIndex> {
    let mut due = Vec::new();
    for (index, entry) in health.servers.iter_mut() {
        if entry.suspect && entry.next_trial_ms <= now_ms {
            entry.next_trial_ms = now_ms + entry.trial_interval_ms;
            due.push(index);
        }
    }
    due
}

/// Records that an ejection of `server` took effect. The server is a suspect from then on. Each of its ejections is
/// renewed for twice as long as the one before, up to `MAX_RENEWAL_MS`.
pub fn begin_ejection(health: &mut PoolHealth, server: ServerIndex, now_ms: u64) {
    if let Some(entry) = health.servers.get_mut(server) {
        let renewal_ms =
            exponential_backoff_ms(INITIAL_RENEWAL_MS, entry.ejection_count, MAX_RENEWAL_MS);
        entry.ejection_count += 1;
        entry.renew_until_ms = now_ms + renewal_ms;
        entry.suspect = true;
    }
}

/// Records that `server` was reinstated. It stays a suspect and is due for a trial at once; one more bad outcome makes
/// it due for ejection again after the delay of `sensitivity`.
pub fn end_ejection(
    health: &mut PoolHealth,
    server: ServerIndex,
    sensitivity: Sensitivity,
    now_ms: u64,
) {
    if let Some(entry) = health.servers.get_mut(server) {
        entry.llr = sensitivity.eject_threshold_llr - REINSTATED_MARGIN_LLR;
        entry.suspect = true;
        entry.suspected_at_ms = now_ms;
        entry.required_consecutive_good = entry.required_consecutive_good.max(1);
        entry.consecutive_good = 0;
        entry.next_trial_ms = now_ms;
        entry.trial_interval_ms = entry.trial_interval_ms.max(1);
    }
}
