//! Exponential backoff, without jitter; callers add their own.

/// Returns the backoff `initial_ms` doubled `doublings` times, at most `max_ms`, in milliseconds.
pub fn exponential_backoff_ms(initial_ms: u64, doublings: u32, max_ms: u64) -> u64 {
    let factor = 1_u64.checked_shl(doublings).unwrap_or(u64::MAX);
    initial_ms.saturating_mul(factor).min(max_ms)
}
