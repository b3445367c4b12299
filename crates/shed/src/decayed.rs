//! Counts whose weight decays over time.

/// A count of events, of which an event of `decay_ms` ago has about a third (1/e) of its weight left.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayedCount {
    value: f64,
    updated_ms: u64,
}

impl DecayedCount {
    /// Adds `amount` at `now_ms`.
    pub(crate) fn add(&mut self, amount: f64, decay_ms: f64, now_ms: u64) {
        self.value = self.value(decay_ms, now_ms) + amount;
        self.updated_ms = self.updated_ms.max(now_ms);
    }

    /// Returns the decayed count.
    pub(crate) fn value(&self, decay_ms: f64, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.value * (-age_ms / decay_ms).exp()
    }

    /// Returns the recent number of events per second.
    pub(crate) fn per_s(&self, decay_ms: f64, now_ms: u64) -> f64 {
        self.value(decay_ms, now_ms) * 1_000.0 / decay_ms
    }
}
