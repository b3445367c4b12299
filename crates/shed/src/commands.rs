//! Commands: functions that record what happens to the requests of a pool.

mod pace;
mod record;
mod report;

pub use self::{
    pace::advance_pace,
    record::{
        record_arrival, record_drained, record_ended, record_refusal, record_rejection,
        record_retry, record_sent, record_served, record_within_share,
    },
    report::take_report,
};
