//! Tests of the owner's accounting of slots.

use {
    permit::{
        commands::{
            cancel_request, enqueue, expire_permits, expire_waiters, grant, mark_overdue,
            refresh_waiter, release_permit, upsert_server,
        },
        queries::{
            first_active_waiter, fits_deadline, good_servers_suffice, outstanding_permits,
            select_best, select_idle, waiters_ahead,
        },
        Lease, Pool, SelectError, SlotRequest, SpreadPolicy, Standing,
    },
    quickcheck::quickcheck,
    std::net::SocketAddr,
    types::{PermitId, ServerIndex},
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
fn choose_suspect_last() {
    let mut pool = pool(2, 1);
    set_standing(&mut pool, 0, Standing::Suspect);
    let first = select_best(&pool, &slot_request(true)).expect("a free slot");
    assert_eq!(first.server, ServerIndex::from(1));
    grant(&mut pool, first, lease(100), 0);
    let second = select_best(&pool, &slot_request(true)).expect("the suspect's slot");
    assert_eq!(second.server, ServerIndex::from(0));
}

#[test]
fn choose_ejected_never() {
    let mut pool = pool(1, 4);
    set_standing(&mut pool, 0, Standing::Ejected);
    assert_eq!(
        select_best(&pool, &slot_request(true)),
        Err(SelectError::NoServer)
    );
}

#[test]
fn choose_leaving_never() {
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
fn choose_trial_idempotent_only() {
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
fn expire_dead_entry() {
    let mut pool = pool(1, 1);
    let choice = select_best(&pool, &slot_request(true)).expect("a slot");
    grant(&mut pool, choice, lease(100), 0);
    assert_eq!(
        select_best(&pool, &slot_request(true)),
        Err(SelectError::Busy)
    );
    assert_eq!(expire_permits(&mut pool, 99), 0);
    assert_eq!(expire_permits(&mut pool, 100), 1);
    assert!(select_best(&pool, &slot_request(true)).is_ok());
}

#[test]
fn give_back_twice() {
    let mut pool = pool(1, 2);
    let choice = select_best(&pool, &slot_request(true)).expect("a slot");
    let id = grant(&mut pool, choice, lease(100), 0);
    assert!(release_permit(&mut pool, id, Some(10)).is_some());
    assert!(release_permit(&mut pool, id, Some(10)).is_none());
    assert_eq!(outstanding_permits(&pool), 0);
}

#[test]
fn withdraw_ask_grant_not_heard() {
    let mut pool = pool(1, 1);
    let choice = select_best(&pool, &slot_request(true)).expect("a slot");
    let numbered = Lease {
        acquire_id: 7,
        ..lease(5_000)
    };
    grant(&mut pool, choice, numbered, 0);
    let waiting = SlotRequest {
        acquire_id: 8,
        ..slot_request(true)
    };
    enqueue(&mut pool, waiting, 0);
    assert!(cancel_request(&mut pool, 9).is_none());
    assert!(cancel_request(&mut pool, 8).is_none());
    assert_eq!(
        (outstanding_permits(&pool), waiters_ahead(&pool, None, 0)),
        (1, 0)
    );
    assert!(cancel_request(&mut pool, 7).is_some());
    assert_eq!(outstanding_permits(&pool), 0);
}

#[test]
fn mark_overdue_once() {
    let mut pool = pool(1, 1);
    let choice = select_best(&pool, &slot_request(true)).expect("a slot");
    grant(&mut pool, choice, lease(1_000), 0);
    assert!(mark_overdue(&mut pool, 50, 50).is_empty());
    assert_eq!(mark_overdue(&mut pool, 51, 50).len(), 1);
    assert!(mark_overdue(&mut pool, 60, 50).is_empty());
}

#[test]
fn first_present_skips_absent() {
    let mut pool = pool(1, 1);
    let far = enqueue(&mut pool, slot_request(true), 0);
    let near = enqueue(&mut pool, slot_request(true), 0);
    assert_eq!(first_active_waiter(&pool, 0), None);
    refresh_waiter(&mut pool, near, 40, 40);
    assert_eq!(first_active_waiter(&pool, 10), Some(near));
    refresh_waiter(&mut pool, far, 40, 40);
    assert_eq!(first_active_waiter(&pool, 10), Some(far));
    assert_eq!(waiters_ahead(&pool, Some(near), 0), 1);
    expire_waiters(&mut pool, 500);
    assert_eq!(waiters_ahead(&pool, None, 0), 0);
}

#[test]
fn fits_deadline_long_queue() {
    let mut pool = pool(1, 2);
    let choice = select_best(&pool, &slot_request(true)).expect("a slot");
    let id = grant(&mut pool, choice, lease(100), 0);
    release_permit(&mut pool, id, Some(100_000));
    assert!(fits_deadline(&pool, 0, 0, 200));
    assert!(!fits_deadline(&pool, 10, 0, 200));
}

#[test]
fn choose_least_cost() {
    let mut pool = pool(3, 4);
    for (index, cost_permille) in [(0, 200), (1, 20), (2, 150)] {
        let server = pool.servers.get_mut(ServerIndex::from(index));
        server.expect("listed").cost_permille = cost_permille;
    }
    let mut picks = Vec::new();
    for _ in 0..6 {
        let choice = select_best(&pool, &slot_request(true)).expect("a slot");
        grant(&mut pool, choice, lease(100), 0);
        picks.push(usize::from(choice.server));
    }
    // A used server costs more with each request, so the work spreads before the cheapest is full.
    assert_eq!(picks, [1, 1, 2, 1, 0, 2]);
}

#[test]
fn choose_neglected_doubtful_server() {
    // A server whose suspicion has just faded gets a safe request after a while without work, not one to run once.
    let mut pool = pool(2, 4);
    for (index, cost_permille, granted_ms) in [(0, 450, 100), (1, 20, 900)] {
        let server = pool.servers.get_mut(ServerIndex::from(index));
        let server = server.expect("listed");
        (server.cost_permille, server.last_granted_ms) = (cost_permille, granted_ms);
    }
    let picked = |idempotent| {
        let later = SlotRequest {
            idle_before_ms: 500,
            ..slot_request(idempotent)
        };
        usize::from(select_best(&pool, &later).expect("a slot").server)
    };
    assert_eq!((picked(true), picked(false)), (0, 1));
}

#[test]
fn choose_spurned_suspect() {
    let mut pool = pool(2, 1);
    set_standing(&mut pool, 0, Standing::Suspect);
    let patient = SlotRequest {
        avoid_suspects: true,
        ..slot_request(false)
    };
    let first = select_best(&pool, &patient).expect("the good server");
    grant(&mut pool, first, lease(100), 0);
    assert_eq!(select_best(&pool, &patient), Err(SelectError::Busy));
    assert!(select_best(&pool, &slot_request(false)).is_ok());
}

#[test]
fn good_ones_suffice_long_queue() {
    // One good server among suspects: whoever is first must not hold up all behind it.
    let mut pool = pool(4, 4);
    for index in 1..4 {
        set_standing(&mut pool, index, Standing::Suspect);
    }
    let choice = select_best(&pool, &slot_request(true)).expect("a slot");
    let id = grant(&mut pool, choice, lease(1_000), 0);
    release_permit(&mut pool, id, Some(300_000));
    assert!(good_servers_suffice(&pool, waiters_ahead(&pool, None, 0)));
    for _ in 0..3 {
        enqueue(&mut pool, slot_request(true), 0);
    }
    assert!(!good_servers_suffice(&pool, waiters_ahead(&pool, None, 0)));
    set_standing(&mut pool, 0, Standing::Suspect);
    assert!(!good_servers_suffice(&Pool::new(), 0));
}

#[test]
fn choose_own_data_centre() {
    let mut pool = pool(1, 4);
    upsert_server(&mut pool, "far", address(), "b", 4);
    let near = |data_centre: &str| SlotRequest {
        data_centre: data_centre.into(),
        ..slot_request(true)
    };
    let picked = |data_centre| {
        usize::from(
            select_best(&pool, &near(data_centre))
                .expect("a slot")
                .server,
        )
    };
    assert_eq!((picked("a"), picked("b")), (0, 1));
}

#[test]
fn choose_unused_few_used() {
    let mut pool = pool(4, 4);
    for (index, granted_ms) in [(0, 900), (1, 950), (2, 100), (3, 100)] {
        let server = pool.servers.get_mut(ServerIndex::from(index));
        let server = server.expect("listed");
        server.last_granted_ms = granted_ms;
        server.cost_permille = 1_000 - index as u32;
    }
    let unused = |target_used_percent| {
        let spread = SpreadPolicy {
            used_window_ms: 500,
            target_used_percent,
            ..SpreadPolicy::new()
        };
        select_idle(&pool, &slot_request(false), &spread, 1_000)
    };
    assert_eq!(unused(75).map(|choice| usize::from(choice.server)), Some(3));
    assert_eq!(unused(50), None);
}

#[test]
fn choose_unused_failed_of_late() {
    // A server that failed is given rest: sending it another request in each window would keep the failures up.
    let mut pool = pool(2, 4);
    let spread = SpreadPolicy::new();
    let server = pool.servers.get_mut(ServerIndex::from(0)).expect("listed");
    (server.last_granted_ms, server.last_failed_ms) = (10_000, Some(10_001));
    let server = pool.servers.get_mut(ServerIndex::from(1)).expect("listed");
    (server.last_granted_ms, server.cost_permille) = (13_500, 10);
    let unused = |now_ms| select_idle(&pool, &slot_request(false), &spread, now_ms);
    assert_eq!(unused(13_600), None);
    let later = unused(14_000).map(|choice| usize::from(choice.server));
    assert_eq!(later, Some(0));
}

#[test]
fn enqueue_urgent_first() {
    let mut pool = pool(1, 1);
    let with_priority = |priority| SlotRequest {
        priority,
        ..slot_request(true)
    };
    let late = enqueue(&mut pool, with_priority(2), 0);
    let urgent = enqueue(&mut pool, with_priority(1), 0);
    let second = enqueue(&mut pool, with_priority(1), 0);
    assert_eq!(waiters_ahead(&pool, Some(urgent), 1), 0);
    assert_eq!(waiters_ahead(&pool, Some(second), 1), 1);
    assert_eq!(waiters_ahead(&pool, Some(late), 2), 2);
    assert_eq!(waiters_ahead(&pool, None, 1), 2);
}

quickcheck! {
    fn take_never_over_slots(turns: Vec<(bool, u8)>) -> bool {
        let mut pool = pool(3, 2);
        let mut out: Vec<PermitId> = Vec::new();
        turns.iter().all(|(takes, pick)| {
            if *takes {
                if let Ok(choice) = select_best(&pool, &slot_request(true)) {
                    out.push(grant(&mut pool, choice, lease(1_000), 0));
                }
            } else if !out.is_empty() {
                let id = out.remove(usize::from(*pick) % out.len());
                release_permit(&mut pool, id, None);
            }
            let sum: u32 = pool.servers.iter().map(|(_, server)| server.held).sum();
            sum as usize == out.len() && pool.servers.iter().all(|(_, server)| server.held <= 2)
        })
    }
}
