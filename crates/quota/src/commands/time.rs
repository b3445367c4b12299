//! Passes time on and gathers it.

use {
    crate::{
        terms::VALID_MAX_MS, time::INTERVAL_MS, KnownFleet, PeerClock, TimeLedger, TimePart,
        TimePot, TimeShare,
    },
    permit::commands::record_fleet_size,
};

/// Time for which an instance that is no longer listed keeps its part of the time, in milliseconds. An instance that is cut
/// off keeps passing its part on, while the others stop listing it after some seconds; partitions last 12 s.
const FLEET_WINDOW_MS: u64 = 15_000;
/// Time for which the list of a new process must not have grown before it counts as complete, in milliseconds; until then the
/// process may know only half of the others. Instances announce themselves within a second or two of a common start.
const SETTLED_MS: u64 = 2_000;
/// Time after the start of a process from which its list counts as complete in any case, in milliseconds; a fleet grows at any
/// time.
const NEW_PROCESS_MS: u64 = 15_000;
/// Longest time that an instance passes on at once, in milliseconds. It passes time on several times a second; after a longer
/// time it stood still, or reached nobody, and the number of instances that it knows may be that of a smaller fleet.
const SPAN_MAX_MS: u64 = 1_000;
/// Ages up to which time is passed on in steps of this many milliseconds; what is older is passed on in longer steps.
const AGE_STEPS_MS: [(u64, u64); 3] = [(500, INTERVAL_MS), (2_000, 250), (u64::MAX, 1_000)];

/// Returns the time since this instance last passed its part on, and counts it as passed on. `fleet` is what it knows of the
/// other instances at `uptime_ms` after the start of its process.
pub fn take_share(ledger: &mut TimeLedger, fleet: KnownFleet, uptime_ms: u64) -> TimeShare {
    let instances = record_fleet_size(
        &mut ledger.size,
        fleet.instances,
        FLEET_WINDOW_MS,
        uptime_ms,
    );
    let since_ms = uptime_ms.saturating_sub(ledger.passed_ms);
    ledger.passed_ms = ledger.passed_ms.max(uptime_ms);
    if fleet.instances > ledger.largest.0 {
        ledger.largest = (fleet.instances, uptime_ms);
    }
    let is_new = !fleet.is_complete
        && uptime_ms < NEW_PROCESS_MS
        && uptime_ms < ledger.largest.1 + SETTLED_MS;
    TimeShare {
        span_ms: if since_ms > SPAN_MAX_MS { 0 } else { since_ms },
        instances: if is_new { 2 * instances } else { instances },
    }
}

/// Records the clock of another instance, as its response stated it.
pub fn record_clock(ledger: &mut TimeLedger, peer: &str, clock: PeerClock) {
    match ledger.clocks.get_mut(peer) {
        Some(known) => *known = clock,
        None => {
            ledger.clocks.insert(peer.to_owned(), clock);
        }
    }
}

/// Forgets the clock of an instance that did not respond. The next message to it then carries no time, which would be lost if it
/// still does not respond.
pub fn forget_clock(ledger: &mut TimeLedger, peer: &str) {
    ledger.clocks.remove(peer);
}

/// Adds time that ended `age_ms` before `now_ms`.
pub fn add_share(pot: &mut TimePot, share: TimeShare, age_ms: u64, now_ms: u64) {
    if share.instances == 0 {
        return;
    }
    let end_ms = now_ms.saturating_sub(age_ms);
    let oldest_ms = end_ms.saturating_sub(share.span_ms.min(VALID_MAX_MS));
    let mut begin_ms = oldest_ms.max(now_ms.saturating_sub(VALID_MAX_MS));
    while begin_ms < end_ms {
        let interval = begin_ms / INTERVAL_MS;
        let next_ms = ((interval + 1) * INTERVAL_MS).min(end_ms);
        let time_ns = (next_ms - begin_ms) * 1_000_000 / u64::from(share.instances);
        *pot.intervals.entry(interval).or_default() += time_ns;
        begin_ms = next_ms;
    }
}

/// Takes the gathered time, with ages that are never too low.
pub fn take_parts(pot: &mut TimePot, now_ms: u64) -> Vec<TimePart> {
    let mut parts: Vec<TimePart> = Vec::new();
    for (interval, time_ns) in std::mem::take(&mut pot.intervals) {
        let age_ms = coarse_age_ms(now_ms.saturating_sub(interval * INTERVAL_MS));
        if age_ms > VALID_MAX_MS {
            continue;
        }
        match parts.last_mut().filter(|last| last.age_ms == age_ms) {
            Some(last) => last.time_ns += time_ns,
            None => parts.push(TimePart { age_ms, time_ns }),
        }
    }
    parts
}

/// Puts back time that is known not to have left this instance; `age_ms` is the time since it was taken.
pub fn add_parts(pot: &mut TimePot, parts: &[TimePart], age_ms: u64, now_ms: u64) {
    for part in parts {
        let oldest_ms = now_ms.checked_sub(part.age_ms + age_ms);
        if let Some(oldest_ms) = oldest_ms {
            let interval = oldest_ms / INTERVAL_MS;
            *pot.intervals.entry(interval).or_default() += part.time_ns;
        }
    }
}

fn coarse_age_ms(age_ms: u64) -> u64 {
    let step_ms = AGE_STEPS_MS
        .iter()
        .find(|(up_to_ms, _)| age_ms <= *up_to_ms)
        .map_or(INTERVAL_MS, |(_, step_ms)| *step_ms);
    age_ms.div_ceil(step_ms) * step_ms
}
