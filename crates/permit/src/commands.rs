//! Commands that change a pool; each returns at most a receipt.

mod budget;
mod list;
mod queue;
mod take;

pub use self::{
    budget::{adopt_counts, forget_old, note_request, spend},
    list::list_server,
    queue::{drop_silent_waiters, enqueue, hear, leave_queue},
    take::{adopt_service_time, expire, give_back, mark_overdue, take, withdraw_ask},
};
