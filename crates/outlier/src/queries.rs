//! Queries over evidence and ejections; none of them changes anything.

mod belief;
mod compare;
mod floor;

pub(crate) use self::compare::{known_tail_us, UsualTimes};
pub use self::{
    belief::{cost_permille, costs_permille, faded_belief, failing_odds, failing_share},
    compare::{hedge_limit_us, judge, late_limit_us, peer_bad_share, stands_out, worked_shares},
    floor::{
        counted, counted_names, last_accepted, next_offset, obeyed, obeyed_names, proved_slots,
    },
};
