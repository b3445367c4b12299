//! Reports what was refused.

use crate::{queries, Admission, RefusalCounts, Report, Transition};

/// Time without a refusal after which a pool has ended to refuse, in milliseconds. It bounds the log lines of a pool to two
/// in that time.
const QUIET_MS: u64 = 2_000;

/// Returns what has happened since the last call, or `None` if nothing has.
pub fn take_report(admission: &mut Admission, now_ms: u64) -> Option<Report> {
    let state = &mut admission.report;
    let refused = std::mem::take(&mut state.refused);
    let episode = state.episode;
    let is_quiet = now_ms >= state.last_refused_ms + QUIET_MS;
    let transition = match (state.is_refusing, refused.total() > 0) {
        (false, true) => Some(Transition::Began),
        (true, false) if is_quiet => Some(Transition::Ended),
        _ => None,
    };
    if let Some(transition) = transition {
        state.is_refusing = transition == Transition::Began;
        if transition == Transition::Ended {
            state.episode = RefusalCounts::default();
        }
    }
    (refused.total() > 0 || transition.is_some()).then(|| Report {
        refused,
        transition,
        episode,
        drain_per_s: queries::drain_per_s(admission, now_ms),
        rejected_permille: queries::rejected_permille(admission, now_ms),
    })
}
