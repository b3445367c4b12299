//! A backend that has left is used again after the instance that reads the store was restarted.

#[path = "../standin/mod.rs"]
mod standin;

use {
    standin::{
        has_trouble, request, Arrival, Arrivals, Backend, Fleet, Record, ServerEntry, Store,
        HEARTBEAT_MS, SIGTERM,
    },
    std::{
        io,
        net::SocketAddr,
        path::Path,
        process::exit,
        sync::{
            atomic::{AtomicBool, AtomicU64, Ordering},
            Arc, Mutex,
        },
        thread,
        time::{Duration, Instant},
    },
};

const SERVICE: &str = "orders";
/// The backend that leaves.
const LEAVER: &str = "i-0";
const BACKENDS: usize = 5;
const INSTANCES: usize = 6;
const WORK_MS: u64 = 200;
const DEADLINE_MS: u64 = 2_000;
/// Pause between two requests of the clients, in milliseconds.
const REQUEST_PAUSE_MS: u64 = 20;
/// Bounds of the deployment.
const DRAIN_S: f64 = 2.0;
const STABLE_WINDOW_S: f64 = 3.0;
/// Times from the write whose answer is lost, in milliseconds. A late write is executed 1 to 6 s later.
const STOP_AT_MS: u64 = 600;
const LEAVES_AT_MS: u64 = 3_300;
const LATE_AT_MS: u64 = 5_900;
const END_AT_MS: u64 = 9_900;
/// Time after its last write at which the store drops an entry: three heartbeat intervals.
const SILENCE_MS: u64 = 3 * HEARTBEAT_MS;
/// Delay of the restart of a process that has ended.
const RESTART_MS: u64 = 300;

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

/// The backends' writes to the store.
struct Writer {
    addresses: Vec<SocketAddr>,
    sequences: Vec<AtomicU64>,
    has_left: AtomicBool,
}

impl Writer {
    fn write(&self, store: &Store, number: usize, sequence: u64) {
        store.put_server(&ServerEntry {
            id: &format!("i-{number}"),
            address: self.addresses[number],
            service: SERVICE,
            zone: if number % 2 == 0 { "z-a" } else { "z-b" },
            state: "ready",
            sequence,
        });
    }

    fn next(&self, number: usize) -> u64 {
        self.sequences[number].fetch_add(1, Ordering::SeqCst) + 1
    }
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
    let writer = Arc::new(Writer {
        addresses: backends.iter().map(|backend| backend.address).collect(),
        sequences: (0..BACKENDS).map(|_| AtomicU64::new(0)).collect(),
        has_left: AtomicBool::new(false),
    });
    for number in 0..BACKENDS {
        writer.write(&store, number, writer.next(number));
    }
    spawn_heartbeats(&store, &writer);
    store.put_config(1, SERVICE, 2.0);
    let mut fleet = Fleet::start(INSTANCES, store.address)?;
    thread::sleep(Duration::from_secs(4));
    let reader = fleet
        .reader()
        .ok_or_else(|| io::Error::other("no instance reads the store"))?;
    record.say(&format!(
        "{} reads the store for the others",
        fleet.instances[reader].name
    ));
    let is_over = Arc::new(AtomicBool::new(false));
    let unanswered = Arc::new(Mutex::new(Vec::new()));
    let clients = spawn_clients(&fleet, reader, &record, &unanswered, &is_over);
    thread::sleep(Duration::from_secs(4));

    let begin = Instant::now();
    let at = |ms: u64| {
        let due = begin + Duration::from_millis(ms);
        thread::sleep(due.saturating_duration_since(Instant::now()));
    };
    let lost = writer.next(0);
    if trouble {
        record.say(&format!("{LEAVER} writes its entry, sequence {lost}; the store does not answer and executes it later"));
        at(STOP_AT_MS);
        record.say(&format!("SIGTERM to {}", fleet.instances[reader].name));
        fleet.instances[reader].signal(SIGTERM);
    } else {
        writer.write(&store, 0, lost);
    }
    at(LEAVES_AT_MS);
    writer.has_left.store(true, Ordering::SeqCst);
    store.put("keyed.servers", LEAVER, None);
    let left_s = record.now_s();
    let last = writer.sequences[0].load(Ordering::SeqCst);
    record.say(&format!("the entry of {LEAVER} is removed, its last sequence was {last}; it goes on serving for a while"));
    if trouble {
        fleet.instances[reader].wait();
        record.say(&format!("{} has ended", fleet.instances[reader].name));
        thread::sleep(Duration::from_millis(RESTART_MS));
        fleet.instances[reader].start()?;
        record.say(&format!(
            "{} is started again",
            fleet.instances[reader].name
        ));
    }
    at(LATE_AT_MS);
    if trouble {
        writer.write(&store, 0, lost);
        record.say(&format!(
            "the store executes the write of {LEAVER}, sequence {lost}"
        ));
    }
    let late_s = record.now_s();
    at(END_AT_MS);
    backends[0].end();
    record.say(&format!("{LEAVER} ends"));
    at(LATE_AT_MS + SILENCE_MS);
    store.put("keyed.servers", LEAVER, None);
    record.say(&format!(
        "the store drops the entry of {LEAVER} after three heartbeat intervals of silence"
    ));
    at(LATE_AT_MS + SILENCE_MS + 2_000);
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let unanswered = unanswered.lock().map(|it| it.clone()).unwrap_or_default();
    Ok(judge(&record, &arrivals, &unanswered, left_s, late_s))
}

/// Writes the entries of all backends that have not left, each heartbeat interval.
fn spawn_heartbeats(store: &Arc<Store>, writer: &Arc<Writer>) {
    let (store, writer) = (Arc::clone(store), Arc::clone(writer));
    thread::spawn(move || loop {
        thread::sleep(Duration::from_millis(HEARTBEAT_MS));
        for number in 0..BACKENDS {
            if number > 0 || !writer.has_left.load(Ordering::SeqCst) {
                writer.write(&store, number, writer.next(number));
            }
        }
    });
}

/// Sends requests to all instances but the one that is restarted; the id of a request begins with the instance's name.
fn spawn_clients(
    fleet: &Fleet,
    reader: usize,
    record: &Arc<Record>,
    unanswered: &Arc<Mutex<Vec<String>>>,
    is_over: &Arc<AtomicBool>,
) -> Vec<thread::JoinHandle<()>> {
    let calm = fleet
        .instances
        .iter()
        .enumerate()
        .filter(|(at, _)| *at != reader);
    let calm: Vec<(String, SocketAddr)> =
        calm.map(|(_, it)| (it.name.clone(), it.caller)).collect();
    let count = calm.len() as u64;
    let clients = calm
        .into_iter()
        .enumerate()
        .map(|(position, (name, caller))| {
            let (record, is_over) = (Arc::clone(record), Arc::clone(is_over));
            let unanswered = Arc::clone(unanswered);
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(REQUEST_PAUSE_MS * position as u64));
                let mut number = 0;
                let mut sent = Vec::new();
                while !is_over.load(Ordering::SeqCst) {
                    number += 1;
                    let (record, id) = (Arc::clone(&record), format!("{name}-{number}"));
                    let unanswered = Arc::clone(&unanswered);
                    let (method, path) = if number % 2 == 0 {
                        ("POST", "/order/x")
                    } else {
                        ("GET", "/read/x")
                    };
                    sent.push(thread::spawn(move || {
                        record.line(&format!("sent: {id}, {method}"));
                        let answer = request(caller, method, path, &id, DEADLINE_MS);
                        match &answer {
                            Ok((status, _)) => record.line(&format!("answered {status}: {id}")),
                            Err(error) => record.line(&format!("no answer ({error}): {id}")),
                        }
                        if answer.map_or(true, |(status, _)| status != 200) {
                            if let Ok(mut unanswered) = unanswered.lock() {
                                unanswered.push(id);
                            }
                        }
                    }));
                    thread::sleep(Duration::from_millis(REQUEST_PAUSE_MS * count));
                }
                for request in sent {
                    let _ = request.join();
                }
            })
        });
    clients.collect()
}

/// Returns whether the rule held. Counted are requests that reached the backend later than `drain_s` after its entry was
/// removed and, so that the store was calm for the whole `stable_window_s` before, later than that after the late write.
fn judge(
    record: &Record,
    arrivals: &Arrivals,
    unanswered: &[String],
    left_s: f64,
    late_s: f64,
) -> bool {
    let arrivals = arrivals.lock().map(|it| it.clone()).unwrap_or_default();
    let at_leaver: Vec<Arrival> = arrivals
        .into_iter()
        .filter(|it| it.backend == LEAVER)
        .collect();
    let before = at_leaver.iter().filter(|it| it.at_s <= left_s).count();
    let after_drain = at_leaver.iter().filter(|it| it.at_s > left_s + DRAIN_S);
    let after_drain: Vec<&Arrival> = after_drain.collect();
    let counted = after_drain
        .iter()
        .filter(|it| it.at_s > late_s + STABLE_WINDOW_S)
        .count();
    record.say(&format!(
        "{before} requests reached {LEAVER} before its entry was removed"
    ));
    record.say(&format!(
        "{} requests reached {LEAVER} later than {DRAIN_S} s after that, {counted} of them later than \
         {STABLE_WINDOW_S} s after the late write",
        after_drain.len()
    ));
    let lost = after_drain
        .iter()
        .filter(|it| unanswered.contains(&it.request_id))
        .count();
    record.say(&format!(
        "{lost} of these requests ran there and got no success"
    ));
    if before == 0 {
        record.say("the backend was never used; the case says nothing");
        exit(2);
    }
    record.say(if counted == 0 {
        "DRAIN held"
    } else {
        "DRAIN is broken"
    });
    counted == 0
}
