//! The clock of a node.

use {
    nix::time::{clock_gettime, ClockId},
    std::time::Duration,
};

/// Measures the time since it was created, including the time for which the machine was suspended.
///
/// The monotonic clock stops during a suspension, after which data and leases would count as younger than they are.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BootClock {
    /// Time since the machine was booted at which this clock was created.
    created: Duration,
}

impl BootClock {
    /// Creates a clock that starts at 0.
    pub(crate) fn new() -> Self {
        Self {
            created: since_boot(),
        }
    }

    /// Returns the time since this clock was created, in milliseconds.
    pub(crate) fn elapsed_ms(&self) -> u64 {
        since_boot().saturating_sub(self.created).as_millis() as u64
    }
}

fn since_boot() -> Duration {
    // Fails only where the kernel does not have this clock; Linux has had it since version 2.6.39.
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from)
}
