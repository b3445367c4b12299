//! Commands that change the detector and the ejection replica; each returns at most the result of its change.

mod apply;
mod lifecycle;
mod merge;
mod record;

pub(crate) use self::record::MIN_TAIL_SAMPLES;
pub use self::{
    apply::{apply_event, skip_to, start_over},
    lifecycle::{begin_ejection, end_ejection, take_due_trials},
    merge::{merge_health_snapshot, merge_tail_latency, HealthSnapshot},
    record::{record_in_flight_ages, record_outcome},
};
