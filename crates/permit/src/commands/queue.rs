//! Maintains the queue of requests that wait for a slot.

use crate::{queries, Pool, SlotRequest, Waiter};

/// Time past its expected next poll after which a waiter expires, in milliseconds.
const POLL_GRACE_MS: u64 = 100;

/// Queues a request behind those of the same or a more urgent priority and returns its ticket. The waiter is inactive,
/// that is, no slot is granted to it, until [`refresh_waiter`] is called.
pub fn enqueue(pool: &mut Pool, request: SlotRequest, now_ms: u64) -> u64 {
    let position = queries::waiters_ahead(pool, None, request.priority);
    enqueue_at(pool, request, position, now_ms)
}

/// Queues a request behind the first `position` waiters and returns its ticket; it is inactive as with [`enqueue`].
pub fn enqueue_at(pool: &mut Pool, request: SlotRequest, position: usize, now_ms: u64) -> u64 {
    pool.last_ticket += 1;
    let ticket = pool.last_ticket;
    let waiter = Waiter {
        ticket,
        active_until_ms: now_ms,
        expires_ms: now_ms + POLL_GRACE_MS,
        request,
    };
    pool.queue.insert(position.min(pool.queue.len()), waiter);
    ticket
}

/// Records that the poll for `ticket` stays open until `active_until_ms` and that the next one is expected by
/// `next_poll_ms`; returns whether the ticket is in the queue.
pub fn refresh_waiter(
    pool: &mut Pool,
    ticket: u64,
    active_until_ms: u64,
    next_poll_ms: u64,
) -> bool {
    match pool.queue.iter_mut().find(|waiter| waiter.ticket == ticket) {
        Some(waiter) => {
            waiter.active_until_ms = active_until_ms;
            waiter.expires_ms = next_poll_ms + POLL_GRACE_MS;
            true
        }
        None => false,
    }
}

/// Orders the queue by `rank`, the smallest first; waiters of the same rank keep their order.
pub fn sort_queue<Rank, RankOf>(pool: &mut Pool, rank_of: RankOf)
where
    Rank: Ord,
    RankOf: FnMut(&Waiter) -> Rank,
{
    pool.queue.make_contiguous().sort_by_cached_key(rank_of);
}

/// Applies `update` to the waiting requests in queue order.
pub fn update_waiters<Update>(pool: &mut Pool, mut update: Update)
where
    Update: FnMut(&mut SlotRequest),
{
    for waiter in &mut pool.queue {
        update(&mut waiter.request);
    }
}

/// Removes the waiter with this ticket from the queue.
pub fn remove_waiter(pool: &mut Pool, ticket: u64) {
    pool.queue.retain(|waiter| waiter.ticket != ticket);
}

/// Drops waiters that stopped polling or whose deadline has passed.
pub fn expire_waiters(pool: &mut Pool, now_ms: u64) {
    pool.queue
        .retain(|waiter| now_ms < waiter.expires_ms && now_ms < waiter.request.deadline_ms);
}
