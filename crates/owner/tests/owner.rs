//! Tests of what a pool's owner decides, without network, clock or messages.

use {
    config::{DetectionMode, Service},
    member::{BackendServer, Presence, View},
    outlier::AttemptOutcome,
    owner::{
        commands::{
            acquire, apply_server_list, apply_service_config, merge_snapshot, reduce_slack_until,
            release, run_maintenance, take_standing_changes,
        },
        queries::pool_snapshot,
        AcquireOutcome, AcquireRequest, PoolSnapshot, PoolState, RefusalReason, Release,
        RetryLimits, QUEUE_WAIT_MS,
    },
    permit::Standing,
    std::net::SocketAddr,
    types::{PermitId, ServerIndex},
};

/// Requests that each server runs at a time.
const SLOTS: u32 = 2;

fn server(number: usize, started_at_ms: u64) -> BackendServer {
    let address = SocketAddr::from(([10, 0, 0, 1], 80));
    let plain = BackendServer::new(&format!("b{number}"), "orders", "dc", address, SLOTS);
    BackendServer {
        started_at_ms,
        ..plain
    }
}

/// A pool of `count` servers that was just opened.
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

fn terms() -> RetryLimits {
    RetryLimits::new(10_000, 0, 0, 1)
}

fn request(acquire_id: u64) -> AcquireRequest<'static> {
    AcquireRequest {
        acquire_id,
        ticket: None,
        is_retry: false,
        idempotent: true,
        deadline_ms: 1_000,
        priority: 0,
        data_centre: "dc",
        body_bytes: 0,
        may_queue: true,
        exclude: &[],
    }
}

fn granted(step: &AcquireOutcome) -> (PermitId, ServerIndex) {
    match step {
        AcquireOutcome::Granted(permit, server) => (*permit, *server),
        other => panic!("no slot was granted: {other:?}"),
    }
}

fn back(permit: PermitId, server: &str, outcome: AttemptOutcome) -> Release<'_> {
    Release {
        permit: Some(permit),
        acquire_id: 0,
        server,
        outcome,
        response_us: None,
        is_leaving: false,
    }
}

/// Takes a slot and gives it back with `outcome`, and returns its server's name.
fn use_once(state: &mut PoolState, outcome: AttemptOutcome, now_ms: u64) -> String {
    let request = AcquireRequest {
        deadline_ms: now_ms + 1_000,
        ..request(1)
    };
    let (permit, server) = granted(&acquire(state, &request, terms(), now_ms));
    let name = state.pool.names.name(server).to_owned();
    release(state, &back(permit, &name, outcome), now_ms);
    name
}

#[test]
fn take_back_failure_that_is_tried_again() {
    // Spreading work over failing servers is for services that fail their callers, not for those that try again.
    let mut state = pool(4);
    for number in 0..40 {
        use_once(&mut state, AttemptOutcome::Failed, number);
    }
    assert_eq!(state.failure_rate.failed_percent(), 0);
}

#[test]
fn take_all_slots_busy() {
    let mut state = pool(2);
    for number in 0..4 {
        granted(&acquire(&mut state, &request(number), terms(), 0));
    }
    let eager = AcquireRequest {
        may_queue: false,
        ..request(5)
    };
    assert!(matches!(
        acquire(&mut state, &eager, terms(), 0),
        AcquireOutcome::Refused(RefusalReason::Busy, 0)
    ));
    assert!(matches!(
        acquire(&mut state, &request(6), terms(), 0),
        AcquireOutcome::Wait(..)
    ));
}

#[test]
fn take_waiter_before_newcomer() {
    let mut state = pool(1);
    let (permit, _) = granted(&acquire(&mut state, &request(1), terms(), 0));
    granted(&acquire(&mut state, &request(2), terms(), 0));
    let AcquireOutcome::Wait(ticket, _) = acquire(&mut state, &request(3), terms(), 0) else {
        panic!("the third has to wait");
    };
    release(
        &mut state,
        &back(permit, "b0", AttemptOutcome::Inconclusive),
        1,
    );
    assert!(matches!(
        acquire(&mut state, &request(4), terms(), 1),
        AcquireOutcome::Wait(..)
    ));
    let again = AcquireRequest {
        ticket: Some(ticket),
        ..request(3)
    };
    granted(&acquire(&mut state, &again, terms(), 1));
}

#[test]
fn take_no_retry_left() {
    let mut state = pool(2);
    let retry = AcquireRequest {
        is_retry: true,
        ..request(1)
    };
    assert!(matches!(
        acquire(&mut state, &retry, terms(), 0),
        AcquireOutcome::Refused(RefusalReason::NoBudget, 0)
    ));
    let generous = RetryLimits::new(10_000, 0, 10, 1);
    granted(&acquire(&mut state, &retry, generous, 0));
}

#[test]
fn take_no_server() {
    let mut state = pool(1);
    let tried = ["b0".to_owned()];
    let request = AcquireRequest {
        exclude: &tried,
        ..request(1)
    };
    assert!(matches!(
        acquire(&mut state, &request, terms(), 0),
        AcquireOutcome::Refused(RefusalReason::NoServer, 0)
    ));
}

#[test]
fn take_back_unheard_grant() {
    let mut state = pool(1);
    granted(&acquire(&mut state, &request(7), terms(), 0));
    granted(&acquire(&mut state, &request(8), terms(), 0));
    let unheard = Release {
        permit: None,
        acquire_id: 7,
        server: "",
        outcome: AttemptOutcome::Inconclusive,
        response_us: None,
        is_leaving: false,
    };
    release(&mut state, &unheard, 1);
    granted(&acquire(&mut state, &request(9), terms(), 1));
}

#[test]
fn take_back_leaving_server() {
    let mut state = pool(2);
    let (permit, _) = granted(&acquire(&mut state, &request(1), terms(), 0));
    let leaving = Release {
        is_leaving: true,
        ..back(permit, "b0", AttemptOutcome::Inconclusive)
    };
    release(&mut state, &leaving, 1);
    for _ in 0..4 {
        assert_eq!(use_once(&mut state, AttemptOutcome::Inconclusive, 2), "b1");
    }
}

#[test]
fn look_silent_waiter() {
    let mut state = pool(1);
    granted(&acquire(&mut state, &request(1), terms(), 0));
    granted(&acquire(&mut state, &request(2), terms(), 0));
    assert!(matches!(
        acquire(&mut state, &request(3), terms(), 0),
        AcquireOutcome::Wait(..)
    ));
    // Nobody asked again, so the place is free after the wait and a margin.
    let later_ms = QUEUE_WAIT_MS + 200;
    run_maintenance(&mut state, &[], later_ms);
    assert_eq!(permit::queries::queue_length(&state.pool), 0);
}

#[test]
fn look_ejected_server() {
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
fn list_gone_and_reborn() {
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
    let servers: Vec<_> = state.pool.servers.iter().map(|(_, entry)| entry).collect();
    assert!(servers[0].leaving, "a leaving server gets no work");
    assert!(!servers[1].leaving);
    assert_eq!(
        servers[1].usable_slots, 1,
        "a server that started again is cold"
    );
    let known = state.health.servers.get(ServerIndex::from(1));
    assert_eq!(known.map(|entry| entry.completed_count), Some(0));
}

#[test]
fn adopt_knowledge_of_same_process() {
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
    let told = pool_snapshot(&before, 100);
    assert_eq!(told_requests(&told), 60);
    let mut after = PoolState::new("orders", "dc", 100);
    // The second server has started again since.
    let servers = vec![server(0, 1), server(1, 9)];
    apply_server_list(&mut after, &View::new(1, Vec::new(), servers), 100);
    merge_snapshot(&mut after, &told, 10_000, 100);
    let counts = after.health.servers.iter();
    let counts: Vec<u64> = counts.map(|(_, entry)| entry.completed_count).collect();
    assert!(counts[0] > 0, "what is known of the same process is kept");
    assert_eq!(counts[1], 0, "what was known of an earlier process is not");
    assert_eq!(told_requests(&pool_snapshot(&after, 100)), 60);
}

fn told_requests(told: &PoolSnapshot) -> u32 {
    told.buckets.iter().map(|count| count.requests).sum()
}

#[test]
fn take_slack_withheld() {
    // A successor that was not told what was granted keeps to the share until the window has passed.
    let mut state = pool(2);
    reduce_slack_until(&mut state, 10_000);
    let slack_only = RetryLimits::new(10_000, 0, 100, 1);
    let retry = |now_ms: u64| AcquireRequest {
        is_retry: true,
        deadline_ms: now_ms + 1_000,
        ..request(1)
    };
    for _ in 0..10 {
        let (permit, server) = granted(&acquire(&mut state, &retry(9_000), slack_only, 9_000));
        let name = state.pool.names.name(server).to_owned();
        release(
            &mut state,
            &back(permit, &name, AttemptOutcome::Inconclusive),
            9_000,
        );
    }
    let early = acquire(&mut state, &retry(9_999), slack_only, 9_999);
    assert!(matches!(
        early,
        AcquireOutcome::Refused(RefusalReason::NoBudget, 0)
    ));
    granted(&acquire(&mut state, &retry(10_000), slack_only, 10_000));
}
