//! Commands: operations that change time and credit.

mod cache;
mod demand;
mod ledger;
mod time;

pub use self::{
    cache::{
        add_grants, begin_call, begin_charge, charge, evict_idle_accounts, is_call_due, refund,
        ChargeOutcome,
    },
    demand::record_demand,
    ledger::{add_time, end_refusals, take_credit, RefusalChange, TakeReceipt},
    time::{add_parts, add_share, forget_clock, record_clock, take_parts, take_share},
};
