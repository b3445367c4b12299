//! Counts and logs what the owner of a pool refuses.

use {
    crate::Node,
    log::info,
    owner::{commands::take_admission_report, PoolState},
    permit::queries::{queue_length, valid_credit_milli},
    serde_json::json,
    shed::{queries::paced_per_s, RefusalCounts, Transition},
};

/// Counts the requests that were refused since the last call, and logs when the pool begins and ends to refuse.
pub(crate) fn report_admission(node: &Node, state: &mut PoolState, now_ms: u64) {
    let Some(report) = take_admission_report(state, now_ms) else {
        return;
    };
    for (reason, count) in by_reason(&report.refused) {
        let labels = [state.service.as_str(), reason];
        let counter = node.metrics.admission_refusals.with_label_values(&labels);
        counter.inc_by(count);
    }
    let Some(transition) = report.transition else {
        return;
    };
    let change = match transition {
        Transition::Began => "begins to refuse",
        Transition::Ended => "ended to refuse",
    };
    let mut line = json!({
        "change": change,
        "service": state.service,
        "area": state.area,
        "queue": queue_length(&state.pool),
        "drain_per_s": report.drain_per_s as u64,
        "rejected_permille": report.rejected_permille,
        "held_per_s": paced_per_s(&state.admission).map(|per_s| per_s as u64),
        "retry_credit_milli": valid_credit_milli(&state.retry_budget, now_ms),
    });
    for (reason, count) in by_reason(&report.episode) {
        line[reason] = count.into();
    }
    info!(target: "decision.admission", "{line}");
}

fn by_reason(counts: &RefusalCounts) -> [(&'static str, u64); 4] {
    [
        ("deadline", counts.deadline),
        ("evicted", counts.evicted),
        ("no_retry_credit", counts.no_retry_credit),
        ("fair_share", counts.fair_share),
    ]
}
