//! End-to-end tests with daemon processes on the store platform.

mod support;

use {
    crate::support::{store::StoreCluster, wait_for, wait_ready},
    hyper::Method,
    serde_json::Value,
    standin::{GrayFault, OutageMode},
    std::{fs, path::Path, process::Command, time::Duration},
    tokio::time::sleep,
};

#[tokio::test(flavor = "multi_thread")]
async fn request_on_store() {
    let cluster = StoreCluster::new("store-path", 3).await;
    for process in 0..3 {
        let id = format!("r{process}");
        let response = cluster
            .send_request(process, Method::GET, "/read/1", &id)
            .await;
        let response = response.expect("a response");
        assert_eq!(
            (response.status, response.header("response-signature")),
            (200, id.as_str())
        );
        assert_eq!(response.header("request-id"), id);
        let order = cluster
            .send_request(process, Method::POST, "/order/1", &format!("o{id}"))
            .await;
        assert_eq!(order.expect("a response").status, 200);
        assert_eq!(cluster.execution_count(&format!("o{id}")), 1);
    }
    let not_found = cluster.send_request(0, Method::GET, "/nowhere/", "n").await;
    assert_eq!(not_found.expect("a response").status, 404);
}

#[tokio::test(flavor = "multi_thread")]
async fn configuration_reaches_all() {
    let cluster = StoreCluster::new("store-config", 3).await;
    cluster.write_config(12, 1.0);
    for process in 0..3 {
        let cluster = &cluster;
        wait_for(|| async move {
            let response = cluster
                .send_request(process, Method::GET, "/v12/x", "c")
                .await;
            response.is_some_and(|response| response.status == 200)
        })
        .await;
        let old = cluster
            .send_request(process, Method::GET, "/v1/x", "d")
            .await;
        assert_eq!(old.expect("a response").status, 404);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_server_no_new_work() {
    let cluster = StoreCluster::new("store-leaving", 2).await;
    cluster.report_server(0, "draining", 2);
    sleep(Duration::from_millis(1_500)).await;
    // An earlier write that is applied late changes nothing.
    cluster.report_server(0, "ready", 1);
    sleep(Duration::from_millis(1_000)).await;
    let before = cluster.backends[0].arrivals().len();
    for number in 0..20 {
        let response = cluster
            .send_request(number % 2, Method::GET, "/read/1", &format!("l{number}"))
            .await;
        assert_eq!(response.expect("a response").status, 200);
    }
    assert_eq!(cluster.backends[0].arrivals().len(), before);
}

/// The store does not know that the server leaves; only its answers say so.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_server_by_its_answers() {
    let cluster = StoreCluster::new("store-leaving-answers", 2).await;
    cluster.backends[0].update_knobs(|knobs| knobs.draining = true);
    for number in 0..40 {
        let response = cluster
            .send_request(number % 2, Method::GET, "/read/1", &format!("l{number}"))
            .await;
        assert_eq!(response.expect("a response").status, 200);
    }
    // One request from each instance at most, since they are sent in turn.
    let arrivals = cluster.backends[0].arrivals().len();
    assert!((1..=2).contains(&arrivals), "{arrivals} requests");
}

/// A server sheds everything and asks for no requests for a time; the other one serves. Then both do.
#[tokio::test(flavor = "multi_thread")]
async fn retry_after_of_a_server() {
    let cluster = &StoreCluster::new("store-retry-after", 1).await;
    let shed_all = |backend: usize| {
        cluster.backends[backend].update_knobs(|knobs| {
            knobs.slots = 0;
            knobs.retry_after_s = 5;
        });
    };
    let send = |id: String| async move {
        let response = cluster.send_request(0, Method::GET, "/read/1", &id).await;
        response.expect("a response")
    };
    shed_all(0);
    for number in 0..30 {
        assert_eq!(send(format!("r{number}")).await.status, 200);
        sleep(Duration::from_millis(30)).await;
    }
    assert_eq!(cluster.backends[0].arrivals().len(), 1);
    shed_all(1);
    assert_eq!(send("both".to_owned()).await.status, 503);
    for number in 0..10 {
        let refused = send(format!("b{number}")).await;
        assert_eq!(refused.status, 503);
        let retry_after_s: f64 = refused.header("retry-after").parse().expect("seconds");
        assert!(0.0 < retry_after_s && retry_after_s <= 5.0, "{refused:?}");
    }
    assert_eq!(cluster.backends[0].arrivals().len(), 1);
    assert_eq!(
        cluster.backends[1]
            .arrivals()
            .iter()
            .filter(|arrival| arrival.shed)
            .count(),
        1
    );
    cluster.backends[0].update_knobs(|knobs| knobs.slots = 4);
    sleep(Duration::from_millis(5_100)).await;
    assert_eq!(send("again".to_owned()).await.status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn address_of_another_server() {
    let cluster = StoreCluster::new("store-reuse", 1).await;
    // The record lists b0 at the address of b1, which refuses requests meant for b0.
    let entry = cluster
        .store
        .newest("keyed.servers", "b0")
        .expect("an entry");
    let moved = entry
        .replace(
            &cluster.backends[0].address.to_string(),
            &cluster.backends[1].address.to_string(),
        )
        .replace("\"sequence\":1", "\"sequence\":2");
    cluster.store.put("keyed.servers", "b0", Some(&moved));
    sleep(Duration::from_millis(1_500)).await;
    for number in 0..10 {
        let id = format!("a{number}");
        let response = cluster.send_request(0, Method::POST, "/order/1", &id).await;
        assert_eq!(response.expect("a response").status, 200);
        assert_eq!(cluster.execution_count(&id), 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_of_another_request() {
    let cluster = StoreCluster::new("store-mixed", 1).await;
    for backend in &cluster.backends {
        backend.update_knobs(|knobs| knobs.gray = GrayFault::Mixed);
    }
    let response = cluster
        .send_request(0, Method::POST, "/order/1", "mine")
        .await;
    let response = response.expect("a response");
    assert_eq!(response.status, 502);
    assert!(!response.body.contains("someone-else"), "{}", response.body);
}

#[tokio::test(flavor = "multi_thread")]
async fn request_to_a_starting_instance() {
    let mut cluster = StoreCluster::new("store-starting", 1).await;
    cluster.store.update_knobs(|knobs| knobs.slow_ms = 150);
    cluster.processes[0].restart();
    let cluster = &cluster;
    // Connections are refused until the process listens; from then on no request is refused for lack of a
    // configuration.
    wait_for(|| async move {
        let response = cluster
            .send_request(0, Method::GET, "/read/1", "first")
            .await;
        response.is_some_and(|response| {
            assert_eq!(response.status, 200, "{}", response.body);
            true
        })
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn restart_while_store_is_away() {
    let mut cluster = StoreCluster::new("store-away", 3).await;
    cluster.write_config(5, 1.0);
    sleep(Duration::from_millis(1_500)).await;
    cluster
        .store
        .update_knobs(|knobs| knobs.outage = OutageMode::Hang);
    cluster.processes[2].restart();
    wait_ready(cluster.processes[2].admin).await;
    let response = cluster.send_request(2, Method::GET, "/v5/x", "s").await;
    assert_eq!(response.expect("a response").status, 200);
    cluster
        .store
        .update_knobs(|knobs| knobs.outage = OutageMode::None);
    cluster.write_config(6, 1.0);
    let cluster = &cluster;
    wait_for(|| async move {
        let response = cluster.send_request(2, Method::GET, "/v6/x", "t").await;
        response.is_some_and(|response| response.status == 200)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stop_finishes_what_is_in_flight() {
    let cluster = StoreCluster::new("store-stop", 1).await;
    for backend in &cluster.backends {
        backend.update_knobs(|knobs| knobs.service_us = 300_000);
    }
    let sending = cluster.send_request(0, Method::POST, "/order/1", "f");
    let stopping = async {
        sleep(Duration::from_millis(50)).await;
        cluster.processes[0].signal(libc::SIGTERM);
    };
    let (response, ()) = tokio::join!(sending, stopping);
    let response = response.expect("a response");
    assert!(
        response.status == 200 || response.status == 504,
        "{}",
        response.status
    );
    wait_for(|| async { cluster.store.newest("keyed.instances", "i0").is_none() }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn reload_keeps_running() {
    let cluster = StoreCluster::new("store-reload", 1).await;
    cluster.processes[0].signal(libc::SIGHUP);
    let log = cluster.processes[0].log.clone();
    wait_for(|| async { read_log(&log).contains("\"event\":\"reload\"") }).await;
    let response = cluster.send_request(0, Method::GET, "/read/1", "h").await;
    assert_eq!(response.expect("a response").status, 200);
}

fn read_log(file: &Path) -> String {
    fs::read_to_string(file).unwrap_or_default()
}

/// Returns the commands in a section of docs/OPERATIONS.md: its indented lines that begin with `grep`.
fn documented_commands(section: &str) -> Vec<String> {
    let page = include_str!("../../../docs/OPERATIONS.md");
    let start = page.find(section).expect("the section is there");
    let rest = &page[start + section.len()..];
    let end = rest
        .find("\n### ")
        .or(rest.find("\n## "))
        .unwrap_or(rest.len());
    let lines = rest[..end]
        .lines()
        .filter_map(|line| line.strip_prefix("    "));
    lines
        .filter(|line| line.starts_with("grep"))
        .map(str::to_owned)
        .collect()
}

/// Runs a command of that page on the instances' logs for a request and a server; returns the decisions found.
fn run_command(cluster: &StoreCluster, command: &str, id: &str, server: &str) -> Vec<Value> {
    let command = command.replace("ID", id).replace("SERVER", server);
    let output = Command::new("sh")
        .arg("-c")
        .arg(&command)
        .current_dir(&cluster.dir)
        .output()
        .expect("a shell");
    let text = String::from_utf8_lossy(&output.stdout);
    let lines = text
        .lines()
        .map(|line| serde_json::from_str::<Value>(line).expect("a JSON line"));
    lines.map(|line| line["decision"].clone()).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn explain_refused() {
    let cluster = StoreCluster::new("explain-refused", 1).await;
    for backend in &cluster.backends {
        backend.update_knobs(|knobs| knobs.slots = 0);
    }
    let response = cluster
        .send_request(0, Method::POST, "/order/1", "refused-1")
        .await;
    assert_eq!(response.expect("a response").status, 503);
    sleep(Duration::from_millis(200)).await;
    let commands = documented_commands("### Refused");
    assert_eq!(commands.len(), 2, "{commands:?}");
    let end = &run_command(&cluster, &commands[0], "refused-1", "")[0];
    assert_eq!(
        (end["status"].as_u64(), end["exchanges"].as_u64()),
        (Some(503), Some(2))
    );
    let decisions = run_command(&cluster, &commands[1], "refused-1", "");
    assert!(
        decisions
            .iter()
            .any(|decision| decision["evidence"] == "not run, says the server"),
        "{decisions:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn explain_unknown_outcome() {
    let cluster = StoreCluster::new("explain-unknown", 1).await;
    for backend in &cluster.backends {
        backend.update_knobs(|knobs| knobs.gray = GrayFault::Hang);
    }
    let response = cluster
        .send_request(0, Method::POST, "/order/1", "unknown-1")
        .await;
    assert_eq!(response.expect("a response").status, 504);
    sleep(Duration::from_millis(200)).await;
    let commands = documented_commands("### Outcome unknown");
    assert_eq!(commands.len(), 3, "{commands:?}");
    let end = &run_command(&cluster, &commands[0], "unknown-1", "")[0];
    assert_eq!(
        (end["code"].as_u64(), end["status"].as_u64()),
        (Some(1402), Some(504))
    );
    let server = end["server"].as_str().expect("a server").to_owned();
    let decisions = run_command(&cluster, &commands[1], "unknown-1", &server);
    assert!(
        decisions
            .iter()
            .any(|decision| decision["server"] == server.as_str()),
        "{decisions:?}"
    );
    let beliefs = run_command(&cluster, &commands[2], "unknown-1", &server);
    assert!(
        beliefs.iter().any(|decision| decision["belief"] == "live"),
        "{beliefs:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn explain_late() {
    let cluster = StoreCluster::new("explain-late", 1).await;
    for backend in &cluster.backends {
        backend.update_knobs(|knobs| {
            knobs.service_us = 150_000;
            knobs.slots = 4;
        });
    }
    let ids: Vec<String> = (0..24).map(|number| format!("late-{number:02}")).collect();
    let requests = ids
        .iter()
        .map(|id| cluster.send_request(0, Method::GET, "/read/1", id));
    let responses = futures_util::future::join_all(requests).await;
    sleep(Duration::from_millis(200)).await;
    let commands = documented_commands("### Late");
    assert_eq!(commands.len(), 2, "{commands:?}");
    let waited = ids.iter().zip(&responses).find_map(|(id, response)| {
        let is_served = response
            .as_ref()
            .is_some_and(|response| response.status == 200);
        let end = run_command(&cluster, &commands[0], id, "")
            .first()
            .cloned()?;
        let waited_us = end["waited_us"].as_u64().unwrap_or_default();
        (is_served && waited_us > 20_000).then_some((id.clone(), waited_us))
    });
    let (id, waited_us) = waited.expect("a request that waited for a slot");
    let decisions = run_command(&cluster, &commands[1], &id, "");
    let granted = decisions
        .iter()
        .find(|decision| decision["evidence"] == "permit")
        .expect("a grant");
    let granted_us = granted["elapsed_us"].as_u64().expect("a time");
    assert!(
        granted_us.abs_diff(waited_us) < 20_000,
        "{granted_us} {waited_us}"
    );
}
