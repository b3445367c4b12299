//! Tests of the ledger: shares, eviction order and the bound on the sum.

use {
    memory::{
        commands::{
            assign_account, begin_phase, close, enter_phase, evict_if_slow, evict_slow, open,
            record_progress, release, remove, reserve, Opened, Reservation,
        },
        queries::{open_connections, used_room_bytes},
        ConnectionId, Ledger, Limits, Phase, COVERED_BYTES, MIN_PROGRESS_BYTES_PER_S,
    },
    quickcheck::{quickcheck, Arbitrary, Gen, TestResult},
    std::net::IpAddr,
};

const KIB: u64 = 1 << 10;
/// A time at which connections of time 0 are judged by their progress.
const LATER_MS: u64 = 2_000;

fn source(number: u8) -> IpAddr {
    IpAddr::from([127, 0, 0, number])
}

/// 1 MiB of room, of which a connection and a source address may use half, and four connections.
fn limits() -> Limits {
    Limits {
        connections_max: 4,
        source_connections_max: 3,
        socket_buffer_bytes: 16 * KIB,
        own_bytes: 128 * KIB,
        room_bytes: 1_024 * KIB,
        connection_bytes: 512 * KIB,
        account_bytes: 512 * KIB,
        source_bytes: 768 * KIB,
        scarce_bytes: 768 * KIB,
    }
}

fn ledger() -> Ledger<&'static str> {
    Ledger::new(limits())
}

/// Opens a connection whose body is being received from time 0 on.
fn receiving(ledger: &mut Ledger<&'static str>, name: &'static str, from: u8) -> ConnectionId {
    let opened = open(ledger, source(from), name, 0).expect("a place");
    enter_phase(ledger, opened.id, Phase::Receiving, 0);
    opened.id
}

fn hold(ledger: &mut Ledger<&'static str>, id: ConnectionId, bytes: u64) {
    assert_eq!(reserve(ledger, id, bytes, 0), Reservation::Granted);
}

fn evicted_names(reservation: Reservation<&'static str>) -> Vec<&'static str> {
    match reservation {
        Reservation::Pending(evictions) => evictions.iter().map(|one| one.handle).collect(),
        other => panic!("{other:?}"),
    }
}

/// The smallest machine has 112 MiB and 2,870 descriptors; its connections and its room must fit into half of it.
#[test]
fn limits_smallest_machine() {
    let limits = Limits::new(112, 2_870);
    let connections = limits.connections_max as u64;
    assert!(connections * limits.own_bytes + limits.room_bytes <= 56 << 20);
    // It serves a few requests a second, each for a second or less.
    assert!(connections >= 150 && connections * 2 <= 2_670, "{limits:?}");
    assert!(limits.room_bytes >= 28 << 20, "{limits:?}");
}

#[test]
fn limits_few_descriptors() {
    assert_eq!(Limits::new(512, 300).connections_max, 50);
    assert_eq!(Limits::new(512, 10).connections_max, 1);
}

/// A short body was refused because of long ones.
#[test]
fn reserve_short_body_room_full() {
    let mut ledger = ledger();
    let (first, second) = (
        receiving(&mut ledger, "a", 1),
        receiving(&mut ledger, "b", 2),
    );
    hold(&mut ledger, first, 512 * KIB);
    hold(&mut ledger, second, 512 * KIB);
    let short = receiving(&mut ledger, "short", 3);
    hold(&mut ledger, short, COVERED_BYTES);
    assert_eq!(
        reserve(&mut ledger, short, 64 * KIB, 0),
        Reservation::Refused
    );
}

#[test]
fn reserve_share_of_connection() {
    let mut ledger = ledger();
    let id = receiving(&mut ledger, "a", 1);
    hold(&mut ledger, id, 512 * KIB);
    assert_eq!(reserve(&mut ledger, id, 1, LATER_MS), Reservation::Refused);
}

#[test]
fn reserve_share_of_source() {
    let mut ledger = ledger();
    let (first, second) = (
        receiving(&mut ledger, "a", 1),
        receiving(&mut ledger, "b", 1),
    );
    hold(&mut ledger, first, 512 * KIB);
    assert_eq!(
        reserve(&mut ledger, second, 512 * KIB, 0),
        Reservation::Refused
    );
    let other = receiving(&mut ledger, "c", 2);
    hold(&mut ledger, other, 512 * KIB);
}

#[test]
fn reserve_share_of_account() {
    let mut ledger = ledger();
    let (first, second) = (
        receiving(&mut ledger, "a", 1),
        receiving(&mut ledger, "b", 2),
    );
    for id in [first, second] {
        assign_account(&mut ledger, id, Some("large"));
    }
    hold(&mut ledger, first, 512 * KIB);
    assert_eq!(
        reserve(&mut ledger, second, 256 * KIB, 0),
        Reservation::Refused
    );
    assign_account(&mut ledger, first, None);
    hold(&mut ledger, second, 256 * KIB);
}

/// The body with the least progress goes first, whatever it holds; what waits for a server is never evicted.
#[test]
fn reserve_evicts_least_progress() {
    let mut ledger = ledger();
    let slow = receiving(&mut ledger, "slow", 1);
    let stalled = receiving(&mut ledger, "stalled", 2);
    let served = receiving(&mut ledger, "served", 3);
    for (id, bytes) in [(slow, 400 * KIB), (stalled, 300 * KIB), (served, 300 * KIB)] {
        hold(&mut ledger, id, bytes);
    }
    enter_phase(&mut ledger, served, Phase::Serving, 0);
    record_progress(&mut ledger, slow, 1_000, LATER_MS - 100);
    let newcomer = open(&mut ledger, source(4), "new", LATER_MS).expect("a place");
    enter_phase(&mut ledger, newcomer.id, Phase::Receiving, LATER_MS);
    let wanted = reserve(&mut ledger, newcomer.id, 200 * KIB, LATER_MS);
    assert_eq!(evicted_names(wanted), ["stalled"]);
    // The room is free once the evicted connection has released it, and not before.
    let again = reserve(&mut ledger, newcomer.id, 200 * KIB, LATER_MS);
    assert_eq!(again, Reservation::Pending(Vec::new()));
    release(&mut ledger, stalled, 300 * KIB);
    let granted = reserve(&mut ledger, newcomer.id, 200 * KIB, LATER_MS);
    assert_eq!(granted, Reservation::Granted);
}

/// Bodies that make progress are not evicted for others; the newcomer is refused instead.
#[test]
fn reserve_refused_all_progress() {
    let mut ledger = ledger();
    for (name, from) in [("a", 1), ("b", 2)] {
        let id = receiving(&mut ledger, name, from);
        hold(&mut ledger, id, 512 * KIB);
        for period in 0..4 {
            let bytes = MIN_PROGRESS_BYTES_PER_S;
            record_progress(&mut ledger, id, bytes, LATER_MS - 1_500 + period * 500);
        }
    }
    let newcomer = receiving(&mut ledger, "new", 3);
    let wanted = reserve(&mut ledger, newcomer, 64 * KIB, LATER_MS);
    assert_eq!(wanted, Reservation::Refused);
}

/// A body that had arrived fast and then stopped counted as fast for a long time.
#[test]
fn evict_slow_fast_then_stopped() {
    let mut ledger = ledger();
    for (name, from) in [("a", 1), ("b", 2)] {
        let id = receiving(&mut ledger, name, from);
        hold(&mut ledger, id, 512 * KIB);
        record_progress(&mut ledger, id, 512 * KIB, 100);
    }
    let evicted = evict_slow(&mut ledger, LATER_MS);
    assert_eq!(evicted.len(), 1);
}

/// A slow body is legal while there is room.
#[test]
fn evict_slow_room_scarce_or_not() {
    let mut ledger = ledger();
    let first = receiving(&mut ledger, "a", 1);
    hold(&mut ledger, first, 512 * KIB);
    assert!(evict_slow(&mut ledger, 60_000).is_empty());
    let second = receiving(&mut ledger, "b", 2);
    hold(&mut ledger, second, 400 * KIB);
    assert!(evict_slow(&mut ledger, 500).is_empty(), "within the grace");
    let evicted = evict_slow(&mut ledger, LATER_MS);
    // One is enough, and of equal ones the one that holds the most.
    assert_eq!(evicted.len(), 1);
    assert_eq!(evicted[0].handle, "a");
    assert!(
        evict_slow(&mut ledger, LATER_MS).is_empty(),
        "evicted twice"
    );
}

#[test]
fn evict_if_slow_by_phase() {
    let mut ledger = ledger();
    let id = receiving(&mut ledger, "a", 1);
    assert!(evict_if_slow(&mut ledger, id, 100).is_none());
    enter_phase(&mut ledger, id, Phase::Serving, 0);
    assert!(evict_if_slow(&mut ledger, id, LATER_MS).is_none());
    enter_phase(&mut ledger, id, Phase::Receiving, 0);
    assert!(evict_if_slow(&mut ledger, id, LATER_MS).is_some());
}

/// A caller whose body waited for a slow server was taken for a slow caller.
#[test]
fn evict_if_slow_after_slow_server() {
    let mut ledger = ledger();
    let id = receiving(&mut ledger, "a", 1);
    record_progress(&mut ledger, id, 100 * KIB, 400);
    enter_phase(&mut ledger, id, Phase::Serving, 500);
    enter_phase(&mut ledger, id, Phase::Receiving, 60_500);
    assert!(evict_if_slow(&mut ledger, id, 60_900).is_none());
    assert!(evict_if_slow(&mut ledger, id, 90_000).is_some());
}

/// Opens a connection that had a request and waits for the next one since `now_ms`.
fn idle(ledger: &mut Ledger<&'static str>, name: &'static str, from: u8, now_ms: u64) {
    let opened = open(ledger, source(from), name, now_ms).expect("a place");
    begin_phase(ledger, opened.id, Phase::Serving, now_ms);
    begin_phase(ledger, opened.id, Phase::Open, now_ms);
}

/// At the limit, incomplete requests make place first, then the longest idle connection, never one that is served.
#[test]
fn open_evicts_least_needed() {
    let mut ledger = ledger();
    let served = receiving(&mut ledger, "served", 1);
    enter_phase(&mut ledger, served, Phase::Serving, 0);
    idle(&mut ledger, "idle", 2, 10);
    open(&mut ledger, source(3), "no request", 20).expect("a place");
    idle(&mut ledger, "idle later", 4, 30);
    let expected = ["no request", "idle", "idle later"];
    for (number, name) in expected.into_iter().enumerate() {
        let (from, now_ms) = (source(10 + number as u8), LATER_MS + number as u64);
        let opened = open(&mut ledger, from, "new", now_ms).expect("a place");
        let evicted = opened.evicted.expect("an eviction");
        assert_eq!(evicted.handle, name);
        begin_phase(&mut ledger, opened.id, Phase::Serving, now_ms);
        assert_eq!(open_connections(&ledger), 4);
    }
    assert!(open(&mut ledger, source(20), "one more", 3 * LATER_MS).is_none());
}

/// Callers that open connections all the time closed those of others before they could send a request.
#[test]
fn open_refused_all_new() {
    let mut ledger = ledger();
    for from in 1..=4 {
        open(&mut ledger, source(from), "new", 0).expect("a place");
    }
    assert!(open(&mut ledger, source(5), "too early", 500).is_none());
    let opened = open(&mut ledger, source(5), "later", LATER_MS).expect("a place");
    assert_eq!(opened.evicted.map(|one| one.handle), Some("new"));
}

#[test]
fn open_share_of_source() {
    let mut ledger = ledger();
    idle(&mut ledger, "other", 2, 0);
    for _ in 0..3 {
        idle(&mut ledger, "a", 1, 10);
    }
    let Opened { evicted, .. } = open(&mut ledger, source(1), "b", 20).expect("a place");
    assert_eq!(evicted.map(|one| one.handle), Some("a"));
    let Opened { evicted, .. } = open(&mut ledger, source(3), "c", 20).expect("a place");
    assert_eq!(evicted.map(|one| one.handle), Some("other"));
}

/// What a closed connection still holds counts until it is released.
#[test]
fn close_before_release() {
    let mut ledger = ledger();
    let id = receiving(&mut ledger, "a", 1);
    hold(&mut ledger, id, 512 * KIB);
    close(&mut ledger, id);
    close(&mut ledger, id);
    assert_eq!(open_connections(&ledger), 0);
    assert_eq!(used_room_bytes(&ledger), 512 * KIB - COVERED_BYTES);
    release(&mut ledger, id, 512 * KIB);
    assert_eq!(used_room_bytes(&ledger), 0);
}

/// A step of a random run.
#[derive(Clone, Copy, Debug)]
enum Step {
    Open(u8),
    Reserve(u8, u64),
    Release(u8),
    Phase(u8, u8),
    Progress(u8, u64),
    Close(u8),
    Sweep,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let number = u8::arbitrary(g) % 8;
        let bytes = u64::arbitrary(g) % (300 * KIB);
        match u8::arbitrary(g) % 12 {
            0..=1 => Self::Open(number % 3),
            2..=5 => Self::Reserve(number, bytes),
            6..=7 => Self::Release(number),
            8 => Self::Phase(number, u8::arbitrary(g) % 3),
            9 => Self::Progress(number, bytes),
            10 => Self::Close(number),
            _ => Self::Sweep,
        }
    }
}

/// Plays the steps, 300 ms apart, and returns what is wrong after one of them.
fn first_violation(steps: &[Step]) -> Option<String> {
    let mut ledger: Ledger<&'static str> = ledger();
    let mut ids: Vec<(ConnectionId, Vec<u64>)> = Vec::new();
    let mut sources: Vec<u8> = Vec::new();
    for (number, step) in steps.iter().enumerate() {
        let now_ms = number as u64 * 300;
        let chosen = |which: u8, count: usize| usize::from(which) % count.max(1);
        let count = ids.len();
        match *step {
            Step::Open(from) => {
                if let Some(opened) = open(&mut ledger, source(from), "x", now_ms) {
                    ids.push((opened.id, Vec::new()));
                    sources.push(from);
                }
            }
            _ if count == 0 => {}
            Step::Reserve(which, bytes) => {
                let (id, held) = &mut ids[chosen(which, count)];
                if reserve(&mut ledger, *id, bytes, now_ms) == Reservation::Granted {
                    held.push(bytes);
                }
            }
            Step::Release(which) => {
                let (id, held) = &mut ids[chosen(which, count)];
                if let Some(bytes) = held.pop() {
                    release(&mut ledger, *id, bytes);
                }
            }
            Step::Phase(which, phase) => {
                let phases = [Phase::Open, Phase::Receiving, Phase::Serving];
                let (id, _) = ids[chosen(which, count)];
                enter_phase(&mut ledger, id, phases[usize::from(phase)], now_ms);
            }
            Step::Progress(which, bytes) => {
                let (id, _) = ids[chosen(which, count)];
                record_progress(&mut ledger, id, bytes, now_ms);
            }
            Step::Close(which) => close(&mut ledger, ids[chosen(which, count)].0),
            Step::Sweep => drop(evict_slow(&mut ledger, now_ms)),
        }
        let held = ids.iter().map(|(_, held)| held.iter().sum::<u64>());
        let room_bytes: u64 = held.map(|held| held.saturating_sub(COVERED_BYTES)).sum();
        if room_bytes != used_room_bytes(&ledger) {
            return Some(format!("{room_bytes} held after step {number}"));
        }
        for from in 0..3 {
            let of_source = ids.iter().zip(&sources).filter(|(_, one)| **one == from);
            let held = of_source.map(|((_, held), _)| held.iter().sum::<u64>());
            let held_bytes: u64 = held.map(|held| held.saturating_sub(COVERED_BYTES)).sum();
            if held_bytes > limits().source_bytes {
                return Some(format!("{held_bytes} of a source after step {number}"));
            }
        }
        if room_bytes > limits().room_bytes || open_connections(&ledger) > 4 {
            return Some(format!("a limit is exceeded after step {number}"));
        }
    }
    for (id, _) in ids {
        remove(&mut ledger, id);
    }
    if open_connections(&ledger) > 0 {
        return Some("a connection is open at the end".to_owned());
    }
    (used_room_bytes(&ledger) > 0).then(|| "something is held at the end".to_owned())
}

quickcheck! {
    /// The sum of what is held never exceeds the room, whatever the connections do.
    fn ledger_bound_random_steps(steps: Vec<Step>) -> TestResult {
        match first_violation(&steps) {
            None => TestResult::passed(),
            Some(violation) => TestResult::error(violation),
        }
    }
}
