//! Takes in the outcome of one request.

use {
    crate::{
        health::PRIOR_FAILURE_LOG_ODDS, queries, AttemptOutcome, PoolHealth, Sensitivity,
        ServerHealth, TailLatency,
    },
    types::ServerIndex,
};

/// Share of a new outcome in the recent share of bad outcomes.
const BAD_SHARE_WEIGHT: f64 = 0.1;
/// Least share by which one sample moves the running median; the first samples move it by more.
const MEDIAN_STEP_LEAST: f64 = 0.05;
/// Probability of a bad outcome at a faulty server.
const FAULTY_BAD_SHARE: f64 = 0.5;
/// Least probability of an error at a usual server.
const USUAL_FAILED_SHARE: f64 = 0.002;
/// Least probability of a late answer at a usual server.
const USUAL_LATE_SHARE: f64 = 0.02;
/// Weight of a shed answer, in natural-log units: two owners at once can cause it.
const SHED_LLR: f64 = 0.3;
/// Share of its work that a failing server fails; it fails part of it, and most.
const FAILING_SHARE: f64 = 0.85;
/// Weight of a connection that could not be opened, in natural-log units: a cut between two machines can cause it.
const UNREACHABLE_LLR: f64 = 1.5;
/// Bound of the belief, as log odds, so that no amount of old work hides a change.
const BELIEF_MAX: f64 = 4.0;
/// Least time as a suspect, in milliseconds: a few answers of usual length.
const SUSPECT_HOLD_FIRST_MS: u64 = 500;
/// Longest least time as a suspect, in milliseconds.
const SUSPECT_HOLD_MAX_MS: u64 = 8_000;
/// Factor by which a peer's share of bad outcomes is raised before it is taken as usual.
const PEER_SHARE_FACTOR: f64 = 1.5;
/// Share of whole answers that take longer than the pool's tail.
const TAIL_SHARE: f64 = 0.05;
/// Step of the running tail; a longer answer moves it up by nearly this share, a shorter one down by a twentieth.
const TAIL_STEP: f64 = 0.08;
/// Whole answers from which the tail is known.
pub(crate) const MIN_TAIL_SAMPLES: u64 = 20;
/// Least tail that ages are held against, in microseconds.
const TAIL_LEAST_US: f64 = 10_000.0;
/// Multiple of the pool's tail from which a request in flight speaks against its server: the tail is that of a
/// mixture, and a good part of the longer kind of work outlasts it.
const FLIGHT_FACTOR: f64 = 2.0;
/// Share of requests that may take however long at a usual server: a few always do.
const SURVIVAL_LEAST: f64 = 0.005;
/// Whole answers during which a new server may be slow.
const COLD_ANSWERS: u64 = 10;
/// Good outcomes in a row that end the first suspicion.
const GOODS_FIRST: u32 = 3;
/// Most good outcomes in a row ever asked for.
const GOODS_MAX: u32 = 24;
/// Time within which a new suspicion counts as flapping, in milliseconds.
const FLAP_WINDOW_MS: u64 = 60_000;
/// Time to the first trial of a suspect, in milliseconds; grows by a quarter with each trial that fails.
const TRIAL_FIRST_MS: u64 = 1_000;
/// Part by which the time between trials grows, as one in so many.
const TRIAL_GROWTH_ONE_IN: u64 = 4;
/// Longest time between trials, in milliseconds: a trial costs a safe request one of its tries at most, while a server
/// that works again is missed by all who wait.
const TRIAL_MAX_MS: u64 = 4_000;

/// Takes in one outcome of `server` and updates whether it is a suspect.
pub fn record_outcome(
    health: &mut PoolHealth,
    server: ServerIndex,
    evidence: AttemptOutcome,
    sensitivity: Sensitivity,
    now_ms: u64,
) {
    let peer_share = queries::peer_bad_outcome_rate(health, server);
    let late_us = queries::late_threshold_us(health);
    let Some(entry) = health.servers.get_mut(server) else {
        return;
    };
    match evidence {
        AttemptOutcome::Completed { first_byte_us } => {
            let cold = entry.completed_count < COLD_ANSWERS;
            let late = late_us.is_some_and(|limit_us| first_byte_us as f64 > limit_us);
            learn_usual(entry, first_byte_us);
            learn_tail(&mut health.tail_latency, first_byte_us);
            if late && !cold {
                bad(entry, peer_share, USUAL_LATE_SHARE);
            } else if !late {
                good(entry, peer_share, now_ms);
            }
        }
        AttemptOutcome::CompletedLate { first_byte_us } => {
            learn_usual(entry, first_byte_us);
            learn_tail(&mut health.tail_latency, first_byte_us);
        }
        AttemptOutcome::Failed => bad(entry, peer_share, USUAL_FAILED_SHARE),
        AttemptOutcome::Overdue => bad(entry, peer_share, USUAL_FAILED_SHARE),
        AttemptOutcome::Shed => entry.llr += if peer_share.is_some() { SHED_LLR } else { 0.0 },
        AttemptOutcome::Unreachable | AttemptOutcome::Inconclusive => {}
    }
    learn_belief(entry, evidence, late_us, sensitivity, now_ms);
    update_suspicion(entry, peer_share.is_some(), now_ms);
}

/// Weighs the ages of the requests in flight at `server`, given in microseconds.
///
/// At a usual server few requests outlast twice the pool's tail, one in twenty of those three times, and so on, but
/// some always do; a hung request is evidence long before its timeout.
pub fn record_in_flight_ages(
    health: &mut PoolHealth,
    server: ServerIndex,
    ages_us: &[f64],
    now_ms: u64,
) {
    let peer_share = queries::peer_bad_outcome_rate(health, server);
    let tail_us = queries::known_p95_us(health);
    let Some(entry) = health.servers.get_mut(server) else {
        return;
    };
    entry.in_flight_llr = if let (Some(_), Some(tail_us)) = (peer_share, tail_us) {
        let ratio = |age_us: &f64| {
            let survival = TAIL_SHARE.powf(age_us / tail_us.max(TAIL_LEAST_US) - 1.0);
            (FAULTY_BAD_SHARE / survival.max(SURVIVAL_LEAST))
                .ln()
                .max(0.0)
        };
        let late_us = FLIGHT_FACTOR * tail_us;
        let overdue = ages_us.iter().filter(|age_us| **age_us > late_us);
        overdue.map(ratio).sum()
    } else {
        0.0
    };
    update_suspicion(entry, peer_share.is_some(), now_ms);
}

/// Moves the belief by what one outcome says, after it has faded towards the prior.
fn learn_belief(
    entry: &mut ServerHealth,
    evidence: AttemptOutcome,
    late_us: Option<f64>,
    sensitivity: Sensitivity,
    now_ms: u64,
) {
    entry.failure_log_odds = queries::decayed_log_odds(entry, now_ms);
    entry.log_odds_updated_ms = now_ms;
    let usual_failed = sensitivity.baseline_failure_rate;
    let step = match evidence {
        AttemptOutcome::Completed { first_byte_us }
            if late_us.is_some_and(|limit_us| first_byte_us as f64 > limit_us) =>
        {
            0.0
        }
        AttemptOutcome::Completed { .. } => ((1.0 - FAILING_SHARE) / (1.0 - usual_failed)).ln(),
        AttemptOutcome::Failed | AttemptOutcome::Overdue => (FAILING_SHARE / usual_failed).ln(),
        AttemptOutcome::Shed => SHED_LLR,
        AttemptOutcome::Unreachable => UNREACHABLE_LLR,
        AttemptOutcome::CompletedLate { .. } | AttemptOutcome::Inconclusive => 0.0,
    };
    entry.failure_log_odds = (entry.failure_log_odds + step).clamp(-BELIEF_MAX, BELIEF_MAX);
}

fn learn_usual(entry: &mut ServerHealth, first_byte_us: u64) {
    let sample_us = (first_byte_us as f64).max(1.0);
    entry.completed_count += 1;
    let step = 1.0 + (1.0 / entry.completed_count as f64).max(MEDIAN_STEP_LEAST);
    entry.median_first_byte_us = if entry.median_first_byte_us == 0.0 {
        sample_us
    } else if sample_us > entry.median_first_byte_us {
        entry.median_first_byte_us * step
    } else {
        entry.median_first_byte_us / step
    };
}

/// The first answers are the shortest ones, so until some have come the tail is their longest.
fn learn_tail(tail: &mut TailLatency, first_byte_us: u64) {
    let sample_us = (first_byte_us as f64).max(1.0);
    tail.sample_count += 1;
    tail.p95_us = if tail.sample_count <= MIN_TAIL_SAMPLES {
        tail.p95_us.max(sample_us)
    } else if sample_us > tail.p95_us {
        tail.p95_us * (1.0 + TAIL_STEP * (1.0 - TAIL_SHARE))
    } else {
        tail.p95_us * (1.0 - TAIL_STEP * TAIL_SHARE)
    };
}

fn usual_share(peer_share: f64, least: f64) -> f64 {
    (peer_share * PEER_SHARE_FACTOR).max(least)
}

/// Without a peer there is nothing to compare with, so nothing is held against the server.
fn bad(entry: &mut ServerHealth, peer_share: Option<f64>, least: f64) {
    entry.consecutive_good = 0;
    let grown_ms = entry.trial_interval_ms + entry.trial_interval_ms / TRIAL_GROWTH_ONE_IN;
    entry.trial_interval_ms = grown_ms.min(TRIAL_MAX_MS);
    entry.bad_outcome_rate += BAD_SHARE_WEIGHT * (1.0 - entry.bad_outcome_rate);
    let Some(peer_share) = peer_share else {
        return;
    };
    let usual = usual_share(peer_share, least);
    if usual < FAULTY_BAD_SHARE {
        entry.llr += (FAULTY_BAD_SHARE / usual).ln();
    }
}

fn good(entry: &mut ServerHealth, peer_share: Option<f64>, now_ms: u64) {
    entry.consecutive_good += 1;
    entry.last_healthy_ms = Some(now_ms);
    entry.bad_outcome_rate -= BAD_SHARE_WEIGHT * entry.bad_outcome_rate;
    let usual = usual_share(peer_share.unwrap_or(0.0), USUAL_LATE_SHARE);
    if usual < FAULTY_BAD_SHARE {
        entry.llr += ((1.0 - FAULTY_BAD_SHARE) / (1.0 - usual)).ln();
    }
    entry.llr = entry.llr.max(0.0);
}

/// A server is a suspect while it more likely fails than not. Suspicion ends with enough good outcomes in a row,
/// or when the belief has faded and its hold has passed, so that a server without trials returns as well.
fn update_suspicion(entry: &mut ServerHealth, has_peers: bool, now_ms: u64) {
    let likely = queries::current_log_odds(entry, now_ms) >= 0.0;
    if !entry.suspect && likely && has_peers {
        suspect(entry, now_ms);
    } else if entry.suspect && entry.consecutive_good >= entry.required_consecutive_good {
        entry.suspect = false;
        entry.llr = 0.0;
        entry.failure_log_odds = entry.failure_log_odds.min(PRIOR_FAILURE_LOG_ODDS);
    } else if entry.suspect && !likely && now_ms >= entry.suspect_until_ms {
        entry.suspect = false;
    }
}

fn suspect(entry: &mut ServerHealth, now_ms: u64) {
    let flapping =
        entry.required_consecutive_good > 0 && now_ms - entry.suspected_at_ms < FLAP_WINDOW_MS;
    entry.required_consecutive_good = if flapping {
        (entry.required_consecutive_good * 2).min(GOODS_MAX)
    } else {
        GOODS_FIRST
    };
    entry.suspect = true;
    entry.suspected_at_ms = now_ms;
    entry.trial_interval_ms = if flapping {
        (entry.trial_interval_ms * 2).clamp(TRIAL_FIRST_MS, TRIAL_MAX_MS)
    } else {
        TRIAL_FIRST_MS
    };
    entry.next_trial_ms = now_ms + entry.trial_interval_ms;
    entry.min_suspicion_ms = if flapping {
        (entry.min_suspicion_ms * 2).clamp(SUSPECT_HOLD_FIRST_MS, SUSPECT_HOLD_MAX_MS)
    } else {
        SUSPECT_HOLD_FIRST_MS
    };
    entry.suspect_until_ms = now_ms + entry.min_suspicion_ms;
}
