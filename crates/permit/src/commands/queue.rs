//! Keeps the queue of requests that wait for a slot.

use crate::{queries, Pool, Waiter, Wish};

/// Time past its next ask after which a waiter is forgotten, in milliseconds.
const SILENT_WAITER_MS: u64 = 100;

/// Adds a waiter behind those that are as urgent and returns its ticket; it is absent until [`hear`] says
/// otherwise.
pub fn enqueue(pool: &mut Pool, wish: Wish, now_ms: u64) -> u64 {
    pool.next_ticket += 1;
    let ticket = pool.next_ticket;
    let place = queries::ahead(pool, None, wish.priority);
    let waiter = Waiter {
        ticket,
        present_until_ms: now_ms,
        forget_ms: now_ms + SILENT_WAITER_MS,
        wish,
    };
    pool.queue.insert(place, waiter);
    ticket
}

/// Notes that the asker behind `ticket` waits here until `present_until_ms` and asks again by `next_ask_ms`;
/// returns whether it is in the queue.
pub fn hear(pool: &mut Pool, ticket: u64, present_until_ms: u64, next_ask_ms: u64) -> bool {
    match pool.queue.iter_mut().find(|waiter| waiter.ticket == ticket) {
        Some(waiter) => {
            waiter.present_until_ms = present_until_ms;
            waiter.forget_ms = next_ask_ms + SILENT_WAITER_MS;
            true
        }
        None => false,
    }
}

/// Removes the waiter behind `ticket`.
pub fn leave_queue(pool: &mut Pool, ticket: u64) {
    pool.queue.retain(|waiter| waiter.ticket != ticket);
}

/// Forgets waiters whose asker went silent or whose deadline has passed.
pub fn drop_silent_waiters(pool: &mut Pool, now_ms: u64) {
    pool.queue
        .retain(|waiter| now_ms < waiter.forget_ms && now_ms < waiter.wish.deadline_ms);
}
