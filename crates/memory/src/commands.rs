//! Commands: connections come and go, bytes are reserved and released, slow callers are evicted.

use {
    crate::{
        ledger::Progress,
        queries::{exceeded_scope, is_room_scarce, is_slow, least_needed, least_progress, Scope},
        Connection, ConnectionId, Ledger, Phase,
    },
    std::net::IpAddr,
};

/// A connection that has to give up what it holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Eviction<Handle> {
    /// Its handle.
    pub handle: Handle,
    /// Source address of the connection.
    pub source: IpAddr,
    /// Bytes that it holds.
    pub held_bytes: u64,
    /// What it waited for.
    pub phase: Phase,
}

/// Result of opening a connection.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Opened<Handle> {
    /// Its number.
    pub id: ConnectionId,
    /// The connection that has to make place for it.
    pub evicted: Option<Eviction<Handle>>,
}

/// Result of a reservation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reservation<Handle> {
    /// The bytes are held now.
    Granted,
    /// Nothing is reserved; there will be room once the evicted connections, and those evicted before, have released theirs.
    Pending(Vec<Eviction<Handle>>),
    /// Nothing is reserved, and nobody makes less progress than is required.
    Refused,
}

/// Adds a connection. Fails if there are too many and none of them can make place. The descriptor of an evicted one
/// is in use for a moment longer.
pub fn open<Handle>(
    ledger: &mut Ledger<Handle>,
    source: IpAddr,
    handle: Handle,
    now_ms: u64,
) -> Option<Opened<Handle>>
where
    Handle: Clone,
{
    let limits = ledger.limits;
    let of_source = ledger.sources.get(&source);
    let of_source = of_source.map_or(0, |used| used.connections);
    let scope = if of_source >= limits.source_connections_max {
        Some(Scope::Source(source))
    } else if ledger.open_connections >= limits.connections_max {
        Some(Scope::All)
    } else {
        None
    };
    let evicted = match scope {
        Some(scope) => {
            let id = least_needed(ledger, scope, now_ms)?;
            let evicted = evict(ledger, id);
            // Its place is taken now, so it no longer counts.
            close(ledger, id);
            evicted
        }
        None => None,
    };
    ledger.last_id += 1;
    let id = ledger.last_id;
    ledger.open_connections += 1;
    ledger.sources.entry(source).or_default().connections += 1;
    let connection = Connection {
        source,
        account: None,
        handle,
        phase: Phase::Open,
        phase_since_ms: now_ms,
        judged_since_ms: now_ms,
        progress: Progress::new(now_ms),
        held_bytes: 0,
        has_sent_request: false,
        is_evicted: false,
        is_closed: false,
    };
    ledger.connections.insert(id, connection);
    Some(Opened { id, evicted })
}

/// Records that a connection is closed. Its request may go on, and what it holds counts until it is released.
pub fn close<Handle>(ledger: &mut Ledger<Handle>, id: ConnectionId) {
    let Some(connection) = ledger.connections.get_mut(&id) else {
        return;
    };
    if !std::mem::replace(&mut connection.is_closed, true) {
        ledger.open_connections -= 1;
        if let Some(used) = ledger.sources.get_mut(&connection.source) {
            used.connections -= 1;
        }
    }
}

/// Records that a request or a response begins: progress is measured anew.
pub fn begin_phase<Handle>(
    ledger: &mut Ledger<Handle>,
    id: ConnectionId,
    phase: Phase,
    now_ms: u64,
) {
    if let Some(connection) = ledger.connections.get_mut(&id) {
        connection.has_sent_request = true;
        connection.phase = phase;
        connection.phase_since_ms = now_ms;
        connection.judged_since_ms = now_ms;
        connection.progress = Progress::new(now_ms);
    }
}

/// Records what a connection waits for during a request or a response. The time for which it waited for a server does not
/// count as the caller's.
pub fn enter_phase<Handle>(
    ledger: &mut Ledger<Handle>,
    id: ConnectionId,
    phase: Phase,
    now_ms: u64,
) {
    if let Some(connection) = ledger.connections.get_mut(&id) {
        if connection.phase == Phase::Serving {
            let served_ms = now_ms.saturating_sub(connection.phase_since_ms);
            connection.judged_since_ms += served_ms;
            connection.progress.skip(served_ms);
        }
        connection.phase = phase;
        connection.phase_since_ms = now_ms;
    }
}

/// Records the account of a connection's request; what the connection holds counts for that account from then on.
pub fn assign_account<Handle>(
    ledger: &mut Ledger<Handle>,
    id: ConnectionId,
    account: Option<&str>,
) {
    let Some(connection) = ledger.connections.get_mut(&id) else {
        return;
    };
    if connection.account.as_deref() == account {
        return;
    }
    let room_bytes = connection.room_bytes();
    let former = std::mem::replace(&mut connection.account, account.map(str::to_owned));
    if let Some(former) = former {
        subtract_account(ledger, &former, room_bytes);
    }
    if let Some(account) = account.filter(|_| room_bytes > 0) {
        *ledger.accounts.entry(account.to_owned()).or_default() += room_bytes;
    }
}

/// Records that a caller sent or read `bytes` bytes.
pub fn record_progress<Handle>(
    ledger: &mut Ledger<Handle>,
    id: ConnectionId,
    bytes: u64,
    now_ms: u64,
) {
    if let Some(connection) = ledger.connections.get_mut(&id) {
        connection.progress.record(bytes, now_ms);
    }
}

/// Reserves `bytes` bytes for a connection. If there is no room for them, connections that make too little progress are
/// evicted, those with the least progress first.
pub fn reserve<Handle>(
    ledger: &mut Ledger<Handle>,
    id: ConnectionId,
    bytes: u64,
    now_ms: u64,
) -> Reservation<Handle>
where
    Handle: Clone,
{
    let Some(connection) = ledger.connections.get(&id) else {
        return Reservation::Refused;
    };
    let share_bytes = ledger.limits.connection_bytes;
    let is_over_share = connection.held_bytes + bytes > share_bytes;
    if is_over_share || connection.is_evicted {
        return Reservation::Refused;
    }
    let additional_bytes = room_bytes_after(connection, bytes) - connection.room_bytes();
    let mut evictions = Vec::new();
    let mut freed_bytes = 0;
    loop {
        let Some(connection) = ledger.connections.get(&id) else {
            return Reservation::Refused;
        };
        let Some((scope, excess_bytes)) =
            exceeded_scope(ledger, connection, additional_bytes).filter(|_| additional_bytes > 0)
        else {
            add(ledger, id, bytes);
            return Reservation::Granted;
        };
        let underway_bytes = evicted_bytes(ledger, scope);
        if underway_bytes.max(freed_bytes) >= excess_bytes {
            return Reservation::Pending(evictions);
        }
        let victim = least_progress(ledger, scope, now_ms).filter(|victim| *victim != id);
        let Some(eviction) = victim.and_then(|victim| evict(ledger, victim)) else {
            return Reservation::Refused;
        };
        freed_bytes += eviction.held_bytes;
        evictions.push(eviction);
    }
}

/// Releases `bytes` bytes that a connection held.
pub fn release<Handle>(ledger: &mut Ledger<Handle>, id: ConnectionId, bytes: u64) {
    let Some(connection) = ledger.connections.get_mut(&id) else {
        return;
    };
    let before_bytes = connection.room_bytes();
    connection.held_bytes = connection.held_bytes.saturating_sub(bytes);
    let freed_bytes = before_bytes - connection.room_bytes();
    let account = connection.account.clone();
    ledger.room_bytes -= freed_bytes;
    if let Some(used) = ledger.sources.get_mut(&connection.source) {
        used.room_bytes -= freed_bytes;
    }
    if let Some(account) = account {
        subtract_account(ledger, &account, freed_bytes);
    }
}

/// Evicts the connections that hold room and make too little progress, while room is scarce; those with the least progress
/// first.
pub fn evict_slow<Handle>(ledger: &mut Ledger<Handle>, now_ms: u64) -> Vec<Eviction<Handle>>
where
    Handle: Clone,
{
    let mut evictions = Vec::new();
    let mut freed_bytes = evicted_bytes(ledger, Scope::All);
    while is_room_scarce(ledger)
        && ledger.room_bytes.saturating_sub(freed_bytes) >= ledger.limits.scarce_bytes
    {
        let victim = least_progress(ledger, Scope::All, now_ms);
        let Some(eviction) = victim.and_then(|victim| evict(ledger, victim)) else {
            break;
        };
        freed_bytes += eviction.held_bytes;
        evictions.push(eviction);
    }
    evictions
}

/// Evicts a connection if its caller has made too little progress in sending a body. Used for a body that occupies a slot
/// while other requests wait for one.
pub fn evict_if_slow<Handle>(
    ledger: &mut Ledger<Handle>,
    id: ConnectionId,
    now_ms: u64,
) -> Option<Eviction<Handle>>
where
    Handle: Clone,
{
    let connection = ledger.connections.get(&id)?;
    if connection.phase == Phase::Receiving && is_slow(connection, now_ms) {
        evict(ledger, id)
    } else {
        None
    }
}

fn evict<Handle>(ledger: &mut Ledger<Handle>, id: ConnectionId) -> Option<Eviction<Handle>>
where
    Handle: Clone,
{
    let connection = ledger.connections.get_mut(&id)?;
    if std::mem::replace(&mut connection.is_evicted, true) {
        return None;
    }
    Some(Eviction {
        handle: connection.handle.clone(),
        source: connection.source,
        held_bytes: connection.held_bytes,
        phase: connection.phase,
    })
}

/// Returns the room of connections that were evicted and have not released it yet.
fn evicted_bytes<Handle>(ledger: &Ledger<Handle>, scope: Scope<'_>) -> u64 {
    let connections = ledger.connections.values();
    let evicted = connections.filter(|connection| {
        connection.is_evicted
            && match scope {
                Scope::All => true,
                Scope::Account(name) => connection.account.as_deref() == Some(name),
                Scope::Source(source) => connection.source == source,
            }
    });
    evicted.map(Connection::room_bytes).sum()
}

fn room_bytes_after<Handle>(connection: &Connection<Handle>, bytes: u64) -> u64 {
    (connection.held_bytes + bytes).saturating_sub(crate::COVERED_BYTES)
}

fn add<Handle>(ledger: &mut Ledger<Handle>, id: ConnectionId, bytes: u64) {
    let Some(connection) = ledger.connections.get_mut(&id) else {
        return;
    };
    let before_bytes = connection.room_bytes();
    connection.held_bytes += bytes;
    let added_bytes = connection.room_bytes() - before_bytes;
    ledger.room_bytes += added_bytes;
    ledger
        .sources
        .entry(connection.source)
        .or_default()
        .room_bytes += added_bytes;
    if let Some(account) = connection.account.clone().filter(|_| added_bytes > 0) {
        *ledger.accounts.entry(account).or_default() += added_bytes;
    }
}

fn subtract_account<Handle>(ledger: &mut Ledger<Handle>, account: &str, bytes: u64) {
    if let Some(used_bytes) = ledger.accounts.get_mut(account) {
        *used_bytes = used_bytes.saturating_sub(bytes);
        if *used_bytes == 0 {
            ledger.accounts.remove(account);
        }
    }
}

/// Removes a connection that is closed and holds nothing any more.
pub fn remove<Handle>(ledger: &mut Ledger<Handle>, id: ConnectionId) {
    let Some(connection) = ledger.connections.get(&id) else {
        return;
    };
    let (source, held_bytes) = (connection.source, connection.held_bytes);
    close(ledger, id);
    release(ledger, id, held_bytes);
    ledger.connections.remove(&id);
    let used = ledger.sources.get(&source);
    if used.is_some_and(|used| used.connections == 0 && used.room_bytes == 0) {
        ledger.sources.remove(&source);
    }
}
