//! Tests of the owner's accounting of slots.

use {
    permit::{
        commands::{
            drop_silent_waiters, enqueue, expire, give_back, hear, list_server, mark_overdue, take,
            withdraw_ask,
        },
        queries::{
            ahead, choose, choose_unused, first_present, fits_deadline, good_ones_suffice, held,
        },
        Lease, Pool, Refusal, Spread, Standing, Wish,
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
        list_server(&mut pool, &number.to_string(), address(), "a", slots);
    }
    pool
}

fn wish(idempotent: bool) -> Wish {
    Wish {
        idempotent,
        deadline_ms: 1_000,
        ..Wish::default()
    }
}

fn lease(expires_ms: u64) -> Lease {
    Lease {
        ask: 0,
        expires_ms,
        may_retry: false,
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
    let first = choose(&pool, &wish(true)).expect("a free slot");
    assert_eq!(first.server, ServerIndex::from(1));
    take(&mut pool, first, lease(100), 0);
    let second = choose(&pool, &wish(true)).expect("the suspect's slot");
    assert_eq!(second.server, ServerIndex::from(0));
}

#[test]
fn choose_ejected_never() {
    let mut pool = pool(1, 4);
    set_standing(&mut pool, 0, Standing::Ejected);
    assert_eq!(choose(&pool, &wish(true)), Err(Refusal::NoServer));
}

#[test]
fn choose_leaving_never() {
    let mut pool = pool(1, 4);
    pool.servers
        .get_mut(ServerIndex::from(0))
        .expect("listed")
        .leaving = true;
    assert_eq!(choose(&pool, &wish(true)), Err(Refusal::NoServer));
}

#[test]
fn choose_trial_idempotent_only() {
    let mut pool = pool(2, 4);
    set_standing(&mut pool, 0, Standing::Suspect);
    pool.servers
        .get_mut(ServerIndex::from(0))
        .expect("listed")
        .trial_due = true;
    assert!(!choose(&pool, &wish(false)).expect("a slot").trial);
    let trial = choose(&pool, &wish(true)).expect("a slot");
    assert!(trial.trial);
    take(&mut pool, trial, lease(100), 0);
    assert!(!choose(&pool, &wish(true)).expect("a slot").trial);
}

#[test]
fn expire_dead_entry() {
    let mut pool = pool(1, 1);
    let choice = choose(&pool, &wish(true)).expect("a slot");
    take(&mut pool, choice, lease(100), 0);
    assert_eq!(choose(&pool, &wish(true)), Err(Refusal::Busy));
    assert_eq!(expire(&mut pool, 99), 0);
    assert_eq!(expire(&mut pool, 100), 1);
    assert!(choose(&pool, &wish(true)).is_ok());
}

#[test]
fn give_back_twice() {
    let mut pool = pool(1, 2);
    let choice = choose(&pool, &wish(true)).expect("a slot");
    let id = take(&mut pool, choice, lease(100), 0);
    assert!(give_back(&mut pool, id, Some(10)).is_some());
    assert!(give_back(&mut pool, id, Some(10)).is_none());
    assert_eq!(held(&pool), 0);
}

#[test]
fn withdraw_ask_grant_not_heard() {
    let mut pool = pool(1, 1);
    let choice = choose(&pool, &wish(true)).expect("a slot");
    let numbered = Lease {
        ask: 7,
        ..lease(5_000)
    };
    take(&mut pool, choice, numbered, 0);
    let waiting = Wish {
        ask: 8,
        ..wish(true)
    };
    enqueue(&mut pool, waiting, 0);
    assert!(withdraw_ask(&mut pool, 9).is_none());
    assert!(withdraw_ask(&mut pool, 8).is_none());
    assert_eq!((held(&pool), ahead(&pool, None, 0)), (1, 0));
    assert!(withdraw_ask(&mut pool, 7).is_some());
    assert_eq!(held(&pool), 0);
}

#[test]
fn mark_overdue_once() {
    let mut pool = pool(1, 1);
    let choice = choose(&pool, &wish(true)).expect("a slot");
    take(&mut pool, choice, lease(1_000), 0);
    assert!(mark_overdue(&mut pool, 50, 50).is_empty());
    assert_eq!(mark_overdue(&mut pool, 51, 50).len(), 1);
    assert!(mark_overdue(&mut pool, 60, 50).is_empty());
}

#[test]
fn first_present_skips_absent() {
    let mut pool = pool(1, 1);
    let far = enqueue(&mut pool, wish(true), 0);
    let near = enqueue(&mut pool, wish(true), 0);
    assert_eq!(first_present(&pool, 0), None);
    hear(&mut pool, near, 40, 40);
    assert_eq!(first_present(&pool, 10), Some(near));
    hear(&mut pool, far, 40, 40);
    assert_eq!(first_present(&pool, 10), Some(far));
    assert_eq!(ahead(&pool, Some(near), 0), 1);
    drop_silent_waiters(&mut pool, 500);
    assert_eq!(ahead(&pool, None, 0), 0);
}

#[test]
fn fits_deadline_long_queue() {
    let mut pool = pool(1, 2);
    let choice = choose(&pool, &wish(true)).expect("a slot");
    let id = take(&mut pool, choice, lease(100), 0);
    give_back(&mut pool, id, Some(100_000));
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
        let choice = choose(&pool, &wish(true)).expect("a slot");
        take(&mut pool, choice, lease(100), 0);
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
        (server.cost_permille, server.granted_ms) = (cost_permille, granted_ms);
    }
    let picked = |idempotent| {
        let later = Wish {
            neglected_before_ms: 500,
            ..wish(idempotent)
        };
        usize::from(choose(&pool, &later).expect("a slot").server)
    };
    assert_eq!((picked(true), picked(false)), (0, 1));
}

#[test]
fn choose_spurned_suspect() {
    let mut pool = pool(2, 1);
    set_standing(&mut pool, 0, Standing::Suspect);
    let patient = Wish {
        spurns_suspects: true,
        ..wish(false)
    };
    let first = choose(&pool, &patient).expect("the good server");
    take(&mut pool, first, lease(100), 0);
    assert_eq!(choose(&pool, &patient), Err(Refusal::Busy));
    assert!(choose(&pool, &wish(false)).is_ok());
}

#[test]
fn good_ones_suffice_long_queue() {
    // One good server among suspects: whoever is first must not hold up all behind it.
    let mut pool = pool(4, 4);
    for index in 1..4 {
        set_standing(&mut pool, index, Standing::Suspect);
    }
    let choice = choose(&pool, &wish(true)).expect("a slot");
    let id = take(&mut pool, choice, lease(1_000), 0);
    give_back(&mut pool, id, Some(300_000));
    assert!(good_ones_suffice(&pool, ahead(&pool, None, 0)));
    for _ in 0..3 {
        enqueue(&mut pool, wish(true), 0);
    }
    assert!(!good_ones_suffice(&pool, ahead(&pool, None, 0)));
    set_standing(&mut pool, 0, Standing::Suspect);
    assert!(!good_ones_suffice(&Pool::new(), 0));
}

#[test]
fn choose_own_data_centre() {
    let mut pool = pool(1, 4);
    list_server(&mut pool, "far", address(), "b", 4);
    let near = |data_centre: &str| Wish {
        data_centre: data_centre.into(),
        ..wish(true)
    };
    let picked =
        |data_centre| usize::from(choose(&pool, &near(data_centre)).expect("a slot").server);
    assert_eq!((picked("a"), picked("b")), (0, 1));
}

#[test]
fn choose_unused_few_used() {
    let mut pool = pool(4, 4);
    for (index, granted_ms) in [(0, 900), (1, 950), (2, 100), (3, 100)] {
        let server = pool.servers.get_mut(ServerIndex::from(index));
        let server = server.expect("listed");
        server.granted_ms = granted_ms;
        server.cost_permille = 1_000 - index as u32;
    }
    let unused = |share_percent| {
        let spread = Spread {
            window_ms: 500,
            share_percent,
            ..Spread::new()
        };
        choose_unused(&pool, &wish(false), &spread, 1_000)
    };
    assert_eq!(unused(75).map(|choice| usize::from(choice.server)), Some(3));
    assert_eq!(unused(50), None);
}

#[test]
fn choose_unused_failed_of_late() {
    // A server that failed is given rest: sending it another request in each window would keep the failures up.
    let mut pool = pool(2, 4);
    let spread = Spread::new();
    let server = pool.servers.get_mut(ServerIndex::from(0)).expect("listed");
    (server.granted_ms, server.failed_ms) = (10_000, Some(10_001));
    let server = pool.servers.get_mut(ServerIndex::from(1)).expect("listed");
    (server.granted_ms, server.cost_permille) = (13_500, 10);
    let unused = |now_ms| choose_unused(&pool, &wish(false), &spread, now_ms);
    assert_eq!(unused(13_600), None);
    let later = unused(14_000).map(|choice| usize::from(choice.server));
    assert_eq!(later, Some(0));
}

#[test]
fn enqueue_urgent_first() {
    let mut pool = pool(1, 1);
    let with_priority = |priority| Wish {
        priority,
        ..wish(true)
    };
    let late = enqueue(&mut pool, with_priority(2), 0);
    let urgent = enqueue(&mut pool, with_priority(1), 0);
    let second = enqueue(&mut pool, with_priority(1), 0);
    assert_eq!(ahead(&pool, Some(urgent), 1), 0);
    assert_eq!(ahead(&pool, Some(second), 1), 1);
    assert_eq!(ahead(&pool, Some(late), 2), 2);
    assert_eq!(ahead(&pool, None, 1), 2);
}

quickcheck! {
    fn take_never_over_slots(turns: Vec<(bool, u8)>) -> bool {
        let mut pool = pool(3, 2);
        let mut out: Vec<PermitId> = Vec::new();
        turns.iter().all(|(takes, pick)| {
            if *takes {
                if let Ok(choice) = choose(&pool, &wish(true)) {
                    out.push(take(&mut pool, choice, lease(1_000), 0));
                }
            } else if !out.is_empty() {
                let id = out.remove(usize::from(*pick) % out.len());
                give_back(&mut pool, id, None);
            }
            let sum: u32 = pool.servers.iter().map(|(_, server)| server.held).sum();
            sum as usize == out.len() && pool.servers.iter().all(|(_, server)| server.held <= 2)
        })
    }
}
