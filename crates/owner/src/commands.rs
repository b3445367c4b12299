//! Commands: everything that changes a pool at its owner.

mod adopt;
mod give;
mod list;
mod look;
mod take;

pub use self::{
    adopt::{adopt, withhold_slack},
    give::{take_back, Back},
    list::{apply_service, list, restand},
    look::{look, observe_flights, take_changes, Change},
    take::{take, Ask, RetryTerms, Step, Verdict, QUEUE_WAIT_MS},
};
