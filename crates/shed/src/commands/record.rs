//! Records arrivals, attempts, responses and refusals.

use {
    crate::{
        admission::{
            AccountState, KindState, ServedCounts, RECENT_DECAY_MS, SERVED_DECAY_MS, USUAL_DECAY_MS,
        },
        pace::Phase,
        queries::{counts_as_usual, tokens},
        Admission, Arrival, Kind, QueueClass, RefusalKind, ACCOUNTS_MAX, KINDS_MAX,
    },
    types::AccountKey,
};

/// Weight of a new sample in the moving average of the work of a kind, as in that of the pool's mean.
const WORK_WEIGHT: f64 = 0.05;

/// Records the first arrival of a request, which is queued with `class`.
pub fn record_arrival(admission: &mut Admission, arrival: Arrival, class: QueueClass, now_ms: u64) {
    kind_state(admission, arrival.kind, now_ms);
    let Some(account) = arrival.account else {
        return;
    };
    let state = account_state(admission, account, now_ms);
    state.arrivals.add(1.0, RECENT_DECAY_MS, now_ms);
    admission.first_arrival_ms.get_or_insert(now_ms);
    if class != QueueClass::AboveShare {
        record_within_share(admission, arrival, now_ms);
    }
}

/// Records that a request is within the share of its account, at its arrival or after a wait.
pub fn record_within_share(admission: &mut Admission, arrival: Arrival, now_ms: u64) {
    let Some(account) = arrival.account else {
        return;
    };
    let is_usual = counts_as_usual(admission, account, now_ms);
    let state = account_state(admission, account, now_ms);
    state.within.add(1.0, RECENT_DECAY_MS, now_ms);
    if is_usual {
        state.usual.add(1.0, USUAL_DECAY_MS, now_ms);
        admission.account_usual.add(1.0, USUAL_DECAY_MS, now_ms);
    }
}

/// Records that a request was granted a slot or evicted from the queue.
pub fn record_drained(admission: &mut Admission, now_ms: u64) {
    admission.drained.add(1.0, RECENT_DECAY_MS, now_ms);
}

/// Records that a request was sent to a server; `is_retry` if not for the first time.
pub fn record_sent(admission: &mut Admission, arrival: Arrival, is_retry: bool, now_ms: u64) {
    let pace = &mut admission.pace;
    pace.sent += 1;
    if !is_retry {
        pace.first_tries += 1;
        if pace.phase != Phase::Free {
            pace.tokens = tokens(pace, now_ms) - 1.0;
            pace.refilled_ms = now_ms;
        }
    }
    admission.sent.add(1.0, RECENT_DECAY_MS, now_ms);
    for_counts(admission, arrival, now_ms, |counts| counts.in_flight += 1);
}

/// Records that a request which was sent to a server is no longer there.
pub fn record_ended(admission: &mut Admission, arrival: Arrival, now_ms: u64) {
    for_counts(admission, arrival, now_ms, |counts| {
        counts.in_flight = counts.in_flight.saturating_sub(1);
    });
}

/// Records that a server rejected a request without running it.
pub fn record_rejection(admission: &mut Admission, now_ms: u64) {
    admission.pace.rejected += 1;
    admission.rejected.add(1.0, RECENT_DECAY_MS, now_ms);
}

/// Records a complete response after `response_us` microseconds. `mean_us` is the mean of the pool before that response, from
/// which the average of a kind starts.
pub fn record_served(
    admission: &mut Admission,
    arrival: Arrival,
    response_us: u64,
    mean_us: f64,
    now_ms: u64,
) {
    for_counts(admission, arrival, now_ms, |counts| {
        counts.served.add(1.0, SERVED_DECAY_MS, now_ms);
    });
    let state = kind_state(admission, arrival.kind, now_ms);
    let sample_us = response_us as f64;
    if state.samples == 0 {
        state.work_us = if mean_us > 0.0 { mean_us } else { sample_us };
    }
    state.work_us += WORK_WEIGHT * (sample_us - state.work_us);
    state.samples = state.samples.saturating_add(1);
}

/// Records that a request was refused.
pub fn record_refusal(
    admission: &mut Admission,
    arrival: Arrival,
    reason: RefusalKind,
    now_ms: u64,
) {
    for_counts(admission, arrival, now_ms, |counts| {
        counts.lost.add(1.0, SERVED_DECAY_MS, now_ms);
    });
    let report = &mut admission.report;
    for counts in [&mut report.refused, &mut report.episode] {
        match reason {
            RefusalKind::Deadline => counts.deadline += 1,
            RefusalKind::Evicted => counts.evicted += 1,
            RefusalKind::NoRetryCredit => counts.no_retry_credit += 1,
            RefusalKind::FairShare => counts.fair_share += 1,
        }
    }
    report.last_refused_ms = now_ms;
}

/// Records that a retry of this kind was asked for.
pub fn record_retry(admission: &mut Admission, kind: Kind, now_ms: u64) {
    let state = kind_state(admission, kind, now_ms);
    state.retries.add(1.0, RECENT_DECAY_MS, now_ms);
}

/// Applies `change` to the counts of all requests, of the kind and of the account.
fn for_counts<Change>(admission: &mut Admission, arrival: Arrival, now_ms: u64, change: Change)
where
    Change: Fn(&mut ServedCounts),
{
    change(&mut admission.served);
    change(&mut kind_state(admission, arrival.kind, now_ms).served);
    if let Some(account) = arrival.account {
        change(&mut account_state(admission, account, now_ms).served);
    }
}

/// Returns the state of a kind. If there are too many, it replaces the one whose last arrival is longest ago.
fn kind_state(admission: &mut Admission, kind: Kind, now_ms: u64) -> &mut KindState {
    let kinds = &mut admission.kinds;
    let index = match kinds.iter().position(|state| state.kind == kind) {
        Some(index) => index,
        None => {
            if kinds.len() == KINDS_MAX {
                let oldest = (0..kinds.len()).min_by_key(|&index| kinds[index].last_arrival_ms);
                kinds.remove(oldest.unwrap_or_default());
            }
            let index = kinds.partition_point(|state| state.kind.priority <= kind.priority);
            let state = KindState {
                kind,
                work_us: 0.0,
                samples: 0,
                served: ServedCounts::default(),
                retries: Default::default(),
                last_arrival_ms: now_ms,
            };
            kinds.insert(index, state);
            index
        }
    };
    kinds[index].last_arrival_ms = now_ms;
    &mut kinds[index]
}

/// Returns the state of an account. If there are too many, it replaces the one with the fewest recent arrivals.
fn account_state(admission: &mut Admission, account: AccountKey, now_ms: u64) -> &mut AccountState {
    let accounts = &mut admission.accounts;
    if accounts.len() >= ACCOUNTS_MAX && !accounts.contains_key(&account) {
        let arrivals = |state: &AccountState| state.arrivals.value(RECENT_DECAY_MS, now_ms);
        let smallest = accounts
            .iter()
            .min_by(|(_, one), (_, other)| arrivals(one).total_cmp(&arrivals(other)))
            .map(|(key, _)| *key);
        if let Some(key) = smallest {
            accounts.remove(&key);
        }
    }
    accounts.entry(account).or_default()
}
