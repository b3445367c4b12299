//! Loopback addresses that nobody listens on, for processes that are told where to listen.

use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::atomic::{AtomicU16, Ordering},
};

/// Factor that spreads processes over a range by their ids.
const SPREAD: u32 = 97;

/// A range of ports, tried in turn.
#[derive(Debug)]
pub struct PortRange {
    first: u16,
    count: u16,
    tried: AtomicU16,
}

impl PortRange {
    /// Creates a range below the one from which the system takes ports for outgoing connections.
    pub const fn new(first: u16, count: u16) -> Self {
        Self {
            first,
            count,
            tried: AtomicU16::new(0),
        }
    }

    /// Finds an address that nobody listens on and that was not given out of this range before.
    ///
    /// # Errors
    ///
    /// Every port of the range is in use.
    pub fn free_address(&self) -> io::Result<SocketAddr> {
        let count = u32::from(self.count);
        let offset = std::process::id().wrapping_mul(SPREAD) % count;
        for _ in 0..self.count {
            let step = u32::from(self.tried.fetch_add(1, Ordering::SeqCst));
            let port = self.first + ((offset + step) % count) as u16;
            let address = SocketAddr::from(([127, 0, 0, 1], port));
            if TcpListener::bind(address).is_ok() {
                return Ok(address);
            }
        }
        Err(io::ErrorKind::AddrInUse.into())
    }
}
