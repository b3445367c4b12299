//! Limits, derived from the memory and the descriptors of the instance.

/// Bytes that a connection may hold without using room; its own part includes them. A request with a short body is so
/// admitted while the room is full.
pub const COVERED_BYTES: u64 = 16 << 10;
/// Progress that a caller has to make while there is too little room, in bytes a second.
pub const MIN_PROGRESS_BYTES_PER_S: u64 = 8 << 10;
/// Time for which a connection is not judged by its progress, in milliseconds.
pub(crate) const GRACE_MS: u64 = 1_000;
/// Length of the period over which progress is measured, in milliseconds; up to twice as long for a connection that makes
/// progress all the time.
pub(crate) const PERIOD_MS: u64 = 500;

/// Part of the memory that is used for callers and servers (one in this many).
const BUDGET_DIVISOR: u64 = 2;
/// Part of that budget that is reserved for the connections themselves (one in this many).
const CONNECTIONS_DIVISOR: u64 = 2;
/// Descriptors for listeners, other instances and the platform.
const RESERVED_DESCRIPTORS: u64 = 200;
/// Descriptors for each caller's connection: its own and that of the exchange with a server.
const DESCRIPTORS_PER_CONNECTION: u64 = 2;
/// Memory of a connection besides the kernel's buffers: read-ahead, HTTP buffers, task, covered bytes.
const CONNECTION_BYTES: u64 = 64 << 10;
/// Size of the kernel's buffer in each direction for each MiB of the instance's memory, in bytes. 512 MiB give 96 KiB, which
/// carry 128 Mbit/s over a distance of 3 ms.
const SOCKET_BYTES_PER_MB: u64 = 192;
/// Smallest and largest size of a kernel's buffer, in bytes.
const SOCKET_BYTES: (u64, u64) = (16 << 10, 128 << 10);
/// The kernel uses up to twice the size of a buffer, and there is one in each direction.
const SOCKET_FACTOR: u64 = 4;
/// Part of the room that one connection may use (one in this many).
const CONNECTION_SHARE_DIVISOR: u64 = 8;
/// Least share of a connection: a buffered request and a buffered response, in bytes.
const CONNECTION_SHARE_MIN_BYTES: u64 = 2 << 20;
/// Part of the room that one account may use, in percent.
const ACCOUNT_SHARE_PERCENT: u64 = 50;
/// Part of the room and of the connections that one source address may use, in percent. It may be a balancer's.
const SOURCE_SHARE_PERCENT: u64 = 75;
/// Percentage of the room from which on progress is required.
const SCARCE_PERCENT: u64 = 75;

/// What an instance may hold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Connections from callers.
    pub connections_max: usize,
    /// Connections from one source address.
    pub source_connections_max: usize,
    /// Size of the kernel's buffer in each direction of a caller's connection, in bytes; it uses up to twice as much.
    pub socket_buffer_bytes: u64,
    /// Memory that a connection may use without using room, in bytes.
    pub own_bytes: u64,
    /// Bytes for bodies and responses beyond what the connections' own part covers.
    pub room_bytes: u64,
    /// Share of one connection, in bytes.
    pub connection_bytes: u64,
    /// Share of one account, in bytes.
    pub account_bytes: u64,
    /// Share of one source address, in bytes.
    pub source_bytes: u64,
    /// Bytes from which on progress is required.
    pub scarce_bytes: u64,
}

impl Limits {
    /// Derives the limits of an instance with `memory_mb` MiB of memory and `descriptors_max` descriptors.
    pub fn new(memory_mb: u64, descriptors_max: u64) -> Self {
        let budget_bytes = (memory_mb << 20) / BUDGET_DIVISOR;
        let socket_buffer_bytes =
            (memory_mb * SOCKET_BYTES_PER_MB).clamp(SOCKET_BYTES.0, SOCKET_BYTES.1);
        let own_bytes = CONNECTION_BYTES + SOCKET_FACTOR * socket_buffer_bytes;
        let by_memory = budget_bytes / CONNECTIONS_DIVISOR / own_bytes;
        let by_descriptors =
            descriptors_max.saturating_sub(RESERVED_DESCRIPTORS) / DESCRIPTORS_PER_CONNECTION;
        let connections = by_memory.min(by_descriptors).max(1);
        let room_bytes = budget_bytes.saturating_sub(connections * own_bytes);
        let percent = |whole: u64, percent: u64| whole * percent / 100;
        Self {
            connections_max: connections as usize,
            source_connections_max: percent(connections, SOURCE_SHARE_PERCENT).max(1) as usize,
            socket_buffer_bytes,
            own_bytes,
            room_bytes,
            connection_bytes: (room_bytes / CONNECTION_SHARE_DIVISOR)
                .max(CONNECTION_SHARE_MIN_BYTES),
            account_bytes: percent(room_bytes, ACCOUNT_SHARE_PERCENT),
            source_bytes: percent(room_bytes, SOURCE_SHARE_PERCENT),
            scarce_bytes: percent(room_bytes, SCARCE_PERCENT),
        }
    }
}
