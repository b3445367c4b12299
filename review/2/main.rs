//! With few requests, the same backends get all of them, and the other sound ones get none.

#[path = "../standin/mod.rs"]
mod standin;

use {
    standin::{
        get, has_trouble, request_with_body, Arrival, Arrivals, Backend, Fleet, Record,
        ServerEntry, Store, HEARTBEAT_MS, SIGKILL,
    },
    std::{
        collections::HashSet,
        io,
        net::SocketAddr,
        path::Path,
        process::exit,
        sync::{
            atomic::{AtomicBool, Ordering},
            Arc, Mutex,
        },
        thread,
        time::{Duration, Instant},
    },
};

/// The service `site-photos` of tessera-gw, with the uploads a second of its day quiet-1.
const SERVICE: &str = "site-photos";
const BACKENDS: usize = 8;
const WORK_MS: u64 = 350;
const DEADLINE_MS: u64 = 5_000;
const BODY_BYTES: usize = 60_000;
const REQUEST_PAUSE_MS: u64 = 204;
const INSTANCES: usize = 3;
/// The instance that loses power, and for how long.
const VICTIM: usize = 2;
const DARK_MS: u64 = 3_500;
/// Bounds of the rule.
const WINDOW_S: f64 = 2.0;
const MIN_SHARE: f64 = 0.7;
const UNSERVED_MIN: f64 = 0.1;
const UNSERVED_MAX: f64 = 0.5;
/// Times from the start of the traffic, in milliseconds.
const KILL_AT_MS: u64 = 12_150;
const END_AT_MS: u64 = 20_000;

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    match run(Path::new(&folder)) {
        Ok(true) => exit(0),
        Ok(false) => exit(1),
        Err(error) => {
            println!("the case could not run: {error}");
            exit(2);
        }
    }
}

/// A request of a client.
#[derive(Clone)]
struct Sent {
    at_s: f64,
    is_served: bool,
}

fn run(folder: &Path) -> io::Result<bool> {
    let trouble = has_trouble();
    let record = Record::new(folder)?;
    let store = Arc::new(Store::start()?);
    let arrivals: Arrivals = Arc::new(Mutex::new(Vec::new()));
    let mut backends = Vec::new();
    for number in 0..BACKENDS {
        backends.push(Backend::start(
            &format!("i-{number}"),
            WORK_MS,
            &arrivals,
            &record,
        )?);
    }
    let addresses: Vec<SocketAddr> = backends.iter().map(|backend| backend.address).collect();
    write_entries(&store, &addresses, 1);
    spawn_heartbeats(&store, addresses);
    store.put_config(1, SERVICE, 5.0);
    let mut fleet = Fleet::start(INSTANCES, store.address)?;
    thread::sleep(Duration::from_secs(3));
    let in_rotation = Arc::new(Mutex::new(vec![true; INSTANCES]));
    let callers: Vec<SocketAddr> = fleet.instances.iter().map(|it| it.caller).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let sent = Arc::new(Mutex::new(Vec::new()));
    let clients = spawn_clients(callers, &in_rotation, &record, &sent, &is_over);
    let begin = Instant::now();
    spawn_ready_checks(&fleet, &in_rotation, &record);
    let at = |ms: u64| {
        let due = begin + Duration::from_millis(ms);
        thread::sleep(due.saturating_duration_since(Instant::now()));
    };
    at(KILL_AT_MS);
    let from_s = record.now_s();
    if trouble {
        record.say(&format!("{} loses power", fleet.instances[VICTIM].name));
        fleet.instances[VICTIM].signal(SIGKILL);
        fleet.instances[VICTIM].wait();
        at(KILL_AT_MS + DARK_MS);
        fleet.instances[VICTIM].start()?;
        record.say(&format!(
            "{} is started again",
            fleet.instances[VICTIM].name
        ));
    }
    at(END_AT_MS);
    is_over.store(true, Ordering::SeqCst);
    for request in clients.join().unwrap_or_default() {
        let _ = request.join();
    }
    let until_s = record.now_s() - (DEADLINE_MS as f64) / 1_000.0;
    let sent = sent.lock().map(|it| it.clone()).unwrap_or_default();
    let arrivals = arrivals.lock().map(|it| it.clone()).unwrap_or_default();
    Ok(judge(
        &record,
        &sent,
        &arrivals,
        from_s,
        until_s.max(from_s + 2.0 * WINDOW_S),
    ))
}

fn write_entries(store: &Store, addresses: &[SocketAddr], sequence: u64) {
    for (number, address) in addresses.iter().enumerate() {
        store.put_server(&ServerEntry {
            id: &format!("i-{number}"),
            address: *address,
            service: SERVICE,
            zone: if number % 2 == 0 { "z-a" } else { "z-b" },
            state: "ready",
            sequence,
        });
    }
}

fn spawn_heartbeats(store: &Arc<Store>, addresses: Vec<SocketAddr>) {
    let store = Arc::clone(store);
    thread::spawn(move || {
        for sequence in 2.. {
            thread::sleep(Duration::from_millis(HEARTBEAT_MS));
            write_entries(&store, &addresses, sequence);
        }
    });
}

/// Asks each instance once a second whether it is ready; two misses take it out of rotation until it answers 200 again.
fn spawn_ready_checks(fleet: &Fleet, in_rotation: &Arc<Mutex<Vec<bool>>>, record: &Arc<Record>) {
    for (number, instance) in fleet.instances.iter().enumerate() {
        let (admin, in_rotation, record) =
            (instance.admin, Arc::clone(in_rotation), Arc::clone(record));
        thread::spawn(move || {
            let mut misses = 0;
            loop {
                let is_ready =
                    get(admin, "/ready", "ready", 500).is_ok_and(|(status, _)| status == 200);
                misses = if is_ready { 0 } else { misses + 1 };
                if misses == 0 || misses == 2 {
                    if let Ok(mut in_rotation) = in_rotation.lock() {
                        if in_rotation[number] != is_ready {
                            record.line(&format!("instance {number} in rotation: {is_ready}"));
                        }
                        in_rotation[number] = is_ready;
                    }
                }
                thread::sleep(Duration::from_secs(1));
            }
        });
    }
}

/// Uploads at an even rate, to the instances in rotation in turn.
fn spawn_clients(
    callers: Vec<SocketAddr>,
    in_rotation: &Arc<Mutex<Vec<bool>>>,
    record: &Arc<Record>,
    sent: &Arc<Mutex<Vec<Sent>>>,
    is_over: &Arc<AtomicBool>,
) -> thread::JoinHandle<Vec<thread::JoinHandle<()>>> {
    let (in_rotation, record) = (Arc::clone(in_rotation), Arc::clone(record));
    let (sent, is_over) = (Arc::clone(sent), Arc::clone(is_over));
    thread::spawn(move || {
        let mut requests = Vec::new();
        let mut number = 0;
        while !is_over.load(Ordering::SeqCst) {
            number += 1;
            let rotation = in_rotation.lock().map(|it| it.clone()).unwrap_or_default();
            let usable: Vec<usize> = (0..callers.len()).filter(|at| rotation[*at]).collect();
            let instance = usable[number % usable.len()];
            let (caller, id) = (callers[instance], format!("c-{number}"));
            let (record, sent) = (Arc::clone(&record), Arc::clone(&sent));
            requests.push(thread::spawn(move || {
                let at_s = record.now_s();
                record.line(&format!("sent to instance {instance}: {id}"));
                let body = vec![b'x'; BODY_BYTES];
                let answer = request_with_body(caller, "POST", "/photo/x", &id, DEADLINE_MS, &body);
                let is_served = match &answer {
                    Ok((status, _)) => {
                        record.line(&format!("answered {status}: {id}"));
                        *status == 200
                    }
                    Err(error) => {
                        record.line(&format!("no answer ({error}): {id}"));
                        false
                    }
                };
                if let Ok(mut sent) = sent.lock() {
                    sent.push(Sent { at_s, is_served });
                }
            }));
            thread::sleep(Duration::from_millis(REQUEST_PAUSE_MS));
        }
        requests
    })
}

/// Returns whether the rule held in every window of two seconds that begins between `from_s` and `until_s`.
fn judge(record: &Record, sent: &[Sent], arrivals: &[Arrival], from_s: f64, until_s: f64) -> bool {
    let served = sent.iter().filter(|it| it.is_served).count();
    record.say(&format!("{} requests sent, {served} served", sent.len()));
    let counts = (0..BACKENDS).map(|number| {
        let id = format!("i-{number}");
        let count = arrivals.iter().filter(|it| it.backend == id).count();
        format!("{id} {count}")
    });
    let counts: Vec<String> = counts.collect();
    record.say(&format!("requests by backend: {}", counts.join(", ")));
    if served < 20 {
        record.say("hardly anything was served; the case says nothing");
        exit(2);
    }
    let mut broken = 0;
    let mut worst = (BACKENDS + 1, String::new());
    let mut begin_s = from_s;
    while begin_s <= until_s {
        let is_in = |at_s: f64| at_s >= begin_s && at_s < begin_s + WINDOW_S;
        let in_window: Vec<&Sent> = sent.iter().filter(|it| is_in(it.at_s)).collect();
        let reached: Vec<&Arrival> = arrivals.iter().filter(|it| is_in(it.at_s)).collect();
        let used: HashSet<&str> = reached.iter().map(|it| it.backend.as_str()).collect();
        let unserved = in_window.iter().filter(|it| !it.is_served).count();
        let unserved_share = unserved as f64 / in_window.len().max(1) as f64;
        let is_failing = unserved_share > UNSERVED_MIN && unserved_share < UNSERVED_MAX;
        let is_uneven = !used.is_empty() && (used.len() as f64) < MIN_SHARE * BACKENDS as f64;
        if is_failing && is_uneven {
            broken += 1;
            if used.len() < worst.0 {
                let text = format!(
                    "from {begin_s:.3} s: {} of {BACKENDS} sound backends got the {} requests that arrived, while \
                     {unserved} of {} were not served",
                    used.len(),
                    reached.len(),
                    in_window.len()
                );
                worst = (used.len(), text);
            }
        }
        begin_s += 0.05;
    }
    if broken == 0 {
        record.say("FLOOR held");
        return true;
    }
    record.say(&worst.1);
    record.say(&format!("FLOOR is broken in {broken} windows"));
    false
}
