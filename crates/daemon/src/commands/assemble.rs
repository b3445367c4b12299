//! Assembles the components of a node: background tasks, request path and front ends.

use {
    crate::{
        commands::{
            acquire, adopt_config, change_config, claims, credit, fold_config, members,
            peer_calls::{call, close_idle_connections},
            pool_maintenance, quota_calls, snapshot,
        },
        queries, Node, Stage,
    },
    config::{AcceptedConfig, DetectionMode, Document, Service},
    entry::{
        commands::handle_request, CallerResponse, ConnectionPool, HeaderConventions, MemoryBudget,
        MemoryEvent, Proxy, RoutingConfig, SlotShortage,
    },
    feed::{ConfigPatch, Feed, Hooks},
    front::{AdminHandlers, CallerHandlers, CallerLimits},
    log::info,
    member::Instance,
    memory::Limits,
    serde_json::json,
    std::{net::IpAddr, sync::Arc, time::Duration},
    stream::PublishedConfig,
    tokio::{sync::watch, time::sleep},
    types::ResultCode,
};

/// Time between sweeps of idle connections, in milliseconds.
const SWEEP_INTERVAL_MS: u64 = 1_000;
/// Time between two checks of whether callers make too little progress while room is scarce, in milliseconds.
const PROGRESS_INTERVAL_MS: u64 = 250;
/// Deadline of a request that carries none, where the platform specifies none for its service, in
/// milliseconds.
const STORE_DEADLINE_MS: u64 = 600_000;
/// Largest response buffered until it is complete, where the platform specifies no limit, in bytes; the same
/// as for a buffered upload.
const STORE_HOLD_BYTES: u64 = 512 * 1024;
/// Time after the start during which requests wait for the first configuration and member list, in milliseconds.
/// Even in a fleet of hundreds that start at once these arrive within a second; if they do not, refusing the
/// requests is better.
const START_WAIT_MS: u64 = 1_200;
/// Largest request head accepted before a configuration is known, in bytes.
const HEADER_BYTES: usize = 64 * 1024;
/// Timeout of idle connections before a configuration is known, in milliseconds.
const IDLE_TIMEOUT_MS: u64 = 15_000;

/// Spawns the background tasks of a node whose platform keeps a log.
pub(crate) fn spawn_log_tasks(node: &Arc<Node>) {
    tokio::spawn(members::poll_members(Arc::clone(node)));
    tokio::spawn(fold_config::follow_config(Arc::clone(node)));
    tokio::spawn(adopt_config::poll_peers(Arc::clone(node)));
    tokio::spawn(snapshot::append_snapshots(Arc::clone(node)));
    tokio::spawn(pool_maintenance::maintain_pools(Arc::clone(node)));
    tokio::spawn(credit::watch_for_stalls(Arc::clone(node)));
    tokio::spawn(quota_calls::pass_time_on(Arc::clone(node)));
}

/// Spawns the background tasks of a node whose platform keeps a store.
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
    // This is the only place that sets it, so it can't be set already.
    let _ = node.feed.set(Arc::clone(&feed));
    tokio::spawn(feed::commands::follow(feed));
    tokio::spawn(pool_maintenance::maintain_pools(Arc::clone(node)));
    tokio::spawn(credit::watch_for_stalls(Arc::clone(node)));
    tokio::spawn(quota_calls::pass_time_on(Arc::clone(node)));
}

fn hooks(node: &Arc<Node>) -> Hooks {
    let clone = || Arc::clone(node);
    let (for_sync, for_backoff, for_version, for_published) = (clone(), clone(), clone(), clone());
    let (for_part, for_patch, for_whole) = (clone(), clone(), clone());
    let (for_pools, for_view, for_clock) = (clone(), clone(), clone());
    Hooks {
        now_ms: Box::new(move || for_clock.now_ms()),
        sync_peer: Box::new(move |peer, request, limit_ms| {
            let node = Arc::clone(&for_sync);
            Box::pin(async move { call(&node, &peer, "sync", &request, limit_ms).await.ok() })
        }),
        is_in_backoff: Box::new(move |name| queries::is_in_backoff(&for_backoff, name)),
        active_config_version: Box::new(move || queries::active_config_version(&for_version)),
        activate_config: Box::new(move |config| activate_published(&for_published, config)),
        request_config_part: Box::new(move |peer, request, limit_ms| {
            let node = Arc::clone(&for_part);
            Box::pin(async move {
                call(&node, &peer, "config_part", &request, limit_ms)
                    .await
                    .ok()
            })
        }),
        activate_patch: Box::new(move |patch| adopt_config::adopt_patch(&for_patch, patch)),
        whole_config: Box::new(move || queries::whole_config(&for_whole)),
        owns_pools: Box::new(move || !for_pools.pools.is_empty()),
        publish_view: Box::new(move |view| for_view.view.store(view)),
    }
}

/// Activates a configuration that the platform lists as approved, unless it or a newer one is active; returns the changes
/// from the version that was active before.
fn activate_published(node: &Node, published: &PublishedConfig) -> Option<ConfigPatch> {
    let former = node.active_config.load_full();
    let former_version = former.as_ref().map_or(0, |former| former.accepted.version);
    if published.version <= former_version {
        // The whole list was read again, and this version is already known.
        return None;
    }
    let accepted = AcceptedConfig {
        version: published.version,
        digest: config::queries::document_digest(&published.document),
        through_offset: 0,
        document: published.document.clone(),
    };
    for finding in config::queries::validate(&published.document) {
        log::warn!(
            "finding in configuration version {}: {}: {}",
            published.version,
            finding.path,
            finding.message
        );
    }
    adopt_config::adopt_config(node, &accepted, "platform");
    let none = Document::default();
    let base = former
        .as_ref()
        .map_or(&none, |former| &former.accepted.document);
    Some(queries::encoded_patch(former_version, base, &accepted))
}

/// Creates the proxy through which all callers' requests pass, and spawns the task that closes idle connections.
pub(crate) fn create_proxy(node: &Arc<Node>) -> Arc<Proxy> {
    let (for_retry, for_response) = (Arc::clone(node), Arc::clone(node));
    let proxy = Arc::new(Proxy {
        slots: acquire::slot_policy(node),
        claims: claims::claims(node),
        connections: ConnectionPool::new(),
        slot_shortage: SlotShortage::new(),
        conventions: if node.settings.uses_store {
            platform::header_conventions()
        } else {
            HeaderConventions::new()
        },
        answer_by: watch::channel(None).0,
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
            let metrics = &for_response.metrics;
            metrics.requests.with_label_values(&labels).inc();
            metrics
                .latency
                .with_label_values(&labels)
                .observe(elapsed.as_secs_f64());
        }),
    });
    let for_sweep = Arc::clone(&proxy);
    let node = Arc::clone(node);
    tokio::spawn(async move {
        loop {
            sleep(Duration::from_millis(SWEEP_INTERVAL_MS)).await;
            for_sweep.connections.close_expired();
            close_idle_connections(&node);
        }
    });
    proxy
}

/// Creates the budget for what is held for callers and servers, and spawns the task that evicts slow callers.
fn create_memory_budget(node: &Arc<Node>) -> Arc<MemoryBudget> {
    let settings = &node.settings;
    let limits = Limits::new(settings.memory_mb.into(), settings.descriptors_max.into());
    let for_events = Arc::clone(node);
    let on_event = move |event: MemoryEvent, source: IpAddr, held_bytes: u64| {
        let name = event.as_str();
        let counter = &for_events.metrics.memory_events;
        counter.with_label_values(&[name]).inc();
        let line = json!({ "event": name, "source": source, "held_bytes": held_bytes });
        info!(target: "decision.memory", "{line}");
    };
    let budget = Arc::new(MemoryBudget::new(limits, Box::new(on_event)));
    let (for_sweep, node) = (Arc::clone(&budget), Arc::clone(node));
    tokio::spawn(async move {
        loop {
            sleep(Duration::from_millis(PROGRESS_INTERVAL_MS)).await;
            for_sweep.evict_slow();
            let (held_bytes, connections) = for_sweep.usage();
            node.metrics.held_bytes.set(held_bytes as i64);
            node.metrics.caller_connections.set(connections as i64);
        }
    });
    budget
}

/// On a store platform, delays a request until the first configuration and member list are known, but not beyond
/// [`START_WAIT_MS`] after the start of the process.
async fn wait_for_first_configuration(node: &Node) {
    let remaining_ms = START_WAIT_MS.saturating_sub(node.now_ms());
    if remaining_ms == 0 {
        return;
    }
    if let Some(feed) = node.feed.get() {
        feed::queries::wait_until_initialized(feed, remaining_ms).await;
    }
}

/// Returns the closures with which the callers' front end runs requests and reads its limits.
pub(crate) fn caller_handlers(node: &Arc<Node>, proxy: Arc<Proxy>) -> CallerHandlers {
    let clone = || Arc::clone(node);
    let (for_handle, for_limits, for_draining) = (clone(), clone(), clone());
    CallerHandlers {
        handle: Box::new(move |incoming| {
            let (node, proxy) = (Arc::clone(&for_handle), Arc::clone(&proxy));
            Box::pin(async move {
                wait_for_first_configuration(&node).await;
                let Some(active) = node.active_config.load_full() else {
                    return CallerResponse::generated(ResultCode::NoConfiguration);
                };
                let routing = RoutingConfig {
                    version: active.accepted.version,
                    is_current: queries::is_config_current(&node),
                    document: &active.accepted.document,
                    index: &active.index,
                    keys: &active.keys,
                    accepts_keys: queries::accepts_keys(&node),
                };
                handle_request(&proxy, routing, incoming).await
            })
        }),
        limits: Box::new(move || {
            let current = for_limits.active_config.load();
            let limits = current
                .as_deref()
                .and_then(|active| active.accepted.document.limits);
            CallerLimits {
                header_bytes: limits.map_or(HEADER_BYTES, |limits| limits.header_bytes as usize),
                idle_timeout_ms: limits.map_or(IDLE_TIMEOUT_MS, |limits| limits.idle_timeout_ms),
            }
        }),
        memory: create_memory_budget(node),
        is_draining: Box::new(move || for_draining.stage() >= Stage::Draining),
    }
}

/// Returns the closures that the operators' front end calls.
pub(crate) fn admin_handlers(node: &Arc<Node>) -> AdminHandlers {
    let clone = || Arc::clone(node);
    let (ready, metrics, status, config) = (clone(), clone(), clone(), clone());
    let (history, principal) = (clone(), clone());
    let (propose, approve, reject) = (clone(), clone(), clone());
    AdminHandlers {
        is_ready: Box::new(move || queries::is_ready(&ready)),
        metrics: Box::new(move || metrics.metrics.render()),
        status: Box::new(move || queries::status(&status)),
        config: Box::new(move || queries::config_view(&config)),
        history: Box::new(move || queries::history(&history)),
        authenticate: Box::new(move |token| queries::authenticate(&principal.settings, token)),
        propose: Box::new(move |principal, request| {
            Box::pin(change_config::propose(
                Arc::clone(&propose),
                principal,
                request,
            ))
        }),
        approve: Box::new(move |principal, request| {
            Box::pin(change_config::approve(
                Arc::clone(&approve),
                principal,
                request,
            ))
        }),
        reject: Box::new(move |principal, request| {
            Box::pin(change_config::reject(
                Arc::clone(&reject),
                principal,
                request,
            ))
        }),
    }
}
