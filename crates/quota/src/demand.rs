//! The rate at which an account's requests come.

/// Time constant of the average, in seconds.
pub(crate) const AVERAGE_S: f64 = 1.0;

/// Exponentially weighted rate of requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandRate {
    pub(crate) weight: f64,
    pub(crate) updated_ms: u64,
}
