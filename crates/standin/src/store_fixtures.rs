//! Records, settings and requests of operators, backend servers and callers on the store's platform.

use {
    crate::Store,
    hyper::HeaderMap,
    serde_json::{json, Value},
    std::{collections::HashMap, net::SocketAddr},
};

/// Host of the configured routes.
pub const ROUTE_HOST: &str = "orders.example";
/// Process start in the records of all servers, in milliseconds since the Unix epoch.
const STARTED_AT_MS: u64 = 1_700_000_000_000;

/// A backend server's record in the topic `keyed.servers`.
#[derive(Clone, Copy, Debug)]
pub struct ServerEntry<'a> {
    /// Server id, the record's key.
    pub id: &'a str,
    /// Listening address.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: &'a str,
    /// `ready` or `draining`.
    pub state: &'a str,
    /// Number of records that the server has written, this one included.
    pub sequence: u64,
}

impl Store {
    /// Writes the record of a server of the service `orders`.
    pub fn put_server(&self, entry: &ServerEntry<'_>) {
        let record = json!({
            "address": entry.address.to_string(),
            "born": STARTED_AT_MS,
            "info": { "service": "orders", "version": "v1", "zone": entry.data_centre, "slots": 4 },
            "status": { "state": entry.state, "sequence": entry.sequence, "warmup_left_s": 0 },
        });
        self.put("keyed.servers", entry.id, Some(&record.to_string()));
    }

    /// Deletes a server's record.
    pub fn delete_server(&self, id: &str) {
        self.put("keyed.servers", id, None);
    }

    /// Writes a configuration with the routes `/read/`, `/order/` and `/vVERSION/`; the last tells tests which version
    /// is active.
    pub fn put_config(&self, version: u64, timeout_s: f64) {
        self.put_config_with_accounts(version, timeout_s, &[]);
    }

    /// Writes a configuration as [`put_config`](Self::put_config) does, with client accounts and the public route `/open/`.
    pub fn put_config_with_accounts(
        &self,
        version: u64,
        timeout_s: f64,
        accounts: &[AccountEntry<'_>],
    ) {
        let route = |prefix: &str, kind: &str| -> Value {
            json!({
                "name": prefix, "host": ROUTE_HOST, "path_prefix": prefix, "kind": kind,
                "timeout_s": timeout_s, "target_latency_s": 0.5, "priority": 1,
                "service": "orders", "max_attempts": 2, "public": prefix == "/open/",
            })
        };
        let mut document = json!({
            "version": format!("r{version}"),
            "routes": [
                route("/read/", "safe"),
                route("/order/", "unsafe"),
                route(&format!("/v{version}/"), "safe"),
                route("/open/", "safe"),
            ],
            "services": [{ "name": "orders", "health_path": "/health", "max_connections": 400 }],
            "limits": {
                "max_header_bytes": 16384, "max_body_bytes": 1048576,
                "header_timeout_s": 3, "idle_timeout_s": 15,
            },
        });
        if !accounts.is_empty() {
            let entries = accounts.iter().map(|account| {
                json!({
                    "name": account.name, "api_keys": [account.key], "priority": 1,
                    "rate_per_s": account.rate_per_s, "burst": 0,
                })
            });
            document["tenants"] = entries.collect();
        }
        self.put("keyed.op", "config", Some(&document.to_string()));
    }
}

/// A client account of a configuration.
#[derive(Clone, Copy, Debug)]
pub struct AccountEntry<'a> {
    /// Name of the account.
    pub name: &'a str,
    /// Its API key.
    pub key: &'a str,
    /// Requests a second that it may send; 0 for no limit.
    pub rate_per_s: f64,
}

/// Settings of an instance on the store's platform.
#[derive(Clone, Copy, Debug)]
pub struct InstanceSettings<'a> {
    /// Instance name.
    pub name: &'a str,
    /// Data centre.
    pub data_centre: &'a str,
    /// All data centres; they belong to one region.
    pub data_centres: &'a [&'a str],
    /// Listening address for callers.
    pub caller_address: SocketAddr,
    /// Listening address for other instances.
    pub rpc_address: SocketAddr,
    /// Listening address of the administration API.
    pub admin_address: SocketAddr,
    /// Address of the store or of a proxy in front of it.
    pub store_address: SocketAddr,
    /// Instances to contact while no other instance is known.
    pub seeds: &'a [String],
    /// Time for which a stopping instance still accepts requests, in milliseconds.
    pub drain_ms: u64,
    /// Retries that the fleet may send in a window beyond a percentage of the requests.
    pub retry_slack: u32,
}

impl InstanceSettings<'_> {
    /// Encodes the settings file.
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
            "retry_slack": self.retry_slack,
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

/// Returns whether a successful response is complete and belongs to the request `id`: its signature and the start of
/// its body are the id, and its last line is there.
///
/// Only for servers with [`uses_store_protocol`](crate::BackendKnobs::uses_store_protocol).
pub fn is_matching_response(headers: &HeaderMap, body: &[u8], id: &str) -> bool {
    let signature = headers.get("response-signature");
    let text = String::from_utf8_lossy(body);
    signature.is_some_and(|signature| signature == id)
        && text.starts_with(&format!("{id} "))
        && text.ends_with("end\n")
}
