//! A fleet of feeds with a store and a network that fail on schedule, in simulated time.
//!
//! The feeds run on one thread with a paused clock, so a run is determined by its seed and its faults. What an instance
//! believes is what it handles a request with at that moment.

mod calls;
mod check;
mod fault;
mod link;
mod start;
mod store;

pub(crate) use self::{
    check::Outcome,
    fault::{Fault, FaultKind},
    link::MEMBER_BYTES,
    store::{LateWrite, Rollback, ServerState, StoreChange, SERVERS},
};

use {
    self::{
        calls::{patch, request_part, sync},
        check::{check, check_own_records},
        link::{pass, Link},
        start::{count_calls, restart_all, wait_until_started},
        store::{server_name, source, StoreModel},
    },
    config::{
        commands::merge_accepted, queries::accepted_version, AcceptedConfig, ConfigReplica,
        Document,
    },
    feed::{commands::follow, Feed, Hooks},
    member::{queries::pool_servers, Instance, Presence, View},
    std::{
        collections::BTreeMap,
        future::{poll_fn, Future},
        pin::pin,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        task::Poll,
        time::Duration,
    },
    stream::ListedSource,
    tokio::{
        runtime::Builder,
        task::JoinHandle,
        time::{sleep, Instant},
    },
};

/// Time that the feeds have to settle before the first fault, in milliseconds.
pub(crate) const SETTLE_MS: u64 = 6_000;
/// Time from a start of all instances until the fleet is calm, in milliseconds.
const CALM_MS: u64 = 10_000;
/// Interval at which the beliefs of all instances are checked, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 50;
/// Time for which an instance must have had no fault before it counts as in touch, in milliseconds.
const STABLE_MS: u64 = 3_000;
/// Rate at which the store reads its answers, in bytes per millisecond, for all instances together.
const STORE_BYTES_PER_MS: u64 = 80_000;
/// Duration of an append, in milliseconds.
const APPEND_MS: u64 = 2;
/// Time of one way between two processes, in milliseconds.
const DELAY_MS: u64 = 2;

/// A run of a fleet.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) seed: u64,
    pub(crate) instances: usize,
    pub(crate) faults: Vec<Fault>,
    /// Changes of the store, at times in milliseconds after the fleet has settled.
    pub(crate) changes: Vec<StoreChange>,
    /// Writes that the store executes late, at times in milliseconds after the fleet has settled.
    pub(crate) late_writes: Vec<LateWrite>,
    /// Returns of the store from a copy, at times in milliseconds after the fleet has settled, multiples of 50 ms.
    pub(crate) rollbacks: Vec<Rollback>,
    /// Instances to which the store doesn't state its era.
    pub(crate) without_era: Vec<usize>,
    /// Time from an acknowledgement until the change must be known everywhere, in milliseconds.
    pub(crate) bound_ms: u64,
    /// Whether the servers report when their processes started.
    pub(crate) has_start_times: bool,
    /// Size of a server in a list, in bytes. Few servers stand for many if it is large.
    pub(crate) server_bytes: u64,
    /// Whether all instances start again at once after the last fault, as after a loss of power.
    pub(crate) restarts_all: bool,
    /// Rate of the links of small instances, in bytes per millisecond. Large ones have twenty times as much.
    pub(crate) link_bytes_per_ms: u64,
    /// Which instances are large: the first of each so many.
    pub(crate) large: (usize, usize),
}

/// The process of one instance.
struct Process {
    feed: Arc<Feed>,
    incarnation: u64,
    task: JoinHandle<()>,
}

/// What an instance believes.
#[derive(Clone, Debug, Default)]
struct Belief {
    incarnation: u64,
    config: ConfigReplica,
    servers: BTreeMap<String, ServerState>,
    /// Whether an older version replaced a newer one.
    has_regressed: bool,
    /// A server that left, was known to be gone and has returned, in a run with rollbacks.
    returned: Option<usize>,
}

impl Belief {
    fn version(&self) -> u64 {
        accepted_version(&self.config)
    }
}

/// Records that the instances write: what each announced, and the directory of sources.
type OwnRecords = (Vec<u64>, BTreeMap<String, ListedSource>);

/// A call to the store.
#[derive(Clone, Copy, Debug)]
struct StoreCall {
    /// Time of the call, in milliseconds.
    at_ms: u64,
    instance: usize,
    is_read: bool,
}

pub(crate) struct World {
    faults: Vec<Fault>,
    rollbacks: Vec<Rollback>,
    started: Instant,
    store: StoreModel,
    processes: Mutex<Vec<Option<Process>>>,
    beliefs: Mutex<Vec<Belief>>,
    /// Size of a server in a list, in bytes.
    server_bytes: u64,
    /// Which instances are large: the first of each so many.
    large: (usize, usize),
    /// Calls to the store, in the order of their times.
    store_calls: Mutex<Vec<StoreCall>>,
    /// What the store answers to reads passes it one after the other.
    store_link: Link,
    /// Appends to a topic take effect one after the other: to that of the instances, and to the directory.
    append_links: [Link; 2],
    /// Directory of sources.
    directory: Mutex<BTreeMap<String, ListedSource>>,
    /// By instance: what it sends, and what it receives.
    links: Vec<(Link, Link)>,
    /// Incarnation that each instance announced last.
    announced: Mutex<Vec<u64>>,
    /// Copy of the instances' own records to which the store returns.
    copy: Mutex<Option<OwnRecords>>,
    /// Instances to which the store doesn't state its era.
    without_era: Vec<usize>,
}

impl World {
    /// Returns the time since the start of the simulation, in milliseconds.
    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    async fn sleep_ms(&self, ms: u64) {
        sleep(Duration::from_millis(ms)).await;
    }

    fn active_faults(&self, instance: usize) -> impl Iterator<Item = &Fault> {
        let now_ms = self.now_ms();
        let active = move |fault: &&Fault| fault.is_active(instance, now_ms);
        self.faults.iter().filter(active)
    }

    fn has_fault(&self, instance: usize, kinds: &[FaultKind]) -> bool {
        self.active_faults(instance)
            .any(|fault| kinds.contains(&fault.kind))
    }

    /// Waits until the instance's process no longer stands still.
    async fn thaw(&self, instance: usize) {
        loop {
            let freezes = self.active_faults(instance);
            let end_ms = freezes
                .filter(|fault| fault.kind == FaultKind::Freeze)
                .map(Fault::end_ms)
                .max();
            match end_ms {
                Some(end_ms) => self.sleep_ms(end_ms - self.now_ms()).await,
                None => return,
            }
        }
    }

    fn is_in_touch(&self, instance: usize) -> bool {
        let now_ms = self.now_ms();
        let mut faults = self.faults.iter();
        !faults.any(|fault| fault.is_recent(instance, now_ms, STABLE_MS))
    }

    /// Returns the era that the store states to an instance.
    fn stated_era(&self, index: usize) -> Option<u64> {
        let era = 1 + self.store.rollbacks_before(self.now_ms()) as u64;
        (!self.without_era.contains(&index)).then_some(era)
    }

    fn copy_own_records(&self) {
        let records = (
            locked(&self.announced).clone(),
            locked(&self.directory).clone(),
        );
        *locked(&self.copy) = Some(records);
    }

    fn restore_own_records(&self) {
        if let Some((announced, directory)) = locked(&self.copy).take() {
            *locked(&self.announced) = announced;
            *locked(&self.directory) = directory;
        }
    }

    fn feed_of(&self, name: &str) -> Option<(usize, Arc<Feed>)> {
        let index: usize = name.strip_prefix('i')?.parse().ok()?;
        let processes = locked(&self.processes);
        let process = processes.get(index)?.as_ref()?;
        Some((index, Arc::clone(&process.feed)))
    }

    fn count_store_call(&self, instance: usize, is_read: bool) {
        let call = StoreCall {
            at_ms: self.now_ms(),
            instance,
            is_read,
        };
        locked(&self.store_calls).push(call);
    }

    /// Waits until an answer of the store has been read there.
    async fn pass_store(&self, bytes: u64) {
        pass(&[&self.store_link], bytes).await;
    }

    /// Waits until an append to the topic has taken effect.
    async fn pass_append(&self, topic: usize) {
        pass(&[&self.append_links[topic]], 1).await;
    }

    /// Waits until the appends to the topic before now have taken effect, as reads of it do.
    async fn wait_for_appends(&self, topic: usize) {
        self.append_links[topic].wait_until_idle().await;
    }

    fn directory(&self) -> Vec<ListedSource> {
        locked(&self.directory).values().cloned().collect()
    }

    fn write_directory(&self, written: Vec<ListedSource>, removed: &[String]) {
        let mut directory = locked(&self.directory);
        for source in written {
            directory.insert(source.instance.name.clone(), source);
        }
        directory.retain(|name, _| !removed.contains(name));
    }

    /// Waits until a message from the store has arrived.
    async fn receive(&self, to: usize, bytes: u64) {
        pass(&[&self.links[to].1], bytes).await;
    }

    fn announce(&self, index: usize, incarnation: u64) {
        locked(&self.announced)[index] = incarnation;
    }

    fn instance(&self, index: usize, incarnation: u64) -> Instance {
        instance(index, incarnation, is_large(index, self.large))
    }

    fn announced_instances(&self) -> Vec<Instance> {
        let announced = locked(&self.announced);
        let incarnations = announced.iter().copied().enumerate();
        incarnations
            .filter(|&(_, incarnation)| incarnation > 0)
            .map(|(index, incarnation)| self.instance(index, incarnation))
            .collect()
    }

    /// Changes the belief of an instance, unless the process that learnt of it was killed.
    fn update_belief<Change>(&self, index: usize, incarnation: u64, change: Change)
    where
        Change: FnOnce(&mut Belief),
    {
        let mut beliefs = locked(&self.beliefs);
        if beliefs[index].incarnation == incarnation {
            change(&mut beliefs[index]);
        }
    }
}

fn locked<Value>(mutex: &Mutex<Value>) -> MutexGuard<'_, Value> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn instance(index: usize, incarnation: u64, is_large: bool) -> Instance {
    let data_centre = ["a", "b", "c", "d"][index % 4];
    Instance {
        incarnation,
        region: "r".to_owned(),
        capacity_permille: if is_large { 500 } else { 70 },
        ..Instance::new(
            &format!("i{index}"),
            data_centre,
            ([127, 0, 0, 1], 1).into(),
        )
    }
}

/// Returns whether the instance is one of the large ones, the first `large.0` of each `large.1`.
fn is_large(index: usize, large: (usize, usize)) -> bool {
    index % large.1 < large.0
}

fn hooks(world: &Arc<World>, index: usize, incarnation: u64) -> Hooks {
    let clone = || Arc::clone(world);
    let (for_clock, for_sync, for_version, for_activate) = (clone(), clone(), clone(), clone());
    let (for_part, for_patch, for_whole, for_view) = (clone(), clone(), clone(), clone());
    let activate = move |world: &World, version: u64| {
        let accepted = AcceptedConfig {
            version,
            digest: String::new(),
            through_offset: 0,
            document: Document::default(),
        };
        world.update_belief(index, incarnation, |belief| {
            let former_version = belief.version();
            merge_accepted(&mut belief.config, &accepted);
            belief.has_regressed |= belief.version() < former_version;
        });
    };
    Hooks {
        now_ms: Box::new(move || for_clock.now_ms()),
        sync_peer: Box::new(move |peer, request, timeout_ms| {
            let world = Arc::clone(&for_sync);
            Box::pin(async move { sync(&world, index, &peer, &request, timeout_ms).await })
        }),
        is_in_backoff: Box::new(|_| false),
        active_config_version: Box::new(move || locked(&for_version.beliefs)[index].version()),
        activate_config: Box::new(move |published| {
            let former_version = locked(&for_activate.beliefs)[index].version();
            if published.version <= former_version {
                return None;
            }
            activate(&for_activate, published.version);
            Some(patch(
                &for_activate.store,
                former_version,
                published.version,
            ))
        }),
        request_config_part: Box::new(move |peer, request, timeout_ms| {
            let world = Arc::clone(&for_part);
            Box::pin(async move { request_part(&world, index, &peer, &request, timeout_ms).await })
        }),
        activate_patch: Box::new(move |patch| {
            let version = locked(&for_patch.beliefs)[index].version();
            if patch.base_version > 0 && patch.base_version != version {
                return Err(format!("version {version} is active"));
            }
            activate(&for_patch, patch.version);
            Ok(())
        }),
        whole_config: Box::new(move || {
            let version = locked(&for_whole.beliefs)[index].version();
            (version > 0).then(|| patch(&for_whole.store, 0, version))
        }),
        owns_pools: Box::new(move || index.is_multiple_of(10)),
        publish_view: Box::new(move |view: Arc<View>| {
            let servers = believed_servers(&view);
            let now_ms = for_view.now_ms();
            for_view.update_belief(index, incarnation, |belief| {
                // The first view that has servers brings them all.
                let is_new = |name: &String| {
                    !belief.servers.is_empty() && !belief.servers.contains_key(name)
                };
                let gone = (0..SERVERS)
                    .filter(|&at| for_view.store.server_state(at, now_ms) == ServerState::Gone);
                let mut returned = gone.filter(|&at| {
                    servers.contains_key(&server_name(at)) && is_new(&server_name(at))
                });
                if !for_view.rollbacks.is_empty() {
                    belief.returned = belief.returned.or(returned.next());
                }
                belief.servers = servers;
            });
        }),
    }
}

fn believed_servers(view: &View) -> BTreeMap<String, ServerState> {
    let servers = pool_servers(view, "service", "r");
    let states = servers.map(|server| {
        let state = match server.presence {
            Presence::Live => ServerState::Live,
            Presence::Leaving => ServerState::Leaving,
        };
        (server.name.clone(), state)
    });
    states.collect()
}

/// Starts the process of an instance; ends the former one.
fn start(world: &Arc<World>, index: usize) {
    let former = locked(&world.processes)[index].take();
    let incarnation = former.as_ref().map_or(1, |process| process.incarnation + 1);
    if let Some(former) = former {
        former.task.abort();
    }
    locked(&world.beliefs)[index] = Belief {
        incarnation,
        ..Belief::default()
    };
    let feed = Arc::new(Feed::new(
        world.instance(index, incarnation),
        &[],
        source(world, index),
        hooks(world, index, incarnation),
    ));
    let task = tokio::spawn(run_unless_frozen(
        Arc::clone(world),
        index,
        follow(Arc::clone(&feed)),
    ));
    locked(&world.processes)[index] = Some(Process {
        feed,
        incarnation,
        task,
    });
}

/// Runs the work of a process, which makes no progress while the process stands still.
async fn run_unless_frozen<Work>(world: Arc<World>, index: usize, work: Work)
where
    Work: Future<Output = ()>,
{
    let mut work = pin!(work);
    loop {
        world.thaw(index).await;
        let until_frozen = poll_fn(|context| {
            if world.has_fault(index, &[FaultKind::Freeze]) {
                return Poll::Ready(false);
            }
            work.as_mut().poll(context).map(|()| true)
        });
        if until_frozen.await {
            return;
        }
    }
}

/// Plays a scenario and returns what it showed.
pub(crate) fn play(scenario: &Scenario) -> Outcome {
    fastrand::seed(scenario.seed);
    let runtime = Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build();
    let runtime = runtime.expect("a runtime without I/O can be built");
    runtime.block_on(run(scenario))
}

async fn run(scenario: &Scenario) -> Outcome {
    let count = scenario.instances;
    let world = Arc::new(new_world(scenario));
    for index in 0..count {
        start(&world, index);
    }
    let last_fault_ms = world.faults.iter().map(Fault::end_ms).max();
    let last_change_ms = scenario.changes.iter().map(|change| change.at_ms).max();
    let last_return_ms = world.rollbacks.iter().map(Rollback::return_ms).max();
    let last_ms = last_fault_ms
        .max(last_change_ms.map(|at_ms| at_ms + SETTLE_MS))
        .max(last_return_ms.map(|at_ms| at_ms + SETTLE_MS));
    let end_ms = last_ms.unwrap_or(SETTLE_MS) + STABLE_MS + scenario.bound_ms;
    let mut outcome = Outcome {
        started_ms: wait_until_started(&world).await,
        ..Outcome::default()
    };
    world
        .sleep_ms(SETTLE_MS.saturating_sub(world.now_ms()))
        .await;
    while world.now_ms() < end_ms {
        let now_ms = world.now_ms();
        let killed = world.faults.iter().filter(|fault| {
            fault.kind == FaultKind::Kill
                && fault.at_ms <= now_ms
                && now_ms < fault.at_ms + CHECK_INTERVAL_MS
        });
        for &index in killed.flat_map(|fault| &fault.instances) {
            start(&world, index);
        }
        for rollback in &world.rollbacks {
            if rollback.copy_ms() == now_ms {
                world.copy_own_records();
            }
            if rollback.return_ms() == now_ms {
                world.restore_own_records();
            }
        }
        check(&world, scenario.bound_ms, &mut outcome);
        world.sleep_ms(CHECK_INTERVAL_MS).await;
    }
    if !scenario.rollbacks.is_empty() {
        check_own_records(&world, &mut outcome);
    }
    if scenario.restarts_all {
        restart_all(&world, &mut outcome).await;
    }
    count_calls(&world, &mut outcome);
    for process in locked(&world.processes).drain(..).flatten() {
        process.task.abort();
    }
    outcome
}

fn new_world(scenario: &Scenario) -> World {
    let faults = scenario.faults.iter().map(|fault| Fault {
        at_ms: fault.at_ms + SETTLE_MS,
        ..fault.clone()
    });
    let changes = scenario.changes.iter().map(|change| StoreChange {
        at_ms: change.at_ms + SETTLE_MS,
        ..*change
    });
    let changes: Vec<StoreChange> = changes.collect();
    let late_writes = scenario.late_writes.iter();
    let late_writes = late_writes.map(|late| late.delayed(SETTLE_MS));
    let late_writes: Vec<LateWrite> = late_writes.collect();
    let rollbacks = scenario.rollbacks.iter();
    let rollbacks: Vec<Rollback> = rollbacks.map(|it| it.delayed(SETTLE_MS)).collect();
    World {
        faults: faults.collect(),
        started: Instant::now(),
        store: StoreModel::new(&changes, &late_writes, &rollbacks, scenario.has_start_times),
        rollbacks,
        without_era: scenario.without_era.clone(),
        copy: Mutex::new(None),
        processes: Mutex::new((0..scenario.instances).map(|_| None).collect()),
        beliefs: Mutex::new(vec![Belief::default(); scenario.instances]),
        server_bytes: scenario.server_bytes,
        large: scenario.large,
        store_calls: Mutex::new(Vec::new()),
        store_link: Link::new(STORE_BYTES_PER_MS),
        append_links: [(); 2].map(|()| Link::with_duration(Duration::from_millis(APPEND_MS))),
        directory: Mutex::new(BTreeMap::new()),
        links: (0..scenario.instances)
            .map(|index| {
                let factor = if is_large(index, scenario.large) {
                    20
                } else {
                    1
                };
                let link = || Link::new(scenario.link_bytes_per_ms * factor);
                (link(), link())
            })
            .collect(),
        announced: Mutex::new(vec![0; scenario.instances]),
    }
}
