//! Tests of who reads the platform and who hears from whom, with fakes in place of platform and peers.

use {
    config::Document,
    feed::{
        commands::{follow, record_requester},
        queries::{has_server_list, source_age_ms, sync_response},
        Feed, Hooks,
    },
    member::{BackendServer, Instance},
    std::{
        sync::{
            atomic::{AtomicBool, AtomicU64, Ordering},
            Arc, Mutex,
        },
        time::{Duration, Instant},
    },
    stream::{Change, ListUpdate, PublishedConfig, ReadError, Source},
    tokio::time::sleep,
    wire::{
        convert::encode_instance,
        generated::{SyncRequest, SyncResponse},
    },
};

/// A fake platform and fake peers, and what was asked of them.
#[derive(Default)]
struct Fakes {
    away: AtomicBool,
    reads: AtomicU64,
    syncs: AtomicU64,
    instances: Mutex<Vec<Instance>>,
    /// Answer of every peer; none is silence.
    peer: Mutex<Option<SyncResponse>>,
    version: AtomicU64,
}

fn instance(name: &str) -> Instance {
    Instance::new(name, "a", ([127, 0, 0, 1], 1).into())
}

fn server() -> BackendServer {
    BackendServer::new("b", "s", "a", ([127, 0, 0, 1], 2).into(), 1)
}

fn reading<Value>(values: Vec<(String, Value)>) -> ListUpdate<Value> {
    let changes = values.into_iter().map(|(name, value)| Change {
        name,
        value: Some(value),
    });
    ListUpdate {
        is_full: true,
        next_offset: 0,
        changes: changes.collect(),
        record_errors: Vec::new(),
    }
}

fn source(fakes: &Arc<Fakes>) -> Source {
    let (config, servers, instances) = (Arc::clone(fakes), Arc::clone(fakes), Arc::clone(fakes));
    Source {
        configuration: Box::new(move |_| {
            let published = PublishedConfig {
                version: 3,
                document: Document::default(),
            };
            let result = read(&config, || reading(vec![("config".into(), published)]));
            Box::pin(async move { result })
        }),
        servers: Box::new(move |_| {
            let result = read(&servers, || reading(vec![("b".into(), server())]));
            Box::pin(async move { result })
        }),
        instances: Box::new(move |_| {
            let listed = instances.instances.lock().expect("no panic").clone();
            let rows = listed.into_iter().map(|one| (one.name.clone(), one));
            let result = Ok(reading(rows.collect()));
            Box::pin(async move { result })
        }),
        announce: Box::new(|_| Box::pin(async { Ok(()) })),
        withdraw: Box::new(|_| Box::pin(async { Ok(()) })),
    }
}

fn read<Value, Make>(fakes: &Fakes, make: Make) -> Result<ListUpdate<Value>, ReadError>
where
    Make: FnOnce() -> ListUpdate<Value>,
{
    fakes.reads.fetch_add(1, Ordering::SeqCst);
    if fakes.away.load(Ordering::SeqCst) {
        return Err(ReadError::Unavailable);
    }
    Ok(make())
}

fn feed(fakes: &Arc<Fakes>, own: &str) -> Arc<Feed> {
    let (sync, version, put) = (Arc::clone(fakes), Arc::clone(fakes), Arc::clone(fakes));
    let hooks = Hooks {
        sync_peer: Box::new(move |_, _, limit_ms| {
            let fakes = Arc::clone(&sync);
            Box::pin(async move {
                fakes.syncs.fetch_add(1, Ordering::SeqCst);
                let answer = fakes.peer.lock().expect("no panic").clone();
                sleep(Duration::from_millis(limit_ms / 10)).await;
                answer
            })
        }),
        is_in_backoff: Box::new(|_| false),
        active_config_version: Box::new(move || version.version.load(Ordering::SeqCst)),
        activate_config: Box::new(move |published| {
            put.version.fetch_max(published.version, Ordering::SeqCst);
        }),
        activate_peer_config: Box::new(|_| {}),
        newer_config: Box::new(|_| None),
        owns_pools: Box::new(|| false),
        publish_view: Box::new(|_| {}),
    };
    Arc::new(Feed::new(instance(own), &[], source(fakes), hooks))
}

fn fresh_answer() -> SyncResponse {
    SyncResponse {
        feed: 7,
        config: None,
        list_version: 1,
        whole: true,
        settled: true,
        source_age_ms: 0,
        instances: Vec::new(),
        servers: Vec::new(),
        gone_instances: Vec::new(),
        gone_servers: Vec::new(),
    }
}

/// The names in rendezvous order, the first reader first.
fn order() -> Vec<String> {
    let all = ["i0", "i1", "i2", "i3"].map(instance).to_vec();
    let view = member::View::new(1, all, Vec::new());
    let order = member::queries::task_order(&view, "feed", 4);
    order.iter().map(|one| one.name.clone()).collect()
}

fn four() -> Arc<Fakes> {
    let fakes = Arc::new(Fakes::default());
    *fakes.instances.lock().expect("no panic") = ["i0", "i1", "i2", "i3"].map(instance).to_vec();
    fakes
}

#[tokio::test]
async fn follow_first_in_order_reads() {
    let fakes = four();
    let feed = feed(&fakes, &order()[0]);
    tokio::spawn(follow(Arc::clone(&feed)));
    sleep(Duration::from_millis(600)).await;
    assert!(has_server_list(&feed) && source_age_ms(&feed) < 1_000);
    assert_eq!(fakes.version.load(Ordering::SeqCst), 3);
    // Others may be asked before the first reading, and not after.
    let asked = fakes.syncs.load(Ordering::SeqCst);
    sleep(Duration::from_millis(900)).await;
    assert_eq!(fakes.syncs.load(Ordering::SeqCst), asked);
}

#[tokio::test]
async fn follow_other_hears_and_does_not_read() {
    let fakes = four();
    fakes.version.store(3, Ordering::SeqCst);
    *fakes.peer.lock().expect("no panic") = Some(fresh_answer());
    let feed = feed(&fakes, &order()[3]);
    tokio::spawn(follow(Arc::clone(&feed)));
    sleep(Duration::from_millis(1_200)).await;
    assert!(has_server_list(&feed));
    assert!(fakes.syncs.load(Ordering::SeqCst) > 1);
    assert_eq!(fakes.reads.load(Ordering::SeqCst), 0);
}

#[tokio::test]
async fn follow_few_read_while_the_platform_is_away() {
    // All hear from one another that nobody has news: calls by all of them would not bring it back.
    let fakes = four();
    fakes.version.store(3, Ordering::SeqCst);
    fakes.away.store(true, Ordering::SeqCst);
    *fakes.peer.lock().expect("no panic") = Some(SyncResponse {
        source_age_ms: 10_000,
        ..fresh_answer()
    });
    let feeds: Vec<_> = (0..20).map(|_| feed(&fakes, &order()[3])).collect();
    for feed in &feeds {
        tokio::spawn(follow(Arc::clone(feed)));
    }
    sleep(Duration::from_millis(3_000)).await;
    let reads = fakes.reads.load(Ordering::SeqCst);
    // Each that reads makes two calls at once and again with growing pauses, six or more in this time.
    assert!(reads < 60, "{reads} calls of 20 instances");
}

#[tokio::test]
async fn follow_other_reads_when_all_are_silent() {
    let fakes = four();
    let feed = feed(&fakes, &order()[3]);
    tokio::spawn(follow(Arc::clone(&feed)));
    sleep(Duration::from_millis(2_500)).await;
    assert!(has_server_list(&feed));
    assert!(fakes.reads.load(Ordering::SeqCst) > 0);
}

#[tokio::test]
async fn sync_response_tells_failure_at_once() {
    let fakes = four();
    let feed = feed(&fakes, &order()[0]);
    tokio::spawn(follow(Arc::clone(&feed)));
    sleep(Duration::from_millis(600)).await;
    let known = sync_response(&feed, &ask(0, 0)).await;
    assert!(known.whole && known.servers.len() == 1 && known.source_age_ms < 2_500);
    fakes.away.store(true, Ordering::SeqCst);
    let asked = Instant::now();
    let told = sync_response(&feed, &ask(feed.id, known.list_version)).await;
    assert!(told.source_age_ms >= 2_500, "{}", told.source_age_ms);
    assert!(asked.elapsed() < Duration::from_millis(1_500));
}

#[tokio::test]
async fn sync_response_waits_for_change() {
    let feed = feed(&four(), "i0");
    let first = sync_response(&feed, &ask(0, 0)).await;
    let asked = Instant::now();
    let telling = async {
        sleep(Duration::from_millis(100)).await;
        record_requester(&feed, &encode_instance(&instance("i9")));
    };
    let waiting = ask(feed.id, first.list_version);
    let (answer, ()) = tokio::join!(sync_response(&feed, &waiting), telling);
    assert!(asked.elapsed() >= Duration::from_millis(100));
    assert_eq!(answer.instances.len(), 1);
}

fn ask(feed: u64, known_list: u64) -> SyncRequest {
    SyncRequest {
        known_version: 3,
        feed,
        known_list,
        list_digest: 0,
        wait_ms: 2_000,
        own: encode_instance(&instance("i2")),
    }
}

#[tokio::test]
async fn sync_response_waits_while_both_start() {
    // Whoever asks one that has just started gets one answer with everything, not at once one without it.
    let fakes = Arc::new(Fakes::default());
    let feed = feed(&fakes, "a1");
    let ask = SyncRequest {
        known_version: 0,
        feed: 0,
        known_list: 0,
        wait_ms: 2_000,
        own: encode_instance(&instance("a2")),
        list_digest: 0,
    };
    record_requester(&feed, &ask.own);
    let asked = Instant::now();
    let (answer, ()) = tokio::join!(sync_response(&feed, &ask), async {
        sleep(Duration::from_millis(100)).await;
        tokio::spawn(follow(Arc::clone(&feed)));
    });
    assert!(answer.source_age_ms < 1_000, "{answer:?}");
    assert!(asked.elapsed() < Duration::from_millis(1_500), "{answer:?}");
}
