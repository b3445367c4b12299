//! How much of a pool's work fails of late.

/// Time in which what happened fades to a third, in milliseconds: the window in which an unevenly used service is
/// noticed is two seconds.
const FADE_MS: f64 = 1_500.0;
/// Least weight of outcomes from which a share is given; below it a single failure would say too much.
const LEAST_WEIGHT: f64 = 8.0;

/// Outcomes of late, each weighed by its age.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailureRate {
    ended: f64,
    failed: f64,
    updated_ms: u64,
}

impl FailureRate {
    /// Notes the outcome of one request.
    pub fn record(&mut self, failed: bool, now_ms: u64) {
        let age_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        let kept = (-age_ms / FADE_MS).exp();
        self.updated_ms = now_ms;
        self.ended = self.ended * kept + 1.0;
        self.failed = self.failed * kept + f64::from(u8::from(failed));
    }

    /// Returns the share of requests that failed of late, in percent; 0 if too few ended.
    pub fn failed_percent(&self) -> u32 {
        if self.ended < LEAST_WEIGHT {
            return 0;
        }
        (self.failed / self.ended * 100.0) as u32
    }
}
