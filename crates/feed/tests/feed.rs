//! Tests of which instances read the platform and which sync with others, with a fake platform and fake peers.

use {
    config::Document,
    feed::{
        commands::{follow, record_requester, send_config_part},
        queries::{has_server_list, source_age_ms, sync_response},
        ConfigPatch, Feed, Hooks,
    },
    member::{BackendServer, Instance},
    std::{
        sync::{
            atomic::{AtomicBool, AtomicU64, Ordering},
            Arc, Mutex,
        },
        time::{Duration, Instant},
    },
    stream::{Change, ListUpdate, ListedSource, PublishedConfig, ReadError, Source},
    tokio::time::sleep,
    wire::{
        convert::encode_instance,
        decode_data,
        generated::{ConfigPartRequest, ConfigPartResponse, SyncRequest, SyncResponse},
    },
};

/// A fake platform and fake peers, with counts of the calls to them.
#[derive(Default)]
struct FakeCluster {
    is_unavailable: AtomicBool,
    /// Whether the directory does not have the fleet's size.
    is_fleet_new: AtomicBool,
    /// Reads of the history of the servers, which don't wait for changes.
    history_reads: AtomicU64,
    platform_reads: AtomicU64,
    sync_requests: AtomicU64,
    instances: Mutex<Vec<Instance>>,
    /// Response of every peer; none if they don't respond.
    peer_response: Mutex<Option<SyncResponse>>,
    config_version: AtomicU64,
}

fn instance(name: &str) -> Instance {
    Instance::new(name, "a", ([127, 0, 0, 1], 1).into())
}

fn server() -> BackendServer {
    BackendServer::new("b", "s", "a", ([127, 0, 0, 1], 2).into(), 1)
}

fn full_update<Value>(values: Vec<(String, Value)>) -> ListUpdate<Value> {
    let changes = values.into_iter().map(|(name, value)| Change {
        name,
        value: Some(value),
    });
    ListUpdate {
        is_full: true,
        next_offset: 0,
        era: None,
        changes: changes.collect(),
        record_errors: Vec::new(),
        received_bytes: 0,
    }
}

fn source(cluster: &Arc<FakeCluster>) -> Source {
    let (config, servers, instances, directory) = (
        Arc::clone(cluster),
        Arc::clone(cluster),
        Arc::clone(cluster),
        Arc::clone(cluster),
    );
    Source {
        configuration: Box::new(move |_| {
            let published = PublishedConfig {
                version: 3,
                document: Document::default(),
            };
            let result = read(&config, || full_update(vec![("config".into(), published)]));
            Box::pin(async move { result })
        }),
        servers: Box::new(move |cursor| {
            if cursor.from.is_some() && cursor.wait_ms == 0 {
                servers.history_reads.fetch_add(1, Ordering::SeqCst);
            }
            let result = read(&servers, || ListUpdate {
                next_offset: 100,
                ..full_update(vec![("b".into(), server())])
            });
            Box::pin(async move { result })
        }),
        instances: Box::new(move |_| {
            let result = Ok(full_update(listed_instances(&instances)));
            Box::pin(async move { result })
        }),
        directory: Box::new(move |_| {
            let listed = listed_instances(&directory).into_iter();
            let sources = listed.map(|(name, instance)| {
                let is_new = directory.is_fleet_new.load(Ordering::SeqCst);
                let source = ListedSource {
                    instance,
                    fleet_instances: if is_new { 0 } else { 4 },
                };
                (name, source)
            });
            let result = Ok(full_update(sources.collect()));
            Box::pin(async move { result })
        }),
        write_directory: Box::new(|_, _| Box::pin(async { Ok(()) })),
        announce: Box::new(|_| Box::pin(async { Ok(None) })),
        withdraw: Box::new(|_| Box::pin(async { Ok(()) })),
    }
}

/// Returns the instances under their names.
fn listed_instances(cluster: &FakeCluster) -> Vec<(String, Instance)> {
    let listed = cluster.instances.lock().expect("no panic").clone();
    let named = listed.into_iter().map(|it| (it.name.clone(), it));
    named.collect()
}

fn read<Value, Make>(cluster: &FakeCluster, make: Make) -> Result<ListUpdate<Value>, ReadError>
where
    Make: FnOnce() -> ListUpdate<Value>,
{
    cluster.platform_reads.fetch_add(1, Ordering::SeqCst);
    if cluster.is_unavailable.load(Ordering::SeqCst) {
        return Err(ReadError::Unavailable);
    }
    Ok(make())
}

fn feed(cluster: &Arc<FakeCluster>, own: &str) -> Arc<Feed> {
    let (sync, version, activate) = (
        Arc::clone(cluster),
        Arc::clone(cluster),
        Arc::clone(cluster),
    );
    let created = Instant::now();
    let hooks = Hooks {
        now_ms: Box::new(move || created.elapsed().as_millis() as u64),
        sync_peer: Box::new(move |_, _, timeout_ms| {
            let cluster = Arc::clone(&sync);
            Box::pin(async move {
                cluster.sync_requests.fetch_add(1, Ordering::SeqCst);
                let response = cluster.peer_response.lock().expect("no panic").clone();
                sleep(Duration::from_millis(timeout_ms / 10)).await;
                response
            })
        }),
        is_in_backoff: Box::new(|_| false),
        active_config_version: Box::new(move || version.config_version.load(Ordering::SeqCst)),
        activate_config: Box::new(move |published| {
            activate
                .config_version
                .fetch_max(published.version, Ordering::SeqCst);
            None
        }),
        request_config_part: Box::new(|_, _, _| Box::pin(async { None })),
        activate_patch: Box::new(|_| Ok(())),
        whole_config: Box::new(|| Some(whole_config())),
        owns_pools: Box::new(|| false),
        publish_view: Box::new(|_| {}),
    };
    Arc::new(Feed::new(instance(own), &[], source(cluster), hooks))
}

fn fresh_response() -> SyncResponse {
    SyncResponse {
        feed: 7,
        config_version: 3,
        config_age_ms: 0,
        config_offset: None,
        superseded_age_ms: None,
        list_version: 1,
        whole: true,
        settled: true,
        source_age_ms: 0,
        store_era: None,
        waited_ms: 0,
        instances: Vec::new(),
        servers: Vec::new(),
        gone_instances: Vec::new(),
        gone_servers: Vec::new(),
        refused_servers: Vec::new(),
    }
}

/// Returns the instances' names in rendezvous order; the first one reads the platform.
fn rendezvous_order() -> Vec<String> {
    let all = ["i0", "i1", "i2", "i3"].map(instance).to_vec();
    let view = member::View::new(1, all, Vec::new());
    let order = member::queries::task_order(&view, "feed", 4);
    order.iter().map(|instance| instance.name.clone()).collect()
}

fn cluster_of_four() -> Arc<FakeCluster> {
    let cluster = Arc::new(FakeCluster::default());
    *cluster.instances.lock().expect("no panic") = ["i0", "i1", "i2", "i3"].map(instance).to_vec();
    cluster
}

#[tokio::test]
async fn follow_first_in_order_reads() {
    let cluster = cluster_of_four();
    let feed = feed(&cluster, &rendezvous_order()[0]);
    tokio::spawn(follow(Arc::clone(&feed)));
    sleep(Duration::from_millis(600)).await;
    assert!(has_server_list(&feed) && source_age_ms(&feed) < 1_000);
    assert_eq!(cluster.config_version.load(Ordering::SeqCst), 3);
    // Peers may get sync requests before the first read, but not after it.
    let count_before = cluster.sync_requests.load(Ordering::SeqCst);
    sleep(Duration::from_millis(900)).await;
    assert_eq!(cluster.sync_requests.load(Ordering::SeqCst), count_before);
}

/// All instances that read the platform at the start of a new fleet read the history as well, which is several times as long
/// as the list. The platform could not answer the others in time.
#[tokio::test]
async fn follow_new_fleet_without_history() {
    for (is_fleet_new, history_reads) in [(true, 0), (false, 1)] {
        let cluster = cluster_of_four();
        cluster.is_fleet_new.store(is_fleet_new, Ordering::SeqCst);
        let feed = feed(&cluster, &rendezvous_order()[0]);
        tokio::spawn(follow(Arc::clone(&feed)));
        sleep(Duration::from_millis(600)).await;
        assert!(has_server_list(&feed));
        assert_eq!(cluster.history_reads.load(Ordering::SeqCst), history_reads);
    }
}

#[tokio::test]
async fn follow_other_syncs_without_reading() {
    let cluster = cluster_of_four();
    cluster.config_version.store(3, Ordering::SeqCst);
    *cluster.peer_response.lock().expect("no panic") = Some(fresh_response());
    let feed = feed(&cluster, &rendezvous_order()[3]);
    tokio::spawn(follow(Arc::clone(&feed)));
    sleep(Duration::from_millis(1_200)).await;
    assert!(has_server_list(&feed));
    assert!(cluster.sync_requests.load(Ordering::SeqCst) > 1);
    assert_eq!(cluster.platform_reads.load(Ordering::SeqCst), 0);
}

#[tokio::test]
async fn follow_few_read_during_outage() {
    // All instances get stale data from one another. If all of them then read, an outage would cause needless calls.
    let cluster = cluster_of_four();
    cluster.config_version.store(3, Ordering::SeqCst);
    cluster.is_unavailable.store(true, Ordering::SeqCst);
    *cluster.peer_response.lock().expect("no panic") = Some(SyncResponse {
        source_age_ms: 10_000,
        config_age_ms: 10_000,
        ..fresh_response()
    });
    let feeds: Vec<_> = (0..20)
        .map(|_| feed(&cluster, &rendezvous_order()[3]))
        .collect();
    for feed in &feeds {
        tokio::spawn(follow(Arc::clone(feed)));
    }
    sleep(Duration::from_millis(3_000)).await;
    let platform_reads = cluster.platform_reads.load(Ordering::SeqCst);
    // Each reader makes two calls at once and repeats them with growing pauses: six or more in this time.
    assert!(
        platform_reads < 60,
        "{platform_reads} calls of 20 instances"
    );
}

#[tokio::test]
async fn follow_other_reads_without_responses() {
    let cluster = cluster_of_four();
    let feed = feed(&cluster, &rendezvous_order()[3]);
    tokio::spawn(follow(Arc::clone(&feed)));
    sleep(Duration::from_millis(2_500)).await;
    assert!(has_server_list(&feed));
    assert!(cluster.platform_reads.load(Ordering::SeqCst) > 0);
}

#[tokio::test]
async fn sync_response_reports_failure_at_once() {
    let cluster = cluster_of_four();
    let feed = feed(&cluster, &rendezvous_order()[0]);
    tokio::spawn(follow(Arc::clone(&feed)));
    sleep(Duration::from_millis(600)).await;
    let first_response = sync_response(&feed, &sync_request(0, 0)).await;
    assert!(
        first_response.whole
            && first_response.servers.len() == 1
            && first_response.source_age_ms < 2_500
    );
    cluster.is_unavailable.store(true, Ordering::SeqCst);
    let started = Instant::now();
    let second_response =
        sync_response(&feed, &sync_request(feed.id, first_response.list_version)).await;
    assert!(
        second_response.source_age_ms >= 2_500,
        "{}",
        second_response.source_age_ms
    );
    assert!(started.elapsed() < Duration::from_millis(1_500));
}

#[tokio::test]
async fn sync_response_waits_for_change() {
    let feed = feed(&cluster_of_four(), "i0");
    let first_response = sync_response(&feed, &sync_request(0, 0)).await;
    let started = Instant::now();
    let change = async {
        sleep(Duration::from_millis(100)).await;
        record_requester(&feed, &encode_instance(&instance("i9")));
    };
    let waiting = sync_request(feed.id, first_response.list_version);
    let (response, ()) = tokio::join!(sync_response(&feed, &waiting), change);
    assert!(started.elapsed() >= Duration::from_millis(100));
    assert_eq!(response.instances.len(), 1);
}

fn sync_request(feed: u64, known_list: u64) -> SyncRequest {
    SyncRequest {
        known_version: 3,
        announced_version: 3,
        config_age_ms: 0,
        feed,
        known_list,
        list_digest: 0,
        server_digest: 0,
        known_age_ms: 0,
        refused_servers: Vec::new(),
        store_era: None,
        wait_ms: 2_000,
        own: encode_instance(&instance("i2")),
    }
}

#[tokio::test]
async fn sync_response_waits_while_both_start() {
    // An instance that has just started responds once it has all data, instead of at once without it.
    let cluster = Arc::new(FakeCluster::default());
    let feed = feed(&cluster, "a1");
    let request = SyncRequest {
        known_version: 0,
        announced_version: 0,
        config_age_ms: 0,
        feed: 0,
        known_list: 0,
        wait_ms: 2_000,
        own: encode_instance(&instance("a2")),
        list_digest: 0,
        server_digest: 0,
        known_age_ms: 0,
        refused_servers: Vec::new(),
        store_era: None,
    };
    record_requester(&feed, &request.own);
    let started = Instant::now();
    let (response, ()) = tokio::join!(sync_response(&feed, &request), async {
        sleep(Duration::from_millis(100)).await;
        tokio::spawn(follow(Arc::clone(&feed)));
    });
    assert!(response.source_age_ms < 1_000, "{response:?}");
    assert!(
        started.elapsed() < Duration::from_millis(1_500),
        "{response:?}"
    );
}

/// Size of the document that [`feed_with_config`] has, in bytes.
const CONFIG_BYTES: usize = 40_000;

/// Returns a feed that has a configuration of [`CONFIG_BYTES`].
fn feed_with_config() -> Arc<Feed> {
    let cluster = cluster_of_four();
    cluster.config_version.store(3, Ordering::SeqCst);
    feed(&cluster, "i0")
}

fn whole_config() -> ConfigPatch {
    let data: Vec<u8> = (0..CONFIG_BYTES).map(|at| (at % 251) as u8).collect();
    ConfigPatch::new(0, 3, data.into())
}

/// Requests the part of the configuration that follows `received`.
fn request_part(feed: &Feed, requester: &str, received: &[u8]) -> ConfigPartResponse {
    let request = ConfigPartRequest {
        requester: requester.to_owned(),
        known_version: 1,
        patch: whole_config().hash,
        position: received.len() as u64,
    };
    send_config_part(feed, &request)
}

fn receive_all(feed: &Feed, requester: &str) -> Vec<u8> {
    let mut received = Vec::new();
    while received.len() < CONFIG_BYTES {
        let response = request_part(feed, requester, &received);
        assert_eq!(response.position, received.len() as u64);
        received.extend(decode_data(&response.data).expect("is base64"));
    }
    received
}

#[tokio::test]
async fn send_config_part_sends_all() {
    let feed = feed_with_config();
    assert_eq!(receive_all(&feed, "i1"), whole_config().data);
}

/// A large document for many instances at once filled the link of the one that sent it; small messages waited behind it.
#[tokio::test]
async fn send_config_part_to_few_at_a_time() {
    let feed = feed_with_config();
    let has_part = |requester: &str| !request_part(&feed, requester, &[]).data.is_empty();
    let admitted = (1..20).filter(|at| has_part(&format!("i{at}")));
    assert_eq!(admitted.count(), 4);
    let refused = request_part(&feed, "i19", &[]);
    assert_eq!((refused.version, refused.holders.len()), (3, 0));
    receive_all(&feed, "i1");
    assert!(has_part("i18"));
    // One that has the document is named to those who have to wait.
    assert_eq!(request_part(&feed, "i19", &[]).holders, ["i1"]);
    // One that stops asking makes way.
    sleep(Duration::from_millis(500)).await;
    assert!(has_part("i19"));
}

#[tokio::test]
async fn send_config_part_nothing_newer() {
    let feed = feed_with_config();
    let request = ConfigPartRequest {
        requester: "i1".to_owned(),
        known_version: 3,
        patch: 0,
        position: 0,
    };
    assert_eq!(send_config_part(&feed, &request).version, 0);
}
