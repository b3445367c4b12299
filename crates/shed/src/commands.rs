//! Commands: functions that record what happens to the requests of a pool.

mod record;
mod report;

pub use self::{
    record::{
        record_arrival, record_credit, record_drained, record_ended, record_refusal,
        record_rejection, record_retry, record_sent, record_served,
    },
    report::take_report,
};
