//! Tests of the roster: late reports, lapses while the platform is away, and what other instances are told.

use {
    member::{
        commands::{
            apply_delta, apply_server_report, expire_servers, remove_server, retain_servers,
            start_grace_period,
        },
        queries::{delta, list_version, pool_servers, view},
        BackendServer, Presence, Roster,
    },
    quickcheck::quickcheck,
};

fn report(name: &str, started_at_ms: u64, sequence: u64) -> BackendServer {
    BackendServer {
        started_at_ms,
        sequence,
        ..BackendServer::new(name, "s", "a", ([127, 0, 0, 1], 1).into(), 4)
    }
}

fn leaving(name: &str, started_at_ms: u64, sequence: u64) -> BackendServer {
    BackendServer {
        presence: Presence::Leaving,
        ..report(name, started_at_ms, sequence)
    }
}

fn names(roster: &Roster) -> Vec<String> {
    let view = view(roster);
    let live = pool_servers(&view, "s", "a").filter(|server| server.presence == Presence::Live);
    live.map(|server| server.name.clone()).collect()
}

/// What `to` knows after it heard everything new from `from`.
fn hear(to: &mut Roster, from: &Roster, since: u64, now_ms: u64) -> u64 {
    let heard = delta(from, since, now_ms);
    apply_delta(to, &heard, "own", now_ms);
    heard.version
}

#[test]
fn apply_server_report_older_never_undoes() {
    let mut roster = Roster::new();
    assert!(apply_server_report(&mut roster, &leaving("x", 100, 5), 0));
    assert!(!apply_server_report(&mut roster, &report("x", 100, 4), 0));
    assert!(names(&roster).is_empty());
    // A restart under the same name counts from the start again.
    assert!(apply_server_report(&mut roster, &report("x", 200, 0), 0));
    assert_eq!(names(&roster), ["x"]);
}

#[test]
fn apply_server_report_late_write_after_gone() {
    let mut roster = Roster::new();
    apply_server_report(&mut roster, &report("x", 100, 3), 0);
    // Counts that change nothing else still tell how new the server's last report was.
    apply_server_report(&mut roster, &report("x", 100, 8), 0);
    assert!(remove_server(&mut roster, "x", 0));
    assert!(!apply_server_report(&mut roster, &report("x", 100, 7), 0));
    assert!(names(&roster).is_empty());
    assert!(apply_server_report(&mut roster, &report("x", 100, 9), 0));
}

#[test]
fn apply_delta_gone_server_stays_gone() {
    // One instance heard of a server early only, another has seen later reports of it, but not its end.
    let (mut reader, mut early, mut cut) = (Roster::new(), Roster::new(), Roster::new());
    apply_server_report(&mut reader, &report("x", 100, 1), 0);
    let since = hear(&mut early, &reader, 0, 0);
    apply_server_report(&mut reader, &report("x", 100, 7), 0);
    hear(&mut cut, &reader, 0, 0);
    apply_server_report(&mut reader, &report("x", 100, 8), 0);
    remove_server(&mut reader, "x", 0);
    hear(&mut early, &reader, since, 0);
    assert!(names(&early).is_empty());
    hear(&mut early, &cut, 0, 0);
    assert!(
        names(&early).is_empty(),
        "brought back by one who was cut off"
    );
}

#[test]
fn apply_delta_gone_known_by_changes_only() {
    // A reader has seen every report, the other instance only the first; still, what it knows later counts.
    let (mut reader, mut other) = (Roster::new(), Roster::new());
    apply_server_report(&mut reader, &report("x", 100, 1), 0);
    hear(&mut other, &reader, 0, 0);
    apply_server_report(&mut reader, &report("x", 100, 7), 1_000);
    let since = list_version(&other);
    remove_server(&mut other, "x", 2_000);
    hear(&mut reader, &other, since, 2_000);
    assert!(names(&reader).is_empty(), "kept against later news");
    // And nobody who heard earlier brings it back.
    let mut cut = Roster::new();
    apply_server_report(&mut cut, &report("x", 100, 9), 0);
    hear(&mut other, &cut, 0, 1_500);
    assert!(names(&other).is_empty());
}

#[test]
fn retain_servers_late_write_in_place() {
    let mut roster = Roster::new();
    apply_server_report(&mut roster, &report("x", 100, 7), 0);
    // The record was dropped, then a write of before was executed; the list shows that one.
    assert!(retain_servers(&mut roster, 0, [report("x", 100, 5)].iter()));
    assert!(names(&roster).is_empty());
    apply_server_report(&mut roster, &report("x", 100, 8), 0);
    assert_eq!(names(&roster), ["x"]);
}

#[test]
fn remove_server_while_unsettled() {
    let mut roster = Roster::new();
    for name in ["back", "gone"] {
        apply_server_report(&mut roster, &report(name, 100, 1), 0);
    }
    start_grace_period(&mut roster, 10_000);
    assert!(!retain_servers(&mut roster, 10_100, [].iter()));
    assert_eq!(names(&roster), ["back", "gone"]);
    apply_server_report(&mut roster, &report("back", 100, 2), 0);
    assert!(!expire_servers(&mut roster, 11_900));
    assert!(expire_servers(&mut roster, 12_400));
    assert_eq!(names(&roster), ["back"]);
}

#[test]
fn apply_delta_unsettled_whole_list() {
    let (mut known, mut fresh) = (Roster::new(), Roster::new());
    apply_server_report(&mut known, &report("x", 100, 1), 0);
    start_grace_period(&mut fresh, 0);
    apply_server_report(&mut fresh, &report("y", 100, 1), 0);
    hear(&mut known, &fresh, 0, 100);
    assert_eq!(names(&known), ["x", "y"]);
    hear(&mut known, &fresh, 0, 5_000);
    assert_eq!(names(&known), ["y"]);
}

quickcheck! {
    /// However reports and ends are interleaved on their way, an instance that hears all of them in some order,
    /// each end after the reports before it or not, ends with the newest report of a server that lives.
    fn apply_server_report_any_order(order: Vec<u8>, count: u8) -> bool {
        let count = u64::from(count % 20) + 1;
        let mut reports: Vec<BackendServer> = (1..=count)
            .map(|sequence| BackendServer {
                slots: sequence as u32,
                ..report("x", 100, sequence)
            })
            .collect();
        for (place, pick) in order.iter().enumerate() {
            let length = reports.len();
            reports.swap(place % length, usize::from(*pick) % length);
        }
        let mut roster = Roster::new();
        for one in &reports {
            apply_server_report(&mut roster, one, 0);
        }
        let view = view(&roster);
        let slots: Vec<u32> = pool_servers(&view, "s", "a").map(|server| server.slots).collect();
        slots == [count as u32]
    }

    /// An instance that hears from another after each step knows what that one knows.
    fn delta_follows_every_step(steps: Vec<(u8, bool)>) -> bool {
        let (mut from, mut to) = (Roster::new(), Roster::new());
        let mut since = 0;
        let mut sequence = 0;
        for (server, ends) in steps {
            let name = format!("x{}", server % 5);
            sequence += 1;
            if ends {
                remove_server(&mut from, &name, 0);
            } else {
                apply_server_report(&mut from, &report(&name, 100, sequence), 0);
            }
            since = hear(&mut to, &from, since, 0);
        }
        names(&from) == names(&to)
    }
}
