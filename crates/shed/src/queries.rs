//! Queries: decisions that read what was learned and change nothing.

mod fairness;
mod order;
mod pace;
mod refusal;
mod retry;

pub(crate) use self::fairness::counts_as_usual;
pub(crate) use self::pace::{tokens, REJECTING_PERMILLE};
pub use self::{
    fairness::{owed_accounts, owed_kinds, queue_class, served_percent},
    order::{expected_work_us, rank, Rank},
    pace::{is_rejecting, may_send, paced_per_s},
    refusal::{drain_per_s, fits, rejected_permille, retry_after_ms, Backlog, ReturnTerms},
    retry::{may_retry, retry_return_ms, RetryTerms},
};
