//! Chooses the pool at which a request queues that no pool could run at once.

/// Time by which the wait at another pool must be shorter than at a nearer one, in milliseconds: a request to another data
/// centre takes longer, and its body costs traffic.
const SHORTER_WAIT_MIN_MS: u64 = 50;

/// What the owner of a pool answered to a request that was not to queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PoolAnswer {
    /// No slot is free; the request would wait for a good server for this time, in milliseconds.
    Busy(u64),
    /// The pool can't run the request, whether it waits or not.
    Unusable,
}

/// Returns the position of the pool at which to queue, given the answers of the pools from the nearest on: the nearest usable
/// one, unless the wait at another one is clearly shorter. Returns `None` if no pool is usable.
pub fn pool_to_queue_at(answers: &[PoolAnswer]) -> Option<usize> {
    let waits = answers.iter().enumerate().filter_map(|(at, answer)| {
        let PoolAnswer::Busy(wait_ms) = *answer else {
            return None;
        };
        Some((at, wait_ms))
    });
    let chosen = waits.reduce(|chosen, other| {
        if other.1 + SHORTER_WAIT_MIN_MS <= chosen.1 {
            other
        } else {
            chosen
        }
    });
    chosen.map(|(at, _)| at)
}
