//! Plans trials and notes the begin and end of ejections.

use {
    crate::{PoolHealth, Sensitivity},
    types::{exponential_backoff_ms, ServerIndex},
};

/// Time for which a first ejection is renewed, in milliseconds; it doubles with each further one.
const HOLD_FIRST_MS: u64 = 5_000;
/// Longest time for which an ejection is renewed, in milliseconds.
const HOLD_MAX_MS: u64 = 300_000;
/// Ratio below the ejection threshold at which a returning server starts, in natural-log units.
const RETURN_MARGIN_LLR: f64 = 1.0;

/// Returns the suspects whose next trial is due and plans the one after.
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

/// Notes that an ejection of `server` is in force.
pub fn begin_ejection(health: &mut PoolHealth, server: ServerIndex, now_ms: u64) {
    if let Some(entry) = health.servers.get_mut(server) {
        let hold_ms = exponential_backoff_ms(HOLD_FIRST_MS, entry.ejection_count, HOLD_MAX_MS);
        entry.ejection_count += 1;
        entry.renew_until_ms = now_ms + hold_ms;
        entry.suspect = true;
    }
}

/// Notes that `server` returned: a suspect that one more bad outcome ejects again.
pub fn end_ejection(
    health: &mut PoolHealth,
    server: ServerIndex,
    sensitivity: Sensitivity,
    now_ms: u64,
) {
    if let Some(entry) = health.servers.get_mut(server) {
        entry.llr = sensitivity.eject_threshold_llr - RETURN_MARGIN_LLR;
        entry.suspect = true;
        entry.suspected_at_ms = now_ms;
        entry.required_consecutive_good = entry.required_consecutive_good.max(1);
        entry.consecutive_good = 0;
        entry.next_trial_ms = now_ms;
        entry.trial_interval_ms = entry.trial_interval_ms.max(1);
    }
}
