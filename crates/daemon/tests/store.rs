//! End-to-end tests with daemon processes on the store platform.

mod support;

use {
    crate::support::{store::StoreCluster, wait_for, wait_ready},
    hyper::Method,
    serde_json::Value,
    standin::{Away, Gray},
    std::{fs, path::Path, process::Command, time::Duration},
    tokio::time::sleep,
};

#[tokio::test(flavor = "multi_thread")]
async fn request_on_store() {
    let system = StoreCluster::new("store-path", 3).await;
    for process in 0..3 {
        let id = format!("r{process}");
        let reply = system
            .send_request(process, Method::GET, "/read/1", &id)
            .await;
        let reply = reply.expect("an answer");
        assert_eq!(
            (reply.status, reply.header("response-signature")),
            (200, id.as_str())
        );
        assert_eq!(reply.header("request-id"), id);
        let order = system
            .send_request(process, Method::POST, "/order/1", &format!("o{id}"))
            .await;
        assert_eq!(order.expect("an answer").status, 200);
        assert_eq!(system.run_count(&format!("o{id}")), 1);
    }
    let lost = system.send_request(0, Method::GET, "/nowhere/", "n").await;
    assert_eq!(lost.expect("an answer").status, 404);
}

#[tokio::test(flavor = "multi_thread")]
async fn configuration_reaches_all() {
    let system = StoreCluster::new("store-config", 3).await;
    system.write_config(12, 1.0);
    for process in 0..3 {
        let system = &system;
        wait_for(|| async move {
            let reply = system
                .send_request(process, Method::GET, "/v12/x", "c")
                .await;
            reply.is_some_and(|reply| reply.status == 200)
        })
        .await;
        let old = system
            .send_request(process, Method::GET, "/v1/x", "d")
            .await;
        assert_eq!(old.expect("an answer").status, 404);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_server_no_new_work() {
    let system = StoreCluster::new("store-leaving", 2).await;
    system.report_server(0, "draining", 2);
    sleep(Duration::from_millis(1_500)).await;
    // An earlier write that is applied late changes nothing.
    system.report_server(0, "ready", 1);
    sleep(Duration::from_millis(1_000)).await;
    let before = system.backends[0].arrivals().len();
    for number in 0..20 {
        let reply = system
            .send_request(number % 2, Method::GET, "/read/1", &format!("l{number}"))
            .await;
        assert_eq!(reply.expect("an answer").status, 200);
    }
    assert_eq!(system.backends[0].arrivals().len(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn address_of_another_server() {
    let system = StoreCluster::new("store-reuse", 1).await;
    // The record lists b0 at the address of b1, which refuses requests meant for b0.
    let entry = system
        .store
        .newest("keyed.servers", "b0")
        .expect("an entry");
    let moved = entry
        .replace(
            &system.backends[0].address.to_string(),
            &system.backends[1].address.to_string(),
        )
        .replace("\"sequence\":1", "\"sequence\":2");
    system.store.put("keyed.servers", "b0", Some(&moved));
    sleep(Duration::from_millis(1_500)).await;
    for number in 0..10 {
        let id = format!("a{number}");
        let reply = system.send_request(0, Method::POST, "/order/1", &id).await;
        assert_eq!(reply.expect("an answer").status, 200);
        assert_eq!(system.run_count(&id), 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_of_another_request() {
    let system = StoreCluster::new("store-mixed", 1).await;
    for backend in &system.backends {
        backend.turn(|knobs| knobs.gray = Gray::Mixed);
    }
    let reply = system
        .send_request(0, Method::POST, "/order/1", "mine")
        .await;
    let reply = reply.expect("an answer");
    assert_eq!(reply.status, 502);
    assert!(!reply.body.contains("someone-else"), "{}", reply.body);
}

#[tokio::test(flavor = "multi_thread")]
async fn request_to_a_starting_instance() {
    let mut system = StoreCluster::new("store-starting", 1).await;
    system.store.turn(|knobs| knobs.slow_ms = 150);
    system.processes[0].restart();
    let system = &system;
    // Connections are refused until the process listens; from then on no request is refused for lack of a
    // configuration.
    wait_for(|| async move {
        let reply = system
            .send_request(0, Method::GET, "/read/1", "first")
            .await;
        reply.is_some_and(|reply| {
            assert_eq!(reply.status, 200, "{}", reply.body);
            true
        })
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn restart_while_store_is_away() {
    let mut system = StoreCluster::new("store-away", 3).await;
    system.write_config(5, 1.0);
    sleep(Duration::from_millis(1_500)).await;
    system.store.turn(|knobs| knobs.away = Away::Silent);
    system.processes[2].restart();
    wait_ready(system.processes[2].admin).await;
    let reply = system.send_request(2, Method::GET, "/v5/x", "s").await;
    assert_eq!(reply.expect("an answer").status, 200);
    system.store.turn(|knobs| knobs.away = Away::No);
    system.write_config(6, 1.0);
    let system = &system;
    wait_for(|| async move {
        let reply = system.send_request(2, Method::GET, "/v6/x", "t").await;
        reply.is_some_and(|reply| reply.status == 200)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stop_finishes_what_is_in_flight() {
    let system = StoreCluster::new("store-stop", 1).await;
    for backend in &system.backends {
        backend.turn(|knobs| knobs.service_us = 300_000);
    }
    let asking = system.send_request(0, Method::POST, "/order/1", "f");
    let stopping = async {
        sleep(Duration::from_millis(50)).await;
        system.processes[0].signal(libc::SIGTERM);
    };
    let (reply, ()) = tokio::join!(asking, stopping);
    let reply = reply.expect("an answer");
    assert!(
        reply.status == 200 || reply.status == 504,
        "{}",
        reply.status
    );
    wait_for(|| async { system.store.newest("keyed.instances", "i0").is_none() }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn reload_keeps_running() {
    let system = StoreCluster::new("store-reload", 1).await;
    system.processes[0].signal(libc::SIGHUP);
    let log = system.processes[0].log.clone();
    wait_for(|| async { read(&log).contains("\"event\":\"reload\"") }).await;
    let reply = system.send_request(0, Method::GET, "/read/1", "h").await;
    assert_eq!(reply.expect("an answer").status, 200);
}

fn read(file: &Path) -> String {
    fs::read_to_string(file).unwrap_or_default()
}

/// Returns the commands in a section of docs/OPERATIONS.md: its indented lines that begin with `grep`.
fn commands(section: &str) -> Vec<String> {
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
fn run(system: &StoreCluster, command: &str, id: &str, server: &str) -> Vec<Value> {
    let command = command.replace("ID", id).replace("SERVER", server);
    let output = Command::new("sh")
        .arg("-c")
        .arg(&command)
        .current_dir(&system.dir)
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
    let system = StoreCluster::new("explain-refused", 1).await;
    for backend in &system.backends {
        backend.turn(|knobs| knobs.slots = 0);
    }
    let reply = system
        .send_request(0, Method::POST, "/order/1", "refused-1")
        .await;
    assert_eq!(reply.expect("an answer").status, 503);
    sleep(Duration::from_millis(200)).await;
    let steps = commands("### Refused");
    assert_eq!(steps.len(), 2, "{steps:?}");
    let end = &run(&system, &steps[0], "refused-1", "")[0];
    assert_eq!(
        (end["status"].as_u64(), end["exchanges"].as_u64()),
        (Some(503), Some(2))
    );
    let way = run(&system, &steps[1], "refused-1", "");
    assert!(
        way.iter()
            .any(|step| step["evidence"] == "not run, says the server"),
        "{way:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn explain_unknown_outcome() {
    let system = StoreCluster::new("explain-unknown", 1).await;
    for backend in &system.backends {
        backend.turn(|knobs| knobs.gray = Gray::Hang);
    }
    let reply = system
        .send_request(0, Method::POST, "/order/1", "unknown-1")
        .await;
    assert_eq!(reply.expect("an answer").status, 504);
    sleep(Duration::from_millis(200)).await;
    let steps = commands("### Outcome unknown");
    assert_eq!(steps.len(), 3, "{steps:?}");
    let end = &run(&system, &steps[0], "unknown-1", "")[0];
    assert_eq!(
        (end["code"].as_u64(), end["status"].as_u64()),
        (Some(1402), Some(504))
    );
    let server = end["server"].as_str().expect("a server").to_owned();
    let way = run(&system, &steps[1], "unknown-1", &server);
    assert!(
        way.iter().any(|step| step["server"] == server.as_str()),
        "{way:?}"
    );
    let beliefs = run(&system, &steps[2], "unknown-1", &server);
    assert!(
        beliefs.iter().any(|step| step["belief"] == "live"),
        "{beliefs:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn explain_late() {
    let system = StoreCluster::new("explain-late", 1).await;
    for backend in &system.backends {
        backend.turn(|knobs| {
            knobs.service_us = 150_000;
            knobs.slots = 4;
        });
    }
    let ids: Vec<String> = (0..24).map(|number| format!("late-{number:02}")).collect();
    let asks = ids
        .iter()
        .map(|id| system.send_request(0, Method::GET, "/read/1", id));
    let replies = futures_util::future::join_all(asks).await;
    sleep(Duration::from_millis(200)).await;
    let steps = commands("### Late");
    assert_eq!(steps.len(), 2, "{steps:?}");
    let waited = ids.iter().zip(&replies).find_map(|(id, reply)| {
        let served = reply.as_ref().is_some_and(|reply| reply.status == 200);
        let end = run(&system, &steps[0], id, "").first().cloned()?;
        let waited_us = end["waited_us"].as_u64().unwrap_or_default();
        (served && waited_us > 20_000).then_some((id.clone(), waited_us))
    });
    let (id, waited_us) = waited.expect("a request that waited for a slot");
    let way = run(&system, &steps[1], &id, "");
    let granted = way
        .iter()
        .find(|step| step["evidence"] == "permit")
        .expect("a grant");
    let granted_us = granted["elapsed_us"].as_u64().expect("a time");
    assert!(
        granted_us.abs_diff(waited_us) < 20_000,
        "{granted_us} {waited_us}"
    );
}
