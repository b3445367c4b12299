//! A model of the platform's store, whose contents at any time follow from a list of changes.

use {
    super::{
        fault::FaultKind,
        link::{MEMBER_BYTES, MESSAGE_BYTES, ROUTE_BYTES},
        World, DELAY_MS,
    },
    config::Document,
    member::{BackendServer, Presence},
    std::{future::pending, sync::Arc, time::Duration},
    stream::{AppendError, Change, Cursor, ListUpdate, PublishedConfig, ReadError, Source},
    tokio::time::timeout,
};

/// Number of backend servers.
pub(crate) const SERVERS: usize = 24;
/// Interval of the servers' heartbeats, in milliseconds.
const HEARTBEAT_MS: u64 = 1_500;
/// Time after its last write at which the store deletes a record, in milliseconds.
const LAPSE_MS: u64 = 3 * HEARTBEAT_MS;
/// Time of the last heartbeats, in milliseconds; later than the end of any run.
const LAST_HEARTBEAT_MS: u64 = 120_000;
/// Time until the answer to a read begins, in addition to its wait, in milliseconds.
const READ_TIMEOUT_MS: u64 = 600;
/// Time without progress after which an answer that has begun is lost, in milliseconds.
const PROGRESS_TIMEOUT_MS: u64 = 600;
/// Time allowed for an append, in milliseconds.
const APPEND_TIMEOUT_MS: u64 = 1_200;
/// Time from the store's return from a copy until operators and servers write again what was lost, in milliseconds.
const REWRITE_MS: u64 = 300;
/// Longest delay of an answer while the store is slow, in milliseconds.
const SLOW_MS: u64 = 900;

/// What the list of servers says of one of them.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum ServerState {
    Live,
    Leaving,
    Gone,
}

/// A change of the store, with its time in milliseconds of the simulation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StoreChange {
    pub(crate) at_ms: u64,
    /// The server that changes and its new state; none for a new version of the configuration.
    pub(crate) server: Option<(usize, ServerState)>,
    /// Routes that the new version of the configuration adds to the former one, besides one that it changes.
    pub(crate) added_routes: u64,
}

/// A write of a server's record that the store executes only after the record was deleted. No further write follows, so
/// the record lapses. Times are in milliseconds of the simulation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LateWrite {
    pub(crate) server: usize,
    /// Time at which the server sent the write.
    pub(crate) sent_ms: u64,
    /// Time at which the store executes it.
    pub(crate) executed_ms: u64,
}

impl LateWrite {
    /// Returns the same write `ms` later.
    pub(crate) fn delayed(self, ms: u64) -> Self {
        Self {
            sent_ms: self.sent_ms + ms,
            executed_ms: self.executed_ms + ms,
            ..self
        }
    }

    fn lapses_ms(&self) -> u64 {
        self.executed_ms + LAPSE_MS
    }
}

/// A return of the store from a copy of its data. Times are in milliseconds of the simulation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rollback {
    /// Time from which the store is away.
    pub(crate) at_ms: u64,
    /// Time for which it is away.
    pub(crate) for_ms: u64,
    /// Age of the copy when the store goes away.
    pub(crate) copy_age_ms: u64,
}

impl Rollback {
    /// Returns the same rollback `ms` later.
    pub(crate) fn delayed(self, ms: u64) -> Self {
        Self {
            at_ms: self.at_ms + ms,
            ..self
        }
    }

    pub(crate) fn copy_ms(&self) -> u64 {
        self.at_ms.saturating_sub(self.copy_age_ms)
    }

    pub(crate) fn return_ms(&self) -> u64 {
        self.at_ms + self.for_ms
    }

    fn is_away(&self, now_ms: u64) -> bool {
        (self.at_ms..=self.return_ms()).contains(&now_ms)
    }

    /// Returns whether what was written at this time is lost.
    fn loses(&self, at_ms: u64) -> bool {
        (self.copy_ms() + 1..=self.return_ms()).contains(&at_ms)
    }
}

/// What the store has from a rollback to the next one.
#[derive(Debug, Default)]
struct Epoch {
    /// Times at which the records of servers are written or deleted, each with its server, in order. A position in it is
    /// an offset.
    writes: Vec<(u64, usize)>,
    /// Times at which versions of the configuration after the first one are written, in order.
    published_ms: Vec<u64>,
}

/// The contents of the store.
#[derive(Debug)]
pub(crate) struct StoreModel {
    changes: Vec<StoreChange>,
    late_writes: Vec<LateWrite>,
    rollbacks: Vec<Rollback>,
    /// What the store has before the first rollback, and after each.
    epochs: Vec<Epoch>,
    /// By server: the times at which it sent a write of its record, or the record was deleted, in order.
    writes_of: Vec<Vec<u64>>,
    /// Whether the servers report when their processes started.
    has_start_times: bool,
}

impl StoreModel {
    pub(crate) fn new(
        changes: &[StoreChange],
        late_writes: &[LateWrite],
        rollbacks: &[Rollback],
        has_start_times: bool,
    ) -> Self {
        let mut store = Self {
            changes: changes.to_vec(),
            late_writes: late_writes.to_vec(),
            rollbacks: rollbacks.to_vec(),
            epochs: Vec::new(),
            writes_of: Vec::new(),
            has_start_times,
        };
        let mut first = Epoch::default();
        for server in 0..SERVERS {
            let mut times_ms = store.heartbeats_and_changes(server);
            let writes = times_ms.iter().map(|&at_ms| (at_ms, server));
            first.writes.extend(writes);
            let late = late_writes.iter().filter(|late| late.server == server);
            times_ms.extend(late.map(|late| late.sent_ms));
            times_ms.sort_unstable();
            store.writes_of.push(times_ms);
        }
        first.writes.sort_unstable();
        first.published_ms = store.changes_of(None).map(|it| it.at_ms).collect();
        store.epochs.push(first);
        for rollback in rollbacks {
            let epoch = store.next_epoch(rollback);
            store.epochs.push(epoch);
        }
        store
    }

    /// Returns what the store has after a rollback: the copy, what operators and servers write again, and what follows.
    fn next_epoch(&self, rollback: &Rollback) -> Epoch {
        let copy_ms = rollback.copy_ms();
        let again_ms = rollback.return_ms() + REWRITE_MS;
        let (former, original) = (self.epochs.last(), &self.epochs[0]);
        let former = former.unwrap_or(original);
        let lost = |at_ms: u64| rollback.loses(at_ms);
        let mut writes: Vec<_> = former.writes.clone();
        writes.retain(|&(at_ms, _)| at_ms <= copy_ms);
        let written_again = (0..SERVERS).filter(|&server| {
            let mut all = self.epochs.iter().flat_map(|epoch| &epoch.writes);
            all.any(|&(at_ms, of)| of == server && lost(at_ms))
        });
        writes.extend(written_again.map(|it| (again_ms + it as u64, it)));
        let later = original.writes.iter();
        writes.extend(later.filter(|(at_ms, _)| *at_ms > rollback.return_ms()));
        writes.sort_unstable();
        let mut published_ms = former.published_ms.clone();
        published_ms.retain(|&at_ms| at_ms <= copy_ms);
        let all = self.changes_of(None).map(|change| change.at_ms);
        let later = all
            .skip(published_ms.len())
            .map(|at_ms| at_ms.max(again_ms));
        published_ms.extend(later.collect::<Vec<_>>());
        Epoch {
            writes,
            published_ms,
        }
    }

    /// Returns the number of rollbacks before `now_ms`.
    pub(crate) fn rollbacks_before(&self, now_ms: u64) -> usize {
        let returned = |rollback: &&Rollback| rollback.return_ms() < now_ms;
        self.rollbacks.iter().filter(returned).count()
    }

    pub(crate) fn is_away(&self, now_ms: u64) -> bool {
        self.rollbacks.iter().any(|it| it.is_away(now_ms))
    }

    /// Returns whether the store is away, or returned less than `stable_ms` ago.
    pub(crate) fn is_recovering(&self, now_ms: u64, stable_ms: u64) -> bool {
        let mut rollbacks = self.rollbacks.iter();
        rollbacks.any(|it| (it.at_ms..=it.return_ms() + stable_ms).contains(&now_ms))
    }

    fn epoch(&self, now_ms: u64) -> &Epoch {
        &self.epochs[self.rollbacks_before(now_ms)]
    }

    /// Returns the version of the configuration that the store, as it is at `now_ms`, has had since `at_ms`.
    pub(crate) fn listed_version(&self, at_ms: u64, now_ms: u64) -> u64 {
        let published_ms = &self.epoch(now_ms).published_ms;
        1 + published_ms.partition_point(|&it| it <= at_ms) as u64
    }

    fn changes_of(&self, server: Option<usize>) -> impl Iterator<Item = &StoreChange> {
        let matching = move |change: &&StoreChange| change.server.map(|(at, _)| at) == server;
        self.changes.iter().filter(matching)
    }

    /// Returns the number of routes in a version of the configuration.
    pub(crate) fn route_count(&self, version: u64) -> u64 {
        let published = self.changes_of(None).take(version as usize - 1);
        1 + published.map(|change| change.added_routes).sum::<u64>()
    }

    pub(crate) fn server_state(&self, server: usize, now_ms: u64) -> ServerState {
        let changes = self.changes_of(Some(server));
        let last = changes.filter(|change| change.at_ms <= now_ms).last();
        last.and_then(|change| change.server)
            .map_or(ServerState::Live, |(_, state)| state)
    }

    /// Returns the states that the server had at any time from `from_ms` to `to_ms`.
    pub(crate) fn server_states(
        &self,
        server: usize,
        from_ms: u64,
        to_ms: u64,
    ) -> Vec<ServerState> {
        let since = self.changes_of(Some(server));
        let since = since.filter(|change| (from_ms..=to_ms).contains(&change.at_ms));
        let states = since.filter_map(|change| change.server.map(|(_, state)| state));
        [self.server_state(server, from_ms)]
            .into_iter()
            .chain(states)
            .collect()
    }

    /// Returns the offset that follows the writes up to `now_ms`.
    fn end_offset(&self, now_ms: u64) -> usize {
        let writes = &self.epoch(now_ms).writes;
        writes.partition_point(|&(at_ms, _)| at_ms <= now_ms)
    }

    /// Returns the number of writes of its record that the server had sent by `now_ms`, deletions included.
    fn write_count(&self, server: usize, now_ms: u64) -> usize {
        self.writes_of[server].partition_point(|&at_ms| at_ms <= now_ms)
    }

    fn heartbeats_and_changes(&self, server: usize) -> Vec<u64> {
        let first_ms = server as u64 * HEARTBEAT_MS / SERVERS as u64;
        let beats = (first_ms..=LAST_HEARTBEAT_MS).step_by(HEARTBEAT_MS as usize);
        let beats = beats.filter(|&at_ms| self.server_state(server, at_ms) != ServerState::Gone);
        let changes = self.changes_of(Some(server)).map(|change| change.at_ms);
        let late = self.late_writes.iter().filter(|late| late.server == server);
        let late = late.flat_map(|late| [late.executed_ms, late.lapses_ms()]);
        beats.chain(changes).chain(late).collect()
    }

    /// Returns the late write whose record the store has in place of the deleted one.
    fn restored_by(&self, server: usize, now_ms: u64) -> Option<&LateWrite> {
        self.late_writes.iter().find(|late| {
            late.server == server && (late.executed_ms..late.lapses_ms()).contains(&now_ms)
        })
    }

    fn server_record(&self, server: usize, now_ms: u64) -> Option<BackendServer> {
        let (presence, reported_ms) = match self.server_state(server, now_ms) {
            ServerState::Live => (Presence::Live, now_ms),
            ServerState::Leaving => (Presence::Leaving, now_ms),
            ServerState::Gone => (Presence::Live, self.restored_by(server, now_ms)?.sent_ms),
        };
        Some(BackendServer {
            presence,
            sequence: self.write_count(server, reported_ms) as u64,
            started_at_ms: u64::from(self.has_start_times),
            region: "r".to_owned(),
            ..BackendServer::new(
                &server_name(server),
                "service",
                "a",
                ([127, 0, 0, 1], 2).into(),
                4,
            )
        })
    }

    /// Returns the time at which the servers' records change next after `now_ms`, at most `limit_ms`.
    fn next_write(&self, now_ms: u64, limit_ms: u64) -> u64 {
        let next = self.epoch(now_ms).writes.get(self.end_offset(now_ms));
        next.map_or(limit_ms, |&(at_ms, _)| at_ms.min(limit_ms))
    }

    fn next_version(&self, now_ms: u64, limit_ms: u64) -> u64 {
        let times = self.epoch(now_ms).published_ms.iter().copied();
        let next = times.filter(|&at_ms| at_ms > now_ms).min();
        next.map_or(limit_ms, |at_ms| at_ms.min(limit_ms))
    }

    fn read_configuration(&self, from: Option<u64>, now_ms: u64) -> ListUpdate<PublishedConfig> {
        let version = self.listed_version(now_ms, now_ms);
        let published = PublishedConfig {
            version,
            document: Document::default(),
        };
        let is_new = from.is_none_or(|from| from < version);
        let change = Change {
            name: "config".to_owned(),
            value: Some(published),
        };
        ListUpdate {
            is_full: from.is_none(),
            next_offset: version,
            era: None,
            changes: is_new.then_some(change).into_iter().collect(),
            record_errors: Vec::new(),
            received_bytes: 0,
        }
    }

    /// Returns the time of which the store has the server's record; earlier than `now_ms` only after a rollback.
    fn newest_ms(&self, server: usize, now_ms: u64) -> u64 {
        if self.rollbacks_before(now_ms) == 0 {
            return now_ms;
        }
        let mut written = self.epoch(now_ms).writes[..self.end_offset(now_ms)].iter();
        let last = written.rfind(|&&(_, of)| of == server);
        last.map_or(0, |&(at_ms, _)| at_ms)
    }

    /// Returns the newest record of each server, or all records from an offset on.
    fn read_servers(&self, from: Option<u64>, now_ms: u64) -> ListUpdate<BackendServer> {
        let end = self.end_offset(now_ms);
        let change = |server, at_ms| Change {
            name: server_name(server),
            value: self.server_record(server, at_ms),
        };
        let changes = match from {
            None => {
                let newest =
                    (0..SERVERS).map(|server| change(server, self.newest_ms(server, now_ms)));
                newest.filter(|change| change.value.is_some()).collect()
            }
            Some(from) => {
                let written = self.epoch(now_ms).writes[..end].iter();
                let written = written.skip(from as usize);
                let records = written.map(|&(at_ms, server)| change(server, at_ms));
                records.collect()
            }
        };
        ListUpdate {
            is_full: from.is_none(),
            next_offset: end as u64,
            era: None,
            changes,
            record_errors: Vec::new(),
            received_bytes: 0,
        }
    }
}

pub(crate) fn server_name(server: usize) -> String {
    format!("s{server:02}")
}

/// Who writes a topic.
#[derive(Clone, Copy, Debug)]
enum Topic {
    /// Operators or servers.
    Others,
    /// The instances; index of its appends.
    Own(usize),
}

/// Index of the appends to the list of instances.
const INSTANCES: usize = 0;
/// Index of the appends to the directory.
const DIRECTORY: usize = 1;

/// Answers a read by `index`: waits for a change and makes the answer, or fails as the active faults demand.
async fn read<Value, NextChange, Make, RecordBytes>(
    world: &World,
    index: usize,
    topic: Topic,
    cursor: Cursor,
    next_change: NextChange,
    make: Make,
    record_bytes: RecordBytes,
) -> Result<ListUpdate<Value>, ReadError>
where
    NextChange: Fn(&StoreModel, u64, u64) -> u64,
    Make: Fn(&StoreModel, Option<u64>, u64) -> ListUpdate<Value>,
    RecordBytes: Fn(&StoreModel, &Value) -> u64,
{
    world.count_store_call(index, true);
    let wait_ms = cursor.from.map_or(0, |_| cursor.wait_ms);
    let timeout_ms = wait_ms + READ_TIMEOUT_MS;
    let answer = async {
        world.sleep_ms(DELAY_MS).await;
        let arrived_ms = world.now_ms();
        if world.has_fault(index, &[FaultKind::StoreRejects]) || world.store.is_away(arrived_ms) {
            world.sleep_ms(DELAY_MS).await;
            return Err(ReadError::Unavailable);
        }
        wait_unless_lost(world, index).await;
        if let Topic::Own(topic) = topic {
            world.wait_for_appends(topic).await;
        }
        if let Some(from) = cursor.from {
            let now_ms = world.now_ms();
            let next_ms = next_change(&world.store, now_ms, now_ms + cursor.wait_ms);
            let made = make(&world.store, Some(from), now_ms);
            if made.changes.is_empty() && made.next_offset >= from {
                world.sleep_ms(next_ms - now_ms).await;
            }
        }
        let now_ms = world.now_ms();
        let eras = [arrived_ms, now_ms].map(|at_ms| world.store.rollbacks_before(at_ms));
        if world.store.is_away(now_ms) || eras[0] != eras[1] {
            return Err(ReadError::Unavailable);
        }
        let mut update = make(&world.store, cursor.from, now_ms);
        update.era = world.stated_era(index);
        let is_behind_end = cursor.from.is_some_and(|from| from > update.next_offset);
        if is_behind_end {
            world.sleep_ms(DELAY_MS).await;
            return Err(ReadError::Trimmed {
                first_offset: 0,
                first_at_ms: 0,
                era: update.era,
            });
        }
        let sizes = update.changes.iter().filter_map(|change| {
            let value = change.value.as_ref()?;
            Some(record_bytes(&world.store, value))
        });
        let bytes = MESSAGE_BYTES + sizes.sum::<u64>();
        if world.has_fault(index, &[FaultKind::StoreSlow]) {
            world.sleep_ms(fastrand::u64(..SLOW_MS)).await;
        }
        wait_unless_lost(world, index).await;
        world.pass_store(bytes).await;
        world.sleep_ms(DELAY_MS).await;
        Ok((update, bytes))
    };
    let result = timeout(Duration::from_millis(timeout_ms), answer).await;
    let (update, bytes) = result.unwrap_or(Err(ReadError::Unavailable))?;
    // An answer that has begun is received as long as it makes progress.
    world.receive(index, bytes).await;
    let rest = wait_unless_lost(world, index);
    let received = timeout(Duration::from_millis(PROGRESS_TIMEOUT_MS), rest).await;
    received.map_err(|_| ReadError::Unavailable)?;
    Ok(update)
}

/// Never returns if messages between the instance and the store are lost now.
async fn wait_unless_lost(world: &World, index: usize) {
    if world.has_fault(index, &[FaultKind::StoreSilent, FaultKind::Cut]) {
        pending::<()>().await;
    }
}

/// Returns the store as the instance `index` sees it.
pub(crate) fn source(world: &Arc<World>, index: usize) -> Source {
    let (config, servers, instances) = (Arc::clone(world), Arc::clone(world), Arc::clone(world));
    let (directory, directory_writing) = (Arc::clone(world), Arc::clone(world));
    let announcing = Arc::clone(world);
    Source {
        configuration: Box::new(move |cursor| {
            let world = Arc::clone(&config);
            Box::pin(async move {
                let (next, make) = (StoreModel::next_version, StoreModel::read_configuration);
                let bytes = |store: &StoreModel, config: &PublishedConfig| {
                    store.route_count(config.version) * ROUTE_BYTES
                };
                read(&world, index, Topic::Others, cursor, next, make, bytes).await
            })
        }),
        servers: Box::new(move |cursor| {
            let world = Arc::clone(&servers);
            Box::pin(async move {
                let (next, make) = (StoreModel::next_write, StoreModel::read_servers);
                let bytes = |_: &StoreModel, _: &BackendServer| world.server_bytes;
                read(&world, index, Topic::Others, cursor, next, make, bytes).await
            })
        }),
        instances: Box::new(move |cursor| {
            let world = Arc::clone(&instances);
            Box::pin(async move {
                let next = |_: &StoreModel, _, limit_ms| limit_ms;
                let make = |_: &StoreModel, from: Option<u64>, _| {
                    let listed = match from {
                        None => world.announced_instances(),
                        Some(_) => Vec::new(),
                    };
                    ListUpdate {
                        is_full: from.is_none(),
                        ..full_list(listed, |it| it.name.clone())
                    }
                };
                let topic = Topic::Own(INSTANCES);
                read(&world, index, topic, cursor, next, make, |_, _| {
                    MEMBER_BYTES
                })
                .await
            })
        }),
        directory: Box::new(move |cursor| {
            let world = Arc::clone(&directory);
            Box::pin(async move {
                let next = |_: &StoreModel, _, limit_ms| limit_ms;
                let make = |_: &StoreModel, _: Option<u64>, _| {
                    full_list(world.directory(), |it| it.instance.name.clone())
                };
                let topic = Topic::Own(DIRECTORY);
                read(&world, index, topic, cursor, next, make, |_, _| {
                    MEMBER_BYTES
                })
                .await
            })
        }),
        write_directory: Box::new(move |written, removed| {
            let world = Arc::clone(&directory_writing);
            let written = written.to_vec();
            let removed: Vec<String> = removed.iter().map(|name| (*name).to_owned()).collect();
            Box::pin(async move {
                append(&world, index, DIRECTORY).await?;
                world.write_directory(written, &removed);
                Ok(())
            })
        }),
        announce: Box::new(move |own| {
            let world = Arc::clone(&announcing);
            let incarnation = own.incarnation;
            Box::pin(async move {
                append(&world, index, INSTANCES).await?;
                world.announce(index, incarnation);
                Ok(world.stated_era(index))
            })
        }),
        withdraw: Box::new(|_| Box::pin(async { Ok(()) })),
    }
}

/// Returns the full contents of a list.
fn full_list<Value, Name>(values: Vec<Value>, name: Name) -> ListUpdate<Value>
where
    Name: Fn(&Value) -> String,
{
    let changes = values.into_iter().map(|value| Change {
        name: name(&value),
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

/// Appends a record to a topic, which takes effect once this returns without an error.
async fn append(world: &World, index: usize, topic: usize) -> Result<(), AppendError> {
    world.count_store_call(index, false);
    world.sleep_ms(DELAY_MS).await;
    let is_away = world.store.is_away(world.now_ms());
    if is_away || world.has_fault(index, &[FaultKind::StoreRejects]) {
        return Err(AppendError::Refused);
    }
    let lost = wait_unless_lost(world, index);
    let limit = Duration::from_millis(APPEND_TIMEOUT_MS);
    timeout(limit, lost)
        .await
        .map_err(|_| AppendError::Refused)?;
    world.pass_append(topic).await;
    if world.store.is_away(world.now_ms()) {
        return Err(AppendError::ResponseLost);
    }
    Ok(())
}
