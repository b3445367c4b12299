//! Queries: check what callers and backend servers observed against the guarantees.

mod notices;
mod retries;

use {
    crate::{
        cluster::{Cluster, Disruption, Instance, Observations, RequestOutcome},
        commands::send_request,
    },
    hyper::Method,
    hyper_util::{client::legacy::Client, rt::TokioExecutor},
    std::time::{Duration, Instant},
};

/// Time after which a draining server must get no new requests, in milliseconds: the two seconds that the users allow,
/// and the deadline of a request that was in progress.
const DRAIN_TIMEOUT_MS: u64 = 3_500;
/// Time before and after a request within which a disruption may explain its outcome, in milliseconds.
const DISRUPTION_MARGIN_MS: u64 = 2_500;
/// Requests sent to each instance after the recovery time.
const FINAL_REQUESTS: usize = 20;
/// Share of the final requests that must succeed, in percent; by then all servers are healthy.
const MIN_SERVED_PERCENT: usize = 90;
/// Violations reported per check.
const MAX_REPORTED: usize = 3;

/// Returns whether an outcome violates a guarantee.
type Violates<'a> = &'a dyn Fn(&RequestOutcome) -> bool;

/// Returns the seeds of past failures, from `seeds/regressions.txt`.
pub(crate) fn regression_seeds() -> Vec<u64> {
    let text = include_str!("../seeds/regressions.txt");
    let lines = text.lines().filter(|line| !line.starts_with('#'));
    lines
        .filter_map(|line| line.split_whitespace().next()?.parse().ok())
        .collect()
}

/// Returns whether an instance reports that it is ready.
pub(crate) async fn is_ready(instance: &Instance) -> bool {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let response = send_request(
        &client,
        instance.admin_address,
        Method::GET,
        "/ready",
        "ready",
    )
    .await;
    response.is_some_and(|(status, _, _)| status == 200)
}

/// Sends requests for the route of the last configuration to each instance; returns the instances that do not know its
/// version or fail too many of the requests.
pub(crate) async fn check_recovery(cluster: &Cluster, version: u64) -> Vec<String> {
    let mut violations = Vec::new();
    for (index, instance) in cluster.instances.iter().enumerate() {
        let client = Client::builder(TokioExecutor::new()).build_http();
        let path = format!("/v{version}/x");
        let mut served = 0;
        let mut knows_version = false;
        for count in 0..FINAL_REQUESTS {
            let id = format!("last-{index}-{count}");
            let response =
                send_request(&client, instance.caller_address, Method::GET, &path, &id).await;
            let status = response.map(|(status, _, _)| status);
            served += usize::from(status == Some(200));
            knows_version |= status.is_some_and(|status| status != 404);
        }
        if !knows_version {
            violations.push(format!(
                "CONFIG: instance {index} does not know version {version}"
            ));
        } else if served * 100 < FINAL_REQUESTS * MIN_SERVED_PERCENT {
            violations.push(format!(
                "RECOVER: instance {index} serves {served} of {FINAL_REQUESTS}"
            ));
        }
    }
    violations
}

/// Returns the violations of the guarantees, up to [`MAX_REPORTED`] per check.
pub(crate) fn invariant_violations(cluster: &Cluster) -> Vec<String> {
    let observations = cluster.observations();
    let mut violations = Vec::new();
    let checks: [(&str, Violates<'_>); 4] = [
        ("TWICE: an order was executed more than once", &|outcome| {
            outcome.is_order && cluster.execution_count(&outcome.id) > 1
        }),
        (
            "REFUSED: an order was rejected as not executed, but was executed",
            &|outcome| {
                let refused = outcome
                    .status
                    .is_some_and(|status| [408, 421, 429, 503].contains(&status));
                outcome.is_order && refused && cluster.execution_count(&outcome.id) > 0
            },
        ),
        (
            "MIXED: a successful response is incomplete or belongs to another request",
            &|outcome| !outcome.is_own_response,
        ),
        (
            "LOST: a request got no complete response, and no disruption explains it",
            &|outcome| outcome.status.is_none() && is_unexplained_loss(&observations, outcome),
        ),
    ];
    for (description, violates) in checks {
        let violating = observations
            .outcomes
            .iter()
            .filter(|outcome| violates(outcome));
        for outcome in violating.take(MAX_REPORTED) {
            violations.push(format!(
                "{description}: {} at instance {}, status {:?}, after {} ms",
                outcome.id,
                outcome.instance,
                outcome.status,
                (outcome.ended_at - outcome.sent_at).as_millis()
            ));
        }
    }
    violations.extend(requests_after_drain(cluster, &observations));
    let after_leaving = notices::requests_after_leaving_answer(cluster, &observations);
    violations.extend(after_leaving.into_iter().take(MAX_REPORTED));
    let unwanted = notices::requests_while_unwanted(cluster, &observations);
    violations.extend(unwanted.into_iter().take(MAX_REPORTED));
    violations.extend(retries::excess_retries(cluster, &observations));
    violations
}

/// Returns whether a missing response is the instance's fault: no kill or pause of that instance and no server fault is
/// near the request. A stop explains the loss only if the request was not in progress.
fn is_unexplained_loss(observations: &Observations, outcome: &RequestOutcome) -> bool {
    let is_near = |disruption: &&Disruption| {
        disruption.started_at < outcome.ended_at + Duration::from_millis(DISRUPTION_MARGIN_MS)
            && disruption.ends_at + Duration::from_millis(DISRUPTION_MARGIN_MS) > outcome.sent_at
    };
    let explains_loss = |disruption: &Disruption| match disruption.kind {
        "kill" | "pause" => disruption.target == Some(outcome.instance),
        // The request may not have been read: its keep-alive connection was closing when it was sent, or no process was
        // listening between stop and restart.
        "stop" => disruption.target == Some(outcome.instance) && !was_in_progress(outcome),
        "server leaves" | "server sheds" => false,
        kind => kind.starts_with("server"),
    };
    !observations
        .disruptions
        .iter()
        .filter(is_near)
        .any(explains_loss)
}

/// Returns whether the instance was processing the request: a refused connection, and one that closes while the request
/// is sent, fail sooner than after 15 ms.
fn was_in_progress(outcome: &RequestOutcome) -> bool {
    outcome.ended_at - outcome.sent_at > Duration::from_millis(15)
}

/// Returns the servers that got requests long after they announced draining, although no disruption kept the instances
/// from learning it.
fn requests_after_drain(cluster: &Cluster, observations: &Observations) -> Vec<String> {
    let mut violations = Vec::new();
    for (index, since) in &observations.draining {
        let limit = *since + Duration::from_millis(DRAIN_TIMEOUT_MS);
        let arrivals = cluster.servers[*index].backend.arrivals();
        let late_arrivals = arrivals.iter().filter(|arrival| {
            arrival.received_at > limit
                && !were_updates_disrupted(observations, *since, arrival.received_at)
        });
        let count = late_arrivals.count();
        if count > 0 {
            violations.push(format!(
                "DRAIN: {count} requests reached server {index} after it announced draining"
            ));
        }
    }
    violations
}

/// Returns whether a disruption of an instance or of the store may have delayed updates from the store.
fn were_updates_disrupted(observations: &Observations, since: Instant, until: Instant) -> bool {
    observations.disruptions.iter().any(|disruption| {
        let delays_updates = ["stop", "kill", "pause"].contains(&disruption.kind)
            || disruption.kind.starts_with("store");
        delays_updates
            && disruption.started_at < until
            && disruption.ends_at + Duration::from_millis(DISRUPTION_MARGIN_MS) > since
    })
}
