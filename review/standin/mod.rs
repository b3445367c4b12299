//! Stand-ins for the review's scripts: the platform's store, backends, clients, and the processes under test.
//!
//! They use the standard library only and follow PROTOCOL.md. Every address is a loopback address.

#![allow(dead_code)]

use std::{
    collections::{BTreeMap, HashMap},
    env, fs,
    fs::File,
    io::{self, BufRead, BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Condvar, Mutex, MutexGuard, PoisonError,
    },
    thread,
    time::{Duration, Instant},
};

/// Interval of the backends' writes to the store (`heartbeat_s`), in milliseconds.
pub const HEARTBEAT_MS: u64 = 1_500;
/// Host of the configured routes.
pub const HOST: &str = "orders.example";
/// Start of the backends' processes, in milliseconds since the Unix epoch.
const BORN_MS: u64 = 1_790_000_000_000;
/// Signals.
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Whether the case runs with its disruption.
pub fn has_trouble() -> bool {
    env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The record of what was sent, answered and run, with the time since the start of the case in seconds.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn new(folder: &Path) -> io::Result<Arc<Self>> {
        let file = Mutex::new(File::create(folder.join("record.txt"))?);
        let start = Instant::now();
        Ok(Arc::new(Self { start, file }))
    }

    pub fn now_s(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let at_s = self.now_s();
        // The verdict does not depend on the file.
        let _ = writeln!(lock(&self.file), "{at_s:8.3} {text}");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{:8.3} {text}", self.now_s());
    }
}

/// Head of a request or a response.
pub struct Head {
    pub first_line: String,
    pub headers: HashMap<String, String>,
}

impl Head {
    pub fn get(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

pub fn read_head<R: BufRead>(reader: &mut R) -> io::Result<Head> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end().to_owned();
        if line.is_empty() {
            break;
        }
        lines.push(line);
    }
    let first_line = lines.first().cloned().unwrap_or_default();
    let headers = lines.iter().skip(1).filter_map(|line| line.split_once(':'));
    let headers = headers.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
    Ok(Head {
        first_line,
        headers: headers.collect(),
    })
}

pub fn read_body<R: BufRead>(reader: &mut R, head: &Head) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.get("transfer-encoding") == "chunked" {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim(), 16);
            let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    let length = head.get("content-length").parse().unwrap_or(0);
    body.resize(length, 0);
    reader.read_exact(&mut body)?;
    Ok(body)
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk
            .iter()
            .fold(0_u32, |word, byte| word << 8 | u32::from(*byte));
        let word = word << (8 * (3 - chunk.len()));
        for position in 0..4 {
            if position <= chunk.len() {
                text.push(char::from(
                    DIGITS[(word >> (18 - 6 * position)) as usize & 63],
                ));
            } else {
                text.push('=');
            }
        }
    }
    text
}

#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    newest: BTreeMap<String, (Vec<u8>, usize)>,
}

impl Topic {
    fn append(&mut self, record: Vec<u8>) {
        let key_end = 1 + usize::from(record[0]);
        let key = String::from_utf8_lossy(&record[1..key_end]).into_owned();
        if record.len() > key_end {
            let value = record[key_end..].to_vec();
            self.newest.insert(key, (value, self.records.len()));
        } else {
            self.newest.remove(&key);
        }
        self.records.push(record);
    }
}

/// The platform's store: keyed topics with one partition.
pub struct Store {
    pub address: SocketAddr,
    topics: Arc<(Mutex<HashMap<String, Topic>>, Condvar)>,
}

impl Store {
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let topics: Arc<(Mutex<HashMap<String, Topic>>, Condvar)> = Arc::default();
        let shared = Arc::clone(&topics);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = Arc::clone(&shared);
                thread::spawn(move || {
                    while_connected(stream, |head, body| store_call(&shared, head, body))
                });
            }
        });
        Ok(Self { address, topics })
    }

    /// Executes a write: sets the value of a key, or deletes it.
    pub fn put(&self, topic: &str, key: &str, value: Option<&str>) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.unwrap_or_default().as_bytes());
        let mut topics = lock(&self.topics.0);
        topics.entry(topic.to_owned()).or_default().append(record);
        self.topics.1.notify_all();
    }

    /// Executes a backend's write of its entry.
    pub fn put_server(&self, entry: &ServerEntry<'_>) {
        let record = format!(
            "{{\"address\":\"{}\",\"born\":{BORN_MS},\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\"zone\":\"{}\",\
             \"slots\":4}},\"status\":{{\"state\":\"{}\",\"sequence\":{},\"warmup_left_s\":0}}}}",
            entry.address, entry.service, entry.zone, entry.state, entry.sequence
        );
        self.put("keyed.servers", entry.id, Some(&record));
    }

    /// Executes the operator's write of a configuration with the routes `/read/` (safe), `/order/` (unsafe) and
    /// `/photo/` (upload).
    pub fn put_config(&self, version: u32, service: &str, timeout_s: f64) {
        let route = |prefix: &str, kind: &str| {
            format!(
                "{{\"name\":\"{prefix}\",\"host\":\"{HOST}\",\"path_prefix\":\"{prefix}\",\"kind\":\"{kind}\",\
                 \"timeout_s\":{timeout_s},\"target_latency_s\":1,\"priority\":1,\"service\":\"{service}\",\
                 \"max_attempts\":2}}"
            )
        };
        let document = format!(
            "{{\"version\":\"r{version}\",\"routes\":[{},{},{}],\"services\":[{{\"name\":\"{service}\",\
             \"health_path\":\"/health\",\"max_connections\":423,\"protocol\":\"h1\",\"tls\":false}}],\
             \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_s\":3,\
             \"idle_timeout_s\":15}}}}",
            route("/read/", "safe"),
            route("/order/", "unsafe"),
            route("/photo/", "upload")
        );
        self.put("keyed.op", "config", Some(&document));
    }
}

/// A backend's entry in the store.
pub struct ServerEntry<'a> {
    pub id: &'a str,
    pub address: SocketAddr,
    pub service: &'a str,
    pub zone: &'a str,
    pub state: &'a str,
    pub sequence: u64,
}

fn while_connected<F>(stream: TcpStream, handle: F)
where
    F: Fn(&Head, &[u8]) -> (u16, Vec<u8>),
{
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Ok(head) = read_head(&mut reader) {
        let Ok(body) = read_body(&mut reader, &head) else {
            return;
        };
        let (status, answer) = handle(&head, &body);
        let mut response = format!(
            "HTTP/1.1 {status} -\r\nContent-Length: {}\r\n\r\n",
            answer.len()
        )
        .into_bytes();
        response.extend_from_slice(&answer);
        if writer.write_all(&response).is_err() {
            return;
        }
    }
}

fn store_call(
    shared: &(Mutex<HashMap<String, Topic>>, Condvar),
    head: &Head,
    body: &[u8],
) -> (u16, Vec<u8>) {
    let target = head.first_line.split(' ').nth(1).unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query: HashMap<&str, &str> = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .collect();
    let name = query.get("topic").copied().unwrap_or_default().to_owned();
    let number = |field: &str| {
        query
            .get(field)
            .and_then(|text| text.parse::<u64>().ok())
            .unwrap_or(0)
    };
    let mut topics = lock(&shared.0);
    match path {
        "/log-append" => {
            let topic = topics.entry(name).or_default();
            let offset = topic.records.len();
            let mut rest = body;
            while rest.len() >= 4 {
                let size = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
                topic.append(rest[4..4 + size].to_vec());
                rest = &rest[4 + size..];
            }
            let end = topic.records.len();
            shared.1.notify_all();
            (
                200,
                format!("{{\"offset\":{offset},\"end\":{end}}}").into_bytes(),
            )
        }
        "/log-newest" => {
            let topic = topics.entry(name).or_default();
            let items = topic.newest.iter().map(|(key, (value, offset))| {
                format!(
                    "{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}",
                    base64(value)
                )
            });
            let items: Vec<String> = items.collect();
            let end = topic.records.len();
            let page = format!(
                "{{\"items\":[{}],\"more\":false,\"end\":{end}}}",
                items.join(",")
            );
            (200, page.into_bytes())
        }
        "/log-read" => {
            let from = number("from") as usize;
            let until = Instant::now() + Duration::from_millis(number("wait_ms"));
            loop {
                let end = topics.entry(name.clone()).or_default().records.len();
                let left = until.saturating_duration_since(Instant::now());
                if end > from || left.is_zero() {
                    break;
                }
                let waited = shared.1.wait_timeout(topics, left);
                topics = waited.unwrap_or_else(PoisonError::into_inner).0;
            }
            let topic = topics.entry(name).or_default();
            let mut answer = (topic.records.len() as u64).to_be_bytes().to_vec();
            answer.extend_from_slice(&0_u64.to_be_bytes());
            for record in topic.records.iter().skip(from) {
                answer.extend_from_slice(&(record.len() as u32).to_be_bytes());
                answer.extend_from_slice(record);
            }
            (200, answer)
        }
        _ => (404, Vec::new()),
    }
}

/// A request that reached a backend.
#[derive(Clone)]
pub struct Arrival {
    pub at_s: f64,
    pub backend: String,
    pub request_id: String,
}

/// The backends' common log of arrivals.
pub type Arrivals = Arc<Mutex<Vec<Arrival>>>;

/// A sound backend that answers each request after a while.
pub struct Backend {
    pub address: SocketAddr,
    has_ended: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Backend {
    pub fn start(
        id: &str,
        work_ms: u64,
        arrivals: &Arrivals,
        record: &Arc<Record>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let backend = Self {
            address: listener.local_addr()?,
            has_ended: Arc::default(),
            connections: Arc::default(),
        };
        let (has_ended, connections) = (
            Arc::clone(&backend.has_ended),
            Arc::clone(&backend.connections),
        );
        let (id, arrivals, record) = (id.to_owned(), Arc::clone(arrivals), Arc::clone(record));
        thread::spawn(move || {
            while !has_ended.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                if stream.set_nonblocking(false).is_err() {
                    continue;
                }
                if let Ok(clone) = stream.try_clone() {
                    lock(&connections).push(clone);
                }
                let (id, arrivals, record) =
                    (id.clone(), Arc::clone(&arrivals), Arc::clone(&record));
                thread::spawn(move || serve_backend(stream, &id, work_ms, &arrivals, &record));
            }
        });
        Ok(backend)
    }

    /// Ends the backend: it closes its connections, and new ones are refused.
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
        for connection in lock(&self.connections).drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }
}

fn serve_backend(stream: TcpStream, id: &str, work_ms: u64, arrivals: &Arrivals, record: &Record) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Ok(head) = read_head(&mut reader) {
        if read_body(&mut reader, &head).is_err() {
            return;
        }
        let request_id = head.get("request-id").to_owned();
        let is_other = head.get("target-instance") != id;
        record.line(&format!(
            "reaches {id}: {request_id}{}",
            if is_other {
                ", meant for another backend, 421"
            } else {
                ""
            }
        ));
        let response = if is_other {
            format!(
                "HTTP/1.1 421 Misdirected Request\r\nBackend-Id: {id}\r\nRequest-Id: {request_id}\r\n\
                 Content-Length: 0\r\n\r\n"
            )
        } else {
            let arrival = Arrival {
                at_s: record.now_s(),
                backend: id.to_owned(),
                request_id: request_id.clone(),
            };
            lock(arrivals).push(arrival);
            thread::sleep(Duration::from_millis(work_ms));
            format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nResponse-Signature: {id}.{request_id}\r\n\
                 Content-Length: 3\r\n\r\nok\n"
            )
        };
        if writer.write_all(response.as_bytes()).is_err() {
            return;
        }
    }
}

/// A process under test, started with the command of the deploy file and settings as its template renders them.
pub struct Instance {
    pub name: String,
    pub caller: SocketAddr,
    pub admin: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Instance {
    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    pub fn start(&mut self) -> io::Result<()> {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let child = Command::new("target/release/catkinhitchd")
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // SAFETY: `kill` takes no pointers, and the id is that of a child that was not waited for yet.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Waits until the process has ended.
    pub fn wait(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
        }
    }

    pub fn wait_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(10);
        while Instant::now() < end {
            let ready = get(self.admin, "/ready", "ready", 1_000);
            if ready.is_ok_and(|(status, _)| status == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// The processes under test and their temporary folder.
pub struct Fleet {
    pub instances: Vec<Instance>,
    folder: PathBuf,
}

impl Fleet {
    /// Starts `count` instances in the zones `z-a` and `z-b` of one region and waits until they are ready.
    pub fn start(count: usize, store: SocketAddr) -> io::Result<Self> {
        let folder = env::temp_dir().join(format!("catkinhitch-review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let mut listeners = Vec::new();
        for _ in 0..3 * count {
            listeners.push(TcpListener::bind("127.0.0.1:0")?);
        }
        let addresses: io::Result<Vec<SocketAddr>> =
            listeners.iter().map(TcpListener::local_addr).collect();
        let addresses = addresses?;
        drop(listeners);
        let seeds = (0..count.min(3)).map(|number| format!("\"{}\"", addresses[3 * number + 1]));
        let seeds: Vec<String> = seeds.collect();
        let mut fleet = Self {
            instances: Vec::new(),
            folder: folder.clone(),
        };
        for number in 0..count {
            let zone = if number % 2 == 0 { "z-a" } else { "z-b" };
            let name = format!("front-{zone}-{}", number / 2 + 1);
            let own = &addresses[3 * number..3 * number + 3];
            let settings = folder.join(format!("{name}.json"));
            let text = format!(
                "{{\"instance\":\"{name}\",\"data_centre\":\"{zone}\",\"regions\":{{\"z-a\":\"z\",\"z-b\":\"z\"}},\
                 \"processor_share\":0.15,\"caller_address\":\"{}\",\"rpc_address\":\"{}\",\"admin_address\":\"{}\",\
                 \"platform\":\"store\",\"platform_address\":\"{store}\",\"seeds\":[{}],\"principals\":[],\
                 \"policy\":\"permits\",\"worker_threads\":1,\"drain_ms\":2700,\"stop_s\":6,\"retry_share\":0.2,\
                 \"retry_slack\":72,\"retry_window_s\":10,\"log_level\":\"info\"}}",
                own[0],
                own[1],
                own[2],
                seeds.join(",")
            );
            fs::write(&settings, text)?;
            let log = folder.join(format!("{name}.log"));
            let (caller, admin) = (own[0], own[2]);
            fleet.instances.push(Instance {
                name,
                caller,
                admin,
                settings,
                log,
                child: None,
            });
        }
        for instance in &mut fleet.instances {
            instance.start()?;
        }
        if fleet.instances.iter().all(Instance::wait_ready) {
            Ok(fleet)
        } else {
            Err(io::Error::other("an instance is not ready"))
        }
    }

    /// Returns the position of the instance that reads the store for the others, by its log.
    pub fn reader(&self) -> Option<usize> {
        let reads = |instance: &Instance| {
            let text = instance.log_text();
            let last = text
                .lines()
                .rfind(|line| line.contains("reads the platform"))?
                .to_owned();
            let is_first =
                last.contains("\"holds\":true") && last.contains("first in rendezvous order");
            is_first.then(|| {
                text.lines()
                    .filter(|line| line.contains("reads the platform"))
                    .count()
            })
        };
        let readers = self.instances.iter().enumerate();
        let mut readers = readers.filter_map(|(at, instance)| Some((at, reads(instance)?)));
        readers.next().map(|(at, _)| at)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.instances.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Sends a `GET` request on a new connection; returns the status and the body of a complete answer.
pub fn get(
    address: SocketAddr,
    path: &str,
    request_id: &str,
    deadline_ms: u64,
) -> io::Result<(u16, Vec<u8>)> {
    request(address, "GET", path, request_id, deadline_ms)
}

/// Sends a request without a body on a new connection; returns the status and the body of a complete answer.
pub fn request(
    address: SocketAddr,
    method: &str,
    path: &str,
    request_id: &str,
    deadline_ms: u64,
) -> io::Result<(u16, Vec<u8>)> {
    request_with_body(address, method, path, request_id, deadline_ms, &[])
}

/// Sends a request on a new connection; returns the status and the body of a complete answer.
pub fn request_with_body(
    address: SocketAddr,
    method: &str,
    path: &str,
    request_id: &str,
    deadline_ms: u64,
    body: &[u8],
) -> io::Result<(u16, Vec<u8>)> {
    let time_limit = Duration::from_millis(deadline_ms + 500);
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(time_limit))?;
    let length = match method {
        "GET" => String::new(),
        _ => format!("Content-Length: {}\r\n", body.len()),
    };
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request_id}\r\nDeadline-Ms: {deadline_ms}\r\n\
         {length}\r\n"
    );
    stream.write_all(text.as_bytes())?;
    stream.write_all(body)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let head = read_head(&mut reader)?;
    let body = read_body(&mut reader, &head)?;
    let _ = stream.shutdown(Shutdown::Both);
    Ok((head.status(), body))
}
