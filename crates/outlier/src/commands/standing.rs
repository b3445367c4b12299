//! Plans trials and notes the begin and end of ejections.

use {
    crate::{Health, Sensitivity},
    types::{doubled_ms, ServerIndex},
};

/// Time for which a first ejection is renewed, in milliseconds; it doubles with each further one.
const HOLD_FIRST_MS: u64 = 5_000;
/// Longest time for which an ejection is renewed, in milliseconds.
const HOLD_MAX_MS: u64 = 300_000;
/// Ratio below the ejection threshold at which a returning server starts, in natural-log units.
const RETURN_MARGIN_LLR: f64 = 1.0;

/// Returns the suspects whose next trial is due and plans the one after.
pub fn plan_trials(health: &mut Health, now_ms: u64) -> Vec<ServerIndex> {
    let mut due = Vec::new();
    for (index, entry) in health.servers.iter_mut() {
        if entry.suspect && entry.trial_ms <= now_ms {
            entry.trial_ms = now_ms + entry.trial_interval_ms;
            due.push(index);
        }
    }
    due
}

/// Notes that an ejection of `server` is in force.
pub fn begin_ejection(health: &mut Health, server: ServerIndex, now_ms: u64) {
    if let Some(entry) = health.servers.get_mut(server) {
        let hold_ms = doubled_ms(HOLD_FIRST_MS, entry.ejection_count, HOLD_MAX_MS);
        entry.ejection_count += 1;
        entry.hold_until_ms = now_ms + hold_ms;
        entry.suspect = true;
    }
}

/// Notes that `server` returned: a suspect that one more bad outcome ejects again.
pub fn end_ejection(
    health: &mut Health,
    server: ServerIndex,
    sensitivity: Sensitivity,
    now_ms: u64,
) {
    if let Some(entry) = health.servers.get_mut(server) {
        entry.llr = sensitivity.eject_llr - RETURN_MARGIN_LLR;
        entry.suspect = true;
        entry.suspected_ms = now_ms;
        entry.goods_needed = entry.goods_needed.max(1);
        entry.good_in_row = 0;
        entry.trial_ms = now_ms;
        entry.trial_interval_ms = entry.trial_interval_ms.max(1);
    }
}
