//! Answers an ask for a slot.

use {
    crate::PoolState,
    permit::{commands, queries, Lease, Refusal, Spread, Wish},
    std::sync::Arc,
    tokio::sync::Notify,
    types::{PermitId, ServerIndex},
};

/// Time for which an ask waits at the owner before it is told to ask again, in milliseconds.
pub const QUEUE_WAIT_MS: u64 = 40;
/// Longest time after which a waiter far behind is told to ask again, in milliseconds.
const ASK_AFTER_MAX_MS: u64 = 400;
/// Time past its deadline after which a permit is taken back, in milliseconds; covers a late return.
const PERMIT_MARGIN_MS: u64 = 500;
/// Part of the fleet's slack of retries that owners give, in percent.
const SLACK_GIVEN_PERCENT: u32 = 70;
/// Part of the fleet's slack that an owner gives while it does not know what was granted before, in percent; with what
/// owners and instances without one give it makes up the whole.
const DOUBTFUL_SLACK_PERCENT: u32 = 10;
/// Part of a service's share of retries that owners give, in percent.
const SHARE_GIVEN_PERCENT: u32 = 90;
/// Time without work after which a good server is given some by a request that may be repeated, in milliseconds.
const NEGLECT_SAFE_MS: u64 = 800;
/// The same for any request, in milliseconds: a new server is to have work within four seconds.
const NEGLECT_MS: u64 = 2_000;

/// An ask for a slot. Times are of the owner's clock.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// Number of the ask, drawn by the asker.
    pub number: u64,
    /// Number of its place in the queue, if it has one.
    pub ticket: Option<u64>,
    /// Whether the request was sent to a server before.
    pub is_retry: bool,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// When the request must be finished, in milliseconds.
    pub deadline_ms: u64,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Data centre of the asker.
    pub data_centre: &'a str,
    /// Size of the request's body, in bytes.
    pub body_bytes: u64,
    /// Whether it may wait for a slot.
    pub may_queue: bool,
    /// Servers that the request already tried.
    pub exclude: &'a [String],
}

/// Why an ask was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// No server of the pool may take the request.
    NoServer,
    /// No slot is free, and the ask may not wait.
    Busy,
    /// The request could not finish within its deadline.
    Overloaded,
    /// No retry is left.
    NoBudget,
}

/// How an ask goes on.
#[derive(Clone, Debug)]
pub enum Step {
    /// It has a slot of the server.
    Granted(PermitId, ServerIndex),
    /// It is refused; with the time after which its caller may try again, in milliseconds, 0 if not known.
    Refused(Verdict, u64),
    /// It waits here at that place in the queue until it is woken.
    Wait(u64, Arc<Notify>),
    /// It is to ask again with that ticket after so many milliseconds.
    AskAgain(u64, u64),
}

/// The retries that a pool may grant.
#[derive(Clone, Copy, Debug)]
pub struct RetryTerms {
    window_ms: u64,
    percent: u32,
    slack: u32,
    doubtful_slack: u32,
}

impl RetryTerms {
    /// Creates the terms of one of `pools` pools, of the service's share in percent and the fleet's slack.
    ///
    /// The slack is divided among the service's pools. Of both only a part is given, since an owner's successor may know
    /// nothing of what it granted within the window.
    pub fn new(window_ms: u64, service_percent: u32, fleet_slack: u32, pools: u32) -> Self {
        Self {
            window_ms,
            percent: service_percent * SHARE_GIVEN_PERCENT / 100,
            slack: fleet_slack * SLACK_GIVEN_PERCENT / 100 / pools.max(1),
            doubtful_slack: fleet_slack * DOUBTFUL_SLACK_PERCENT / 100 / pools.max(1),
        }
    }

    /// Sets the retries beyond the share to what may be granted whatever was granted before.
    pub fn with_doubt(self) -> Self {
        Self {
            slack: self.doubtful_slack,
            ..self
        }
    }
}

/// Gives `ask` a slot, a place in the queue, or a refusal.
///
/// The first waiter that is here is served first; a newcomer only if none is, or if it is more urgent.
pub fn take(state: &mut PoolState, ask: &Ask<'_>, terms: RetryTerms, now_ms: u64) -> Step {
    let ticket = ask.ticket;
    let is_retry = ask.is_retry;
    state.asked_ms = now_ms;
    let terms = if now_ms < state.slack_from_ms {
        terms.with_doubt()
    } else {
        terms
    };
    let wish = wish(state, ask, now_ms);
    if is_retry && !queries::may_retry(&state.budget, terms.percent, terms.slack) {
        // Looked at again with the counts of now.
        let RetryTerms { window_ms, .. } = terms;
        commands::forget_old(&mut state.budget, window_ms, now_ms);
        if !queries::may_retry(&state.budget, terms.percent, terms.slack) {
            leave(state, ticket);
            state.recent.note(true, now_ms);
            return Step::Refused(Verdict::NoBudget, 0);
        }
    }
    let ahead = queries::present_ahead(&state.pool, ticket, wish.priority, now_ms);
    if ahead == 0 {
        match queries::pick(&state.pool, &state.recent, &wish, &Spread::new(), now_ms) {
            Ok(choice) => {
                leave(state, ticket);
                note_grant(state, is_retry, terms, now_ms);
                let lease = Lease {
                    ask: wish.ask,
                    expires_ms: wish.deadline_ms + PERMIT_MARGIN_MS,
                    may_retry: ask.idempotent && !is_retry,
                };
                let id = commands::take(&mut state.pool, choice, lease, now_ms);
                state.wake_first(now_ms);
                return Step::Granted(id, choice.server);
            }
            Err(Refusal::NoServer) => {
                leave(state, ticket);
                state.wake_first(now_ms);
                return Step::Refused(Verdict::NoServer, 0);
            }
            Err(Refusal::Busy) => {}
        }
    }
    if !ask.may_queue {
        return Step::Refused(Verdict::Busy, 0);
    }
    let ahead = queries::ahead(&state.pool, ticket, wish.priority);
    if !queries::fits_deadline(&state.pool, ahead, now_ms, wish.deadline_ms) {
        leave(state, ticket);
        state.recent.note(true, now_ms);
        let drain_ms = (queries::wait_us(&state.pool, ahead) / 1_000.0) as u64;
        // Spread, so that those who were refused together do not come back together.
        let retry_after_ms = drain_ms / 2 + fastrand::u64(0..=drain_ms.max(1));
        return Step::Refused(Verdict::Overloaded, retry_after_ms);
    }
    wait(state, wish, ticket, ahead, now_ms)
}

fn wish(state: &PoolState, ask: &Ask<'_>, now_ms: u64) -> Wish {
    let neglect_ms = if ask.idempotent {
        NEGLECT_SAFE_MS
    } else {
        NEGLECT_MS
    };
    Wish {
        idempotent: ask.idempotent,
        deadline_ms: ask.deadline_ms,
        priority: ask.priority,
        data_centre: ask.data_centre.to_owned(),
        body_bytes: ask.body_bytes,
        ask: ask.number,
        // With other pools to ask, or a short wait for a better server, a suspect is not taken.
        spurns_suspects: !ask.may_queue
            || queries::good_ones_suffice(&state.pool, queries::queue_length(&state.pool)),
        neglected_before_ms: now_ms.saturating_sub(neglect_ms),
        exclude: excluded(state, ask.exclude),
    }
}

fn excluded(state: &PoolState, names: &[String]) -> Vec<ServerIndex> {
    names
        .iter()
        .filter_map(|name| state.pool.names.find(name))
        .collect()
}

fn note_grant(state: &mut PoolState, is_retry: bool, terms: RetryTerms, now_ms: u64) {
    if is_retry {
        commands::spend(
            &mut state.budget,
            terms.window_ms,
            terms.percent,
            terms.slack,
            now_ms,
        );
    } else {
        commands::note_request(&mut state.budget, terms.window_ms, now_ms);
    }
}

/// Who is near the front waits here; who is far behind asks again after half of its expected wait, so that a
/// long queue costs few messages.
fn wait(state: &mut PoolState, wish: Wish, ticket: Option<u64>, ahead: usize, now_ms: u64) -> Step {
    let half_ms = (queries::wait_us(&state.pool, ahead) / 2_000.0) as u64;
    let after_ms = half_ms.min(ASK_AFTER_MAX_MS);
    let is_near = after_ms < QUEUE_WAIT_MS;
    let next_ask_ms = now_ms + if is_near { QUEUE_WAIT_MS } else { after_ms };
    let present_until_ms = if is_near { next_ask_ms } else { now_ms };
    let known = ticket
        .filter(|ticket| commands::hear(&mut state.pool, *ticket, present_until_ms, next_ask_ms));
    let ticket = known.unwrap_or_else(|| {
        let ticket = commands::enqueue(&mut state.pool, wish, now_ms);
        commands::hear(&mut state.pool, ticket, present_until_ms, next_ask_ms);
        ticket
    });
    if !is_near {
        return Step::AskAgain(ticket, after_ms);
    }
    let notify = state.waiters.entry(ticket).or_default();
    Step::Wait(ticket, Arc::clone(notify))
}

fn leave(state: &mut PoolState, ticket: Option<u64>) {
    if let Some(ticket) = ticket {
        commands::leave_queue(&mut state.pool, ticket);
        state.waiters.remove(&ticket);
    }
}
