//! Answers permit asks as a pool's owner.

use {
    crate::{
        commands::{fold_ejections::follow_service, hand_over, pool_list::open_pool},
        owner::{PoolId, PoolState},
        Node,
    },
    config::queries::find_service,
    member::queries::pool_areas,
    outlier::queries::hedge_limit_us,
    permit::{commands, queries, Refusal, Spread, Wish},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{sync::Notify, time::timeout_at},
    types::{PermitId, ServerIndex},
    wire::generated::{PermitAnswer, PermitAsk, PermitVerdict},
};

/// Time for which an ask waits at the owner before it is told to ask again, in milliseconds.
const QUEUE_WAIT_MS: u64 = 40;
/// Longest time after which a waiter far behind is told to ask again, in milliseconds.
const ASK_AFTER_MAX_MS: u64 = 400;
/// Time past its deadline after which a permit is taken back, in milliseconds; covers a late return.
const PERMIT_MARGIN_MS: u64 = 500;
/// Part of the fleet's slack of retries that owners give, in percent.
const SLACK_GIVEN_PERCENT: u32 = 70;
/// Part of a service's share of retries that owners give, in percent.
const SHARE_GIVEN_PERCENT: u32 = 90;
/// Time without work after which a good server is given some by a request that may be repeated, in milliseconds.
const NEGLECT_SAFE_MS: u64 = 800;
/// The same for any request, in milliseconds: a new server is to have work within four seconds.
const NEGLECT_MS: u64 = 2_000;

/// How an ask goes on.
enum Step {
    Granted(PermitAnswer),
    Refused(PermitVerdict, u64),
    Wait(u64, Arc<Notify>),
    AskAgain(u64, u64),
}

/// Answers `ask`, waiting for a slot for a short time if it may queue.
pub(crate) async fn take(node: &Arc<Node>, ask: &PermitAsk) -> PermitAnswer {
    let asked = Instant::now();
    let id = node.owner.id(&ask.service, &ask.area);
    let until = tokio::time::Instant::from_std(asked) + Duration::from_millis(QUEUE_WAIT_MS);
    let deadline_ms = node.now_ms() + ask.remaining_ms;
    if node.owner.with(id, |pools| !pools.contains_key(&id)) {
        open_here(node, id, ask).await;
    }
    let mut ticket = ask.ticket;
    loop {
        let step = step(node, id, ask, ticket, deadline_ms);
        let (waiting, notify) = match step {
            Step::Granted(answer) => {
                node.metrics
                    .queue_wait
                    .observe(asked.elapsed().as_secs_f64());
                return counted(node, answer);
            }
            Step::Refused(verdict, retry_after_ms) => {
                let refused = PermitAnswer {
                    retry_after_ms,
                    ..refusal(verdict, 0, 0)
                };
                return counted(node, refused);
            }
            Step::AskAgain(ticket, after_ms) => {
                return counted(node, refusal(PermitVerdict::Queued, ticket, after_ms))
            }
            Step::Wait(waiting, notify) => (waiting, notify),
        };
        ticket = Some(waiting);
        if timeout_at(until, notify.notified()).await.is_err() {
            return counted(node, refusal(PermitVerdict::Queued, waiting, 0));
        }
    }
}

fn step(
    node: &Arc<Node>,
    id: PoolId,
    ask: &PermitAsk,
    ticket: Option<u64>,
    deadline_ms: u64,
) -> Step {
    let now_ms = node.now_ms();
    let terms = terms(node, ask);
    node.owner.with(id, |pools| {
        let state = open_pool(node, pools, id, &ask.service, &ask.area, now_ms);
        state.asked_ms = now_ms;
        let wish = wish(state, ask, deadline_ms, now_ms);
        try_take(state, wish, ticket, ask, terms, now_ms)
    })
}

/// Opens a pool that is new here, with what others know of it.
async fn open_here(node: &Arc<Node>, id: PoolId, ask: &PermitAsk) {
    let now_ms = node.now_ms();
    node.owner.with(id, |pools| {
        open_pool(node, pools, id, &ask.service, &ask.area, now_ms);
    });
    node.pool_opened.notify_one();
    if node.settings.uses_store {
        hand_over::ask_others(node, &ask.service, &ask.area).await;
    } else {
        follow_service(node, &ask.service);
    }
}

/// The retries that a pool may grant.
#[derive(Clone, Copy, Debug)]
struct RetryTerms {
    window_ms: u64,
    percent: u32,
    slack: u32,
}

/// A service's share is that of its document; the fleet's slack is divided among the service's pools. Of both only
/// a part is given, since an owner's successor knows nothing of what it granted within the window.
fn terms(node: &Node, ask: &PermitAsk) -> RetryTerms {
    let pools = pool_areas(&node.view.load(), &ask.service, &[]).len() as u32;
    let slack = node.settings.retry_slack * SLACK_GIVEN_PERCENT / 100;
    let current = node.current.load();
    let service = current.as_deref().and_then(|in_force| {
        let document = &in_force.accepted.document;
        find_service(document, &in_force.lookup, &ask.service)
    });
    let percent = service.map_or(0, |service| service.retry_percent);
    RetryTerms {
        window_ms: node.settings.retry_window_ms,
        percent: percent * SHARE_GIVEN_PERCENT / 100,
        slack: slack / pools.max(1),
    }
}

fn wish(state: &PoolState, ask: &PermitAsk, deadline_ms: u64, now_ms: u64) -> Wish {
    let neglect_ms = if ask.idempotent {
        NEGLECT_SAFE_MS
    } else {
        NEGLECT_MS
    };
    Wish {
        idempotent: ask.idempotent,
        deadline_ms,
        target_ms: now_ms + ask.target_ms,
        priority: ask.priority,
        data_centre: ask.data_centre.clone(),
        body_bytes: ask.body_bytes,
        ask: ask.ask,
        // With other pools to ask, or a short wait for a better server, a suspect is not taken.
        spurns_suspects: !ask.may_queue
            || queries::good_ones_suffice(&state.pool, queries::queue_length(&state.pool)),
        neglected_before_ms: now_ms.saturating_sub(neglect_ms),
        exclude: excluded(state, &ask.exclude),
    }
}

fn excluded(state: &PoolState, names: &[String]) -> Vec<ServerIndex> {
    names
        .iter()
        .filter_map(|name| state.pool.names.find(name))
        .collect()
}

/// The first waiter that is here is served first; a newcomer only if none is, or if it is more urgent.
fn try_take(
    state: &mut PoolState,
    wish: Wish,
    ticket: Option<u64>,
    ask: &PermitAsk,
    terms: RetryTerms,
    now_ms: u64,
) -> Step {
    let is_retry = ask.sent > 0;
    if is_retry && !queries::may_retry(&state.budget, terms.percent, terms.slack) {
        // Looked at again with the counts of now.
        let RetryTerms { window_ms, .. } = terms;
        commands::forget_old(&mut state.budget, window_ms, now_ms);
        if !queries::may_retry(&state.budget, terms.percent, terms.slack) {
            leave(state, ticket);
            return Step::Refused(PermitVerdict::NoBudget, 0);
        }
    }
    let ahead = queries::present_ahead(&state.pool, ticket, wish.priority, now_ms);
    if ahead == 0 {
        match queries::pick(&state.pool, &state.recent, &wish, &Spread::new(), now_ms) {
            Ok(choice) => {
                leave(state, ticket);
                note_grant(state, is_retry, terms, now_ms);
                let expires_ms = wish.deadline_ms + PERMIT_MARGIN_MS;
                let id = commands::take(&mut state.pool, choice, wish.ask, now_ms, expires_ms);
                state.wake_first(now_ms);
                return Step::Granted(grant(state, id, choice.server));
            }
            Err(Refusal::NoServer) => {
                leave(state, ticket);
                state.wake_first(now_ms);
                return Step::Refused(PermitVerdict::NoServer, 0);
            }
            Err(Refusal::Busy) => {}
        }
    }
    if !ask.may_queue {
        return Step::Refused(PermitVerdict::Busy, 0);
    }
    let ahead = queries::ahead(&state.pool, ticket, wish.priority);
    if !queries::fits_deadline(&state.pool, ahead, now_ms, wish.deadline_ms) {
        leave(state, ticket);
        state.recent.note(true, now_ms);
        let drain_ms = (queries::wait_us(&state.pool, ahead) / 1_000.0) as u64;
        // Spread, so that those who were refused together do not come back together.
        let retry_after_ms = drain_ms / 2 + fastrand::u64(0..=drain_ms.max(1));
        return Step::Refused(PermitVerdict::Overloaded, retry_after_ms);
    }
    wait(state, wish, ticket, ahead, now_ms)
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

fn grant(state: &PoolState, id: PermitId, server: ServerIndex) -> PermitAnswer {
    let address = state
        .pool
        .servers
        .get(server)
        .map(|server| server.address.to_string());
    PermitAnswer {
        verdict: PermitVerdict::Granted,
        permit: id.number(),
        ticket: 0,
        ask_after_ms: 0,
        server: state.pool.names.name(server).to_owned(),
        address: address.unwrap_or_default(),
        hedge_after_ms: hedge_limit_us(&state.health)
            .map_or(0, |limit_us| (limit_us / 1_000.0) as u64),
        retry_after_ms: 0,
    }
}

fn refusal(verdict: PermitVerdict, ticket: u64, ask_after_ms: u64) -> PermitAnswer {
    PermitAnswer {
        verdict,
        permit: 0,
        ticket,
        ask_after_ms,
        server: String::new(),
        address: String::new(),
        hedge_after_ms: 0,
        retry_after_ms: 0,
    }
}

fn counted(node: &Node, answer: PermitAnswer) -> PermitAnswer {
    let verdict = answer.verdict.to_string();
    node.metrics
        .permits
        .with_label_values(&[verdict.as_str()])
        .inc();
    answer
}
