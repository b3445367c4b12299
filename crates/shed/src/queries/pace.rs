//! Whether a first try may be sent to servers that reject some of them.

use crate::{
    pace::{Pace, Phase},
    queries::rejected_permille,
    Admission,
};

/// Share of rejections from which servers are said to reject, in thousandths. Below it, the retry budget (a fifth of the
/// requests) pays for all.
pub(crate) const REJECTING_PERMILLE: u32 = 200;
/// Time for which unused tries are kept, in seconds; twice the interval of the owner's maintenance, which wakes waiters.
const TOKENS_KEPT_S: f64 = 0.05;

/// Returns whether a first try may be sent now, as far as the rejections of servers are concerned.
pub fn may_send(admission: &Admission, now_ms: u64) -> bool {
    admission.pace.phase == Phase::Free || tokens(&admission.pace, now_ms) >= 1.0
}

/// Returns whether servers reject so many attempts that first tries are, or may soon be, held back.
pub fn is_rejecting(admission: &Admission, now_ms: u64) -> bool {
    admission.pace.phase != Phase::Free
        || rejected_permille(admission, now_ms) >= REJECTING_PERMILLE
}

/// Returns the first tries that may be sent a second, or `None` if they are not held back.
pub fn paced_per_s(admission: &Admission) -> Option<f64> {
    (admission.pace.phase != Phase::Free).then_some(admission.pace.rate_per_s)
}

/// Returns the first tries that may be sent at once.
pub(crate) fn tokens(pace: &Pace, now_ms: u64) -> f64 {
    let elapsed_s = now_ms.saturating_sub(pace.refilled_ms) as f64 / 1_000.0;
    let kept = (pace.rate_per_s * TOKENS_KEPT_S).max(1.0);
    (pace.tokens + pace.rate_per_s * elapsed_s).min(kept)
}
