//! Connections to backend servers, one exchange at a time on each.
//!
//! Invariants: dropping a connection closes it, so a late answer can reach nobody; only a connection whose
//! exchange ended whole goes back; idle connections are few and young.

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

/// Shards of idle connections.
const SHARD_COUNT: usize = 16;
/// Idle connections kept to one backend server; 42 instances stay far below its 400.
const IDLE_MAX: usize = 4;
/// Time for which a connection is kept idle, in milliseconds.
const IDLE_AGE_MS: u64 = 5_000;
/// Time allowed for a new connection, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 250;
/// Time without an acknowledgement after which the system gives a connection up, in milliseconds.
const USER_TIMEOUT_MS: u64 = 5_000;

/// An open connection.
#[derive(Debug)]
pub struct Connection {
    pub(crate) sender: SendRequest<BoxedBody>,
    driver: JoinHandle<()>,
    /// Whether an exchange went over it before.
    pub reused: bool,
    opened: Instant,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

struct Idle {
    connection: Connection,
    since: Instant,
}

/// Idle connections by address, in shards.
pub struct ConnectionPool {
    idle: Shards<HashMap<SocketAddr, Vec<Idle>>>,
}

impl ConnectionPool {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self {
            idle: Shards::new(SHARD_COUNT),
        }
    }

    /// Takes an idle connection to `address`, the one used last first.
    pub fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        self.idle.with(shard_hash(&address), |idle| {
            let waiting = idle.get_mut(&address)?;
            while let Some(found) = waiting.pop() {
                let young = found.since.elapsed() < Duration::from_millis(IDLE_AGE_MS);
                if young && found.connection.sender.is_ready() {
                    return Some(found.connection);
                }
            }
            None
        })
    }

    /// Puts back a connection whose exchange ended whole, once it is ready for the next.
    pub async fn put_back(&self, address: SocketAddr, mut connection: Connection) {
        if connection.sender.ready().await.is_err() {
            return;
        }
        connection.reused = true;
        self.idle.with(shard_hash(&address), |idle| {
            let waiting = idle.entry(address).or_default();
            if waiting.len() < IDLE_MAX {
                let since = Instant::now();
                waiting.push(Idle { connection, since });
            }
        });
    }

    /// Closes the idle connections to `address` opened before `before`, because one of that age went silent.
    pub fn close_opened_before(&self, address: SocketAddr, before: Instant) {
        self.idle.with(shard_hash(&address), |idle| {
            if let Some(waiting) = idle.get_mut(&address) {
                waiting.retain(|found| found.connection.opened >= before);
            }
        });
    }

    /// Closes idle connections that grew too old.
    pub fn close_expired(&self) {
        self.idle.for_each(|idle| {
            for waiting in idle.values_mut() {
                waiting.retain(|found| found.since.elapsed() < Duration::from_millis(IDLE_AGE_MS));
            }
            idle.retain(|_, waiting| !waiting.is_empty());
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
/// Nothing was sent if this fails.
pub(crate) async fn connect(address: SocketAddr) -> io::Result<Connection> {
    let stream = connect_tcp(address, CONNECT_TIMEOUT_MS).await?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(io::Error::other)?;
    let driver = tokio::spawn(async move {
        // The exchange on the connection sees the same error.
        let _ = connection.await;
    });
    Ok(Connection {
        sender,
        driver,
        reused: false,
        opened: Instant::now(),
    })
}

/// Opens a socket with the options that every long-lived connection needs, so that the system gives up one that went
/// silent; waits for at most `limit_ms`.
///
/// # Errors
///
/// The address can't be reached in time, or the system refuses an option.
pub async fn connect_tcp(address: SocketAddr, limit_ms: u64) -> io::Result<TcpStream> {
    let limit = Duration::from_millis(limit_ms);
    let stream = match timeout(limit, TcpStream::connect(address)).await {
        Ok(result) => result?,
        Err(_) => return Err(io::ErrorKind::TimedOut.into()),
    };
    stream.set_nodelay(true)?;
    let socket = SockRef::from(&stream);
    let period = Duration::from_millis(USER_TIMEOUT_MS);
    socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(period))?;
    socket.set_tcp_user_timeout(Some(period))?;
    Ok(stream)
}
