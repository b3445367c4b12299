//! The recent failure rate of a pool's requests.

/// Time after which an outcome has about a third (1/e) of its weight left, in milliseconds. It is below the two seconds
/// over which uneven use of a service's servers is measured.
const DECAY_MS: f64 = 1_500.0;
/// Minimum total weight of outcomes for a rate to be reported; below it a single failure would dominate.
const MIN_WEIGHT: f64 = 8.0;

/// Exponentially decayed counts of all recorded requests and of the failed ones.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailureRate {
    total: f64,
    failed: f64,
    updated_ms: u64,
}

impl FailureRate {
    /// Records the outcome of one request.
    pub fn record(&mut self, failed: bool, now_ms: u64) {
        let age_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        let decay = (-age_ms / DECAY_MS).exp();
        self.updated_ms = now_ms;
        self.total = self.total * decay + 1.0;
        self.failed = self.failed * decay + f64::from(u8::from(failed));
    }

    /// Returns the recent number of requests per second.
    pub fn requests_per_s(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.total * (-age_ms / DECAY_MS).exp() * 1_000.0 / DECAY_MS
    }

    /// Returns the recent failure rate in percent; 0 if there are too few outcomes.
    pub fn failed_percent(&self) -> u32 {
        if self.total < MIN_WEIGHT {
            return 0;
        }
        (self.failed / self.total * 100.0) as u32
    }
}
