//! Checks that instances heed what servers say in their answers.

use {
    crate::cluster::{Cluster, Observations, RequestOutcome},
    standin::Arrival,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Time after an answer that says that its server is leaving from which callers' requests must not reach it, in
/// milliseconds.
const LEAVING_GRACE_MS: u64 = 2_000;
/// Time after a server's `Retry-After` from which its requests count, in milliseconds.
const UNWANTED_GRACE_MS: u64 = 500;
/// Requests that may reach a server while it wants none.
const UNWANTED_MAX: usize = 2;
/// Disruptions of an instance that excuse it: what it heard is forgotten or was handled late.
const RESTARTS_AND_PAUSES: [&str; 3] = ["stop", "kill", "pause"];
/// Disruptions of a server that keep its answers from the instances.
const LOST_ANSWERS: [&str; 3] = ["server silent", "server reset", "server delayed"];

/// Returns the requests that reached a server which was leaving by an answer that the same instance had passed on.
pub(super) fn requests_after_leaving_answer(
    cluster: &Cluster,
    observations: &Observations,
) -> Vec<String> {
    let outcomes = outcomes_by_id(observations);
    let mut violations = Vec::new();
    for &(server, since) in &observations.draining_by_answer {
        let name = format!("b{server}");
        // By instance: when it had first passed on an answer that said so.
        let mut told_at: HashMap<usize, Instant> = HashMap::new();
        for outcome in &observations.outcomes {
            let is_told = outcome.server.as_deref() == Some(&name) && outcome.sent_at > since;
            if is_told {
                let told_at = told_at.entry(outcome.instance).or_insert(outcome.ended_at);
                *told_at = outcome.ended_at.min(*told_at);
            }
        }
        for arrival in cluster.servers[server].backend.arrivals() {
            let Some(outcome) = outcomes.get(arrival.request_id.as_str()) else {
                continue;
            };
            let Some(&told_at) = told_at.get(&outcome.instance) else {
                continue;
            };
            let is_late = outcome.sent_at > told_at + Duration::from_millis(LEAVING_GRACE_MS);
            if is_late && !is_excused(observations, outcome.instance, told_at, arrival.received_at)
            {
                violations.push(format!(
                    "DRAIN: {} reached server {server} after instance {} had passed on that it leaves",
                    outcome.id, outcome.instance
                ));
            }
        }
    }
    violations
}

/// Returns the instances that sent a server more requests than may be while it wanted none.
pub(super) fn requests_while_unwanted(
    cluster: &Cluster,
    observations: &Observations,
) -> Vec<String> {
    let outcomes = outcomes_by_id(observations);
    let instance_of = |arrival: &Arrival| {
        let outcome = outcomes.get(arrival.request_id.as_str());
        outcome.map(|outcome| outcome.instance)
    };
    let mut violations = Vec::new();
    for (index, server) in cluster.servers.iter().enumerate() {
        let arrivals = server.backend.arrivals();
        for asking in arrivals.iter().filter(|arrival| arrival.wait_s > 0) {
            let Some(instance) = instance_of(asking) else {
                continue;
            };
            let from = asking.received_at + Duration::from_millis(UNWANTED_GRACE_MS);
            let until = asking.received_at + Duration::from_secs(asking.wait_s.into());
            let unwanted = arrivals.iter().filter(|arrival| {
                from < arrival.received_at
                    && arrival.received_at < until
                    && instance_of(arrival) == Some(instance)
            });
            let count = unwanted.count();
            let is_answer_lost = observations.has_disruption(
                &LOST_ANSWERS,
                index,
                asking.received_at,
                until,
                Duration::ZERO,
            );
            if count > UNWANTED_MAX
                && !is_answer_lost
                && !is_excused(observations, instance, asking.received_at, until)
            {
                violations.push(format!(
                    "BUDGET: {count} requests of instance {instance} reached server {index} while it wanted none"
                ));
            }
        }
    }
    violations
}

fn is_excused(observations: &Observations, instance: usize, from: Instant, until: Instant) -> bool {
    let margin = Duration::from_millis(super::DISRUPTION_MARGIN_MS);
    observations.has_disruption(&RESTARTS_AND_PAUSES, instance, from, until, margin)
}

fn outcomes_by_id(observations: &Observations) -> HashMap<&str, &RequestOutcome> {
    let outcomes = observations.outcomes.iter();
    outcomes
        .map(|outcome| (outcome.id.as_str(), outcome))
        .collect()
}
