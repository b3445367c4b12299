//! Commands: functions that change the state of a pool at its owner.

mod acquire;
mod admission;
mod apply;
mod limits;
mod maintenance;
mod merge;
mod release;

pub use self::{
    acquire::{acquire, AcquireOutcome, AcquireRequest, RefusalReason, QUEUE_WAIT_MS},
    admission::take_admission_report,
    apply::{apply_server_list, apply_service_config, update_standings},
    limits::{apply_limit_share, record_limit, LimitShare, NamedLimit},
    maintenance::{record_in_flight, run_maintenance, take_standing_changes, StandingChange},
    merge::merge_snapshot,
    release::{release, Release},
};
