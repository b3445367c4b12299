//! Time as it is passed on: parts of it, with their ages.

use {
    permit::FleetSize,
    std::collections::{BTreeMap, HashMap},
};

/// Length of the intervals in which time is gathered, in milliseconds.
pub(crate) const INTERVAL_MS: u64 = 50;

/// The time that an instance passes on, and the number of instances that have an equal part of it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TimeShare {
    /// Length of the time, in milliseconds. It ends when it is passed on.
    pub span_ms: u64,
    /// Number of instances among which it is divided; 0 if nothing is passed on.
    pub instances: u32,
}

/// What an instance knows of the fleet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KnownFleet {
    /// Number of instances in its list.
    pub instances: u32,
    /// Whether these are as many as the platform says that there are, so that a new process need not wait until its list
    /// has stopped growing.
    pub is_complete: bool,
}

impl KnownFleet {
    /// Creates the knowledge of a list that may be incomplete.
    pub fn new(instances: u32) -> Self {
        Self {
            instances,
            is_complete: false,
        }
    }
}

/// The time that an instance has passed on.
#[derive(Clone, Debug, Default)]
pub struct TimeLedger {
    /// Time since the start of the process up to which its part was passed on, in milliseconds.
    pub(crate) passed_ms: u64,
    /// Number of instances among which time is divided.
    pub(crate) size: FleetSize,
    /// Largest number of instances known so far, and when that was first known, in milliseconds.
    pub(crate) largest: (u32, u64),
    /// Clocks of the instances that time is passed on to, by name.
    pub(crate) clocks: HashMap<String, PeerClock>,
}

/// What an instance knows of another one's clock. With it, a message states a time of the receiver's clock at which it had
/// not been sent yet, so that the receiver knows an upper bound of the time underway.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PeerClock {
    /// Value of the other's clock when it responded, in milliseconds.
    pub peer_ms: u64,
    /// Value of the own clock when the response had arrived, in milliseconds.
    pub own_ms: u64,
}

/// A part of the time, of all instances together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TimePart {
    /// Age of its oldest moment, in milliseconds.
    pub age_ms: u64,
    /// Its length, in nanoseconds.
    pub time_ns: u64,
}

/// Time that was gathered and not passed on.
#[derive(Clone, Debug, Default)]
pub struct TimePot {
    /// Lengths in nanoseconds, by the number of the interval of [`INTERVAL_MS`] in which the time passed.
    pub(crate) intervals: BTreeMap<u64, u64>,
}
