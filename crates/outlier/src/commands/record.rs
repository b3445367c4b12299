//! Updates the detector with request outcomes and with the ages of requests in flight.

use {
    crate::{
        health::PRIOR_FAILURE_LOG_ODDS, queries, AttemptOutcome, PoolHealth, Sensitivity,
        ServerHealth, TailLatency,
    },
    types::ServerIndex,
};

/// Weight of a new sample in the moving average of the bad outcome rate.
const BAD_OUTCOME_WEIGHT: f64 = 0.1;
/// Minimum fraction by which one sample moves the running median; the first samples move it further.
const MIN_MEDIAN_STEP: f64 = 0.05;
/// Probability of a bad outcome at a faulty server, in the likelihood ratio test.
const FAULTY_BAD_OUTCOME_RATE: f64 = 0.5;
/// Lower bound of the assumed probability of an error or an overdue request at a healthy server.
const MIN_HEALTHY_FAILURE_RATE: f64 = 0.002;
/// Lower bound of the assumed probability of a late response at a healthy server.
const MIN_HEALTHY_LATE_RATE: f64 = 0.02;
/// Log-likelihood ratio of a shed response, in nats. Small, because two instances that own the pool at once can
/// overload a healthy server.
const SHED_LLR: f64 = 0.3;
/// Probability that a faulty server fails a request, in the failure odds; faulty servers fail most requests, not all.
const FAULTY_FAILURE_RATE: f64 = 0.85;
/// Log-likelihood ratio of a failed connection attempt, in nats. Small, because a network partition between two
/// machines can cause it.
const UNREACHABLE_LLR: f64 = 1.5;
/// Bound on the absolute failure log odds, so that a long history can't mask a change in behaviour.
const MAX_FAILURE_LOG_ODDS: f64 = 4.0;
/// Time after the start of a first suspicion before the decay of the log odds may clear it, in milliseconds: the time
/// of a few normal responses.
const INITIAL_MIN_SUSPICION_MS: u64 = 500;
/// Upper bound of the time before the decay may clear a suspicion, which doubles while the server flaps, in
/// milliseconds.
const MAX_MIN_SUSPICION_MS: u64 = 8_000;
/// Factor applied to the peers' bad outcome rate before it is taken as the rate of a healthy server.
const PEER_RATE_FACTOR: f64 = 1.5;
/// Fraction of complete responses that exceed the tail latency of the pool.
const TAIL_FRACTION: f64 = 0.05;
/// Step of the running percentile: a longer response raises it by nearly this fraction, a shorter one lowers it by a
/// twentieth of that.
const TAIL_STEP: f64 = 0.08;
/// Complete responses needed before the tail latency is used.
pub(crate) const MIN_TAIL_SAMPLES: u64 = 20;
/// Lower bound of the tail latency that request ages are compared with, in microseconds.
const MIN_TAIL_US: f64 = 10_000.0;
/// Multiple of the pool's tail latency from which a request in flight counts against its server. The percentile covers
/// a mixture of request kinds, and many requests of the slower kind exceed it.
const IN_FLIGHT_LATE_FACTOR: f64 = 2.0;
/// Lower bound of the probability that a request at a healthy server is still running, since a few always take long.
const MIN_SURVIVAL: f64 = 0.005;
/// Number of first responses of a new server of which late ones are not recorded as bad outcomes.
const WARMUP_RESPONSES: u64 = 10;
/// Consecutive good outcomes that clear a first suspicion.
const INITIAL_REQUIRED_GOOD: u32 = 3;
/// Upper bound of the consecutive good outcomes that clear a suspicion.
const MAX_REQUIRED_GOOD: u32 = 24;
/// Time after the start of a suspicion within which the start of another one counts as flapping, in milliseconds.
const FLAP_WINDOW_MS: u64 = 60_000;
/// Time until the first trial request to a suspect, in milliseconds; grows by a quarter with each bad outcome, such as
/// a failed trial.
const INITIAL_TRIAL_INTERVAL_MS: u64 = 1_000;
/// Divisor of the trial interval that gives its growth after a bad outcome.
const TRIAL_GROWTH_DIVISOR: u64 = 4;
/// Maximum time between trials, in milliseconds. A failed trial costs an idempotent request at most one of its
/// attempts, while every queued request misses the capacity of a server that has recovered.
const MAX_TRIAL_INTERVAL_MS: u64 = 4_000;

/// Records the outcome of one attempt at `server` and updates whether the server is a suspect.
pub fn record_outcome(
    health: &mut PoolHealth,
    server: ServerIndex,
    outcome: AttemptOutcome,
    sensitivity: Sensitivity,
    now_ms: u64,
) {
    let peer_rate = queries::peer_bad_outcome_rate(health, server);
    let late_threshold_us = queries::late_threshold_us(health);
    let Some(entry) = health.servers.get_mut(server) else {
        return;
    };
    match outcome {
        AttemptOutcome::Completed { first_byte_us } => {
            let warming_up = entry.completed_count < WARMUP_RESPONSES;
            let late = late_threshold_us.is_some_and(|limit_us| first_byte_us as f64 > limit_us);
            update_median(entry, first_byte_us);
            update_tail_latency(&mut health.tail_latency, first_byte_us);
            if late && !warming_up {
                record_bad(entry, peer_rate, MIN_HEALTHY_LATE_RATE);
            } else if !late {
                record_good(entry, peer_rate, now_ms);
            }
        }
        AttemptOutcome::CompletedLate { first_byte_us } => {
            update_median(entry, first_byte_us);
            update_tail_latency(&mut health.tail_latency, first_byte_us);
        }
        AttemptOutcome::Failed => record_bad(entry, peer_rate, MIN_HEALTHY_FAILURE_RATE),
        AttemptOutcome::Overdue => record_bad(entry, peer_rate, MIN_HEALTHY_FAILURE_RATE),
        AttemptOutcome::Shed => entry.llr += if peer_rate.is_some() { SHED_LLR } else { 0.0 },
        AttemptOutcome::Unreachable | AttemptOutcome::Inconclusive => {}
    }
    update_log_odds(entry, outcome, late_threshold_us, sensitivity, now_ms);
    update_suspicion(entry, peer_rate.is_some(), now_ms);
}

/// Recomputes the log-likelihood ratio of the requests in flight at `server` from their ages, in microseconds.
///
/// At a healthy server few requests exceed twice the pool's tail latency, one in twenty of those exceeds three times
/// the tail latency, and so on, down to a bound because some requests always take long. A hung request thus counts
/// against the server long before its timeout.
pub fn record_in_flight_ages(
    health: &mut PoolHealth,
    server: ServerIndex,
    ages_us: &[f64],
    now_ms: u64,
) {
    let peer_rate = queries::peer_bad_outcome_rate(health, server);
    let p95_us = queries::known_p95_us(health);
    let Some(entry) = health.servers.get_mut(server) else {
        return;
    };
    entry.in_flight_llr = if let (Some(_), Some(p95_us)) = (peer_rate, p95_us) {
        let llr = |age_us: &f64| {
            let survival = TAIL_FRACTION.powf(age_us / p95_us.max(MIN_TAIL_US) - 1.0);
            (FAULTY_BAD_OUTCOME_RATE / survival.max(MIN_SURVIVAL))
                .ln()
                .max(0.0)
        };
        let min_age_us = IN_FLIGHT_LATE_FACTOR * p95_us;
        let late_ages_us = ages_us.iter().filter(|age_us| **age_us > min_age_us);
        late_ages_us.map(llr).sum()
    } else {
        0.0
    };
    update_suspicion(entry, peer_rate.is_some(), now_ms);
}

/// Decays the failure log odds towards the prior, then adds the log-likelihood ratio of one outcome.
fn update_log_odds(
    entry: &mut ServerHealth,
    outcome: AttemptOutcome,
    late_threshold_us: Option<f64>,
    sensitivity: Sensitivity,
    now_ms: u64,
) {
    entry.failure_log_odds = queries::decayed_log_odds(entry, now_ms);
    entry.log_odds_updated_ms = now_ms;
    let baseline_rate = sensitivity.baseline_failure_rate;
    let step = match outcome {
        AttemptOutcome::Completed { first_byte_us }
            if late_threshold_us.is_some_and(|limit_us| first_byte_us as f64 > limit_us) =>
        {
            0.0
        }
        AttemptOutcome::Completed { .. } => {
            ((1.0 - FAULTY_FAILURE_RATE) / (1.0 - baseline_rate)).ln()
        }
        AttemptOutcome::Failed | AttemptOutcome::Overdue => {
            (FAULTY_FAILURE_RATE / baseline_rate).ln()
        }
        AttemptOutcome::Shed => SHED_LLR,
        AttemptOutcome::Unreachable => UNREACHABLE_LLR,
        AttemptOutcome::CompletedLate { .. } | AttemptOutcome::Inconclusive => 0.0,
    };
    entry.failure_log_odds =
        (entry.failure_log_odds + step).clamp(-MAX_FAILURE_LOG_ODDS, MAX_FAILURE_LOG_ODDS);
}

fn update_median(entry: &mut ServerHealth, first_byte_us: u64) {
    let sample_us = (first_byte_us as f64).max(1.0);
    entry.completed_count += 1;
    let step = 1.0 + (1.0 / entry.completed_count as f64).max(MIN_MEDIAN_STEP);
    entry.median_first_byte_us = if entry.median_first_byte_us == 0.0 {
        sample_us
    } else if sample_us > entry.median_first_byte_us {
        entry.median_first_byte_us * step
    } else {
        entry.median_first_byte_us / step
    };
}

/// Updates the running percentile. The first responses to arrive are the fastest ones, so the maximum is used until
/// enough samples exist.
fn update_tail_latency(tail: &mut TailLatency, first_byte_us: u64) {
    let sample_us = (first_byte_us as f64).max(1.0);
    tail.sample_count += 1;
    tail.p95_us = if tail.sample_count <= MIN_TAIL_SAMPLES {
        tail.p95_us.max(sample_us)
    } else if sample_us > tail.p95_us {
        tail.p95_us * (1.0 + TAIL_STEP * (1.0 - TAIL_FRACTION))
    } else {
        tail.p95_us * (1.0 - TAIL_STEP * TAIL_FRACTION)
    };
}

/// Returns the rate of bad outcomes to assume at a healthy server.
fn healthy_rate(peer_rate: f64, min_rate: f64) -> f64 {
    (peer_rate * PEER_RATE_FACTOR).max(min_rate)
}

/// Records a bad outcome. Without peers there is no baseline to compare with, so the log-likelihood ratio stays
/// unchanged.
fn record_bad(entry: &mut ServerHealth, peer_rate: Option<f64>, min_rate: f64) {
    entry.consecutive_good = 0;
    let grown_ms = entry.trial_interval_ms + entry.trial_interval_ms / TRIAL_GROWTH_DIVISOR;
    entry.trial_interval_ms = grown_ms.min(MAX_TRIAL_INTERVAL_MS);
    entry.bad_outcome_rate += BAD_OUTCOME_WEIGHT * (1.0 - entry.bad_outcome_rate);
    let Some(peer_rate) = peer_rate else {
        return;
    };
    let healthy = healthy_rate(peer_rate, min_rate);
    if healthy < FAULTY_BAD_OUTCOME_RATE {
        entry.llr += (FAULTY_BAD_OUTCOME_RATE / healthy).ln();
    }
}

/// Records a complete response that was not late. The log-likelihood ratio falls, but not below 0.
fn record_good(entry: &mut ServerHealth, peer_rate: Option<f64>, now_ms: u64) {
    entry.consecutive_good += 1;
    entry.last_healthy_ms = Some(now_ms);
    entry.bad_outcome_rate -= BAD_OUTCOME_WEIGHT * entry.bad_outcome_rate;
    let healthy = healthy_rate(peer_rate.unwrap_or(0.0), MIN_HEALTHY_LATE_RATE);
    if healthy < FAULTY_BAD_OUTCOME_RATE {
        entry.llr += ((1.0 - FAULTY_BAD_OUTCOME_RATE) / (1.0 - healthy)).ln();
    }
    entry.llr = entry.llr.max(0.0);
}

/// Makes the server a suspect when it is more likely faulty than not, provided that there are peers to compare it with.
/// Enough consecutive good outcomes clear the suspicion; so does the decay of the failure odds after
/// `suspect_until_ms`, so that a server that receives no trial requests is cleared as well.
fn update_suspicion(entry: &mut ServerHealth, has_peers: bool, now_ms: u64) {
    let likely_faulty = queries::current_log_odds(entry, now_ms) >= 0.0;
    if !entry.suspect && likely_faulty && has_peers {
        mark_suspect(entry, now_ms);
    } else if entry.suspect && entry.consecutive_good >= entry.required_consecutive_good {
        entry.suspect = false;
        entry.llr = 0.0;
        entry.failure_log_odds = entry.failure_log_odds.min(PRIOR_FAILURE_LOG_ODDS);
    } else if entry.suspect && !likely_faulty && now_ms >= entry.suspect_until_ms {
        entry.suspect = false;
    }
}

/// Starts a suspicion. While the server flaps, the required consecutive good outcomes, the time before the decay may
/// clear the suspicion and the time between trials double, each up to its bound.
fn mark_suspect(entry: &mut ServerHealth, now_ms: u64) {
    let flapping =
        entry.required_consecutive_good > 0 && now_ms - entry.suspected_at_ms < FLAP_WINDOW_MS;
    entry.required_consecutive_good = if flapping {
        (entry.required_consecutive_good * 2).min(MAX_REQUIRED_GOOD)
    } else {
        INITIAL_REQUIRED_GOOD
    };
    entry.suspect = true;
    entry.suspected_at_ms = now_ms;
    entry.trial_interval_ms = if flapping {
        (entry.trial_interval_ms * 2).clamp(INITIAL_TRIAL_INTERVAL_MS, MAX_TRIAL_INTERVAL_MS)
    } else {
        INITIAL_TRIAL_INTERVAL_MS
    };
    entry.next_trial_ms = now_ms + entry.trial_interval_ms;
    entry.min_suspicion_ms = if flapping {
        (entry.min_suspicion_ms * 2).clamp(INITIAL_MIN_SUSPICION_MS, MAX_MIN_SUSPICION_MS)
    } else {
        INITIAL_MIN_SUSPICION_MS
    };
    entry.suspect_until_ms = now_ms + entry.min_suspicion_ms;
}
