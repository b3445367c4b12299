//! Queries over evidence and ejections; none of them changes anything.

mod belief;
mod compare;
mod floor;

pub(crate) use self::compare::known_tail_us;
pub use self::{
    belief::{cost_permille, faded_belief, failing_odds, failing_share},
    compare::{
        hedge_limit_us, judge, late_limit_us, peer_bad_share, peer_usual_us, stands_out, usual_us,
        worked_shares,
    },
    floor::{
        counted, counted_names, last_accepted, next_offset, obeyed, obeyed_names, proved_slots,
    },
};
