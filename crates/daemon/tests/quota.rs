//! End-to-end tests of the quotas of client accounts, with daemon processes on the store platform.

mod support;

use {
    crate::support::{send, store::StoreCluster, wait_for, Response},
    hyper::Method,
    standin::{caller_headers, AccountEntry},
    std::{sync::Arc, time::Duration},
    tokio::time::{interval, sleep, Instant, MissedTickBehavior},
};

/// Requests a second that the limited account may send.
const RATE_PER_S: f64 = 20.0;
/// Requests of a window of 5 s that the users allow at this rate: a tenth more than the quota, and 20.
const ALLOWED: usize = 130;
const WINDOW: Duration = Duration::from_secs(5);
const DEADLINE_MS: u64 = 3_000;
const LIMITED_KEY: &str = "key-of-alpha";
const UNLIMITED_KEY: &str = "key-of-beta";

/// Result of one request.
#[derive(Debug)]
struct Outcome {
    sent_at: Instant,
    status: u16,
    retry_after: String,
}

/// Starts instances with a limited and an unlimited account, and waits until new processes pass on their whole part of the
/// time.
async fn start(test: &str, count: usize) -> Arc<StoreCluster> {
    let cluster = StoreCluster::new(test, count).await;
    write_accounts(&cluster, 2, RATE_PER_S);
    for process in 0..count {
        let cluster = &cluster;
        wait_for(|| async move {
            let response = request(cluster, process, UNLIMITED_KEY, "/v2/x", "start").await;
            response.is_some_and(|response| response.status == 200)
        })
        .await;
    }
    sleep(Duration::from_secs(6)).await;
    Arc::new(cluster)
}

fn write_accounts(cluster: &StoreCluster, version: u64, rate_per_s: f64) {
    let account = |name, key, rate_per_s| AccountEntry {
        name,
        key,
        rate_per_s,
    };
    let accounts = [
        account("alpha", LIMITED_KEY, rate_per_s),
        account("beta", UNLIMITED_KEY, 0.0),
    ];
    cluster
        .store
        .put_config_with_accounts(version, 1.0, &accounts);
}

async fn request(
    cluster: &StoreCluster,
    process: usize,
    key: &str,
    path: &str,
    id: &str,
) -> Option<Response> {
    let owned = caller_headers(id, DEADLINE_MS);
    let bearer = format!("Bearer {key}");
    let mut headers: Vec<(&str, &str)> = owned
        .iter()
        .map(|(name, value)| (*name, value.as_str()))
        .collect();
    headers.push(("authorization", &bearer));
    let address = cluster.processes[process].caller;
    send(address, Method::GET, path, &headers, "").await
}

/// Sends requests at a steady rate to some instances in turn; returns their outcomes once all have ended.
async fn send_steadily(
    cluster: &Arc<StoreCluster>,
    processes: &[usize],
    key: &'static str,
    rate_per_s: f64,
    duration: Duration,
) -> Vec<Outcome> {
    let mut ticks = interval(Duration::from_secs_f64(1.0 / rate_per_s));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let begin = Instant::now();
    let mut requests = Vec::new();
    while begin.elapsed() < duration {
        ticks.tick().await;
        let cluster = Arc::clone(cluster);
        let process = processes[requests.len() % processes.len()];
        let id = format!("{key}-{}", next_id());
        requests.push(tokio::spawn(async move {
            let sent_at = Instant::now();
            let response = request(&cluster, process, key, "/read/x", &id).await;
            Outcome {
                sent_at,
                status: response.as_ref().map_or(0, |response| response.status),
                retry_after: response
                    .map(|response| response.header("retry-after").to_owned())
                    .unwrap_or_default(),
            }
        }));
    }
    let mut outcomes = Vec::new();
    for request in requests {
        outcomes.push(request.await.expect("a request that ended"));
    }
    outcomes
}

/// Returns a number that no other request of this process has.
fn next_id() -> u64 {
    use std::sync::atomic::{AtomicU64, Ordering};
    static NEXT: AtomicU64 = AtomicU64::new(1);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

fn count(outcomes: &[Outcome], status: u16) -> usize {
    let outcomes = outcomes.iter();
    outcomes.filter(|outcome| outcome.status == status).count()
}

/// Returns the most requests of any window that did not get a refusal.
fn largest_window(outcomes: &[Outcome]) -> usize {
    let ran: Vec<Instant> = outcomes
        .iter()
        .filter(|outcome| ![429, 503].contains(&outcome.status))
        .map(|outcome| outcome.sent_at)
        .collect();
    let windows = ran.iter().map(|begin| {
        let in_window = |at: &&Instant| **at >= *begin && **at < *begin + WINDOW;
        ran.iter().filter(in_window).count()
    });
    windows.max().unwrap_or_default()
}

/// Guards against refusals below the quota, more requests than the quota allows over two instances, and refusals that don't say
/// when to come again.
#[tokio::test(flavor = "multi_thread")]
async fn quota_below_and_above() {
    let cluster = start("quota-rates", 2).await;
    let below = send_steadily(&cluster, &[0, 1], LIMITED_KEY, 10.0, WINDOW).await;
    assert_eq!(count(&below, 200), below.len());
    let above = send_steadily(&cluster, &[0, 1], LIMITED_KEY, 100.0, WINDOW * 2).await;
    let refused = above.iter().filter(|outcome| outcome.status == 429);
    for outcome in refused {
        let after_s: f64 = outcome.retry_after.parse().expect("a time");
        assert!((0.0..=8.0).contains(&after_s));
    }
    assert_eq!(count(&above, 200) + count(&above, 429), above.len());
    assert!(largest_window(&above) <= ALLOWED);
    assert!(count(&above, 200) >= 150, "{} ran", count(&above, 200));
    let unlimited = send_steadily(&cluster, &[0, 1], UNLIMITED_KEY, 50.0, WINDOW / 2).await;
    assert_eq!(count(&unlimited, 429), 0);
}

/// Guards against an account whose requests are all refused, or all run, once one of the owners is gone.
#[tokio::test(flavor = "multi_thread")]
async fn quota_owner_killed() {
    let cluster = start("quota-kill", 3).await;
    cluster.processes[0].signal(libc::SIGKILL);
    let above = send_steadily(&cluster, &[1, 2], LIMITED_KEY, 60.0, WINDOW).await;
    assert!(largest_window(&above) <= ALLOWED);
    assert!(count(&above, 200) >= 30, "{} ran", count(&above, 200));
    // Two thirds of the time are left while the killed instance is still counted.
    sleep(WINDOW / 2).await;
    let below = send_steadily(&cluster, &[1, 2], LIMITED_KEY, 6.0, WINDOW).await;
    assert_eq!(count(&below, 200), below.len());
}

/// Guards against a former limit that goes on after all instances have a lower one.
#[tokio::test(flavor = "multi_thread")]
async fn quota_lowered() {
    let cluster = start("quota-lowered", 2).await;
    write_accounts(&cluster, 3, RATE_PER_S / 4.0);
    sleep(Duration::from_secs(5)).await;
    let above = send_steadily(&cluster, &[0, 1], LIMITED_KEY, 60.0, WINDOW).await;
    // A quarter of the quota, a tenth more, and 20.
    assert!(largest_window(&above) <= 47);
    assert!(count(&above, 200) >= 20, "{} ran", count(&above, 200));
}
