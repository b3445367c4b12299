//! What operators, backend servers and callers of the store's platform write, for tests that play them.

use {
    crate::Store,
    hyper::HeaderMap,
    serde_json::{json, Value},
    std::{collections::HashMap, net::SocketAddr},
};

/// Host of the routes.
pub const ROUTE_HOST: &str = "orders.example";
/// Start that all servers give, in milliseconds since 1970.
const BORN_MS: u64 = 1_700_000_000_000;

/// A backend server's own entry.
#[derive(Clone, Copy, Debug)]
pub struct ServerEntry<'a> {
    /// Its id.
    pub id: &'a str,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: &'a str,
    /// `ready` or `draining`.
    pub state: &'a str,
    /// Count of its writings.
    pub sequence: u64,
}

impl Store {
    /// Writes a server's entry of the service `orders`.
    pub fn put_server(&self, entry: &ServerEntry<'_>) {
        let text = json!({
            "address": entry.address.to_string(),
            "born": BORN_MS,
            "info": { "service": "orders", "version": "v1", "zone": entry.data_centre, "slots": 4 },
            "status": { "state": entry.state, "sequence": entry.sequence, "warmup_left_s": 0 },
        });
        self.put("keyed.servers", entry.id, Some(&text.to_string()));
    }

    /// Takes a server's entry away.
    pub fn delete_server(&self, id: &str) {
        self.put("keyed.servers", id, None);
    }

    /// Writes a configuration with routes `/read/`, `/order/` and one that shows its version.
    pub fn put_config(&self, version: u64, timeout_s: f64) {
        let route = |prefix: &str, kind: &str| -> Value {
            json!({
                "name": prefix, "host": ROUTE_HOST, "path_prefix": prefix, "kind": kind,
                "timeout_s": timeout_s, "target_latency_s": 0.5, "priority": 1,
                "service": "orders", "max_attempts": 2,
            })
        };
        let document = json!({
            "version": format!("r{version}"),
            "routes": [
                route("/read/", "safe"),
                route("/order/", "unsafe"),
                route(&format!("/v{version}/"), "safe"),
            ],
            "services": [{ "name": "orders", "health_path": "/health", "max_connections": 400 }],
            "limits": {
                "max_header_bytes": 16384, "max_body_bytes": 1048576,
                "header_timeout_s": 3, "idle_timeout_s": 15,
            },
        });
        self.put("keyed.op", "config", Some(&document.to_string()));
    }
}

/// An instance that runs on the store's platform.
#[derive(Clone, Copy, Debug)]
pub struct InstanceSettings<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its data centre.
    pub data_centre: &'a str,
    /// All data centres; they are in one region.
    pub data_centres: &'a [&'a str],
    /// Listens for callers.
    pub caller_address: SocketAddr,
    /// Listens for other instances.
    pub rpc_address: SocketAddr,
    /// Listens for operators.
    pub admin_address: SocketAddr,
    /// The store, or a proxy in front of it.
    pub store_address: SocketAddr,
    /// Other instances, asked while none is known.
    pub seeds: &'a [String],
    /// Time for which it still takes callers once it stops, in milliseconds.
    pub drain_ms: u64,
}

impl InstanceSettings<'_> {
    /// Writes its settings.
    pub fn to_json(&self) -> String {
        let regions = self.data_centres.iter();
        let regions: HashMap<&str, &str> = regions.map(|name| (*name, "r")).collect();
        let settings = json!({
            "instance": self.name,
            "data_centre": self.data_centre,
            "regions": regions,
            "processor_share": 0.2,
            "caller_address": self.caller_address.to_string(),
            "rpc_address": self.rpc_address.to_string(),
            "admin_address": self.admin_address.to_string(),
            "platform": "store",
            "platform_address": self.store_address.to_string(),
            "seeds": self.seeds,
            "principals": [],
            "drain_ms": self.drain_ms,
            "stop_s": 4,
            "retry_slack": 20,
        });
        settings.to_string()
    }
}

/// Returns the headers of a caller's request.
pub fn caller_headers(id: &str, deadline_ms: u64) -> [(&'static str, String); 3] {
    [
        ("host", ROUTE_HOST.to_owned()),
        ("request-id", id.to_owned()),
        ("deadline-ms", deadline_ms.to_string()),
    ]
}

/// Tells whether a success is the whole answer of a server that [proves](crate::BackendKnobs::uses_store_protocol) to the request
/// of that id: it begins with the id, bears its proof and ends with its last line.
pub fn is_matching_response(headers: &HeaderMap, body: &[u8], id: &str) -> bool {
    let proof = headers.get("response-signature");
    let text = String::from_utf8_lossy(body);
    proof.is_some_and(|proof| proof == id)
        && text.starts_with(&format!("{id} "))
        && text.ends_with("end\n")
}
