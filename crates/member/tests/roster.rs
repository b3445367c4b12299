//! Tests of the roster: late reports, records that lapse during a platform outage, and deltas for other instances.

use {
    member::{
        commands::{
            apply_delta, apply_refusals, apply_removals, apply_server_report, confirm_refused,
            expire_servers, outlast_rollback, remove_server, retain_servers, start_grace_period,
        },
        queries::{
            delta, has_returning_server, have_records_lapsed, list_version, logged_removals,
            pool_servers, refused_removals, view,
        },
        BackendServer, Presence, Roster,
    },
    quickcheck::{quickcheck, Gen, QuickCheck},
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

fn live_server_names(roster: &Roster) -> Vec<String> {
    let view = view(roster);
    let live = pool_servers(&view, "s", "a").filter(|server| server.presence == Presence::Live);
    live.map(|server| server.name.clone()).collect()
}

/// Applies to `to` the changes of `from` since a version; returns the version that `to` then has.
fn sync(to: &mut Roster, from: &Roster, since: u64, now_ms: u64) -> u64 {
    let changes = delta(from, since, now_ms);
    apply_removals(to, &changes.gone_servers);
    apply_removals(to, &changes.refused_servers);
    apply_delta(to, &changes, "own", now_ms);
    changes.version
}

#[test]
fn apply_server_report_older_is_ignored() {
    let mut roster = Roster::new();
    assert!(apply_server_report(&mut roster, &leaving("x", 100, 5), 0));
    assert!(!apply_server_report(&mut roster, &report("x", 100, 4), 0));
    assert!(live_server_names(&roster).is_empty());
    // After a restart under the same name, sequence numbers start again.
    assert!(apply_server_report(&mut roster, &report("x", 200, 0), 0));
    assert_eq!(live_server_names(&roster), ["x"]);
}

#[test]
fn apply_server_report_late_write_after_removal() {
    let mut roster = Roster::new();
    apply_server_report(&mut roster, &report("x", 100, 3), 0);
    // A report that changes only the sequence number still counts as the server's newest report.
    apply_server_report(&mut roster, &report("x", 100, 8), 0);
    assert!(remove_server(&mut roster, "x", 0));
    assert!(!apply_server_report(&mut roster, &report("x", 100, 7), 0));
    assert!(live_server_names(&roster).is_empty());
    assert!(apply_server_report(&mut roster, &report("x", 100, 9), 0));
}

#[test]
fn apply_delta_removed_server_stays_removed() {
    // One instance has seen only an early report of a server, another has seen later reports but not its removal.
    let (mut reader, mut early, mut partitioned) = (Roster::new(), Roster::new(), Roster::new());
    apply_server_report(&mut reader, &report("x", 100, 1), 0);
    let since = sync(&mut early, &reader, 0, 0);
    apply_server_report(&mut reader, &report("x", 100, 7), 0);
    sync(&mut partitioned, &reader, 0, 0);
    apply_server_report(&mut reader, &report("x", 100, 8), 0);
    remove_server(&mut reader, "x", 0);
    sync(&mut early, &reader, since, 0);
    assert!(live_server_names(&early).is_empty());
    sync(&mut early, &partitioned, 0, 0);
    assert!(
        live_server_names(&early).is_empty(),
        "restored by a partitioned instance"
    );
}

#[test]
fn apply_delta_removal_by_delta_only() {
    // A reader has seen every report, the other instance only the first; its removal wins because it is later.
    let (mut reader, mut other) = (Roster::new(), Roster::new());
    apply_server_report(&mut reader, &report("x", 100, 1), 0);
    sync(&mut other, &reader, 0, 0);
    apply_server_report(&mut reader, &report("x", 100, 7), 1_000);
    let since = list_version(&other);
    remove_server(&mut other, "x", 2_000);
    sync(&mut reader, &other, since, 2_000);
    assert!(
        live_server_names(&reader).is_empty(),
        "kept despite a later removal"
    );
    // An instance with older state does not restore the server.
    let mut partitioned = Roster::new();
    apply_server_report(&mut partitioned, &report("x", 100, 9), 0);
    sync(&mut other, &partitioned, 0, 1_500);
    assert!(live_server_names(&other).is_empty());
}

#[test]
fn retain_servers_late_write_replaces_record() {
    let mut roster = Roster::new();
    apply_server_report(&mut roster, &report("x", 100, 7), 0);
    // The record was deleted, then an earlier write was executed late; the list shows that write.
    assert!(retain_servers(&mut roster, 0, [report("x", 100, 5)].iter()));
    assert!(live_server_names(&roster).is_empty());
    apply_server_report(&mut roster, &report("x", 100, 8), 0);
    assert_eq!(live_server_names(&roster), ["x"]);
}

#[test]
fn remove_server_during_grace_period() {
    let mut roster = Roster::new();
    for name in ["back", "gone"] {
        apply_server_report(&mut roster, &report(name, 100, 1), 0);
    }
    start_grace_period(&mut roster, 10_000);
    assert!(!retain_servers(&mut roster, 10_100, [].iter()));
    assert_eq!(live_server_names(&roster), ["back", "gone"]);
    apply_server_report(&mut roster, &report("back", 100, 2), 0);
    assert!(!expire_servers(&mut roster, 11_900));
    assert!(expire_servers(&mut roster, 12_400));
    assert_eq!(live_server_names(&roster), ["back"]);
}

/// After a cut of its own, an instance kept sending requests to a server that had left meanwhile.
#[test]
fn have_records_lapsed_by_share() {
    let names = ["a", "b", "c", "d", "e"];
    let listed = |count: usize| {
        let reports = names[..count].iter().map(|name| report(name, 100, 2));
        reports.collect::<Vec<_>>()
    };
    let mut roster = Roster::new();
    for name in names {
        apply_server_report(&mut roster, &report(name, 100, 1), 0);
    }
    assert!(!have_records_lapsed(&roster, listed(5).iter()));
    assert!(!have_records_lapsed(&roster, listed(4).iter()));
    assert!(have_records_lapsed(&roster, listed(3).iter()));
    let other = BackendServer {
        service: "other".to_owned(),
        ..report("x", 100, 1)
    };
    apply_server_report(&mut roster, &other, 0);
    assert!(have_records_lapsed(&roster, listed(5).iter()));
}

/// Returns a source that has seen an early report of a server, and a reader that has seen later ones and the removal.
fn source_and_reader() -> (Roster, Roster) {
    let (mut source, mut reader) = (Roster::new(), Roster::new());
    apply_server_report(&mut source, &report("x", 100, 1), 0);
    apply_server_report(&mut reader, &report("x", 100, 8), 1_000);
    remove_server(&mut reader, "x", 1_500);
    (source, reader)
}

/// Sends a list of `from` that is newer than the removal, then a request with the removals because of which `to` refused
/// servers of it, and the changes that follow.
fn sync_with_refusals(to: &mut Roster, from: &mut Roster) {
    let since = sync(to, from, 0, 1_600);
    apply_refusals(from, &refused_removals(to));
    sync(to, from, since, 1_700);
}

/// A server that was removed and returned at once stayed away for as long as the source had not noticed either: its list has
/// the server with an early report, as if it were not back.
#[test]
fn apply_delta_list_newer_than_removal() {
    let (mut source, mut reader) = source_and_reader();
    // A list as old as the removal doesn't show a return.
    sync(&mut reader, &source, 0, 1_500);
    assert_eq!(live_server_names(&reader), Vec::<String>::new());
    // Changes nothing but the sequence number, so it is no change for others.
    assert!(!apply_server_report(
        &mut source,
        &report("x", 100, 9),
        1_600
    ));
    sync_with_refusals(&mut reader, &mut source);
    assert_eq!(live_server_names(&reader), ["x"]);
    assert_eq!(refused_removals(&reader), []);
}

/// The same with a source between them that has only the early report, from a reader of the store.
#[test]
fn apply_delta_list_newer_than_removal_by_relay() {
    let (mut relay, mut reader) = source_and_reader();
    let mut store_reader = Roster::new();
    apply_server_report(&mut store_reader, &report("x", 100, 9), 1_600);
    sync_with_refusals(&mut reader, &mut relay);
    assert_eq!(live_server_names(&relay), Vec::<String>::new());
    sync_with_refusals(&mut relay, &mut store_reader);
    sync_with_refusals(&mut reader, &mut relay);
    assert_eq!(live_server_names(&relay), ["x"]);
    assert_eq!(live_server_names(&reader), ["x"]);
}

/// A list newer than the removal restored a server although its report was older: a late write, read by an instance that did
/// not know of the removal.
#[test]
fn apply_delta_report_older_than_removal() {
    let (mut source, mut reader) = source_and_reader();
    sync_with_refusals(&mut reader, &mut source);
    assert_eq!(live_server_names(&reader), Vec::<String>::new());
    assert_eq!(live_server_names(&source), Vec::<String>::new());
    // Nor does the next read of the restored record bring it back, which shows that the server has not returned.
    apply_server_report(&mut source, &report("x", 100, 1), 2_000);
    confirm_refused(&mut source, 2_000);
    assert_eq!(live_server_names(&source), Vec::<String>::new());
    let since = list_version(&source) - 1;
    sync(&mut reader, &source, since, 2_000);
    assert_eq!(refused_removals(&source), []);
    assert_eq!(refused_removals(&reader), []);
    assert_eq!(live_server_names(&reader), Vec::<String>::new());
}

/// The list of an instance that refused a server removed it at others although it had returned.
#[test]
fn apply_delta_full_list_has_refused() {
    let (source, mut reader) = source_and_reader();
    sync(&mut reader, &source, 0, 1_600);
    let (mut returned, mut early) = (Roster::new(), Roster::new());
    apply_server_report(&mut returned, &report("x", 100, 9), 1_550);
    apply_server_report(&mut early, &report("x", 100, 1), 1_550);
    sync(&mut returned, &reader, 0, 1_700);
    assert_eq!(live_server_names(&returned), ["x"]);
    // An early report is no sign of a return, and its removal may be wrong, so it is not passed on as one.
    sync(&mut early, &reader, 0, 1_700);
    assert_eq!(live_server_names(&early), Vec::<String>::new());
    sync(&mut returned, &early, 0, 1_800);
    assert_eq!(live_server_names(&returned), ["x"]);
    // The platform's list shows that the server is gone.
    confirm_refused(&mut reader, 2_000);
    sync(&mut returned, &reader, 0, 2_000);
    assert_eq!(live_server_names(&returned), Vec::<String>::new());
}

/// A server that had left stayed in use where its last report was known: the removal came only from an instance that refused
/// the server, and was no newer than that report.
#[test]
fn apply_delta_full_list_has_refused_with_last_report() {
    let (source, mut reader) = source_and_reader();
    let mut informed = Roster::new();
    apply_server_report(&mut informed, &report("x", 100, 8), 1_100);
    sync(&mut reader, &source, 0, 1_600);
    sync(&mut informed, &reader, 0, 1_700);
    assert_eq!(live_server_names(&informed), Vec::<String>::new());
}

/// A refused server stayed refused at an instance whose source knew that it had not returned.
#[test]
fn apply_refusals_removal_known() {
    let (source, mut reader) = source_and_reader();
    let mut store_reader = reader.clone();
    sync(&mut reader, &source, 0, 1_600);
    sync_with_refusals(&mut reader, &mut store_reader);
    assert_eq!(refused_removals(&reader), []);
    assert_eq!(live_server_names(&reader), Vec::<String>::new());
}

/// An instance that knew of a server's return made another one remove it: it refused the other's early report because of the
/// removal before the return.
#[test]
fn apply_delta_report_older_than_removal_returned() {
    let (mut source, mut reader) = source_and_reader();
    apply_server_report(&mut reader, &report("x", 100, 9), 1_550);
    sync_with_refusals(&mut reader, &mut source);
    assert_eq!(refused_removals(&reader), []);
    assert_eq!(live_server_names(&source), ["x"]);
    assert_eq!(live_server_names(&reader), ["x"]);
}

/// A restarted instance had no removals, and took the restored record of a server for that of a running one.
#[test]
fn delta_full_list_has_removals() {
    let (_, reader) = source_and_reader();
    let mut restarted = Roster::new();
    sync(&mut restarted, &reader, 0, 1_600);
    apply_server_report(&mut restarted, &report("x", 100, 7), 2_000);
    assert_eq!(live_server_names(&restarted), Vec::<String>::new());
    apply_server_report(&mut restarted, &report("x", 100, 9), 2_100);
    assert_eq!(live_server_names(&restarted), ["x"]);
}

/// An instance that kept a missing server for the grace period told others that it was listed.
#[test]
fn delta_during_grace_period() {
    let (mut sender, mut receiver) = (Roster::new(), Roster::new());
    for name in ["kept", "missing"] {
        apply_server_report(&mut sender, &report(name, 100, 1), 0);
    }
    start_grace_period(&mut sender, 5_000);
    assert!(!retain_servers(
        &mut sender,
        5_000,
        [report("kept", 100, 4)].iter()
    ));
    sync(&mut receiver, &sender, 0, 5_100);
    assert_eq!(live_server_names(&sender), ["kept", "missing"]);
    assert_eq!(live_server_names(&receiver), ["kept"]);
}

#[test]
fn apply_delta_full_list_during_grace_period() {
    let (mut receiver, mut sender) = (Roster::new(), Roster::new());
    apply_server_report(&mut receiver, &report("x", 100, 1), 0);
    start_grace_period(&mut sender, 0);
    apply_server_report(&mut sender, &report("y", 100, 1), 0);
    sync(&mut receiver, &sender, 0, 100);
    assert_eq!(live_server_names(&receiver), ["x", "y"]);
    sync(&mut receiver, &sender, 0, 5_000);
    assert_eq!(live_server_names(&receiver), ["y"]);
}

/// An instance that had received few reports of a server took a late write for its return: the write was newer than the
/// last report that the instance had seen before the removal.
#[test]
fn logged_removals_late_write() {
    let mut roster = Roster::new();
    apply_server_report(&mut roster, &report("x", 100, 1), 0);
    remove_server(&mut roster, "x", 1_000);
    let late = report("x", 100, 6);
    assert!(has_returning_server(&roster, [&late].into_iter()));
    let logged = [
        report("x", 100, 5),
        report("y", 100, 3),
        report("x", 100, 7),
    ];
    let reports = logged.iter().map(|it| (it.name.as_str(), Some(it)));
    let history = reports.chain([("x", None), ("x", Some(&late))]);
    apply_removals(&mut roster, &logged_removals(history));
    assert!(!has_returning_server(&roster, [&late].into_iter()));
    assert!(!apply_server_report(&mut roster, &late, 2_000));
    assert!(apply_server_report(
        &mut roster,
        &report("x", 100, 8),
        2_000
    ));
}

/// A server that had returned was removed because of the removal before.
#[test]
fn logged_removals_returned() {
    let (before, after) = (report("x", 100, 7), report("x", 100, 8));
    let history = [("x", Some(&before)), ("x", None), ("x", Some(&after))];
    assert_eq!(logged_removals(history.into_iter()), []);
}

/// A server that starts again under its name is none that returns.
#[test]
fn has_returning_server_started_again() {
    let mut roster = Roster::new();
    apply_server_report(&mut roster, &report("x", 100, 9), 0);
    remove_server(&mut roster, "x", 1_000);
    let started_again = report("x", 200, 1);
    assert!(!has_returning_server(&roster, [&started_again].into_iter()));
    assert!(apply_server_report(&mut roster, &started_again, 2_000));
}

quickcheck! {
    /// Whatever the order in which the reports of a running server arrive, the newest one is kept.
    fn apply_server_report_any_order(order: Vec<u8>, count: u8) -> bool {
        let count = u64::from(count % 20) + 1;
        let mut reports: Vec<BackendServer> = (1..=count)
            .map(|sequence| BackendServer {
                slots: sequence as u32,
                ..report("x", 100, sequence)
            })
            .collect();
        for (index, pick) in order.iter().enumerate() {
            let length = reports.len();
            reports.swap(index % length, usize::from(*pick) % length);
        }
        let mut roster = Roster::new();
        for report in &reports {
            apply_server_report(&mut roster, report, 0);
        }
        let view = view(&roster);
        let slots: Vec<u32> = pool_servers(&view, "s", "a").map(|server| server.slots).collect();
        slots == [count as u32]
    }

    /// An instance that applies another's delta after each step has the same servers as the other one.
    fn delta_after_every_step(steps: Vec<(u8, bool)>) -> bool {
        let (mut from, mut to) = (Roster::new(), Roster::new());
        let mut since = 0;
        let mut sequence = 0;
        for (server, is_removed) in steps {
            let name = format!("x{}", server % 5);
            sequence += 1;
            if is_removed {
                remove_server(&mut from, &name, 0);
            } else {
                apply_server_report(&mut from, &report(&name, 100, sequence), 0);
            }
            since = sync(&mut to, &from, since, 0);
        }
        live_server_names(&from) == live_server_names(&to)
    }
}

/// The store's older copy had the last report of a server that had left, and the server was used again.
#[test]
fn outlast_rollback_last_report_listed() {
    let mut roster = Roster::new();
    apply_server_report(&mut roster, &report("x", 100, 5), 10);
    remove_server(&mut roster, "x", 20);
    outlast_rollback(&mut roster, 30);
    assert!(!apply_server_report(&mut roster, &report("x", 100, 5), 40));
    assert!(!has_returning_server(&roster, [report("x", 100, 5)].iter()));
    assert!(apply_server_report(&mut roster, &report("x", 100, 6), 50));
}

/// An instance that had missed the last reports before the removal took the copy's for a newer one.
#[test]
fn outlast_rollback_later_report_listed() {
    let mut roster = Roster::new();
    apply_server_report(&mut roster, &report("x", 100, 5), 10);
    remove_server(&mut roster, "x", 20);
    outlast_rollback(&mut roster, 30);
    assert!(!apply_server_report(&mut roster, &report("x", 100, 8), 40));
    assert!(!apply_server_report(&mut roster, &report("x", 100, 8), 50));
    assert!(apply_server_report(&mut roster, &report("x", 100, 9), 60));
}

/// A process that has started since the removal is a newer one in any case.
#[test]
fn outlast_rollback_started_again() {
    let mut roster = Roster::new();
    apply_server_report(&mut roster, &report("x", 100, 5), 10);
    remove_server(&mut roster, "x", 20);
    outlast_rollback(&mut roster, 30);
    assert!(apply_server_report(&mut roster, &report("x", 200, 0), 40));
}

/// Each loss delayed the return of a running server by one more report.
#[test]
fn outlast_rollback_twice() {
    let mut roster = Roster::new();
    apply_server_report(&mut roster, &report("x", 100, 5), 10);
    remove_server(&mut roster, "x", 20);
    outlast_rollback(&mut roster, 30);
    outlast_rollback(&mut roster, 40);
    assert!(!apply_server_report(&mut roster, &report("x", 100, 6), 50));
    assert!(apply_server_report(&mut roster, &report("x", 100, 7), 60));
}

/// All servers were taken for removed, because the copy lists each with an older report than the known one.
#[test]
fn outlast_rollback_older_reports_listed() {
    let mut roster = Roster::new();
    for name in ["x", "y"] {
        apply_server_report(&mut roster, &report(name, 100, 5), 10);
    }
    outlast_rollback(&mut roster, 1_000);
    let copy = [report("x", 100, 3), report("y", 100, 3)];
    retain_servers(&mut roster, 1_010, copy.iter());
    assert_eq!(live_server_names(&roster), ["x", "y"]);
    // The one that still runs reports again.
    apply_server_report(&mut roster, &report("x", 100, 6), 1_500);
    expire_servers(&mut roster, 10_000);
    assert_eq!(live_server_names(&roster), ["x"]);
}

/// An instance that had started after the loss passed on the servers of the copy, and had fewer than were running.
#[test]
fn outlast_rollback_list_of_started_instance() {
    let mut knowing = Roster::new();
    for name in ["x", "y"] {
        apply_server_report(&mut knowing, &report(name, 100, 5), 10);
    }
    remove_server(&mut knowing, "x", 20);
    outlast_rollback(&mut knowing, 1_000);
    let mut started = Roster::new();
    apply_server_report(&mut started, &report("x", 100, 5), 1_010);
    sync(&mut knowing, &started, 0, 1_020);
    assert_eq!(live_server_names(&knowing), ["y"]);
    // It learns of the removal in turn.
    sync(&mut started, &knowing, 0, 1_030);
    assert_eq!(live_server_names(&started), ["y"]);
}

/// Two readers of a store that loses records; each sees a loss with its next read.
#[derive(Default)]
struct LossModel {
    /// Reports of the server by state of the store, newest last; none if it was removed.
    states: Vec<Option<u64>>,
    sequence: u64,
    losses: u64,
    /// Each with the number of losses that it has seen.
    readers: [(Roster, u64); 2],
    /// Time as of which each reader's list is current; none before its first read.
    as_of_ms: [Option<u64>; 2],
    now_ms: u64,
}

impl LossModel {
    fn newest(&self) -> Option<u64> {
        self.states.last().copied().flatten()
    }

    fn step(&mut self, step: u8) {
        self.now_ms += 100;
        match step % 6 {
            0 => {
                self.sequence += 1;
                self.states.push(Some(self.sequence));
            }
            1 => self.states.push(None),
            2 => {
                let kept = self.states.len() / 2;
                self.states.truncate(kept);
                self.losses += 1;
            }
            3 => {
                if let (Some(as_of_ms), true) =
                    (self.as_of_ms[0], self.as_of_ms[0] > self.as_of_ms[1])
                {
                    let [(from, from_losses), (to, to_losses)] = &mut self.readers;
                    if *from_losses > *to_losses {
                        *to_losses = *from_losses;
                        outlast_rollback(to, self.now_ms);
                    }
                    sync(to, from, 0, as_of_ms);
                    self.as_of_ms[1] = Some(as_of_ms);
                }
            }
            reader => self.read(usize::from(reader - 4)),
        }
    }

    fn read(&mut self, reader: usize) {
        let listed = self.newest().map(|sequence| report("x", 100, sequence));
        let (now_ms, losses) = (self.now_ms, self.losses);
        self.as_of_ms[reader] = Some(now_ms);
        let (roster, known) = &mut self.readers[reader];
        if std::mem::replace(known, losses) != losses {
            outlast_rollback(roster, now_ms);
        }
        if let Some(server) = &listed {
            apply_server_report(roster, server, now_ms);
        }
        retain_servers(roster, now_ms, listed.iter());
        expire_servers(roster, now_ms);
    }

    /// Returns the sequence number of the server's report at a reader; none if it is not listed there.
    fn listed(&self, reader: usize) -> Option<u64> {
        let view = view(&self.readers[reader].0);
        let sequence = pool_servers(&view, "s", "a")
            .map(|server| server.sequence)
            .next();
        sequence
    }
}

/// A server that was gone at a reader was listed there again with a report that it had had before.
#[test]
fn outlast_rollback_any_order() {
    fn property(steps: Vec<u8>) -> bool {
        let mut model = LossModel::default();
        let mut removed = [None; 2];
        for step in steps {
            let before = [0, 1].map(|reader| model.listed(reader));
            model.step(step);
            for reader in [0, 1] {
                let listed = model.listed(reader);
                if listed.is_none() {
                    removed[reader] = before[reader].max(removed[reader]);
                } else if before[reader].is_none() && listed <= removed[reader] {
                    return false;
                }
            }
        }
        true
    }
    let runner = QuickCheck::new().tests(2_000);
    let mut runner = runner.rng(Gen::from_size_and_seed(60, 18));
    runner.quickcheck(property as fn(Vec<u8>) -> bool);
}
