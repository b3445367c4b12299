//! Puts the parts of a node together: followers, request path, front ends.

use {
    crate::{
        commands::{
            acquire, adopt_config, change_config, claims, fold_config, members,
            peer_calls::{call, close_idle_connections},
            pool_maintenance, snapshot,
        },
        queries, Node, Stage,
    },
    config::{AcceptedConfig, DetectionMode, Service},
    entry::{
        commands::handle_request, CallerResponse, ConnectionPool, HeaderConventions, Proxy,
        RoutingConfig,
    },
    feed::{Feed, Hooks},
    front::{AdminHandlers, CallerHandlers, CallerLimits},
    member::Instance,
    std::{sync::Arc, time::Duration},
    stream::PublishedConfig,
    tokio::time::sleep,
    types::ResultCode,
};

/// Time between sweeps of idle connections, in milliseconds.
const SWEEP_INTERVAL_MS: u64 = 1_000;
/// Deadline of a request that brings none where the platform names none for its service, in milliseconds.
const STORE_DEADLINE_MS: u64 = 600_000;
/// Largest answer held until it is whole where the platform names none, in bytes; as much as a held upload.
const STORE_HOLD_BYTES: u64 = 512 * 1024;
/// Time after the start in which requests wait for the first configuration and list, in milliseconds: even in a fleet
/// of hundreds that started at once these come within a second; where they do not, refusing is better.
const START_HOLD_MS: u64 = 1_200;
/// Largest head of a request before a configuration is known, in bytes.
const HEADER_BYTES: usize = 64 * 1024;
/// Time for which an idle connection is kept before a configuration is known, in milliseconds.
const IDLE_TIMEOUT_MS: u64 = 15_000;

/// Follows the platform's log and its list of members.
pub(crate) fn spawn_log_tasks(node: &Arc<Node>) {
    tokio::spawn(members::poll_members(Arc::clone(node)));
    tokio::spawn(fold_config::follow_config(Arc::clone(node)));
    tokio::spawn(adopt_config::poll_peers(Arc::clone(node)));
    tokio::spawn(snapshot::append_snapshots(Arc::clone(node)));
    tokio::spawn(pool_maintenance::maintain_pools(Arc::clone(node)));
}

/// Follows the platform's store.
pub(crate) fn spawn_store_tasks(node: &Arc<Node>) {
    let settings = &node.settings;
    let options = platform::AdapterOptions {
        region_by_zone: settings.regions.clone(),
        service_defaults: Service {
            name: String::new(),
            detection: DetectionMode::Fast,
            floor_slots: 0,
            deadline_ms: STORE_DEADLINE_MS,
            retry_percent: settings.retry_percent,
            max_body_bytes: u64::MAX,
            hold_bytes: STORE_HOLD_BYTES,
        },
    };
    let own = Instance {
        region: settings.region().to_owned(),
        capacity_permille: settings.capacity_permille,
        incarnation: crate::node::unix_time_ms(),
        ..Instance::new(
            &settings.instance,
            &settings.data_centre,
            settings.rpc_address,
        )
    };
    let source = platform::source(&node.platform, options);
    let feed = Arc::new(Feed::new(own, &settings.seeds, source, hooks(node)));
    // Set once, before anything asks for it.
    let _ = node.feed.set(Arc::clone(&feed));
    tokio::spawn(feed::commands::follow(feed));
    tokio::spawn(pool_maintenance::maintain_pools(Arc::clone(node)));
}

fn hooks(node: &Arc<Node>) -> Hooks {
    let share = || Arc::clone(node);
    let (sync, skipped, version, published) = (share(), share(), share(), share());
    let (adopted, answer, owner, list) = (share(), share(), share(), share());
    Hooks {
        sync_peer: Box::new(move |peer, ask, limit_ms| {
            let node = Arc::clone(&sync);
            Box::pin(async move { call(&node, &peer, "sync", &ask, limit_ms).await.ok() })
        }),
        is_in_backoff: Box::new(move |name| queries::is_in_backoff(&skipped, name)),
        active_config_version: Box::new(move || queries::active_config_version(&version)),
        activate_config: Box::new(move |new| put_in_force(&published, new)),
        activate_peer_config: Box::new(move |answer| {
            adopt_config::adopt_peer_config(&adopted, answer)
        }),
        newer_config: Box::new(move |known| {
            let known_answer = queries::config_answer(&answer, known);
            (known_answer.version > known).then_some(known_answer)
        }),
        owns_pools: Box::new(move || !owner.pools.is_empty()),
        publish_view: Box::new(move |view| list.view.store(view)),
    }
}

/// Puts a configuration that the platform has as approved in force, unless a newer one is.
fn put_in_force(node: &Node, published: &PublishedConfig) {
    if published.version <= queries::active_config_version(node) {
        // Read again with the whole list; nothing of it is news.
        return;
    }
    let accepted = AcceptedConfig {
        version: published.version,
        digest: config::queries::document_digest(&published.document),
        through_offset: 0,
        document: published.document.clone(),
    };
    for finding in config::queries::validate(&published.document) {
        log::warn!(
            "configuration {}: {}: {}",
            published.version,
            finding.path,
            finding.message
        );
    }
    adopt_config::adopt_config(node, &accepted, "platform");
}

/// Makes the request path.
pub(crate) fn request_path(node: &Arc<Node>) -> Arc<Proxy> {
    let (for_retry, for_answer) = (Arc::clone(node), Arc::clone(node));
    let path = Arc::new(Proxy {
        slots: acquire::slot_policy(node),
        claims: claims::claims(node),
        connections: ConnectionPool::new(),
        conventions: if node.settings.uses_store {
            platform::header_conventions()
        } else {
            HeaderConventions::new()
        },
        on_retry: Box::new(move |service, allowed| {
            let verdict = if allowed { "spent" } else { "refused" };
            for_retry
                .metrics
                .retries
                .with_label_values(&[service, verdict])
                .inc();
        }),
        on_response: Box::new(move |service, code, elapsed| {
            let number = code.number().to_string();
            let labels = [service, number.as_str()];
            let metrics = &for_answer.metrics;
            metrics.requests.with_label_values(&labels).inc();
            metrics
                .latency
                .with_label_values(&labels)
                .observe(elapsed.as_secs_f64());
        }),
    });
    let swept = Arc::clone(&path);
    let node = Arc::clone(node);
    tokio::spawn(async move {
        loop {
            sleep(Duration::from_millis(SWEEP_INTERVAL_MS)).await;
            swept.connections.close_expired();
            close_idle_connections(&node);
        }
    });
    path
}

/// Lets a request that comes to a node which has just started wait for what the node is about to learn.
async fn hold_while_starting(node: &Node) {
    let left_ms = START_HOLD_MS.saturating_sub(node.now_ms());
    if left_ms == 0 {
        return;
    }
    if let Some(feed) = node.feed.get() {
        feed::queries::wait_until_initialized(feed, left_ms).await;
    }
}

/// Makes what the callers' front end calls.
pub(crate) fn caller_handlers(node: &Arc<Node>, path: Arc<Proxy>) -> CallerHandlers {
    let share = || Arc::clone(node);
    let (for_run, for_limits, for_leaving) = (share(), share(), share());
    CallerHandlers {
        handle: Box::new(move |incoming| {
            let (node, path) = (Arc::clone(&for_run), Arc::clone(&path));
            Box::pin(async move {
                hold_while_starting(&node).await;
                let Some(in_force) = node.active_config.load_full() else {
                    return CallerResponse::generated(ResultCode::NoConfiguration);
                };
                let rules = RoutingConfig {
                    version: in_force.accepted.version,
                    document: &in_force.accepted.document,
                    index: &in_force.lookup,
                };
                handle_request(&path, rules, incoming).await
            })
        }),
        limits: Box::new(move || {
            let current = for_limits.active_config.load();
            let limits = current
                .as_deref()
                .and_then(|in_force| in_force.accepted.document.limits);
            CallerLimits {
                header_bytes: limits.map_or(HEADER_BYTES, |limits| limits.header_bytes as usize),
                idle_timeout_ms: limits.map_or(IDLE_TIMEOUT_MS, |limits| limits.idle_timeout_ms),
            }
        }),
        is_draining: Box::new(move || for_leaving.stage() >= Stage::Draining),
    }
}

/// Makes what the operators' front end calls.
pub(crate) fn admin_handlers(node: &Arc<Node>) -> AdminHandlers {
    let share = || Arc::clone(node);
    let (ready, metrics, status, config) = (share(), share(), share(), share());
    let (history, principal) = (share(), share());
    let (propose, approve, reject) = (share(), share(), share());
    AdminHandlers {
        is_ready: Box::new(move || queries::is_ready(&ready)),
        metrics: Box::new(move || metrics.metrics.render()),
        status: Box::new(move || queries::status(&status)),
        config: Box::new(move || queries::config_view(&config)),
        history: Box::new(move || queries::history(&history)),
        authenticate: Box::new(move |token| queries::authenticate(&principal.settings, token)),
        propose: Box::new(move |principal, ask| {
            Box::pin(change_config::propose(Arc::clone(&propose), principal, ask))
        }),
        approve: Box::new(move |principal, ask| {
            Box::pin(change_config::approve(Arc::clone(&approve), principal, ask))
        }),
        reject: Box::new(move |principal, ask| {
            Box::pin(change_config::reject(Arc::clone(&reject), principal, ask))
        }),
    }
}
