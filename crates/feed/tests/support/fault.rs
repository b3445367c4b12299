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

/// A fault that begins some time after the fleet has settled.
pub(crate) type Fault = faults::Fault<FaultKind>;
