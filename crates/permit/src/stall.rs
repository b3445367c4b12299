//! Detects that the process stood still.

/// Longest time between two records of activity in a process that runs, in milliseconds: the interval at which activity is
/// recorded, and a delay of a busy machine.
pub(crate) const ACTIVE_WITHIN_MS: u64 = 800;
/// Time after a stall in which the process works off what arrived meanwhile, in milliseconds.
pub(crate) const CATCH_UP_MS: u64 = 500;
/// Interval at which activity has to be recorded, in milliseconds.
pub const ACTIVITY_INTERVAL_MS: u64 = 500;

/// When the process was active, and until when it works off what arrived during a stall.
///
/// Requests and credit that were sent during a stall are read only afterwards. Credit that they brought would add to that of
/// the window in which they are read, although they count for the window in which they were sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct StallDetector {
    pub(crate) active_ms: u64,
    pub(crate) catching_up_until_ms: u64,
}
