//! Times that double with each failure in a row.

/// Returns `first_ms` doubled `times` times, at most `most_ms`.
pub fn exponential_backoff_ms(first_ms: u64, times: u32, most_ms: u64) -> u64 {
    let factor = 1_u64.checked_shl(times).unwrap_or(u64::MAX);
    first_ms.saturating_mul(factor).min(most_ms)
}
