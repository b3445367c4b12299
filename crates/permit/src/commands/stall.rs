//! Records that the process is active.

use crate::{
    stall::{ACTIVE_WITHIN_MS, CATCH_UP_MS},
    StallDetector,
};

/// Records that the process is active at `now_ms`; returns whether it works off what arrived while it stood still.
pub fn record_activity(detector: &mut StallDetector, now_ms: u64) -> bool {
    if now_ms > detector.active_ms + ACTIVE_WITHIN_MS {
        detector.catching_up_until_ms = now_ms + CATCH_UP_MS;
    }
    detector.active_ms = detector.active_ms.max(now_ms);
    now_ms < detector.catching_up_until_ms
}
