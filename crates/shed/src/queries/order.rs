//! The order in which waiting requests are served.

use {
    crate::{queries::refusal::RUN_SERVICE_TIMES, Admission, Candidate, Kind, QueueClass},
    types::Priority,
};

/// Complete responses of a kind from which its own average is used instead of the pool's mean.
const SAMPLES_MIN: u32 = 8;

/// Position of a request in the queue; the smallest is served first: by class, by priority, those that can still meet their
/// deadline, the earliest deadline, the least work.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rank {
    class: QueueClass,
    priority: Priority,
    is_too_late: bool,
    deadline_ms: u64,
    work_us: u64,
}

impl Rank {
    /// Returns the class and the priority; a request may displace only those after it in these.
    pub fn group(&self) -> (QueueClass, Priority) {
        (self.class, self.priority)
    }
}

/// Returns the rank of a request at `now_ms`.
pub fn rank(admission: &Admission, candidate: &Candidate, mean_us: f64, now_ms: u64) -> Rank {
    let work_us = expected_work_us(admission, candidate.kind, mean_us);
    let run_ms = work_us * RUN_SERVICE_TIMES / 1_000.0;
    Rank {
        class: candidate.class,
        priority: candidate.priority,
        is_too_late: now_ms as f64 + run_ms >= candidate.deadline_ms as f64,
        deadline_ms: candidate.deadline_ms,
        work_us: work_us as u64,
    }
}

/// Returns the expected time to a complete response of a request of `kind`, in microseconds; `mean_us`, the pool's mean, while
/// the kind has too few.
pub fn expected_work_us(admission: &Admission, kind: Kind, mean_us: f64) -> f64 {
    let state = admission.kinds.iter().find(|state| state.kind == kind);
    match state {
        Some(state) if state.samples >= SAMPLES_MIN => state.work_us,
        _ => mean_us,
    }
}
