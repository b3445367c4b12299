//! Tests of an instance whose callers send requests that they don't complete, or don't read the responses.
//!
//! They guard against a process that uses more memory or descriptors than its machine has. The crowd and the bounds are the
//! same for every version of the product. No time and no share of served requests is checked. The tests run one at a time.

mod support;

use {
    crate::support::{config_document, send, wait_ready, Cluster},
    hyper::Method,
    serde_json::json,
    std::{
        env, fs,
        future::pending,
        net::SocketAddr,
        process::{Command, Stdio},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpSocket, TcpStream},
        sync::{Mutex, MutexGuard},
        task::JoinHandle,
        time::{sleep, timeout},
    },
};

/// Memory of the instance's machine, in MiB. A build without optimization uses 14 MiB without callers.
const MEMORY_MB: u64 = 64;
/// Descriptors of the instance, where the test is about memory.
const DESCRIPTORS: usize = 1_000;
/// Descriptors of the instance, where the test is about them.
const FEW_DESCRIPTORS: usize = 300;
/// Deadline of a request, in milliseconds.
const DEADLINE_MS: u64 = 15_000;
/// Largest request body, in bytes.
const MAX_BODY_BYTES: u64 = 64 << 20;
/// Largest response that is buffered, in bytes, as on the store's platform.
const HOLD_BYTES: u64 = 512 << 10;
/// Largest request body that is buffered, in bytes.
const BUFFERED_BYTES: usize = 512 << 10;
/// Connections of a crowd.
const CROWD: usize = 300;
/// Time for which a crowd is watched, in milliseconds.
const WATCH_MS: u64 = 6_000;
/// Time between two looks at the process, in milliseconds.
const LOOK_MS: u64 = 50;
/// How often the ordinary request is sent until it is answered; a refusal says when to try again.
const ORDINARY_TRIES: usize = 20;
/// Time allowed for the response to an ordinary request, in seconds.
const ORDINARY_TIMEOUT_S: u64 = 20;

static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// One instance and its servers.
struct Fixture {
    cluster: Cluster,
    descriptors_max: usize,
    _alone: MutexGuard<'static, ()>,
}

/// The most that the instance was seen to use.
#[derive(Debug)]
struct Usage {
    peak_kb: u64,
    descriptors: usize,
}

impl Fixture {
    async fn new(test: &str, descriptors_max: usize) -> Self {
        let alone = ONE_AT_A_TIME.lock().await;
        let mut document = config_document(DEADLINE_MS);
        document.services[0].max_body_bytes = MAX_BODY_BYTES;
        document.services[0].hold_bytes = HOLD_BYTES;
        let mut cluster = Cluster::with_document(test, 0, &document).await;
        let limits = [
            ("memory_mb", json!(MEMORY_MB)),
            ("descriptors_max", json!(descriptors_max)),
        ];
        let limits = if has_limits() { &limits[..] } else { &[] };
        cluster.start_process_with(limits).await;
        cluster.publish_members();
        wait_ready(cluster.processes[0].admin).await;
        Self {
            cluster,
            descriptors_max,
            _alone: alone,
        }
    }

    fn caller(&self) -> SocketAddr {
        self.cluster.processes[0].caller
    }

    /// Watches the process for [`WATCH_MS`].
    async fn watch(&mut self) -> Usage {
        let process = &mut self.cluster.processes[0];
        let idle_kb = process.current_memory_kb();
        let mut descriptors = 0;
        for _ in 0..WATCH_MS / LOOK_MS {
            sleep(Duration::from_millis(LOOK_MS)).await;
            assert!(process.is_alive(), "the process has ended");
            descriptors = descriptors.max(process.descriptor_count());
        }
        eprintln!(
            "at the start {idle_kb} kB, peak {} kB, at the end {} kB, descriptors {descriptors}",
            process.peak_memory_kb(),
            process.current_memory_kb()
        );
        Usage {
            peak_kb: process.peak_memory_kb(),
            descriptors,
        }
    }

    /// Checks that the process keeps to its limits while a crowd is connected, and still answers an ordinary request.
    async fn check(mut self) {
        let usage = self.watch().await;
        assert!(usage.peak_kb <= MEMORY_MB * 1_024, "{usage:?}");
        assert!(usage.descriptors <= self.descriptors_max, "{usage:?}");
        assert!(
            is_served(self.caller()).await,
            "an ordinary request is not answered"
        );
        assert!(self.cluster.processes[0].is_alive());
        let peak_kb = self.cluster.processes[0].peak_memory_kb();
        assert!(peak_kb <= MEMORY_MB * 1_024, "{peak_kb} kB");
    }
}

/// Returns whether this version of the product knows the settings that limit its memory and descriptors. The version on
/// which the crowd was fixed refuses them.
fn has_limits() -> bool {
    let any = "127.0.0.1:1";
    let settings = json!({
        "instance": "i", "data_centre": "a", "caller_address": any, "rpc_address": any, "admin_address": any,
        "platform_address": any, "principals": [], "memory_mb": MEMORY_MB, "descriptors_max": DESCRIPTORS,
    });
    let file = env::temp_dir().join(format!("catkinhitch-limits-{}.json", std::process::id()));
    fs::write(&file, settings.to_string()).expect("a settings file");
    let check = Command::new(env!("CARGO_BIN_EXE_catkinhitchd"))
        .args(["--check", "--settings"])
        .arg(&file)
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .status();
    let _ = fs::remove_file(&file);
    check.expect("the command runs").success()
}

/// Sends an ordinary request until it is answered; a refused one is sent again, as callers do.
async fn is_served(caller: SocketAddr) -> bool {
    for _ in 0..ORDINARY_TRIES {
        let request = send(caller, Method::GET, "/orders", &[], "");
        let response = timeout(Duration::from_secs(ORDINARY_TIMEOUT_S), request).await;
        match response {
            Ok(Some(response)) if response.status == 200 => return true,
            _ => sleep(Duration::from_millis(500)).await,
        }
    }
    false
}

/// Sends a head and then the pieces; keeps the connection open, whatever comes back. An instance may refuse the request or
/// close the connection at any time.
async fn send_and_stay(caller: SocketAddr, head: String, pieces: Vec<Vec<u8>>) {
    let Ok(mut stream) = TcpStream::connect(caller).await else {
        return;
    };
    let mut is_open = stream.write_all(head.as_bytes()).await.is_ok();
    for piece in pieces {
        is_open = is_open && stream.write_all(&piece).await.is_ok();
    }
    // The connection stays open until the crowd is dropped.
    pending::<()>().await;
}

/// Starts the members of a crowd; they leave when the handles are dropped.
fn start_crowd<Member, Sending>(count: usize, member: Member) -> Crowd
where
    Member: Fn(usize) -> Sending,
    Sending: std::future::Future<Output = ()> + Send + 'static,
{
    let members = (0..count).map(|number| tokio::spawn(member(number)));
    Crowd(members.collect())
}

struct Crowd(Vec<JoinHandle<()>>);

impl Drop for Crowd {
    fn drop(&mut self) {
        for member in &self.0 {
            member.abort();
        }
    }
}

/// Returns the chunked coding of `bytes` bytes in chunks of `chunk_bytes`, without the last chunk's end.
fn unfinished_chunks(bytes: usize, chunk_bytes: usize) -> Vec<u8> {
    let mut coded = Vec::new();
    for _ in 0..bytes / chunk_bytes {
        coded.extend_from_slice(format!("{chunk_bytes:x}\r\n").as_bytes());
        coded.resize(coded.len() + chunk_bytes, b'x');
        coded.extend_from_slice(b"\r\n");
    }
    coded
}

/// Bodies just within the buffering limit were buffered without a limit on their sum, and longer ones held a slot each.
#[tokio::test(flavor = "multi_thread")]
async fn crowd_bodies_with_length() {
    let fixture = Fixture::new("crowd-length", DESCRIPTORS).await;
    let caller = fixture.caller();
    let _crowd = start_crowd(CROWD, |number| async move {
        // One in ten bodies is longer than those that are buffered.
        let bytes = match number % 10 {
            0 => 4 * BUFFERED_BYTES,
            _ => BUFFERED_BYTES,
        };
        // One in six is sent completely.
        let sent_bytes = bytes - usize::from(number % 6 != 0);
        let piece_bytes = if number % 2 == 0 { bytes } else { 16 << 10 };
        let body = vec![b'x'; sent_bytes];
        let pieces = body.chunks(piece_bytes).map(<[u8]>::to_vec).collect();
        let head = format!("POST /orders HTTP/1.1\r\nHost: a\r\nContent-Length: {bytes}\r\n\r\n");
        send_and_stay(caller, head, pieces).await;
    });
    fixture.check().await;
}

/// A body without a length was buffered up to the limit, in a buffer that doubled.
#[tokio::test(flavor = "multi_thread")]
async fn crowd_large_chunks() {
    let fixture = Fixture::new("crowd-large", DESCRIPTORS).await;
    let caller = fixture.caller();
    let _crowd = start_crowd(CROWD, |number| async move {
        let bytes = if number % 3 == 0 { 1 << 20 } else { 448 << 10 };
        let head = "POST /orders HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
        let coded = unfinished_chunks(bytes, 64 << 10);
        send_and_stay(caller, head.to_owned(), vec![coded]).await;
    });
    fixture.check().await;
}

/// Chunks of 32 bytes, whose framing is most of the work; their sum was not limited either.
#[tokio::test(flavor = "multi_thread")]
async fn crowd_small_chunks() {
    let fixture = Fixture::new("crowd-small", DESCRIPTORS).await;
    let caller = fixture.caller();
    let _crowd = start_crowd(CROWD, |_| async move {
        let head = "POST /orders HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
        let coded = unfinished_chunks(448 << 10, 32);
        send_and_stay(caller, head.to_owned(), vec![coded]).await;
    });
    fixture.check().await;
}

/// The number of connections was not limited, so that they could take all descriptors of the process.
#[tokio::test(flavor = "multi_thread")]
async fn crowd_connections() {
    let fixture = Fixture::new("crowd-connections", FEW_DESCRIPTORS).await;
    let caller = fixture.caller();
    let _crowd = start_crowd(CROWD, |number| async move {
        let head = match number % 2 {
            0 => "POST /orders HTTP/1.1\r\nHost: a\r\n",
            _ => "POST /orders HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\nx",
        };
        send_and_stay(caller, head.to_owned(), Vec::new()).await;
    });
    fixture.check().await;
}

/// Responses that are not read are held without a limit on their sum; the sockets hold most of them.
#[tokio::test(flavor = "multi_thread")]
async fn crowd_unread_responses() {
    let fixture = Fixture::new("crowd-unread", DESCRIPTORS).await;
    let caller = fixture.caller();
    let _crowd = start_crowd(CROWD, |number| async move {
        let bytes = if number % 10 == 0 { 4 << 20 } else { 500_000 };
        let head = format!("GET /orders HTTP/1.1\r\nHost: a\r\nx-answer-bytes: {bytes}\r\n\r\n");
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.set_recv_buffer_size(4_096).expect("a buffer size");
        let Ok(mut stream) = socket.connect(caller).await else {
            return;
        };
        let mut byte = [0];
        if stream.write_all(head.as_bytes()).await.is_ok() {
            // Reads a byte every 100 ms, until the instance closes the connection.
            while stream.read(&mut byte).await.is_ok_and(|read| read > 0) {
                sleep(Duration::from_millis(100)).await;
            }
        }
    });
    fixture.check().await;
}

/// A limit on crowds must not affect a single long request, with a length or in chunks.
#[tokio::test(flavor = "multi_thread")]
async fn single_upload_no_crowd() {
    let mut fixture = Fixture::new("single", DESCRIPTORS).await;
    let bytes = 32 << 20;
    let body = vec![b'x'; bytes];
    let length = format!("Content-Length: {bytes}\r\n\r\n");
    let mut chunked = unfinished_chunks(bytes, 256 << 10);
    chunked.extend_from_slice(b"0\r\n\r\n");
    for (framing, content) in [
        (length.as_str(), body),
        ("Transfer-Encoding: chunked\r\n\r\n", chunked),
    ] {
        let mut stream = TcpStream::connect(fixture.caller())
            .await
            .expect("a connection");
        let head = format!("POST /orders HTTP/1.1\r\nHost: a\r\nConnection: close\r\n{framing}");
        stream.write_all(head.as_bytes()).await.expect("sent");
        stream.write_all(&content).await.expect("sent");
        let mut response = String::new();
        stream
            .read_to_string(&mut response)
            .await
            .expect("a response");
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        assert!(response.contains(&format!(" {bytes}\n")), "{response}");
    }
    let usage = fixture.watch().await;
    assert!(usage.peak_kb <= MEMORY_MB * 1_024, "{usage:?}");
}
