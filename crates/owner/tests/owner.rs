//! Tests of what a pool's owner decides, without network, clock or messages.

use {
    config::{DetectionMode, Service},
    member::{BackendServer, Presence, View},
    outlier::AttemptOutcome,
    owner::{
        commands::{
            adopt, apply_service, list, look, take, take_back, take_changes, withhold_slack,
        },
        queries::knowledge,
        Ask, Back, Knowledge, PoolState, RetryTerms, Step, Verdict, QUEUE_WAIT_MS,
    },
    permit::Standing,
    std::net::SocketAddr,
    types::{PermitId, ServerIndex},
};

/// Requests that each server runs at a time.
const SLOTS: u32 = 2;

fn server(number: usize, born_ms: u64) -> BackendServer {
    let address = SocketAddr::from(([10, 0, 0, 1], 80));
    let plain = BackendServer::new(&format!("b{number}"), "orders", "dc", address, SLOTS);
    BackendServer { born_ms, ..plain }
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
    apply_service(&mut state, 1, Some(&service));
    let servers = (0..count).map(|number| server(number, 1)).collect();
    list(&mut state, &View::new(1, Vec::new(), servers), 0);
    state
}

fn terms() -> RetryTerms {
    RetryTerms::new(10_000, 0, 0, 1)
}

fn ask(number: u64) -> Ask<'static> {
    Ask {
        number,
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

fn granted(step: &Step) -> (PermitId, ServerIndex) {
    match step {
        Step::Granted(permit, server) => (*permit, *server),
        other => panic!("no slot was granted: {other:?}"),
    }
}

fn back(permit: PermitId, server: &str, evidence: AttemptOutcome) -> Back<'_> {
    Back {
        permit: Some(permit),
        ask: 0,
        server,
        evidence,
        whole_us: None,
        is_leaving: false,
    }
}

/// Takes a slot and gives it back with `evidence`, and returns its server's name.
fn use_once(state: &mut PoolState, evidence: AttemptOutcome, now_ms: u64) -> String {
    let ask = Ask {
        deadline_ms: now_ms + 1_000,
        ..ask(1)
    };
    let (permit, server) = granted(&take(state, &ask, terms(), now_ms));
    let name = state.pool.names.name(server).to_owned();
    take_back(state, &back(permit, &name, evidence), now_ms);
    name
}

#[test]
fn take_back_failure_that_is_tried_again() {
    // Spreading work over failing servers is for services that fail their callers, not for those that try again.
    let mut state = pool(4);
    for number in 0..40 {
        use_once(&mut state, AttemptOutcome::Failed, number);
    }
    assert_eq!(state.recent.failed_percent(), 0);
}

#[test]
fn take_all_slots_busy() {
    let mut state = pool(2);
    for number in 0..4 {
        granted(&take(&mut state, &ask(number), terms(), 0));
    }
    let eager = Ask {
        may_queue: false,
        ..ask(5)
    };
    assert!(matches!(
        take(&mut state, &eager, terms(), 0),
        Step::Refused(Verdict::Busy, 0)
    ));
    assert!(matches!(
        take(&mut state, &ask(6), terms(), 0),
        Step::Wait(..)
    ));
}

#[test]
fn take_waiter_before_newcomer() {
    let mut state = pool(1);
    let (permit, _) = granted(&take(&mut state, &ask(1), terms(), 0));
    granted(&take(&mut state, &ask(2), terms(), 0));
    let Step::Wait(ticket, _) = take(&mut state, &ask(3), terms(), 0) else {
        panic!("the third has to wait");
    };
    take_back(
        &mut state,
        &back(permit, "b0", AttemptOutcome::Inconclusive),
        1,
    );
    assert!(matches!(
        take(&mut state, &ask(4), terms(), 1),
        Step::Wait(..)
    ));
    let again = Ask {
        ticket: Some(ticket),
        ..ask(3)
    };
    granted(&take(&mut state, &again, terms(), 1));
}

#[test]
fn take_no_retry_left() {
    let mut state = pool(2);
    let retry = Ask {
        is_retry: true,
        ..ask(1)
    };
    assert!(matches!(
        take(&mut state, &retry, terms(), 0),
        Step::Refused(Verdict::NoBudget, 0)
    ));
    let generous = RetryTerms::new(10_000, 0, 10, 1);
    granted(&take(&mut state, &retry, generous, 0));
}

#[test]
fn take_no_server() {
    let mut state = pool(1);
    let tried = ["b0".to_owned()];
    let ask = Ask {
        exclude: &tried,
        ..ask(1)
    };
    assert!(matches!(
        take(&mut state, &ask, terms(), 0),
        Step::Refused(Verdict::NoServer, 0)
    ));
}

#[test]
fn take_back_unheard_grant() {
    let mut state = pool(1);
    granted(&take(&mut state, &ask(7), terms(), 0));
    granted(&take(&mut state, &ask(8), terms(), 0));
    let unheard = Back {
        permit: None,
        ask: 7,
        server: "",
        evidence: AttemptOutcome::Inconclusive,
        whole_us: None,
        is_leaving: false,
    };
    take_back(&mut state, &unheard, 1);
    granted(&take(&mut state, &ask(9), terms(), 1));
}

#[test]
fn take_back_leaving_server() {
    let mut state = pool(2);
    let (permit, _) = granted(&take(&mut state, &ask(1), terms(), 0));
    let leaving = Back {
        is_leaving: true,
        ..back(permit, "b0", AttemptOutcome::Inconclusive)
    };
    take_back(&mut state, &leaving, 1);
    for _ in 0..4 {
        assert_eq!(use_once(&mut state, AttemptOutcome::Inconclusive, 2), "b1");
    }
}

#[test]
fn look_silent_waiter() {
    let mut state = pool(1);
    granted(&take(&mut state, &ask(1), terms(), 0));
    granted(&take(&mut state, &ask(2), terms(), 0));
    assert!(matches!(
        take(&mut state, &ask(3), terms(), 0),
        Step::Wait(..)
    ));
    // Nobody asked again, so the place is free after the wait and a margin.
    let later_ms = QUEUE_WAIT_MS + 200;
    look(&mut state, &[], later_ms);
    assert_eq!(permit::queries::queue_length(&state.pool), 0);
}

#[test]
fn look_ejected_server() {
    let mut state = pool(2);
    look(&mut state, &["b0".to_owned()], 10);
    let changes = take_changes(&mut state);
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].now, (Standing::Ejected, false));
    assert!(take_changes(&mut state).is_empty());
    look(&mut state, &[], 20);
    assert_eq!(take_changes(&mut state)[0].now, (Standing::Suspect, false));
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
    list(&mut state, &view, 10_000);
    let servers: Vec<_> = state.pool.servers.iter().map(|(_, entry)| entry).collect();
    assert!(servers[0].leaving, "a leaving server gets no work");
    assert!(!servers[1].leaving);
    assert_eq!(
        servers[1].open_slots, 1,
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
    let told = knowledge(&before, 100);
    assert_eq!(told_requests(&told), 60);
    let mut after = PoolState::new("orders", "dc", 100);
    // The second server has started again since.
    let servers = vec![server(0, 1), server(1, 9)];
    list(&mut after, &View::new(1, Vec::new(), servers), 100);
    adopt(&mut after, &told, 10_000, 100);
    let counts = after.health.servers.iter();
    let counts: Vec<u64> = counts.map(|(_, entry)| entry.completed_count).collect();
    assert!(counts[0] > 0, "what is known of the same process is kept");
    assert_eq!(counts[1], 0, "what was known of an earlier process is not");
    assert_eq!(told_requests(&knowledge(&after, 100)), 60);
}

fn told_requests(told: &Knowledge) -> u32 {
    told.counts.iter().map(|count| count.requests).sum()
}

#[test]
fn take_slack_withheld() {
    // A successor that was not told what was granted keeps to the share until the window has passed.
    let mut state = pool(2);
    withhold_slack(&mut state, 10_000);
    let slack_only = RetryTerms::new(10_000, 0, 100, 1);
    let retry = |now_ms: u64| Ask {
        is_retry: true,
        deadline_ms: now_ms + 1_000,
        ..ask(1)
    };
    for _ in 0..10 {
        let (permit, server) = granted(&take(&mut state, &retry(9_000), slack_only, 9_000));
        let name = state.pool.names.name(server).to_owned();
        take_back(
            &mut state,
            &back(permit, &name, AttemptOutcome::Inconclusive),
            9_000,
        );
    }
    let early = take(&mut state, &retry(9_999), slack_only, 9_999);
    assert!(matches!(early, Step::Refused(Verdict::NoBudget, 0)));
    granted(&take(&mut state, &retry(10_000), slack_only, 10_000));
}
