//! Tests of free ports for processes that are started later.

use {
    standin::PortRange,
    std::{
        net::TcpListener,
        process::{Command, Stdio},
        sync::{
            atomic::{AtomicBool, Ordering},
            Arc,
        },
        thread,
    },
};

static PORTS: PortRange = PortRange::new(26_000, 6_000);

/// A process that was being started held the port that had just been found free, since it had inherited the listener.
#[test]
fn free_address_while_processes_start() {
    let stop = Arc::new(AtomicBool::new(false));
    let starters: Vec<_> = (0..8)
        .map(|_| {
            let stop = Arc::clone(&stop);
            thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let child = Command::new("true").stdin(Stdio::null()).spawn();
                    child.and_then(|mut child| child.wait()).expect("a process");
                }
            })
        })
        .collect();
    let is_taken = |_: &usize| {
        let address = PORTS.free_address().expect("a port");
        TcpListener::bind(address).is_err()
    };
    let taken = (0..2_000).filter(is_taken).count();
    stop.store(true, Ordering::SeqCst);
    for starter in starters {
        starter.join().expect("no panic");
    }
    assert_eq!(taken, 0);
}
