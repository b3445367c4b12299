//! Charges requests at the owner of a pool, and asks the quota owner for credit.

use crate::{
    commands::{record_demand, take_parts},
    credit_cache::{CachedCredit, CachedRequests},
    queries, CreditAsk, CreditCache, CreditGrant, DemandRate, QuotaCall, QuotaTerms,
};

/// Time for whose expected requests credit is asked ahead, in milliseconds; a call and its pause take less.
const AHEAD_MS: f64 = 150.0;
/// Time for which requests are refused without a call after the quota owner had no credit, in milliseconds. It bounds the calls
/// that an account far above its quota causes.
const REFUSED_MS: u64 = 50;
/// Time without a request after which an account is dropped, in milliseconds.
const IDLE_MS: u64 = 5_000;

/// Result of a try to charge a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChargeOutcome {
    /// The request is charged; the credit would be valid for this many milliseconds if it were refunded.
    Charged(u64),
    /// The account has no credit; the request may come again after this many milliseconds.
    Refused(u64),
    /// The request waits for the end of the call with this number.
    Wait(u64),
}

/// Charges a request that comes for the first time.
pub fn begin_charge(
    cache: &mut CreditCache,
    name: &str,
    terms: &QuotaTerms,
    now_ms: u64,
) -> ChargeOutcome {
    if !cache.accounts.contains_key(name) {
        cache
            .accounts
            .insert(name.to_owned(), new_account(terms, now_ms));
    }
    let call = cache.calls_begun + 1;
    let Some(account) = cache.accounts.get_mut(name) else {
        return ChargeOutcome::Refused(0);
    };
    record_demand(&mut account.demand, 1, now_ms);
    account.arrived += 1;
    account.last_request_ms = now_ms;
    apply_terms(account, terms);
    match spend(account, now_ms) {
        Some(valid_ms) => ChargeOutcome::Charged(valid_ms),
        None if now_ms < account.refused_until_ms => refuse(account),
        None => wait(account, call),
    }
}

/// Charges a request that waited for the call with number `call`.
pub fn charge(
    cache: &mut CreditCache,
    name: &str,
    terms: &QuotaTerms,
    call: u64,
    now_ms: u64,
) -> ChargeOutcome {
    let next_call = cache.calls_begun + 1;
    let is_ended = cache.calls_ended >= call;
    let Some(account) = cache.accounts.get_mut(name) else {
        return begin_charge(cache, name, terms, now_ms);
    };
    apply_terms(account, terms);
    match spend(account, now_ms) {
        Some(valid_ms) => ChargeOutcome::Charged(valid_ms),
        None if !is_ended => ChargeOutcome::Wait(call),
        None if now_ms < account.refused_until_ms => refuse(account),
        // A request that came later was charged with the credit that this one had asked for.
        None => wait(account, next_call),
    }
}

/// Returns the credit of a request that provably did not run. It is valid for no longer than before it was spent.
pub fn refund(cache: &mut CreditCache, name: &str, terms: &QuotaTerms, valid_ms: u64, now_ms: u64) {
    if valid_ms == 0 {
        return;
    }
    if !cache.accounts.contains_key(name) {
        cache
            .accounts
            .insert(name.to_owned(), new_account(terms, now_ms));
    }
    if let Some(account) = cache.accounts.get_mut(name) {
        let expires_ms = now_ms + valid_ms.min(terms.hold_ms);
        add_requests(account, expires_ms, 1);
    }
}

/// Returns whether a call of the quota owner is due: requests wait for it.
pub fn is_call_due(cache: &CreditCache) -> bool {
    cache.calls_begun == cache.calls_ended
        && cache.accounts.values().any(|account| account.waiting > 0)
}

/// Begins a call of the quota owner, unless one is underway; `None` if there is neither time to pass on nor credit to ask
/// for.
pub fn begin_call(cache: &mut CreditCache, now_ms: u64) -> Option<QuotaCall> {
    if cache.calls_begun > cache.calls_ended {
        return None;
    }
    let mut asks = Vec::new();
    for (name, account) in &mut cache.accounts {
        evict_expired(account, now_ms);
        let needed = std::mem::take(&mut account.waiting);
        let expected = queries::demand_per_s(&account.demand, now_ms) * AHEAD_MS / 1_000.0;
        // Credit that is fetched ahead for less than a request would be missed by other pools.
        let ahead = if now_ms < account.refused_until_ms {
            0
        } else {
            (expected as u64).saturating_sub(held_requests(account))
        };
        if needed + ahead > 0 {
            asks.push(CreditAsk {
                account: name.clone(),
                needed,
                ahead,
                arrived: std::mem::take(&mut account.arrived),
            });
        }
    }
    let parts = take_parts(&mut cache.time, now_ms);
    if asks.is_empty() && parts.is_empty() {
        return None;
    }
    cache.calls_begun += 1;
    Some(QuotaCall {
        parts,
        asks,
        begun_ms: now_ms,
    })
}

/// Ends a call: adds the credit that the quota owner granted, in the order of the call's requests. Requests that it neither
/// granted nor refused wait for the next call.
pub fn add_grants(cache: &mut CreditCache, call: &QuotaCall, grants: &[CreditGrant], now_ms: u64) {
    cache.calls_ended = cache.calls_begun;
    let unanswered = std::iter::repeat(&CreditGrant {
        granted: 0,
        retry_after_ms: 0,
    });
    for (ask, grant) in call.asks.iter().zip(grants.iter().chain(unanswered)) {
        let Some(account) = cache.accounts.get_mut(&ask.account) else {
            continue;
        };
        let expires_ms = call.begun_ms + account.terms.hold_ms;
        add_requests(account, expires_ms, grant.granted);
        if grant.granted < ask.needed && grant.retry_after_ms > 0 {
            account.refused_until_ms = now_ms + REFUSED_MS;
            account.retry_after_ms = grant.retry_after_ms;
        }
    }
}

/// Drops accounts without recent requests.
pub fn evict_idle_accounts(cache: &mut CreditCache, now_ms: u64) {
    cache
        .accounts
        .retain(|_, account| now_ms.saturating_sub(account.last_request_ms) < IDLE_MS);
}

fn new_account(terms: &QuotaTerms, now_ms: u64) -> CachedCredit {
    CachedCredit {
        terms: *terms,
        requests: Default::default(),
        waiting: 0,
        arrived: 0,
        refused_until_ms: 0,
        retry_after_ms: 0,
        demand: DemandRate::default(),
        last_request_ms: now_ms,
        granted: 0,
        refused: 0,
    }
}

/// Drops credit that was granted before the limit was lowered.
fn apply_terms(account: &mut CachedCredit, terms: &QuotaTerms) {
    if account.terms != *terms {
        if terms.rate_nano < account.terms.rate_nano {
            account.requests.clear();
        }
        account.terms = *terms;
    }
}

fn wait(account: &mut CachedCredit, call: u64) -> ChargeOutcome {
    account.waiting += 1;
    ChargeOutcome::Wait(call)
}

fn refuse(account: &mut CachedCredit) -> ChargeOutcome {
    account.refused += 1;
    ChargeOutcome::Refused(account.retry_after_ms)
}

fn add_requests(account: &mut CachedCredit, expires_ms: u64, count: u64) {
    if count > 0 {
        let at = account
            .requests
            .partition_point(|held| held.expires_ms <= expires_ms);
        account
            .requests
            .insert(at, CachedRequests { expires_ms, count });
    }
}

/// Spends the credit of one request, the oldest first; returns for how much longer it would have been valid, in
/// milliseconds.
fn spend(account: &mut CachedCredit, now_ms: u64) -> Option<u64> {
    evict_expired(account, now_ms);
    let oldest = account.requests.front_mut()?;
    let valid_ms = oldest.expires_ms - now_ms;
    oldest.count -= 1;
    if oldest.count == 0 {
        account.requests.pop_front();
    }
    account.granted += 1;
    Some(valid_ms)
}

fn evict_expired(account: &mut CachedCredit, now_ms: u64) {
    let is_expired = |held: &CachedRequests| held.expires_ms <= now_ms;
    while account.requests.front().is_some_and(is_expired) {
        account.requests.pop_front();
    }
}

fn held_requests(account: &CachedCredit) -> u64 {
    account.requests.iter().map(|held| held.count).sum()
}
