//! Read-only queries over the detector and the ejection replica.

mod capacity;
mod compare;
mod cost;

pub(crate) use self::compare::{known_p95_us, MedianLatencies};
pub use self::{
    capacity::{
        counted_out_servers, enforced_servers, healthy_slots, is_counted_out, is_enforced,
        last_accepted_offset, next_offset,
    },
    compare::{
        active_bad_outcome_rates, assess, hedge_delay_us, is_outlier, late_threshold_us,
        peer_bad_outcome_rate,
    },
    cost::{
        current_log_odds, decayed_log_odds, expected_cost_permille, expected_costs_permille,
        failure_probability,
    },
};
