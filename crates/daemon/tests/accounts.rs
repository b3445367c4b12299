//! Guards against API keys that stay valid after they were removed, and against keys in logs, metrics and messages, with
//! daemon processes on the store platform.

mod support;

use {
    crate::support::{send, store::StoreCluster, wait_for, Response},
    hyper::Method,
    standin::{caller_headers, AccountEntry},
    std::fs,
};

const KEY: &str = "k3y-of-the-potters";
const OTHER_KEY: &str = "k3y-of-the-glazers";
/// Deadline that the requests carry, in milliseconds.
const DEADLINE_MS: u64 = 3_000;

/// Returns the entry of an account without a limit.
fn entry<'a>(name: &'a str, key: &'a str) -> AccountEntry<'a> {
    AccountEntry {
        name,
        key,
        rate_per_s: 0.0,
    }
}

async fn send_with_key(
    cluster: &StoreCluster,
    process: usize,
    path: &str,
    key: Option<&str>,
) -> Option<Response> {
    let owned = caller_headers("request", DEADLINE_MS);
    let authorization = format!("Bearer {}", key.unwrap_or_default());
    let mut headers: Vec<(&'static str, &str)> = owned
        .iter()
        .map(|(name, value)| (*name, value.as_str()))
        .collect();
    if key.is_some() {
        headers.push(("authorization", &authorization));
    }
    let address = cluster.processes[process].caller;
    send(address, Method::GET, path, &headers, "").await
}

async fn status(cluster: &StoreCluster, process: usize, path: &str, key: Option<&str>) -> u16 {
    let response = send_with_key(cluster, process, path, key).await;
    response.map_or(0, |response| response.status)
}

async fn wait_for_version(cluster: &StoreCluster, version: u64, key: &str) {
    for process in 0..cluster.processes.len() {
        wait_for(|| async move {
            status(cluster, process, &format!("/v{version}/x"), Some(key)).await == 200
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn key_required_except_on_public_routes() {
    let cluster = StoreCluster::new("accounts-required", 2).await;
    cluster
        .store
        .put_config_with_accounts(12, 2.0, &[entry("pots", KEY)]);
    wait_for_version(&cluster, 12, KEY).await;
    for process in 0..2 {
        assert_eq!(status(&cluster, process, "/read/1", Some(KEY)).await, 200);
        assert_eq!(
            status(&cluster, process, "/read/1", Some(OTHER_KEY)).await,
            401
        );
        assert_eq!(status(&cluster, process, "/read/1", None).await, 401);
        assert_eq!(status(&cluster, process, "/open/1", None).await, 200);
    }
}

/// A removed key was valid again after an instance had restarted: neither the store's history, nor another instance, nor an
/// instance that can't reach the store may bring it back. Keys are in no log and no metric.
#[tokio::test(flavor = "multi_thread")]
async fn removed_key_after_restarts() {
    let mut cluster = StoreCluster::new("accounts-removed", 2).await;
    cluster
        .store
        .put_config_with_accounts(12, 2.0, &[entry("pots", KEY)]);
    wait_for_version(&cluster, 12, KEY).await;
    cluster
        .store
        .put_config_with_accounts(13, 2.0, &[entry("glazes", OTHER_KEY)]);
    wait_for_version(&cluster, 13, OTHER_KEY).await;
    for process in 0..2 {
        assert_eq!(status(&cluster, process, "/read/1", Some(KEY)).await, 401);
    }
    // The second instance comes back without the store and learns the configuration from the first one.
    cluster.processes[1]
        .store_proxy
        .update_knobs(|knobs| knobs.reset = true);
    cluster.processes[1].restart();
    for _ in 0..50 {
        let status = status(&cluster, 1, "/read/1", Some(KEY)).await;
        assert!([0, 401, 503].contains(&status), "status {status}");
    }
    wait_for(|| async { status(&cluster, 1, "/read/1", Some(OTHER_KEY)).await == 200 }).await;
    assert_eq!(status(&cluster, 1, "/read/1", Some(KEY)).await, 401);
    for process in &cluster.processes {
        let metrics = send(process.admin, Method::GET, "/metrics", &[], "").await;
        let metrics = metrics.expect("a response").body;
        let log = fs::read_to_string(&process.log).expect("a log file");
        for key in [KEY, OTHER_KEY] {
            assert!(!metrics.contains(key) && !log.contains(key));
        }
    }
}
