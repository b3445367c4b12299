//! Faults of instances, of their store and of the network.

/// What goes wrong.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum FaultKind {
    /// The store does not answer these instances.
    StoreSilent,
    /// The store rejects these instances' calls.
    StoreRejects,
    /// The store's answers to these instances take long.
    StoreSlow,
    /// These instances reach neither the store nor one another.
    Cut,
    /// What these instances send to others is lost; they still reach the store.
    CutOneWay,
    /// These instances' processes stand still; what was sent to them meanwhile is handled afterwards.
    Freeze,
    /// These instances' processes are killed and run again at once.
    Kill,
}

/// A fault of some instances for some time.
#[derive(Clone, Debug)]
pub(crate) struct Fault {
    pub(crate) kind: FaultKind,
    /// Begin, in milliseconds after the fleet has settled.
    pub(crate) at_ms: u64,
    pub(crate) for_ms: u64,
    /// Instances that it affects.
    pub(crate) instances: Vec<usize>,
}

impl Fault {
    pub(crate) fn end_ms(&self) -> u64 {
        self.at_ms + self.for_ms
    }

    pub(crate) fn is_active(&self, instance: usize, now_ms: u64) -> bool {
        (self.at_ms..self.end_ms()).contains(&now_ms) && self.instances.contains(&instance)
    }

    /// Returns whether the fault affects the instance at `now_ms` or did in the `stable_ms` before.
    pub(crate) fn is_recent(&self, instance: usize, now_ms: u64, stable_ms: u64) -> bool {
        (self.at_ms..=self.end_ms() + stable_ms).contains(&now_ms)
            && self.instances.contains(&instance)
    }
}
