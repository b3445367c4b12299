//! HTTP/1.1 connections to backend servers, with at most one exchange at a time on each.
//!
//! Invariants: dropping a connection closes it, so a late response can't be mistaken for that of another request;
//! a connection returns to the pool only after a complete exchange; the number and the age of idle connections
//! are bounded.

use {
    crate::BoxedBody,
    hyper::client::conn::http1::{self, SendRequest},
    hyper_util::rt::TokioIo,
    socket2::{SockRef, TcpKeepalive},
    std::{
        collections::HashMap,
        io,
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::{net::TcpStream, task::JoinHandle, time::timeout},
    types::{shard_hash, Shards},
};

/// Number of shards of the idle connections.
const SHARD_COUNT: usize = 16;
/// Idle connections that are kept per backend server. 42 instances then hold at most 168 of the 400 connections that a
/// server accepts.
const MAX_IDLE_PER_SERVER: usize = 4;
/// Time after which an idle connection is closed, in milliseconds.
const MAX_IDLE_MS: u64 = 5_000;
/// Size of the kernel's buffer in each direction of a connection to a server, in bytes. What a server or a caller does not
/// read must not fill the memory of the instance; this carries 200 Mbit/s between data centres.
const SOCKET_BUFFER_BYTES: usize = 64 * 1024;
/// Largest buffer of the HTTP library for each direction, in bytes; also the largest head of a response.
const HTTP_BUFFER_BYTES: usize = 64 * 1024;
/// Timeout for opening a connection, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 250;
/// Time allowed for a connection to end after its server has ended it, in milliseconds.
const END_TIMEOUT_MS: u64 = 250;
/// Time without a TCP acknowledgement after which the kernel closes a connection, in milliseconds; also the time
/// without traffic after which it sends keep-alive probes.
const USER_TIMEOUT_MS: u64 = 5_000;

/// An open connection.
#[derive(Debug)]
pub struct Connection {
    pub(crate) sender: SendRequest<BoxedBody>,
    /// Returns whether the connection ended without an error.
    driver: JoinHandle<bool>,
    /// Whether the connection served an earlier exchange.
    pub reused: bool,
    opened_at: Instant,
}

impl Connection {
    /// Waits for the end of the connection; returns whether everything was written and it ended without an error.
    pub(crate) async fn ended_regularly(&mut self) -> bool {
        let limit = Duration::from_millis(END_TIMEOUT_MS);
        matches!(timeout(limit, &mut self.driver).await, Ok(Ok(true)))
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

struct IdleConnection {
    connection: Connection,
    idle_since: Instant,
}

/// Idle connections by server address, in shards.
pub struct ConnectionPool {
    idle: Shards<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub fn new() -> Self {
        Self {
            idle: Shards::new(SHARD_COUNT),
        }
    }

    /// Takes an idle connection to `address`, the most recently used one first.
    pub fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        self.idle.with(shard_hash(&address), |idle| {
            let connections = idle.get_mut(&address)?;
            while let Some(candidate) = connections.pop() {
                let fresh = candidate.idle_since.elapsed() < Duration::from_millis(MAX_IDLE_MS);
                if fresh && candidate.connection.sender.is_ready() {
                    return Some(candidate.connection);
                }
            }
            None
        })
    }

    /// Returns a connection to the pool after a complete exchange, once it is ready for the next one.
    pub async fn put_back(&self, address: SocketAddr, mut connection: Connection) {
        if connection.sender.ready().await.is_err() {
            return;
        }
        connection.reused = true;
        self.idle.with(shard_hash(&address), |idle| {
            let connections = idle.entry(address).or_default();
            if connections.len() < MAX_IDLE_PER_SERVER {
                let idle_since = Instant::now();
                connections.push(IdleConnection {
                    connection,
                    idle_since,
                });
            }
        });
    }

    /// Closes the idle connections to `address` that were opened before `before`. Used when a connection stopped
    /// responding, since others of that age probably did as well.
    pub fn close_opened_before(&self, address: SocketAddr, before: Instant) {
        self.idle.with(shard_hash(&address), |idle| {
            if let Some(connections) = idle.get_mut(&address) {
                connections.retain(|candidate| candidate.connection.opened_at >= before);
            }
        });
    }

    /// Closes connections that were idle for too long.
    pub fn close_expired(&self) {
        self.idle.for_each(|idle| {
            for connections in idle.values_mut() {
                connections.retain(|candidate| {
                    candidate.idle_since.elapsed() < Duration::from_millis(MAX_IDLE_MS)
                });
            }
            idle.retain(|_, connections| !connections.is_empty());
        });
    }
}

impl Default for ConnectionPool {
    fn default() -> Self {
        Self::new()
    }
}

/// Opens a new connection to `address`.
///
/// # Errors
///
/// The server can't be reached in time or the handshake fails; no request was sent.
pub(crate) async fn connect(address: SocketAddr) -> io::Result<Connection> {
    let stream = connect_tcp(address, CONNECT_TIMEOUT_MS).await?;
    let socket = SockRef::from(&stream);
    socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES)?;
    socket.set_send_buffer_size(SOCKET_BUFFER_BYTES)?;
    let handshake = http1::Builder::new()
        .max_buf_size(HTTP_BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await;
    let (sender, connection) = handshake.map_err(io::Error::other)?;
    // The exchange on this connection returns the same error, unless the response had ended before.
    let driver = tokio::spawn(async move { connection.await.is_ok() });
    Ok(Connection {
        sender,
        driver,
        reused: false,
        opened_at: Instant::now(),
    })
}

/// Opens a TCP connection with keep-alive and a user timeout, so that the kernel closes it when the peer stops
/// responding; waits for at most `timeout_ms`.
///
/// # Errors
///
/// The address can't be reached in time, or a socket option can't be set.
pub async fn connect_tcp(address: SocketAddr, timeout_ms: u64) -> io::Result<TcpStream> {
    let time_limit = Duration::from_millis(timeout_ms);
    let stream = match timeout(time_limit, TcpStream::connect(address)).await {
        Ok(result) => result?,
        Err(_) => return Err(io::ErrorKind::TimedOut.into()),
    };
    stream.set_nodelay(true)?;
    let socket = SockRef::from(&stream);
    let unacknowledged = Duration::from_millis(USER_TIMEOUT_MS);
    socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(unacknowledged))?;
    socket.set_tcp_user_timeout(Some(unacknowledged))?;
    Ok(stream)
}
