//! Tests of each rule of admission, on the load that it addresses.

use {
    quickcheck::quickcheck,
    shed::{
        commands::{
            advance_pace, record_arrival, record_drained, record_ended, record_refusal,
            record_rejection, record_retry, record_sent, record_served, take_report,
        },
        queries::{
            expected_work_us, fits, is_rejecting, may_retry, may_send, owed_accounts, owed_kinds,
            paced_per_s, queue_class, rank, rejected_permille, retry_after_ms, retry_return_ms,
        },
        Admission, Arrival, Backlog, Candidate, Kind, QueueClass, RefusalKind, RetryTerms,
        ReturnTerms, Transition,
    },
    types::{AccountKey, Priority},
};

const URGENT: Kind = Kind {
    priority: 0,
    idempotent: false,
};
const OTHER: Kind = Kind {
    priority: 1,
    idempotent: true,
};
const TICK_MS: u64 = 25;

fn arrival(kind: Kind) -> Arrival {
    Arrival {
        kind,
        account: None,
    }
}

fn serve(admission: &mut Admission, kind: Kind, response_us: u64, now_ms: u64) {
    record_served(admission, arrival(kind), response_us, 0.0, now_ms);
}

fn refuse(admission: &mut Admission, kind: Kind, now_ms: u64) {
    record_refusal(admission, arrival(kind), RefusalKind::Deadline, now_ms);
}

fn candidate(kind: Kind, class: QueueClass, deadline_ms: u64) -> Candidate {
    Candidate {
        kind,
        account: None,
        priority: Priority::new(kind.priority),
        class,
        deadline_ms,
    }
}

/// Requests of 550 ms were expected to take the mean of 290 ms, admitted and then late.
#[test]
fn expected_work_us_of_own_kind() {
    let mut admission = Admission::new();
    for now_ms in 0..200 {
        serve(&mut admission, URGENT, 100_000, now_ms);
        serve(&mut admission, OTHER, 500_000, now_ms);
    }
    assert!((expected_work_us(&admission, URGENT, 300_000.0) - 100_000.0).abs() < 1.0);
    assert!((expected_work_us(&admission, OTHER, 300_000.0) - 500_000.0).abs() < 1.0);
    let unknown = Kind {
        priority: 9,
        ..OTHER
    };
    assert_eq!(expected_work_us(&admission, unknown, 300_000.0), 300_000.0);
}

#[test]
fn rank_order() {
    let admission = Admission::new();
    let ranked = |candidate: Candidate| rank(&admission, &candidate, 100_000.0, 1_000);
    let usual = |kind, deadline_ms| ranked(candidate(kind, QueueClass::Usual, deadline_ms));
    assert!(ranked(candidate(OTHER, QueueClass::Owed, 9_000)) < usual(URGENT, 2_000));
    assert!(usual(URGENT, 9_000) < usual(OTHER, 2_000));
    assert!(usual(OTHER, 2_000) < usual(OTHER, 3_000));
    assert!(
        usual(OTHER, 3_000) < usual(OTHER, 1_100),
        "a request that can't complete in time comes last of its priority"
    );
    assert!(usual(OTHER, 9_000) < ranked(candidate(URGENT, QueueClass::AboveShare, 2_000)));
    let other_account = Candidate {
        priority: Priority::new(0).with_account(1),
        ..candidate(URGENT, QueueClass::Usual, 2_000)
    };
    assert!(usual(OTHER, 9_000) < ranked(other_account));
}

/// Less urgent requests got nothing while more urgent ones exceeded the capacity.
#[test]
fn owed_kinds_starved() {
    let mut admission = Admission::new();
    for now_ms in 0..100 {
        serve(&mut admission, URGENT, 100_000, now_ms);
        refuse(&mut admission, OTHER, now_ms);
    }
    let owed = owed_kinds(&admission, 100);
    assert_eq!(owed.len(), 1);
    assert_eq!(owed[0].0, OTHER);
    for _ in 0..owed[0].1 {
        record_sent(&mut admission, arrival(OTHER), false, 100);
    }
    assert!(
        owed_kinds(&admission, 100)
            .iter()
            .all(|(_, count)| *count <= 5),
        "what was sent is not owed again"
    );
    for _ in 0..owed[0].1 {
        record_ended(&mut admission, arrival(OTHER), 100);
    }
    assert_eq!(owed_kinds(&admission, 100).len(), 1);
}

/// The most urgent kind was refused for its short deadline while a less urgent one with a long deadline was served.
#[test]
fn owed_kinds_less_urgent_served_more() {
    let mut admission = Admission::new();
    for now_ms in 0..100 {
        serve(&mut admission, OTHER, 100_000, now_ms);
        if now_ms % 5 == 0 {
            refuse(&mut admission, URGENT, now_ms);
        } else {
            serve(&mut admission, URGENT, 100_000, now_ms);
        }
    }
    let owed = owed_kinds(&admission, 100);
    assert_eq!(owed.len(), 1);
    assert_eq!(owed[0].0, URGENT);
}

/// One of ten accounts sends six times its usual for 7 s, and took the room of the others, which wait as usual.
#[test]
fn queue_class_account_six_times() {
    let mut admission = Admission::new();
    let mut classes = |number: u64, account: usize, from_ms: u64, until_ms: u64, gap_ms: usize| {
        let mut above = 0;
        let mut all = 0;
        for now_ms in (from_ms..until_ms).step_by(gap_ms) {
            let arrival = Arrival {
                kind: URGENT,
                account: Some(AccountKey::new(&format!("{number}-{account}"))),
            };
            let class = queue_class(&admission, arrival, now_ms);
            record_arrival(&mut admission, arrival, class, now_ms);
            above += u32::from(class == QueueClass::AboveShare);
            all += 1;
        }
        (above, all)
    };
    // Interleaved in steps of 100 ms, since time goes forward.
    let mut totals = [(0, 0); 10];
    for step in 0..270_u64 {
        for (account, total) in totals.iter_mut().enumerate() {
            let is_burst = account == 0 && step >= 200;
            let gap_ms = if is_burst { 4 } else { 30 };
            let (above, all) = classes(0, account, step * 100, step * 100 + 100, gap_ms);
            if step >= 200 {
                *total = (total.0 + above, total.1 + all);
            }
        }
    }
    let (above, all) = totals[0];
    let share = f64::from(above) / f64::from(all);
    assert!(
        (0.55..0.75).contains(&share),
        "what exceeds twice the usual rate: {share}"
    );
    assert!(totals[1..].iter().all(|(above, _)| *above == 0));
}

#[test]
fn owed_accounts_starved() {
    let mut admission = Admission::new();
    let starved = Arrival {
        account: Some(AccountKey::new("starved")),
        ..arrival(OTHER)
    };
    for now_ms in 0..60 {
        serve(&mut admission, OTHER, 100_000, now_ms);
        record_refusal(&mut admission, starved, RefusalKind::FairShare, now_ms);
    }
    let owed = owed_accounts(&admission, 60);
    assert_eq!(owed.len(), 1);
    assert!(owed[0].1 > 0);
}

#[test]
fn fits_wait_and_work() {
    let backlog = Backlog {
        ahead: 9,
        work_us: 1_000_000.0,
        slots: 2.0,
    };
    assert!(fits(&backlog, 100_000.0, 0, 641));
    assert!(!fits(&backlog, 100_000.0, 0, 640));
}

/// A refused request returned after half of the time in which the queue drained, and was refused again.
#[test]
fn retry_after_ms_not_before_queue_has_drained() {
    let mut admission = Admission::new();
    for now_ms in 0..1_000 {
        if now_ms % 10 == 0 {
            record_drained(&mut admission, now_ms);
        }
    }
    let terms = ReturnTerms {
        backlog: Backlog {
            ahead: 400,
            work_us: 120_000_000.0,
            slots: 30.0,
        },
        own_us: 300_000.0,
        left_ms: 4_000,
        jitter: 0.0,
    };
    assert!(retry_after_ms(&admission, &terms, 1_000) >= 4_000);
    let spread = ReturnTerms {
        jitter: 1.0,
        ..terms
    };
    assert!(retry_after_ms(&admission, &spread, 1_000) <= 6_000);
}

/// The queue drains faster than expected, so the request can be served if it returns while its caller still waits.
#[test]
fn retry_after_ms_within_a_third_of_the_time_left() {
    let mut admission = Admission::new();
    for now_ms in 0..3_000 {
        record_drained(&mut admission, now_ms);
    }
    let terms = ReturnTerms {
        backlog: Backlog {
            ahead: 1_500,
            work_us: 120_000_000.0,
            slots: 30.0,
        },
        own_us: 300_000.0,
        left_ms: 4_000,
        jitter: 1.0,
    };
    assert!(retry_after_ms(&admission, &terms, 3_000) <= 4_000 / 3);
}

fn retry(kind: Kind, credit_milli: u64, left_ms: u64) -> RetryTerms {
    RetryTerms {
        kind,
        credit_milli,
        own_us: 300_000.0,
        left_ms,
    }
}

/// Servers reject half of what arrives: credit for the next quarter of a second of the urgent kind's retries is kept back.
#[test]
fn may_retry_urgent_first() {
    let mut admission = Admission::new();
    for now_ms in 0..3_000 {
        if now_ms % 10 == 0 {
            record_retry(&mut admission, URGENT, now_ms);
        }
        if now_ms % 40 == 0 {
            record_retry(&mut admission, OTHER, now_ms);
        }
    }
    let now_ms = 3_000;
    assert!(may_retry(&admission, &retry(URGENT, 1_000, 4_000), now_ms));
    assert!(!may_retry(&admission, &retry(OTHER, 20_000, 4_000), now_ms));
    assert!(may_retry(&admission, &retry(OTHER, 30_000, 4_000), now_ms));
    assert!(!may_retry(&admission, &retry(URGENT, 999, 4_000), now_ms));
    assert!(
        !may_retry(&admission, &retry(URGENT, 1_000, 500), now_ms),
        "scarce credit goes to those with time left"
    );
    assert!(
        may_retry(&admission, &retry(OTHER, 30_000, 4_000), now_ms + 60_000),
        "demand that has ended reserves nothing"
    );
}

/// The less urgent kind is served too seldom, so it gets a retry before the urgent one's reserve.
#[test]
fn may_retry_owed_kind() {
    let mut admission = Admission::new();
    for now_ms in 0..3_000 {
        record_retry(&mut admission, URGENT, now_ms);
        serve(&mut admission, URGENT, 100_000, now_ms);
        refuse(&mut admission, OTHER, now_ms);
    }
    assert!(may_retry(&admission, &retry(OTHER, 1_000, 4_000), 3_000));
}

#[test]
fn retry_return_ms_by_share_rejected() {
    let mut admission = Admission::new();
    assert_eq!(retry_return_ms(&admission, 4_000, 0.5, 0), 0);
    for now_ms in 0..100 {
        record_sent(&mut admission, arrival(URGENT), false, now_ms);
        if now_ms % 4 != 0 {
            record_rejection(&mut admission, now_ms);
        }
    }
    assert_eq!(rejected_permille(&admission, 100) / 10, 75);
    let after_ms = retry_return_ms(&admission, 4_000, 0.5, 100);
    assert!((550..=650).contains(&after_ms), "{after_ms}");
    assert_eq!(retry_return_ms(&admission, 600, 0.5, 100), 200);
}

/// Sends `per_tick` first tries in each tick as far as they aren't held back, and has `rejects` of those sent rejected.
/// Returns the number sent from 5 s on.
fn send_for_8_s<Rejects>(admission: &mut Admission, per_tick: u32, rejects: Rejects) -> u32
where
    Rejects: Fn(u32) -> u32,
{
    let mut sent_late = 0;
    for now_ms in (TICK_MS..8_000).step_by(TICK_MS as usize) {
        let mut sent = 0;
        while sent < per_tick && may_send(admission, now_ms) {
            record_sent(admission, arrival(URGENT), false, now_ms);
            sent += 1;
        }
        for _ in 0..rejects(sent) {
            record_rejection(admission, now_ms);
        }
        if now_ms >= 5_000 {
            sent_late += sent;
        }
        advance_pace(admission, now_ms);
    }
    sent_late
}

/// Servers take six requests in 25 ms and reject the rest, which spent all credit.
#[test]
fn advance_pace_rejections_by_load() {
    let mut admission = Admission::new();
    let sent = send_for_8_s(&mut admission, 12, |sent| sent.saturating_sub(6));
    let taken_in_3_s = 6 * 3_000 / TICK_MS as u32;
    assert!(paced_per_s(&admission).is_some());
    assert!(
        (taken_in_3_s * 7 / 10..=taken_in_3_s * 13 / 10).contains(&sent),
        "{sent} sent, {taken_in_3_s} taken"
    );
}

/// Half is rejected regardless of the load: holding back at the rate that is accepted halves it again and again.
#[test]
fn advance_pace_rejections_regardless_of_load() {
    let mut admission = Admission::new();
    let sent = send_for_8_s(&mut admission, 12, |sent| sent / 2);
    assert_eq!(sent, 12 * 3_000 / TICK_MS as u32, "nothing is held back");
    assert!(is_rejecting(&admission, 8_000));
}

#[test]
fn take_report_once_per_episode() {
    let mut admission = Admission::new();
    let mut transitions = Vec::new();
    for now_ms in (0..10_000).step_by(TICK_MS as usize) {
        if (1_000..4_000).contains(&now_ms) {
            refuse(&mut admission, URGENT, now_ms);
        }
        let report = take_report(&mut admission, now_ms);
        transitions.extend(report.and_then(|report| {
            let transition = report.transition?;
            Some((transition, report.episode.deadline))
        }));
    }
    assert_eq!(
        transitions,
        [(Transition::Began, 1), (Transition::Ended, 120)]
    );
}

quickcheck! {
    /// The state of a pool grew with the accounts and priorities that it ever saw.
    fn record_arrival_bounded(arrivals: Vec<(u32, bool, u32)>) -> bool {
        let mut admission = Admission::new();
        let mut now_ms = 0;
        for repeat in 0..8 {
            for (priority, idempotent, account) in &arrivals {
                now_ms += 1;
                let arrival = Arrival {
                    kind: Kind { priority: *priority, idempotent: *idempotent },
                    account: Some(AccountKey::new(&format!("{account}-{repeat}"))),
                };
                let class = queue_class(&admission, arrival, now_ms);
                record_arrival(&mut admission, arrival, class, now_ms);
                record_served(&mut admission, arrival, 1_000, 0.0, now_ms);
            }
        }
        admission.kind_count() <= shed::KINDS_MAX && admission.account_count() <= shed::ACCOUNTS_MAX
    }
}
