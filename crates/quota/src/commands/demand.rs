//! Records the requests of an account.

use crate::{demand::AVERAGE_S, queries::decayed_weight, DemandRate};

/// Records `count` requests at `now_ms`.
pub fn record_demand(demand: &mut DemandRate, count: u64, now_ms: u64) {
    demand.weight = decayed_weight(demand, now_ms) + count as f64 / AVERAGE_S;
    demand.updated_ms = now_ms;
}
