//! Free loopback ports for processes whose listening addresses must be known before they start.

use std::{
    io,
    net::{SocketAddr, TcpStream},
    sync::atomic::{AtomicU16, Ordering},
};

/// Ports between the starting points of processes with consecutive ids, so that concurrent tests rarely collide.
const PID_STRIDE: u32 = 97;

/// A range of ports that are tried in order.
#[derive(Debug)]
pub struct PortRange {
    first: u16,
    count: u16,
    attempts: AtomicU16,
}

impl PortRange {
    /// Creates a range of `count` ports from `first`; it should lie below the system's ephemeral ports, which outgoing
    /// connections take.
    pub const fn new(first: u16, count: u16) -> Self {
        Self {
            first,
            count,
            attempts: AtomicU16::new(0),
        }
    }

    /// Finds a loopback address at which nothing listens and that this range has not returned before.
    ///
    /// It isn't bound to find out: a process that is just being started by another thread would inherit the listener and
    /// hold the port for a moment after it was closed here.
    ///
    /// # Errors
    ///
    /// Fails if every port of the range is in use.
    pub fn free_address(&self) -> io::Result<SocketAddr> {
        let count = u32::from(self.count);
        let offset = std::process::id().wrapping_mul(PID_STRIDE) % count;
        for _ in 0..self.count {
            let attempt = u32::from(self.attempts.fetch_add(1, Ordering::SeqCst));
            let port = self.first + ((offset + attempt) % count) as u16;
            let address = SocketAddr::from(([127, 0, 0, 1], port));
            let connected = TcpStream::connect(address);
            if connected.is_err_and(|error| error.kind() == io::ErrorKind::ConnectionRefused) {
                return Ok(address);
            }
        }
        Err(io::ErrorKind::AddrInUse.into())
    }
}
