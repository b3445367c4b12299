//! Tests of the decisions of a pool's owner, without network, clock or messages.

use {
    config::{DetectionMode, Service},
    member::{BackendServer, Presence, View},
    outlier::AttemptOutcome,
    owner::{
        commands::{
            acquire, apply_server_list, apply_service_config, merge_snapshot, release,
            run_maintenance, take_standing_changes,
        },
        queries::pool_snapshot,
        AcquireOutcome, AcquireRequest, PoolState, RefusalReason, Release, QUEUE_WAIT_MS,
    },
    permit::{Standing, SPEND_MILLI},
    std::net::SocketAddr,
    types::{PermitId, Priority, ServerIndex},
};

/// Slots of each server.
const SLOTS: u32 = 2;

fn server(number: usize, started_at_ms: u64) -> BackendServer {
    let address = SocketAddr::from(([10, 0, 0, 1], 80));
    let base = BackendServer::new(&format!("b{number}"), "orders", "dc", address, SLOTS);
    BackendServer {
        started_at_ms,
        ..base
    }
}

/// Returns a newly opened pool of `count` servers.
fn pool(count: usize) -> PoolState {
    let mut state = PoolState::new("orders", "dc", 0);
    let service = Service {
        name: "orders".to_owned(),
        detection: DetectionMode::Fast,
        floor_slots: 0,
        deadline_ms: 1_000,
        retry_percent: 20,
        max_body_bytes: 0,
        hold_bytes: 0,
    };
    apply_service_config(&mut state, 1, Some(&service));
    let servers = (0..count).map(|number| server(number, 1)).collect();
    apply_server_list(&mut state, &View::new(1, Vec::new(), servers), 0);
    state
}

fn request(acquire_id: u64) -> AcquireRequest<'static> {
    AcquireRequest {
        acquire_id,
        ticket: None,
        is_retry: false,
        credit_milli: 0,
        idempotent: true,
        deadline_ms: 1_000,
        account: None,
        priority: Priority::default(),
        data_centre: "dc",
        body_bytes: 0,
        may_queue: true,
        exclude: &[],
    }
}

fn granted(outcome: &AcquireOutcome) -> (PermitId, ServerIndex) {
    match outcome {
        AcquireOutcome::Granted(permit, server) => (*permit, *server),
        other => panic!("no permit was granted: {other:?}"),
    }
}

fn release_of(permit: PermitId, server: &str, outcome: AttemptOutcome) -> Release<'_> {
    Release {
        permit: Some(permit),
        acquire_id: 0,
        server,
        outcome,
        response_us: None,
        is_leaving: false,
    }
}

/// Acquires a permit, releases it with `outcome` and returns the server's name.
fn use_once(state: &mut PoolState, outcome: AttemptOutcome, now_ms: u64) -> String {
    let request = AcquireRequest {
        deadline_ms: now_ms + 1_000,
        ..request(1)
    };
    let (permit, server) = granted(&acquire(state, &request, now_ms));
    let name = state.pool.names.name(server).to_owned();
    release(state, &release_of(permit, &name, outcome), now_ms);
    name
}

#[test]
fn release_retryable_failure() {
    // The failure rate, from which work is spread to idle servers, must not count failures that are retried.
    let mut state = pool(4);
    for number in 0..40 {
        use_once(&mut state, AttemptOutcome::Failed, number);
    }
    assert_eq!(state.failure_rate.failed_percent(), 0);
}

#[test]
fn acquire_all_slots_busy() {
    let mut state = pool(2);
    for number in 0..4 {
        granted(&acquire(&mut state, &request(number), 0));
    }
    let not_queueing = AcquireRequest {
        may_queue: false,
        ..request(5)
    };
    assert!(matches!(
        acquire(&mut state, &not_queueing, 0),
        AcquireOutcome::Refused(RefusalReason::Busy, 0)
    ));
    assert!(matches!(
        acquire(&mut state, &request(6), 0),
        AcquireOutcome::Wait(..)
    ));
}

#[test]
fn acquire_waiter_before_new_request() {
    let mut state = pool(1);
    let (permit, _) = granted(&acquire(&mut state, &request(1), 0));
    granted(&acquire(&mut state, &request(2), 0));
    let AcquireOutcome::Wait(ticket, _) = acquire(&mut state, &request(3), 0) else {
        panic!("the third request has to wait");
    };
    release(
        &mut state,
        &release_of(permit, "b0", AttemptOutcome::Inconclusive),
        1,
    );
    assert!(matches!(
        acquire(&mut state, &request(4), 1),
        AcquireOutcome::Wait(..)
    ));
    let next_poll = AcquireRequest {
        ticket: Some(ticket),
        ..request(3)
    };
    granted(&acquire(&mut state, &next_poll, 1));
}

#[test]
fn acquire_no_retry_left() {
    let mut state = pool(2);
    let retry = AcquireRequest {
        is_retry: true,
        ..request(1)
    };
    assert!(matches!(
        acquire(&mut state, &retry, 0),
        AcquireOutcome::Refused(RefusalReason::NoBudget, 0)
    ));
    let with_credit = AcquireRequest {
        credit_milli: SPEND_MILLI,
        ..retry
    };
    granted(&acquire(&mut state, &with_credit, 0));
}

#[test]
fn acquire_no_server() {
    let mut state = pool(1);
    let tried = ["b0".to_owned()];
    let request = AcquireRequest {
        exclude: &tried,
        ..request(1)
    };
    assert!(matches!(
        acquire(&mut state, &request, 0),
        AcquireOutcome::Refused(RefusalReason::NoServer, 0)
    ));
}

/// A server that had just become faulty was cleared by the responses to requests that it had begun before, and got the next
/// request that may run only once.
#[test]
fn release_response_begun_before_failure() {
    let mut state = pool(3);
    let good = AttemptOutcome::Completed {
        first_byte_us: 5_000,
    };
    for now_ms in 0..60 {
        use_once(&mut state, good, now_ms);
    }
    // Two requests at each server, of which the first one at b0 fails and the second one completes.
    let grants = (0..6).map(|number| granted(&acquire(&mut state, &request(number), 100)));
    let grants: Vec<(PermitId, ServerIndex)> = grants.collect();
    let at_first = |&&(_, server): &&(PermitId, ServerIndex)| server == ServerIndex::from(0);
    let at_first: Vec<_> = grants.iter().filter(at_first).copied().collect();
    assert_eq!(at_first.len(), 2);
    let failure = release_of(at_first[0].0, "b0", AttemptOutcome::Failed);
    release(&mut state, &failure, 110);
    let cost_permille = |state: &PoolState| {
        let server = state.pool.servers.get(ServerIndex::from(0));
        server.map(|server| server.cost_permille)
    };
    let cost_failed_permille = cost_permille(&state);
    release(&mut state, &release_of(at_first[1].0, "b0", good), 110);
    assert_eq!(cost_permille(&state), cost_failed_permille);
}

#[test]
fn release_lost_response() {
    let mut state = pool(1);
    granted(&acquire(&mut state, &request(7), 0));
    granted(&acquire(&mut state, &request(8), 0));
    let lost = Release {
        permit: None,
        acquire_id: 7,
        server: "",
        outcome: AttemptOutcome::Inconclusive,
        response_us: None,
        is_leaving: false,
    };
    release(&mut state, &lost, 1);
    granted(&acquire(&mut state, &request(9), 1));
}

#[test]
fn release_leaving_server() {
    let mut state = pool(2);
    let (permit, _) = granted(&acquire(&mut state, &request(1), 0));
    let leaving = Release {
        is_leaving: true,
        ..release_of(permit, "b0", AttemptOutcome::Inconclusive)
    };
    release(&mut state, &leaving, 1);
    for _ in 0..4 {
        assert_eq!(use_once(&mut state, AttemptOutcome::Inconclusive, 2), "b1");
    }
}

#[test]
fn run_maintenance_waiter_stops_polling() {
    let mut state = pool(1);
    granted(&acquire(&mut state, &request(1), 0));
    granted(&acquire(&mut state, &request(2), 0));
    assert!(matches!(
        acquire(&mut state, &request(3), 0),
        AcquireOutcome::Wait(..)
    ));
    // The waiter did not poll again, so its queue entry expires after the wait and a margin.
    let later_ms = QUEUE_WAIT_MS + 200;
    run_maintenance(&mut state, &[], later_ms);
    assert_eq!(permit::queries::queue_length(&state.pool), 0);
}

#[test]
fn run_maintenance_ejected_server() {
    let mut state = pool(2);
    run_maintenance(&mut state, &["b0".to_owned()], 10);
    let changes = take_standing_changes(&mut state);
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].current, (Standing::Ejected, false));
    assert!(take_standing_changes(&mut state).is_empty());
    run_maintenance(&mut state, &[], 20);
    assert_eq!(
        take_standing_changes(&mut state)[0].current,
        (Standing::Suspect, false)
    );
}

#[test]
fn apply_server_list_leaving_and_restarted() {
    let mut state = pool(2);
    for now_ms in 0..40 {
        use_once(
            &mut state,
            AttemptOutcome::Completed {
                first_byte_us: 5_000,
            },
            now_ms,
        );
    }
    let leaving = BackendServer {
        presence: Presence::Leaving,
        ..server(0, 1)
    };
    let view = View::new(2, Vec::new(), vec![leaving, server(1, 2)]);
    apply_server_list(&mut state, &view, 10_000);
    let servers: Vec<_> = state
        .pool
        .servers
        .iter()
        .map(|(_, server)| server)
        .collect();
    assert!(servers[0].leaving, "a leaving server receives no requests");
    assert!(!servers[1].leaving);
    assert_eq!(servers[1].usable_slots, 1, "a restarted server is cold");
    let health = state.health.servers.get(ServerIndex::from(1));
    assert_eq!(health.map(|server| server.completed_count), Some(0));
}

#[test]
fn merge_snapshot_same_process() {
    let mut before = pool(2);
    for now_ms in 0..60 {
        use_once(
            &mut before,
            AttemptOutcome::Completed {
                first_byte_us: 5_000,
            },
            now_ms,
        );
    }
    let snapshot = pool_snapshot(&before, 100);
    let mut after = PoolState::new("orders", "dc", 100);
    // The second server has restarted since the snapshot.
    let servers = vec![server(0, 1), server(1, 9)];
    apply_server_list(&mut after, &View::new(1, Vec::new(), servers), 100);
    merge_snapshot(&mut after, &snapshot, 100);
    let counts = after.health.servers.iter();
    let counts: Vec<u64> = counts.map(|(_, server)| server.completed_count).collect();
    assert!(counts[0] > 0, "the health of the same process is kept");
    assert_eq!(counts[1], 0, "the health of a previous process is not");
}

/// A new owner of a pool granted retries that its predecessor had granted before.
#[test]
fn acquire_credit_of_predecessor() {
    let mut before = pool(2);
    let paying = AcquireRequest {
        credit_milli: 5 * SPEND_MILLI,
        ..request(1)
    };
    granted(&acquire(&mut before, &paying, 9_000));
    let mut after = pool(2);
    merge_snapshot(&mut after, &pool_snapshot(&before, 9_001), 9_001);
    let retry = AcquireRequest {
        is_retry: true,
        ..request(2)
    };
    assert!(matches!(
        acquire(&mut after, &retry, 9_001),
        AcquireOutcome::Refused(RefusalReason::NoBudget, 0)
    ));
    granted(&acquire(&mut before, &retry, 9_001));
}
