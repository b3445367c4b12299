//! Stand-ins for the scripts of the second review, with the standard library only: the platform's store, raw HTTP
//! connections for backends and clients, instances as separate processes, and the record.
#![allow(dead_code)]

use std::{
    collections::{BTreeMap, HashMap},
    fs::{self, File},
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    os::fd::{AsRawFd, FromRawFd},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Condvar, Mutex,
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

// ---------------------------------------------------------------------------------------------- record

/// Writes what was sent, answered and run, with the time since the start in seconds.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn new(path: &str) -> Arc<Self> {
        let file = File::create(path).expect("record.txt can be written");
        Arc::new(Self {
            file: Mutex::new(file),
            started: Instant::now(),
        })
    }

    pub fn ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:9.3} {text}");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.expect("a clock after 1970").as_millis() as u64
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Returns a small pseudo-random generator, seeded from the clock.
pub struct Random(u64);

impl Random {
    pub fn new(salt: u64) -> Self {
        Self(unix_ms().wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ salt.wrapping_mul(0xd134_2543_de82_ef95) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }
}

/// Returns an id that no other request of this run has.
pub fn fresh_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let number = NEXT.fetch_add(1, Ordering::SeqCst);
    format!("{:08x}{number:08x}", unix_ms() as u32)
}

// ---------------------------------------------------------------------------------------------- HTTP

/// A request or a response as it was read from a connection: first line, headers in lower case, body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Returns the method and the target of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.first_line.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }
}

/// A connection with the bytes that were read and not used yet.
pub struct Wire {
    pub stream: TcpStream,
    pub unread: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            unread: Vec::new(),
        }
    }

    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(
            &address,
            Duration::from_secs(1),
        )?))
    }

    /// Reads once; returns false at the end of the stream.
    pub fn fill(&mut self) -> io::Result<bool> {
        let mut part = [0; 65_536];
        let count = self.stream.read(&mut part)?;
        self.unread.extend_from_slice(&part[..count]);
        Ok(count > 0)
    }

    /// Reads a head; none at the end of the stream.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        loop {
            if let Some(end) = find(&self.unread, b"\r\n\r\n") {
                let head: Vec<u8> = self.unread.drain(..end + 4).collect();
                let text = String::from_utf8_lossy(&head).into_owned();
                let mut lines = text.split("\r\n");
                let first_line = lines.next().unwrap_or("").to_owned();
                let headers = lines.filter_map(|line| line.split_once(':'));
                let headers = headers
                    .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()));
                return Ok(Some(Message {
                    first_line,
                    headers: headers.collect(),
                    body: Vec::new(),
                }));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    pub fn read_exactly(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.unread.len() < count {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.unread.drain(..count).collect())
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = find(&self.unread, b"\r\n") {
                let line: Vec<u8> = self.unread.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the body that the head announces, by its length or in chunks.
    pub fn read_body(&mut self, message: &mut Message) -> io::Result<()> {
        if message.header("transfer-encoding").is_some() {
            loop {
                let line = self.read_line()?;
                let size = line.split(';').next().unwrap_or("").trim();
                let size = usize::from_str_radix(size, 16).map_err(io::Error::other)?;
                let mut part = self.read_exactly(size + 2)?;
                part.truncate(size);
                message.body.extend(part);
                if size == 0 {
                    return Ok(());
                }
            }
        }
        if let Some(length) = message.header("content-length") {
            let length = length.parse().map_err(io::Error::other)?;
            message.body = self.read_exactly(length)?;
        }
        Ok(())
    }

    pub fn read_message(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else {
            return Ok(None);
        };
        self.read_body(&mut message)?;
        Ok(Some(message))
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

pub fn find(text: &[u8], part: &[u8]) -> Option<usize> {
    text.windows(part.len()).position(|window| window == part)
}

extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, bytes: u32) -> i32;
}

extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn bind(socket: i32, address: *const [u8; 16], bytes: u32) -> i32;
    fn connect(socket: i32, address: *const [u8; 16], bytes: u32) -> i32;
}

/// Connects from 127.0.0.`source` to a loopback address, so that not all clients have the same address.
pub fn connect_from(source: u8, to: SocketAddr) -> io::Result<TcpStream> {
    let raw = |last: u8, port: u16| -> [u8; 16] {
        let mut address = [0; 16];
        address[0] = 2; // AF_INET
        address[2..4].copy_from_slice(&port.to_be_bytes());
        address[4..8].copy_from_slice(&[127, 0, 0, last]);
        address
    };
    // SAFETY: the descriptor is a new socket that the stream then owns; the addresses are `sockaddr_in`, of 16 bytes.
    unsafe {
        let descriptor = socket(2, 1, 0);
        if descriptor < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(descriptor);
        if bind(descriptor, &raw(source, 0), 16) != 0 || connect(descriptor, &raw(1, to.port()), 16) != 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}

/// Gives the connections of a listener a small receive window, as the links of the pages have.
fn limit_window(listener: &TcpListener, bytes: i32) {
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    // SAFETY: the descriptor is open, and the value is an `int` of the stated size.
    unsafe { setsockopt(listener.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &bytes, 4) };
}

/// Accepts connections on a free loopback port, each in a thread of its own.
pub fn serve<Handle>(handle: Handle) -> SocketAddr
where
    Handle: Fn(Wire) + Send + Sync + 'static,
{
    serve_with_window(32 * 1024, handle)
}

/// Likewise, with a receive buffer of that size on each connection.
pub fn serve_with_window<Handle>(window_bytes: i32, handle: Handle) -> SocketAddr
where
    Handle: Fn(Wire) + Send + Sync + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    limit_window(&listener, window_bytes);
    let address = listener.local_addr().expect("an address");
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || handle(Wire::new(stream)));
        }
    });
    address
}

/// Returns a whole answer of a sound backend: the id echoed, signed, with a length.
pub fn sound_answer(status: &str, id: &str, extra_headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 {status}\r\nRequest-Id: {id}\r\nResponse-Signature: sig.{id}\r\n{extra_headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    let mut answer = head.into_bytes();
    answer.extend_from_slice(body);
    answer
}

// ---------------------------------------------------------------------------------------------- store

/// How the store answers calls.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StoreMode {
    #[default]
    Sound,
    /// Calls get no answer and are not executed.
    Silent,
    /// 503: nothing was done.
    Busy,
}

#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    newest: BTreeMap<String, (u64, Vec<u8>)>,
}

impl Topic {
    fn append(&mut self, record: Vec<u8>) {
        let key_end = 1 + usize::from(record[0]);
        let key = String::from_utf8_lossy(&record[1..key_end]).into_owned();
        let value = record[key_end..].to_vec();
        let offset = self.records.len() as u64;
        if value.is_empty() {
            self.newest.remove(&key);
        } else {
            self.newest.insert(key, (offset, value));
        }
        self.records.push(record);
    }
}

#[derive(Default)]
struct StoreState {
    topics: HashMap<String, Topic>,
    mode: StoreMode,
}

/// The platform's store, with keyed topics of one partition.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<StoreState>, Condvar)>,
}

impl Store {
    pub fn new() -> Self {
        let shared: Arc<(Mutex<StoreState>, Condvar)> = Arc::default();
        let for_calls = Arc::clone(&shared);
        let address = serve(move |wire| {
            let _ = serve_store(wire, &for_calls);
        });
        Self { address, shared }
    }

    pub fn set_mode(&self, mode: StoreMode) {
        self.shared.0.lock().unwrap().mode = mode;
        self.shared.1.notify_all();
    }

    /// Writes a record as an operator or a backend does; an empty value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        let mut state = self.shared.0.lock().unwrap();
        state.topics.entry(topic.to_owned()).or_default().append(record);
        drop(state);
        self.shared.1.notify_all();
    }

    pub fn keys(&self, topic: &str) -> Vec<String> {
        let state = self.shared.0.lock().unwrap();
        let topic = state.topics.get(topic);
        topic.map_or(Vec::new(), |topic| topic.newest.keys().cloned().collect())
    }
}

fn serve_store(mut wire: Wire, shared: &(Mutex<StoreState>, Condvar)) -> io::Result<()> {
    while let Some(request) = wire.read_message()? {
        let mode = shared.0.lock().unwrap().mode;
        if mode == StoreMode::Silent {
            sleep_ms(60_000);
            return Ok(());
        }
        let (status, body) = if mode == StoreMode::Busy {
            ("503 Service Unavailable", Vec::new())
        } else {
            answer_call(&request, shared)
        };
        sleep_ms(3);
        if shared.0.lock().unwrap().mode == StoreMode::Silent {
            sleep_ms(60_000);
            return Ok(());
        }
        let head = format!(
            "HTTP/1.1 {status}\r\nStore-Era: 1\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let mut answer = head.into_bytes();
        answer.extend(body);
        wire.send(&answer)?;
    }
    Ok(())
}

fn answer_call(
    request: &Message,
    shared: &(Mutex<StoreState>, Condvar),
) -> (&'static str, Vec<u8>) {
    let (_, target) = request.target();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query: HashMap<&str, &str> = query.split('&').filter_map(|it| it.split_once('=')).collect();
    let topic_name = query.get("topic").copied().unwrap_or("").to_owned();
    let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
    match path {
        "/log-append" => {
            let mut state = shared.0.lock().unwrap();
            let topic = state.topics.entry(topic_name).or_default();
            let offset = topic.records.len();
            let mut rest = &request.body[..];
            while rest.len() > 4 {
                let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
                topic.append(rest[4..4 + length].to_vec());
                rest = &rest[4 + length..];
            }
            let end = topic.records.len();
            drop(state);
            shared.1.notify_all();
            let body = format!("{{\"offset\":{offset},\"end\":{end}}}");
            ("200 OK", body.into_bytes())
        }
        "/log-newest" => {
            let mut state = shared.0.lock().unwrap();
            let topic = state.topics.entry(topic_name).or_default();
            let after = query.get("after").map(|key| key.replace("%20", " "));
            let rows = topic.newest.iter().filter(|(key, _)| after.as_ref().is_none_or(|after| *key > after));
            let rows: Vec<String> = rows
                .map(|(key, (offset, value))| {
                    format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}", base64(value))
                })
                .collect();
            let more = rows.len() > 500;
            let rows = &rows[..rows.len().min(500)];
            let end = topic.records.len();
            let body = format!("{{\"items\":[{}],\"more\":{more},\"end\":{end}}}", rows.join(","));
            ("200 OK", body.into_bytes())
        }
        "/log-read" => {
            let from = number("from").unwrap_or(0) as usize;
            let wait_ms = number("wait_ms").unwrap_or(0);
            let until = Instant::now() + Duration::from_millis(wait_ms);
            let mut state = shared.0.lock().unwrap();
            loop {
                let topic = state.topics.entry(topic_name.clone()).or_default();
                if from > topic.records.len() {
                    return ("410 Gone", b"{\"first\":0}".to_vec());
                }
                let left = until.saturating_duration_since(Instant::now());
                if topic.records.len() > from || left.is_zero() {
                    let mut body = (topic.records.len() as u64).to_be_bytes().to_vec();
                    body.extend(0_u64.to_be_bytes());
                    for record in &topic.records[from..] {
                        if body.len() + record.len() > 1_000_000 {
                            break;
                        }
                        body.extend((record.len() as u32).to_be_bytes());
                        body.extend(record);
                    }
                    return ("200 OK", body);
                }
                state = shared.1.wait_timeout(state, left).unwrap().0;
            }
        }
        _ => ("404 Not Found", Vec::new()),
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let mut three = [0; 3];
        three[..part.len()].copy_from_slice(part);
        let number = u32::from_be_bytes([0, three[0], three[1], three[2]]);
        for place in 0..4 {
            if place <= part.len() {
                text.push(char::from(DIGITS[(number >> (18 - 6 * place)) as usize & 63]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

/// A backend's entry in the store.
#[derive(Clone, Debug)]
pub struct Entry {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub slots: u32,
    pub state: &'static str,
    pub born_ms: u64,
    pub sequence: u64,
}

impl Entry {
    pub fn new(id: &str, service: &str, address: SocketAddr, slots: u32) -> Self {
        Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: "kartli-a".to_owned(),
            address,
            slots,
            state: "ready",
            born_ms: unix_ms() - 60_000,
            sequence: 1,
        }
    }

    pub fn json(&self) -> String {
        let Self { service, zone, address, slots, state, born_ms, sequence, .. } = self;
        format!(
            "{{\"address\":\"{address}\",\"born\":{born_ms},\"info\":{{\"service\":\"{service}\",\"version\":\"v1\",\
             \"zone\":\"{zone}\",\"slots\":{slots}}},\"status\":{{\"state\":\"{state}\",\"sequence\":{sequence},\
             \"warmup_left_s\":0}}}}"
        )
    }
}

/// Writes the entries of backends, and renews them every heartbeat as the backends do.
#[derive(Clone)]
pub struct Registry {
    store: Store,
    entries: Arc<Mutex<BTreeMap<String, Entry>>>,
}

impl Registry {
    pub fn new(store: &Store) -> Self {
        let registry = Self {
            store: store.clone(),
            entries: Arc::default(),
        };
        let beating = registry.clone();
        thread::spawn(move || loop {
            sleep_ms(1_500);
            let mut entries = beating.entries.lock().unwrap();
            for entry in entries.values_mut() {
                entry.sequence += 1;
                beating.store.put("keyed.servers", &entry.id, &entry.json());
            }
        });
        registry
    }

    /// Writes or replaces an entry.
    pub fn put(&self, mut entry: Entry) {
        let mut entries = self.entries.lock().unwrap();
        if let Some(known) = entries.get(&entry.id) {
            entry.sequence = known.sequence + 1;
        }
        self.store.put("keyed.servers", &entry.id, &entry.json());
        entries.insert(entry.id.clone(), entry);
    }

    /// Reports that a backend is draining.
    pub fn drain(&self, id: &str) {
        let mut entries = self.entries.lock().unwrap();
        if let Some(entry) = entries.get_mut(id) {
            entry.state = "draining";
            entry.sequence += 1;
            self.store.put("keyed.servers", id, &entry.json());
        }
    }

    /// Removes an entry.
    pub fn remove(&self, id: &str) {
        let mut entries = self.entries.lock().unwrap();
        entries.remove(id);
        self.store.put("keyed.servers", id, "");
    }
}

/// Returns a configuration; each route is (host, prefix, kind, service, timeout in seconds, attempts).
pub fn config(version: u64, routes: &[(&str, &str, &str, &str, f64, u32)]) -> String {
    let mut services: Vec<&str> = routes.iter().map(|route| route.3).collect();
    services.sort_unstable();
    services.dedup();
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!("{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_connections\":423,\"protocol\":\"h1\",\"tls\":false}}")
        })
        .collect();
    let routes: Vec<String> = routes
        .iter()
        .map(|(host, prefix, kind, service, timeout_s, attempts)| {
            format!(
                "{{\"name\":\"r-{host}{}\",\"host\":\"{host}\",\"path_prefix\":\"{prefix}\",\"kind\":\"{kind}\",\
                 \"timeout_s\":{timeout_s},\"target_latency_s\":1.2,\"priority\":1,\"service\":\"{service}\",\
                 \"max_attempts\":{attempts}}}",
                prefix.replace('/', "-")
            )
        })
        .collect();
    format!(
        "{{\"version\":\"r{version}\",\"routes\":[{}],\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":67108864,\"header_timeout_s\":5,\"idle_timeout_s\":10}}}}",
        routes.join(","),
        services.join(",")
    )
}

// ---------------------------------------------------------------------------------------------- instances

/// The machine and the bounds of an instance, as in the site file that the claim names.
#[derive(Clone, Debug)]
pub struct Machine {
    pub memory_mb: u64,
    pub descriptors: u64,
    pub processor_share: f64,
}

impl Default for Machine {
    fn default() -> Self {
        Self {
            memory_mb: 195,
            descriptors: 3_075,
            processor_share: 0.15,
        }
    }
}

/// A running instance of the project, started with the command of the deploy file.
pub struct Instance {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub child: Child,
}

/// Returns a loopback address that is free now, outside the range from which the kernel gives ports to connections.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let first = u64::from(std::process::id()) * 37;
    loop {
        let number = first + NEXT.fetch_add(1, Ordering::SeqCst);
        let port = 12_000 + (number % 18_000) as u16;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr().expect("an address");
        }
    }
}

/// Where the settings and the logs of the instances are.
pub fn work_dir() -> PathBuf {
    PathBuf::from(std::env::var("WORK_DIR").expect("WORK_DIR is set by run.sh"))
}

/// Starts `count` instances of one zone and waits until all are ready.
pub fn start_instances(store: SocketAddr, count: usize, machine: &Machine) -> Vec<Instance> {
    let addresses: Vec<[SocketAddr; 3]> = (0..count)
        .map(|_| [free_address(), free_address(), free_address()])
        .collect();
    let seeds: Vec<String> = addresses.iter().take(3).map(|it| format!("\"{}\"", it[1])).collect();
    let mut instances = Vec::new();
    for (number, [front, control, ready]) in addresses.iter().copied().enumerate() {
        let name = format!("front-kartli-a-{}", number + 1);
        let settings = format!(
            "{{\"instance\":\"{name}\",\"data_centre\":\"kartli-a\",\"regions\":{{\"kartli-a\":\"kartli\"}},\
             \"processor_share\":{},\"memory_mb\":{},\"descriptors_max\":{},\"caller_address\":\"{front}\",\
             \"rpc_address\":\"{control}\",\"admin_address\":\"{ready}\",\"platform\":\"store\",\
             \"platform_address\":\"{store}\",\"seeds\":[{}],\"principals\":[],\"policy\":\"permits\",\
             \"worker_threads\":1,\"drain_ms\":2700,\"stop_s\":6,\"retry_share\":0.2,\"retry_slack\":72,\
             \"retry_window_s\":10,\"log_level\":\"info\"}}",
            machine.processor_share,
            machine.memory_mb,
            machine.descriptors,
            seeds.join(",")
        );
        let path = work_dir().join(format!("{name}.json"));
        fs::write(&path, settings).expect("settings can be written");
        let child = spawn_instance(&name);
        instances.push(Instance {
            name,
            front,
            ready,
            child,
        });
    }
    let until = Instant::now() + Duration::from_secs(20);
    while let Some(late) = instances.iter().find(|instance| !instance.is_ready()) {
        if Instant::now() > until {
            println!("{} did not become ready", late.name);
            // Ends the processes.
            drop(instances);
            std::process::exit(2);
        }
        sleep_ms(50);
    }
    instances
}

/// Starts the process of an instance whose settings are written.
fn spawn_instance(name: &str) -> Child {
    let log = File::options()
        .create(true)
        .append(true)
        .open(work_dir().join(format!("{name}.log")))
        .expect("a log");
    let errors = log.try_clone().expect("a log");
    Command::new("target/release/catkinhitchd")
        .arg("--settings")
        .arg(work_dir().join(format!("{name}.json")))
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors)
        .spawn()
        .expect("target/release/catkinhitchd is built")
}

impl Instance {
    /// Kills the process and starts it again with the same settings.
    pub fn restart(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.child = spawn_instance(&self.name);
    }

    pub fn is_ready(&self) -> bool {
        let ask = || -> io::Result<u16> {
            let mut wire = Wire::connect(self.ready)?;
            wire.stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            wire.send(b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")?;
            Ok(wire.read_head()?.map_or(0, |message| message.status()))
        };
        ask().is_ok_and(|status| status == 200)
    }

    /// Sends a signal to the process: TERM, STOP, CONT, KILL.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let _ = Command::new("kill").args(["-s", name, &id]).status();
    }

    pub fn is_alive(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns the resident memory of the process in bytes; 0 if it has ended.
    pub fn resident_bytes(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
        kilobytes.and_then(|text| text.parse::<u64>().ok()).unwrap_or(0) * 1024
    }
}

impl Instance {
    /// Returns the processor time that the process has used, in seconds.
    pub fn processor_s(&self) -> f64 {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap_or_default();
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let ticks = |at: usize| fields.get(at).and_then(|text| text.parse::<f64>().ok()).unwrap_or(0.0);
        (ticks(11) + ticks(12)) / 100.0
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A flag that threads share.
pub fn flag() -> Arc<AtomicBool> {
    Arc::new(AtomicBool::new(false))
}

/// Whether the run has the disruption: not with `TROUBLE=0`.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}
