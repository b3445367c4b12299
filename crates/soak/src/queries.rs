//! Queries: what callers and backend servers saw, held against the promises.

use {
    crate::{
        cluster::{Cluster, Disruption, Instance, Observations, RequestOutcome},
        commands::send_request,
    },
    hyper::Method,
    hyper_util::{client::legacy::Client, rt::TokioExecutor},
    std::time::{Duration, Instant},
};

/// Time after which a server that leaves gets no new work, in milliseconds: the users' two seconds, and the length of a
/// request that was under way.
const LEAVING_MS: u64 = 3_500;
/// Time around a request in which a disruption may explain what it met, in milliseconds.
const AROUND_MS: u64 = 2_500;
/// Requests sent to each instance at the end.
const LAST_ASKS: usize = 20;
/// Share of them that must be served, in percent; the servers are well again by then.
const LAST_SERVED_PERCENT: usize = 90;
/// Sentences reported of one kind.
const REPORTED: usize = 3;

/// Tells whether what a caller saw breaks a promise.
type Check<'a> = &'a dyn Fn(&RequestOutcome) -> bool;

/// Seeds that failed before, from `seeds/regressions.txt`.
pub(crate) fn regression_seeds() -> Vec<u64> {
    let text = include_str!("../seeds/regressions.txt");
    let lines = text.lines().filter(|line| !line.starts_with('#'));
    lines
        .filter_map(|line| line.split_whitespace().next()?.parse().ok())
        .collect()
}

/// Tells whether an instance says that it is ready.
pub(crate) async fn is_ready(instance: &Instance) -> bool {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let answer = send_request(
        &client,
        instance.admin_address,
        Method::GET,
        "/ready",
        "ready",
    )
    .await;
    answer.is_some_and(|(status, _, _)| status == 200)
}

/// Asks each instance at the end for the newest configuration's route and for orders; returns what it lacks.
pub(crate) async fn check_recovery(cluster: &Cluster, version: u64) -> Vec<String> {
    let mut broken = Vec::new();
    for (number, instance) in cluster.instances.iter().enumerate() {
        let client = Client::builder(TokioExecutor::new()).build_http();
        let newest = format!("/v{version}/x");
        let mut served = 0;
        let mut is_known = false;
        for count in 0..LAST_ASKS {
            let id = format!("last-{number}-{count}");
            let asked =
                send_request(&client, instance.caller_address, Method::GET, &newest, &id).await;
            let status = asked.map(|(status, _, _)| status);
            served += usize::from(status == Some(200));
            is_known |= status.is_some_and(|status| status != 404);
        }
        if !is_known {
            broken.push(format!(
                "CONFIG: instance {number} does not know version {version}"
            ));
        } else if served * 100 < LAST_ASKS * LAST_SERVED_PERCENT {
            broken.push(format!(
                "RECOVER: instance {number} serves {served} of {LAST_ASKS}"
            ));
        }
    }
    broken
}

/// Returns every promise that was broken, a few sentences of each kind.
pub(crate) fn invariant_violations(cluster: &Cluster) -> Vec<String> {
    let observations = cluster.observations();
    let mut broken = Vec::new();
    let checks: [(&str, Check<'_>); 4] = [
        ("TWICE: an order ran more than once", &|outcome| {
            outcome.is_order && cluster.execution_count(&outcome.id) > 1
        }),
        (
            "REFUSED: an order was refused as not run, and ran",
            &|outcome| {
                let refused = outcome
                    .status
                    .is_some_and(|status| [408, 421, 429, 503].contains(&status));
                outcome.is_order && refused && cluster.execution_count(&outcome.id) > 0
            },
        ),
        (
            "MIXED: a success is not the request's own whole answer",
            &|outcome| !outcome.is_own_response,
        ),
        (
            "LOST: a request was broken off around a planned stop alone",
            &|outcome| outcome.status.is_none() && is_lost(&observations, outcome),
        ),
    ];
    for (sentence, is_broken) in checks {
        let found = observations
            .outcomes
            .iter()
            .filter(|outcome| is_broken(outcome));
        for outcome in found.take(REPORTED) {
            broken.push(format!(
                "{sentence}: {} at instance {}, status {:?}, after {} ms",
                outcome.id,
                outcome.instance,
                outcome.status,
                (outcome.ended_at - outcome.sent_at).as_millis()
            ));
        }
    }
    broken.extend(late_work(cluster, &observations));
    broken
}

/// A connection that ended without an answer is the instance's fault unless it was killed or paused around then, or a
/// server was disrupted. A request on a kept connection that crosses its close was not read.
fn is_lost(observations: &Observations, outcome: &RequestOutcome) -> bool {
    let around = |disruption: &&Disruption| {
        disruption.started_at < outcome.ended_at + Duration::from_millis(AROUND_MS)
            && disruption.ends_at + Duration::from_millis(AROUND_MS) > outcome.sent_at
    };
    let excuses = |disruption: &Disruption| match disruption.kind {
        "kill" | "pause" => disruption.target == Some(outcome.instance),
        // The request may never have been read: its connection was closing, or nobody listens between stop and start.
        "stop" => disruption.target == Some(outcome.instance) && !was_at_work(outcome),
        kind => kind.starts_with("server") && kind != "server leaves",
    };
    !observations.disruptions.iter().filter(around).any(excuses)
}

/// Longer than a refused or crossed connection takes.
fn was_at_work(outcome: &RequestOutcome) -> bool {
    outcome.ended_at - outcome.sent_at > Duration::from_millis(15)
}

/// Work that reached a server long after it said that it leaves, with no disruption of the store since.
fn late_work(cluster: &Cluster, observations: &Observations) -> Vec<String> {
    let mut broken = Vec::new();
    for (number, since) in &observations.draining {
        let limit = *since + Duration::from_millis(LEAVING_MS);
        let arrivals = cluster.servers[*number].backend.arrivals();
        let late = arrivals.iter().filter(|arrival| {
            arrival.received_at > limit
                && !is_store_disrupted(observations, *since, arrival.received_at)
        });
        let count = late.count();
        if count > 0 {
            broken.push(format!(
                "DRAIN: {count} requests reached server {number} after it said that it leaves"
            ));
        }
    }
    broken
}

fn is_store_disrupted(observations: &Observations, since: Instant, until: Instant) -> bool {
    observations.disruptions.iter().any(|disruption| {
        let hears = ["stop", "kill", "pause"].contains(&disruption.kind)
            || disruption.kind.starts_with("store");
        hears
            && disruption.started_at < until
            && disruption.ends_at + Duration::from_millis(AROUND_MS) > since
    })
}
