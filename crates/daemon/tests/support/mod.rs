//! A small cluster for the tests: platform, backend servers and instances as real processes.

#![allow(dead_code)] // Each test binary uses only a part of this module.

pub(crate) mod store;

use {
    bytes::Bytes,
    config::RequestKind,
    http_body_util::{BodyExt, Full},
    hyper::{HeaderMap, Method, Request},
    hyper_util::{client::legacy::Client, rt::TokioExecutor},
    member::{BackendServer, Instance},
    serde_json::{json, Value},
    standin::{Backend, BackendKnobs, FaultProxy, Platform, PortRange},
    std::{
        env, fs,
        net::SocketAddr,
        path::PathBuf,
        process::{Child, Command, Stdio},
        time::{Duration, Instant},
    },
    wire::{
        convert,
        generated::{DetectionJson, DocumentJson, ServiceJson},
    },
};

/// Time allowed for a condition to become true, in seconds.
const WAIT_TIMEOUT_S: u64 = 20;
static PORTS: PortRange = PortRange::new(4_000, 6_000);

/// Returns an unused loopback address.
pub(crate) fn free_address() -> SocketAddr {
    PORTS.free_address().expect("a free port")
}

/// A running `catkinhitchd` process; dropping it kills the process.
pub(crate) struct Process {
    pub(crate) name: String,
    pub(crate) caller: SocketAddr,
    pub(crate) rpc: SocketAddr,
    pub(crate) admin: SocketAddr,
    pub(crate) platform_proxy: FaultProxy,
    pub(crate) child: Child,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    /// Returns the most memory that the process has used, in kilobytes.
    pub(crate) fn peak_memory_kb(&self) -> u64 {
        self.memory_kb("VmHWM:")
    }

    /// Returns the memory that the process uses now, in kilobytes.
    pub(crate) fn current_memory_kb(&self) -> u64 {
        self.memory_kb("VmRSS:")
    }

    fn memory_kb(&self, field: &str) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.expect("a running process");
        let value = status.lines().find_map(|line| line.strip_prefix(field));
        let digits = value.expect("a value").trim().trim_end_matches(" kB");
        digits.parse().expect("a number")
    }

    /// Returns the number of the process's open descriptors.
    pub(crate) fn descriptor_count(&self) -> usize {
        let descriptors = fs::read_dir(format!("/proc/{}/fd", self.child.id()));
        descriptors.expect("a running process").count()
    }

    /// Returns whether the process has not ended.
    pub(crate) fn is_alive(&mut self) -> bool {
        self.child.try_wait().expect("a child").is_none()
    }

    pub(crate) fn signal(&self, signal: libc::c_int) {
        // SAFETY: `kill` takes no pointers, and the id is that of a child that was not waited for yet.
        unsafe { libc::kill(self.child.id() as libc::pid_t, signal) };
    }
}

/// A response with its complete body.
#[derive(Debug)]
pub(crate) struct Response {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: String,
}

impl Response {
    pub(crate) fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    }
}

/// The cluster under test.
pub(crate) struct Cluster {
    pub(crate) platform: Platform,
    pub(crate) backends: Vec<Backend>,
    pub(crate) processes: Vec<Process>,
    dir: PathBuf,
}

impl Cluster {
    /// Starts a platform, two backend servers of one service and `count` instances; waits until they are ready.
    pub(crate) async fn new(test: &str, count: usize) -> Self {
        Self::with_document(test, count, &config_document(2_000)).await
    }

    /// As [`Self::new`], with this configuration.
    pub(crate) async fn with_document(test: &str, count: usize, document: &DocumentJson) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = Platform::new(any).await.expect("a platform");
        let dir = env::temp_dir().join(format!("catkinhitch-{test}-{}", std::process::id()));
        fs::create_dir_all(&dir).expect("a directory");
        let mut backends = Vec::new();
        for number in 0..2 {
            let knobs = BackendKnobs {
                service_us: 5_000,
                ..BackendKnobs::default()
            };
            backends.push(
                Backend::new(&format!("b{number}"), any, knobs)
                    .await
                    .expect("a server"),
            );
        }
        let mut cluster = Self {
            platform,
            backends,
            processes: Vec::new(),
            dir,
        };
        cluster.platform.append_accepted_config(document);
        for _ in 0..count {
            cluster.add_process().await;
        }
        for process in &cluster.processes {
            wait_ready(process.admin).await;
        }
        cluster
    }

    /// Starts one more instance and adds it to the member list.
    pub(crate) async fn add_process(&mut self) {
        self.start_process().await;
        self.publish_members();
    }

    /// Starts one more instance, which the member list doesn't have yet.
    pub(crate) async fn start_process(&mut self) {
        self.start_process_with(&[]).await;
    }

    /// Starts one more instance, which selects backend servers by that policy.
    pub(crate) async fn start_process_with_policy(&mut self, policy: &str) {
        self.start_process_with(&[("policy", json!(policy))]).await;
    }

    /// Starts one more instance with these settings in addition to those of all instances.
    pub(crate) async fn start_process_with(&mut self, additional: &[(&str, Value)]) {
        let name = format!("i{}", self.processes.len());
        let (caller, rpc, admin) = (free_address(), free_address(), free_address());
        let platform_proxy = FaultProxy::new(self.platform.address)
            .await
            .expect("a proxy");
        let mut settings = json!({
            "instance": name,
            "data_centre": "a",
            "caller_address": caller.to_string(),
            "rpc_address": rpc.to_string(),
            "admin_address": admin.to_string(),
            "platform_address": platform_proxy.address.to_string(),
            "principals": [
                { "name": "operations", "token": "operations-token" },
                { "name": "finance", "token": "finance-token" },
            ],
            "drain_ms": 200,
        });
        for (field, value) in additional {
            settings[*field] = value.clone();
        }
        let file = self.dir.join(format!("{name}.json"));
        fs::write(&file, settings.to_string()).expect("a settings file");
        let child = Command::new(env!("CARGO_BIN_EXE_catkinhitchd"))
            .arg("--settings")
            .arg(file)
            .stdout(Stdio::null())
            .spawn()
            .expect("a process");
        self.processes.push(Process {
            name,
            caller,
            rpc,
            admin,
            platform_proxy,
            child,
        });
    }

    pub(crate) fn publish_members(&self) {
        let instances = self.processes.iter();
        let instances = instances.map(|process| Instance::new(&process.name, "a", process.rpc));
        let servers = self.backends.iter().enumerate().map(|(number, backend)| {
            BackendServer::new(&format!("b{number}"), "orders", "a", backend.address, 4)
        });
        let (instances, servers): (Vec<_>, Vec<_>) = (instances.collect(), servers.collect());
        self.platform.publish_members(&instances, &servers);
    }

    /// Returns how often all servers together ran the request with that id.
    pub(crate) fn execution_count(&self, id: &str) -> u32 {
        let backends = self.backends.iter();
        backends.map(|backend| backend.execution_count(id)).sum()
    }

    /// Sends a keyed POST request to one instance.
    pub(crate) async fn send_order(&self, process: usize, id: &str) -> Response {
        let headers = [("x-bench-id", id), ("idempotency-key", id)];
        let address = self.processes[process].caller;
        send(address, Method::POST, "/orders", &headers, "marble")
            .await
            .expect("a response")
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.dir);
    }
}

/// Returns the configuration document of the tests.
pub(crate) fn config_document(deadline_ms: u64) -> DocumentJson {
    let route = |methods: &[&str], kind| convert::simple_route("/orders", methods, "orders", kind);
    DocumentJson {
        limits: None,
        accounts: Vec::new(),
        services: vec![ServiceJson {
            name: "orders".into(),
            detection: DetectionJson::Fast,
            floor_slots: 4,
            deadline_ms,
            retry_percent: 10,
            max_body_bytes: 1 << 20,
            hold_bytes: 1 << 16,
        }],
        routes: vec![
            route(&["GET"], RequestKind::Safe),
            route(&["POST"], RequestKind::Unsafe),
        ],
    }
}

/// Sends one request; `None` if it could not be sent or its response was truncated.
pub(crate) async fn send(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&'static str, &str)],
    body: &str,
) -> Option<Response> {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request
        .body(Full::new(Bytes::copy_from_slice(body.as_bytes())))
        .ok()?;
    let response = client.request(request).await.ok()?;
    let (head, body) = response.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    Some(Response {
        status: head.status.as_u16(),
        headers: head.headers,
        body: String::from_utf8_lossy(&body).into_owned(),
    })
}

/// Waits until an instance is ready.
pub(crate) async fn wait_ready(admin: SocketAddr) {
    wait_for(|| async move {
        let response = send(admin, Method::GET, "/ready", &[], "").await;
        response.is_some_and(|response| response.status == 200)
    })
    .await;
}

/// Waits until `check` returns true.
pub(crate) async fn wait_for<Check, CheckFuture>(check: Check)
where
    Check: Fn() -> CheckFuture,
    CheckFuture: std::future::Future<Output = bool>,
{
    let deadline = Instant::now() + Duration::from_secs(WAIT_TIMEOUT_S);
    while !check().await {
        assert!(
            Instant::now() < deadline,
            "the condition did not become true in time"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
