//! Commands that change evidence and ejections; each returns at most a receipt.

mod adopt;
mod fold;
mod observe;
mod standing;

pub(crate) use self::observe::TAIL_COUNT_LEAST;
pub use self::{
    adopt::{adopt, adopt_tail, Heard},
    fold::{fold, skip_to},
    observe::{observe, observe_flight},
    standing::{begin_ejection, end_ejection, plan_trials},
};
