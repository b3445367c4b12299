//! Tests of slot accounting, server selection and the queue of a pool.

use {
    permit::{
        commands::{
            cancel_request, enqueue, expire_permits, expire_waiters, grant, mark_overdue,
            refresh_waiter, release_permit, upsert_server,
        },
        queries::{
            first_active_waiter, fits_deadline, good_servers_suffice, is_proven,
            outstanding_permits, select_best, select_idle, select_server, waiters_ahead,
        },
        FailureRate, Lease, Pool, SelectError, Selection, SlotRequest, SpreadPolicy, Standing,
    },
    quickcheck::quickcheck,
    std::{collections::HashSet, net::SocketAddr},
    types::{PermitId, Priority, ServerIndex},
};

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

fn pool(servers: usize, slots: u32) -> Pool {
    let mut pool = Pool::new();
    for number in 0..servers {
        upsert_server(&mut pool, &number.to_string(), address(), "a", slots);
    }
    pool
}

fn slot_request(idempotent: bool) -> SlotRequest {
    SlotRequest {
        idempotent,
        deadline_ms: 1_000,
        ..SlotRequest::default()
    }
}

fn lease(expires_ms: u64) -> Lease {
    Lease {
        acquire_id: 0,
        expires_ms,
        retryable: false,
    }
}

fn set_standing(pool: &mut Pool, index: usize, standing: Standing) {
    pool.servers
        .get_mut(ServerIndex::from(index))
        .expect("listed")
        .standing = standing;
}

#[test]
fn select_best_suspect_last() {
    let mut pool = pool(2, 1);
    set_standing(&mut pool, 0, Standing::Suspect);
    let first = select_best(&pool, &slot_request(true)).expect("a free slot");
    assert_eq!(first.server, ServerIndex::from(1));
    grant(&mut pool, first, lease(100), 0);
    let second = select_best(&pool, &slot_request(true)).expect("the suspect's slot");
    assert_eq!(second.server, ServerIndex::from(0));
}

#[test]
fn select_best_ejected_never() {
    let mut pool = pool(1, 4);
    set_standing(&mut pool, 0, Standing::Ejected);
    assert_eq!(
        select_best(&pool, &slot_request(true)),
        Err(SelectError::NoServer)
    );
}

#[test]
fn select_best_leaving_never() {
    let mut pool = pool(1, 4);
    pool.servers
        .get_mut(ServerIndex::from(0))
        .expect("listed")
        .leaving = true;
    assert_eq!(
        select_best(&pool, &slot_request(true)),
        Err(SelectError::NoServer)
    );
}

#[test]
fn select_best_trial_idempotent_only() {
    let mut pool = pool(2, 4);
    set_standing(&mut pool, 0, Standing::Suspect);
    pool.servers
        .get_mut(ServerIndex::from(0))
        .expect("listed")
        .trial_due = true;
    assert!(
        !select_best(&pool, &slot_request(false))
            .expect("a slot")
            .is_trial
    );
    let trial = select_best(&pool, &slot_request(true)).expect("a slot");
    assert!(trial.is_trial);
    grant(&mut pool, trial, lease(100), 0);
    assert!(
        !select_best(&pool, &slot_request(true))
            .expect("a slot")
            .is_trial
    );
}

#[test]
fn expire_permits_crashed_entry_instance() {
    let mut pool = pool(1, 1);
    let selection = select_best(&pool, &slot_request(true)).expect("a slot");
    grant(&mut pool, selection, lease(100), 0);
    assert_eq!(
        select_best(&pool, &slot_request(true)),
        Err(SelectError::Busy)
    );
    assert_eq!(expire_permits(&mut pool, 99), 0);
    assert_eq!(expire_permits(&mut pool, 100), 1);
    assert!(select_best(&pool, &slot_request(true)).is_ok());
}

#[test]
fn release_permit_twice() {
    let mut pool = pool(1, 2);
    let selection = select_best(&pool, &slot_request(true)).expect("a slot");
    let id = grant(&mut pool, selection, lease(100), 0);
    assert!(release_permit(&mut pool, id, Some(10)).is_some());
    assert!(release_permit(&mut pool, id, Some(10)).is_none());
    assert_eq!(outstanding_permits(&pool), 0);
}

#[test]
fn cancel_request_response_lost() {
    let mut pool = pool(1, 1);
    let selection = select_best(&pool, &slot_request(true)).expect("a slot");
    let granted = Lease {
        acquire_id: 7,
        ..lease(5_000)
    };
    grant(&mut pool, selection, granted, 0);
    let queued = SlotRequest {
        acquire_id: 8,
        ..slot_request(true)
    };
    enqueue(&mut pool, queued, 0);
    assert!(cancel_request(&mut pool, 9).is_none());
    assert!(cancel_request(&mut pool, 8).is_none());
    assert_eq!(
        (
            outstanding_permits(&pool),
            waiters_ahead(&pool, None, Priority::default())
        ),
        (1, 0)
    );
    assert!(cancel_request(&mut pool, 7).is_some());
    assert_eq!(outstanding_permits(&pool), 0);
}

#[test]
fn mark_overdue_once() {
    let mut pool = pool(1, 1);
    let selection = select_best(&pool, &slot_request(true)).expect("a slot");
    grant(&mut pool, selection, lease(1_000), 0);
    assert!(mark_overdue(&mut pool, 50, 50).is_empty());
    assert_eq!(mark_overdue(&mut pool, 51, 50).len(), 1);
    assert!(mark_overdue(&mut pool, 60, 50).is_empty());
}

#[test]
fn first_active_waiter_skips_inactive() {
    let mut pool = pool(1, 1);
    let first = enqueue(&mut pool, slot_request(true), 0);
    let second = enqueue(&mut pool, slot_request(true), 0);
    assert_eq!(first_active_waiter(&pool, 0), None);
    refresh_waiter(&mut pool, second, 40, 40);
    assert_eq!(first_active_waiter(&pool, 10), Some(second));
    refresh_waiter(&mut pool, first, 40, 40);
    assert_eq!(first_active_waiter(&pool, 10), Some(first));
    assert_eq!(waiters_ahead(&pool, Some(second), Priority::new(0)), 1);
    expire_waiters(&mut pool, 500);
    assert_eq!(waiters_ahead(&pool, None, Priority::default()), 0);
}

#[test]
fn fits_deadline_long_queue() {
    let mut pool = pool(1, 2);
    let selection = select_best(&pool, &slot_request(true)).expect("a slot");
    let id = grant(&mut pool, selection, lease(100), 0);
    release_permit(&mut pool, id, Some(100_000));
    assert!(fits_deadline(&pool, 0, 0, 200));
    assert!(!fits_deadline(&pool, 10, 0, 200));
}

#[test]
fn select_best_least_cost() {
    let mut pool = pool(3, 4);
    for (index, cost_permille) in [(0, 200), (1, 20), (2, 150)] {
        let server = pool.servers.get_mut(ServerIndex::from(index));
        server.expect("listed").cost_permille = cost_permille;
    }
    let mut selected = Vec::new();
    for _ in 0..6 {
        let selection = select_best(&pool, &slot_request(true)).expect("a slot");
        grant(&mut pool, selection, lease(100), 0);
        selected.push(usize::from(selection.server));
    }
    // The cost of a server rises with its utilisation, so the load spreads before the cheapest server is full.
    assert_eq!(selected, [1, 1, 2, 1, 0, 2]);
}

#[test]
fn select_best_idle_formerly_suspect() {
    // A server that has just ceased to be suspect is tried with an idempotent request once it has been idle for a
    // while, but not with a request that must run at most once.
    let mut pool = pool(2, 4);
    for (index, cost_permille, granted_ms) in [(0, 450, 100), (1, 20, 900)] {
        let server = pool.servers.get_mut(ServerIndex::from(index));
        let server = server.expect("listed");
        (server.cost_permille, server.last_granted_ms) = (cost_permille, granted_ms);
    }
    let selected_by = |idempotent| {
        let request = SlotRequest {
            idle_before_ms: 500,
            ..slot_request(idempotent)
        };
        usize::from(select_best(&pool, &request).expect("a slot").server)
    };
    assert_eq!((selected_by(true), selected_by(false)), (0, 1));
}

#[test]
fn select_best_avoids_suspect() {
    let mut pool = pool(2, 1);
    set_standing(&mut pool, 0, Standing::Suspect);
    let avoiding = SlotRequest {
        avoid_suspects: true,
        ..slot_request(false)
    };
    let first = select_best(&pool, &avoiding).expect("the good server");
    grant(&mut pool, first, lease(100), 0);
    assert_eq!(select_best(&pool, &avoiding), Err(SelectError::Busy));
    assert!(select_best(&pool, &slot_request(false)).is_ok());
}

#[test]
fn good_servers_suffice_long_queue() {
    // With one good server among suspects, the first request must not hold up the queue by waiting for that server.
    let mut pool = pool(4, 4);
    for index in 1..4 {
        set_standing(&mut pool, index, Standing::Suspect);
    }
    let selection = select_best(&pool, &slot_request(true)).expect("a slot");
    let id = grant(&mut pool, selection, lease(1_000), 0);
    release_permit(&mut pool, id, Some(300_000));
    assert!(good_servers_suffice(
        &pool,
        waiters_ahead(&pool, None, Priority::default())
    ));
    for _ in 0..3 {
        enqueue(&mut pool, slot_request(true), 0);
    }
    assert!(!good_servers_suffice(
        &pool,
        waiters_ahead(&pool, None, Priority::default())
    ));
    set_standing(&mut pool, 0, Standing::Suspect);
    assert!(!good_servers_suffice(&Pool::new(), 0));
}

#[test]
fn select_best_own_data_centre() {
    let mut pool = pool(1, 4);
    upsert_server(&mut pool, "remote", address(), "b", 4);
    let request_from = |data_centre: &str| SlotRequest {
        data_centre: data_centre.into(),
        ..slot_request(true)
    };
    let selected_by = |data_centre| {
        usize::from(
            select_best(&pool, &request_from(data_centre))
                .expect("a slot")
                .server,
        )
    };
    assert_eq!((selected_by("a"), selected_by("b")), (0, 1));
}

#[test]
fn select_idle_few_used() {
    let mut pool = pool(4, 4);
    for (index, granted_ms) in [(0, 900), (1, 950), (2, 100), (3, 100)] {
        let server = pool.servers.get_mut(ServerIndex::from(index));
        let server = server.expect("listed");
        server.last_granted_ms = granted_ms;
        server.cost_permille = 1_000 - index as u32;
    }
    let spread = SpreadPolicy {
        used_window_ms: 500,
        ..SpreadPolicy::new()
    };
    let select =
        |target_percent| select_idle(&pool, &slot_request(false), &spread, target_percent, 1_000);
    assert_eq!(
        select(75).map(|selection| usize::from(selection.server)),
        Some(3)
    );
    assert_eq!(select(50), None);
}

/// Requests too few for all servers in each window always went to the same ones, and the others got none at all.
#[test]
fn select_server_few_requests() {
    // 4.9 requests a second to eight servers, which serve each in 350 ms.
    let (interval_ms, service_ms) = (204, 350);
    let mut pool = pool(8, 4);
    let spread = SpreadPolicy::new();
    let mut used: Vec<(u64, usize, PermitId)> = Vec::new();
    for request in 0..100 {
        let now_ms = 10_000 + request * interval_ms;
        for (at_ms, _, permit) in &used {
            if at_ms + service_ms < now_ms {
                release_permit(&mut pool, *permit, None);
            }
        }
        let selection = select_server(
            &pool,
            &FailureRate::default(),
            &slot_request(false),
            &spread,
            now_ms,
        );
        let selection = selection.expect("slots are free");
        let permit = grant(&mut pool, selection, lease(now_ms + 5_000), now_ms);
        used.push((now_ms, usize::from(selection.server), permit));
        let window = used.iter().filter(|(at_ms, ..)| *at_ms + 2_000 > now_ms);
        let servers: HashSet<usize> = window.map(|(_, server, ..)| *server).collect();
        assert!(request < 10 || servers.len() >= 6, "{servers:?}");
    }
}

#[test]
fn select_idle_failed_recently() {
    // A server that failed recently is not selected as idle; another request in each window would keep the failure rate
    // up.
    let mut pool = pool(2, 4);
    let spread = SpreadPolicy::new();
    let server = pool.servers.get_mut(ServerIndex::from(0)).expect("listed");
    (server.last_granted_ms, server.last_failed_ms) = (10_000, Some(10_001));
    let server = pool.servers.get_mut(ServerIndex::from(1)).expect("listed");
    (server.last_granted_ms, server.cost_permille) = (12_900, 10);
    let select = |now_ms| select_idle(&pool, &slot_request(false), &spread, 75, now_ms);
    assert_eq!(select(13_000), None);
    let later = select(13_002).map(|selection| usize::from(selection.server));
    assert_eq!(later, Some(0));
}

/// Returns a pool of which each server last succeeded and last failed at these times, with the server's standing.
fn pool_with_outcomes(outcomes: &[(Option<u64>, Option<u64>, Standing)]) -> Pool {
    let mut pool = pool(outcomes.len(), 1);
    for (index, (succeeded_ms, failed_ms, standing)) in outcomes.iter().enumerate() {
        let server = pool.servers.get_mut(ServerIndex::from(index));
        let server = server.expect("listed");
        (server.last_succeeded_ms, server.last_failed_ms) = (*succeeded_ms, *failed_ms);
        server.standing = *standing;
    }
    pool
}

/// A request that began before a failure, or at the same time, proves nothing about the time after it.
#[test]
fn is_proven_later_success_only() {
    let cases = [
        (None, None, false),
        (Some(5), None, true),
        (Some(5), Some(4), true),
        (Some(5), Some(5), false),
        (None, Some(4), false),
    ];
    for (succeeded_ms, failed_ms, expected) in cases {
        let pool = pool_with_outcomes(&[(succeeded_ms, failed_ms, Standing::Good)]);
        let server = pool.servers.get(ServerIndex::from(0)).expect("listed");
        assert_eq!(
            is_proven(server),
            expected,
            "{succeeded_ms:?} {failed_ms:?}"
        );
    }
}

fn retry() -> SlotRequest {
    SlotRequest {
        is_retry: true,
        avoid_suspects: true,
        ..slot_request(true)
    }
}

/// Second tries went to idle servers and were trials of suspects, so that one in four met another failing server.
#[test]
fn select_server_retry_proven() {
    // 0 is due for a trial, 1 hasn't been used for long and failed after its last success, 2 is proven.
    let mut pool = pool_with_outcomes(&[
        (Some(100), Some(7_000), Standing::Suspect),
        (Some(100), Some(200), Standing::Good),
        (Some(9_500), Some(200), Standing::Good),
    ]);
    let server = pool.servers.get_mut(ServerIndex::from(0)).expect("listed");
    server.trial_due = true;
    let server = pool.servers.get_mut(ServerIndex::from(2)).expect("listed");
    server.last_granted_ms = 9_900;
    let select = |pool: &Pool, request: &SlotRequest| {
        let spread = SpreadPolicy::new();
        let selected = select_server(pool, &FailureRate::default(), request, &spread, 10_000);
        selected.map(|selection| (usize::from(selection.server), selection.is_trial))
    };
    assert_eq!(select(&pool, &retry()), Ok((2, false)));
    let selection = Selection {
        server: ServerIndex::from(2),
        is_trial: false,
    };
    grant(&mut pool, selection, lease(20_000), 10_000);
    assert_eq!(
        select(&pool, &retry()),
        Err(SelectError::Busy),
        "waits for the proven server"
    );
    let overloaded = SlotRequest {
        avoid_suspects: false,
        ..retry()
    };
    assert_eq!(select(&pool, &overloaded), Ok((1, false)));
}

#[test]
fn select_server_retry_none_proven() {
    // A pool whose owner has just taken over: servers without outcomes come before one that has failed.
    let pool = pool_with_outcomes(&[
        (None, Some(9_000), Standing::Good),
        (None, None, Standing::Good),
    ]);
    let spread = SpreadPolicy::new();
    let selected = select_server(&pool, &FailureRate::default(), &retry(), &spread, 10_000);
    assert_eq!(
        selected.map(|selection| usize::from(selection.server)),
        Ok(1)
    );
}

#[test]
fn select_server_retry_all_failed() {
    let pool = pool_with_outcomes(&[(Some(100), Some(9_000), Standing::Suspect)]);
    let spread = SpreadPolicy::new();
    let selected = select_server(&pool, &FailureRate::default(), &retry(), &spread, 10_000);
    assert!(selected.is_ok(), "{selected:?}");
}

/// Requests that may run only once tried each server that had failed again after three seconds, though the others were enough
/// for the required use.
#[test]
fn select_server_once_failed_last() {
    // 20 sound servers, of which 16 are in use and four failed 4 s ago: the required share with its reserve is 15.
    let outcomes = |index: usize| match index {
        0..4 => (Some(1_000), Some(6_000), Standing::Good),
        _ => (Some(9_000), None, Standing::Good),
    };
    let outcomes: Vec<_> = (0..20).map(outcomes).collect();
    let mut pool = pool_with_outcomes(&outcomes);
    for (index, server) in pool.servers.iter_mut() {
        let is_failed = usize::from(index) < 4;
        server.last_granted_ms = if is_failed { 6_000 } else { 9_900 };
        server.cost_permille = if is_failed { 450 } else { 20 };
    }
    let mut failure_rate = FailureRate::default();
    for number in 0..100 {
        failure_rate.record(false, 8_600 + number * 14);
    }
    let spread = SpreadPolicy::new();
    let select = |idempotent| {
        let request = slot_request(idempotent);
        let selection = select_server(&pool, &failure_rate, &request, &spread, 10_000);
        usize::from(selection.expect("slots are free").server)
    };
    assert!(select(false) >= 4, "{}", select(false));
}

/// While servers fail one after the other, the use of the remaining ones must not fall below the required share before the next
/// requests reach others.
#[test]
fn select_server_once_failed_required() {
    // 10 sound servers, of which seven are in use: the required share without a reserve.
    let outcomes = |index: usize| match index {
        0..3 => (Some(1_000), Some(5_000), Standing::Good),
        _ => (Some(9_000), None, Standing::Good),
    };
    let outcomes: Vec<_> = (0..10).map(outcomes).collect();
    let mut pool = pool_with_outcomes(&outcomes);
    for (index, server) in pool.servers.iter_mut() {
        let index = usize::from(index);
        server.last_granted_ms = if index < 3 { 5_000 } else { 9_900 };
        server.cost_permille = if index < 3 { 450 + index as u32 } else { 20 };
    }
    let spread = SpreadPolicy::new();
    let mut failure_rate = FailureRate::default();
    for number in 0..100 {
        failure_rate.record(false, 8_600 + number * 14);
    }
    let request = slot_request(false);
    let selection = select_server(&pool, &failure_rate, &request, &spread, 10_000);
    let selected = selection.map(|selection| usize::from(selection.server));
    assert_eq!(selected, Ok(0), "the least costly of those that failed");
}

#[test]
fn enqueue_urgent_first() {
    let mut pool = pool(1, 1);
    let with_priority = |route| SlotRequest {
        priority: Priority::new(route),
        ..slot_request(true)
    };
    let late = enqueue(&mut pool, with_priority(2), 0);
    let urgent = enqueue(&mut pool, with_priority(1), 0);
    let second = enqueue(&mut pool, with_priority(1), 0);
    assert_eq!(waiters_ahead(&pool, Some(urgent), Priority::new(1)), 0);
    assert_eq!(waiters_ahead(&pool, Some(second), Priority::new(1)), 1);
    assert_eq!(waiters_ahead(&pool, Some(late), Priority::new(2)), 2);
    assert_eq!(waiters_ahead(&pool, None, Priority::new(1)), 2);
}

quickcheck! {
    /// A server never has more permits than slots, and the sum over the servers is the number of permits not released.
    fn grant_never_over_slots(operations: Vec<(bool, u8)>) -> bool {
        let mut pool = pool(3, 2);
        let mut granted_permits: Vec<PermitId> = Vec::new();
        operations.iter().all(|(is_grant, index)| {
            if *is_grant {
                if let Ok(selection) = select_best(&pool, &slot_request(true)) {
                    granted_permits.push(grant(&mut pool, selection, lease(1_000), 0));
                }
            } else if !granted_permits.is_empty() {
                let id = granted_permits.remove(usize::from(*index) % granted_permits.len());
                release_permit(&mut pool, id, None);
            }
            let sum: u32 = pool.servers.iter().map(|(_, server)| server.held).sum();
            sum as usize == granted_permits.len() && pool.servers.iter().all(|(_, server)| server.held <= 2)
        })
    }
}
