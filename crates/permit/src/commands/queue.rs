//! Keeps the queue of requests that wait for a slot.

use crate::{queries, Pool, SlotRequest, Waiter};

/// Time past its next ask after which a waiter is forgotten, in milliseconds.
const SILENT_WAITER_MS: u64 = 100;

/// Adds a waiter behind those that are as urgent and returns its ticket; it is absent until [`refresh_waiter`] says
/// otherwise.
pub fn enqueue(pool: &mut Pool, request: SlotRequest, now_ms: u64) -> u64 {
    pool.next_ticket += 1;
    let ticket = pool.next_ticket;
    let place = queries::waiters_ahead(pool, None, request.priority);
    let waiter = Waiter {
        ticket,
        active_until_ms: now_ms,
        expires_ms: now_ms + SILENT_WAITER_MS,
        request,
    };
    pool.queue.insert(place, waiter);
    ticket
}

/// Notes that the asker behind `ticket` waits here until `active_until_ms` and asks again by `next_ask_ms`;
/// returns whether it is in the queue.
pub fn refresh_waiter(
    pool: &mut Pool,
    ticket: u64,
    active_until_ms: u64,
    next_ask_ms: u64,
) -> bool {
    match pool.queue.iter_mut().find(|waiter| waiter.ticket == ticket) {
        Some(waiter) => {
            waiter.active_until_ms = active_until_ms;
            waiter.expires_ms = next_ask_ms + SILENT_WAITER_MS;
            true
        }
        None => false,
    }
}

/// Removes the waiter behind `ticket`.
pub fn remove_waiter(pool: &mut Pool, ticket: u64) {
    pool.queue.retain(|waiter| waiter.ticket != ticket);
}

/// Forgets waiters whose asker went silent or whose deadline has passed.
pub fn expire_waiters(pool: &mut Pool, now_ms: u64) {
    pool.queue
        .retain(|waiter| now_ms < waiter.expires_ms && now_ms < waiter.request.deadline_ms);
}
