//! Turns time into credit at the quota owner.

use crate::{
    commands::record_demand,
    queries,
    quota_ledger::{AccountCredit, Arrival},
    terms::{REQUEST_NANO, VALID_MAX_MS},
    CreditAsk, CreditGrant, DemandRate, QuotaLedger, QuotaTerms, TimePart,
};

/// Time without a refusal after which an account's requests count as no longer refused, in milliseconds.
const REFUSAL_END_MS: u64 = 2_000;

/// Whether an account's requests begin or end to be refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalChange {
    /// They begin to be refused.
    Begin,
    /// None was refused for some seconds.
    End,
}

/// What the quota owner did for one account, and what decided it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TakeReceipt {
    /// The credit granted.
    pub grant: CreditGrant,
    /// Set if the account's requests begin to be refused.
    pub change: Option<RefusalChange>,
    /// Requests a second, refused ones included.
    pub demand_per_s: f64,
    /// Credit before the request, in thousandths of a request.
    pub credit_milli: u64,
    /// Age of the newest time that was passed on, in milliseconds; none if there is none.
    pub time_age_ms: Option<u64>,
}

/// Adds time that was passed on; `age_ms` is an upper bound of the time that the message was underway.
pub fn add_time(ledger: &mut QuotaLedger, parts: &[TimePart], age_ms: u64, now_ms: u64) {
    evict_expired(ledger, now_ms);
    for part in parts {
        let age_ms = part.age_ms.saturating_add(age_ms);
        if age_ms < VALID_MAX_MS {
            ledger.arrivals.push_back(Arrival {
                arrived_ms: now_ms,
                born_ms: now_ms as i64 - age_ms as i64,
                time_ns: part.time_ns,
            });
        }
    }
}

/// Grants credit of an account, as much as there is; only whole requests.
pub fn take_credit(
    ledger: &mut QuotaLedger,
    ask: &CreditAsk,
    terms: &QuotaTerms,
    now_ms: u64,
) -> TakeReceipt {
    evict_expired(ledger, now_ms);
    refresh_account(ledger, &ask.account, terms, now_ms);
    let time_age_ms = queries::time_age_ms(ledger, now_ms);
    let Some(account) = ledger.accounts.get_mut(&ask.account) else {
        return TakeReceipt::default();
    };
    account.last_request_ms = now_ms;
    record_demand(&mut account.demand, ask.arrived, now_ms);
    let credit_nano: u64 = account.credit_nano.values().sum();
    let granted = (credit_nano / REQUEST_NANO).min(ask.needed.saturating_add(ask.ahead));
    spend(account, granted * REQUEST_NANO);
    let demand_per_s = queries::demand_per_s(&account.demand, now_ms);
    let is_refused = granted < ask.needed;
    let is_first_refusal = is_refused && account.refused_ms.is_none();
    if is_refused {
        account.refused_ms = Some(now_ms);
    }
    TakeReceipt {
        grant: CreditGrant {
            granted,
            retry_after_ms: if is_refused {
                queries::refill_ms(terms, demand_per_s).max(1)
            } else {
                0
            },
        },
        change: is_first_refusal.then_some(RefusalChange::Begin),
        demand_per_s,
        credit_milli: credit_nano / (REQUEST_NANO / 1_000),
        time_age_ms,
    }
}

/// Returns the accounts whose requests are no longer refused, with the requests a second that came, and drops
/// those without recent requests.
pub fn end_refusals(ledger: &mut QuotaLedger, now_ms: u64) -> Vec<(String, f64)> {
    evict_expired(ledger, now_ms);
    let mut ended = Vec::new();
    for (name, account) in &mut ledger.accounts {
        let is_ended = |refused_ms: &u64| now_ms.saturating_sub(*refused_ms) >= REFUSAL_END_MS;
        if account.refused_ms.as_ref().is_some_and(is_ended) {
            account.refused_ms = None;
            ended.push((name.clone(), queries::demand_per_s(&account.demand, now_ms)));
        }
    }
    ledger
        .accounts
        .retain(|_, account| now_ms.saturating_sub(account.last_request_ms) <= VALID_MAX_MS);
    ended
}

/// Drops time that has arrived so long ago that an account without an entry can't have been granted credit of it. Accounts
/// are dropped later than that, so a new entry never gets the same credit again.
fn evict_expired(ledger: &mut QuotaLedger, now_ms: u64) {
    let is_expired = |arrival: &Arrival| arrival.arrived_ms + VALID_MAX_MS <= now_ms;
    while ledger.arrivals.front().is_some_and(is_expired) {
        ledger.arrivals.pop_front();
        ledger.first_arrival += 1;
    }
}

/// Adds the credit of the time that has arrived since the account's last request, and drops what has expired. Credit from
/// before a limit was lowered is dropped.
fn refresh_account(ledger: &mut QuotaLedger, name: &str, terms: &QuotaTerms, now_ms: u64) {
    let first = ledger.first_arrival;
    if !ledger.accounts.contains_key(name) {
        let account = AccountCredit {
            terms: *terms,
            credit_nano: Default::default(),
            next_arrival: first,
            demand: DemandRate::default(),
            last_request_ms: now_ms,
            refused_ms: None,
        };
        ledger.accounts.insert(name.to_owned(), account);
    }
    let Some(account) = ledger.accounts.get_mut(name) else {
        return;
    };
    if account.terms != *terms {
        if terms.rate_nano < account.terms.rate_nano {
            account.credit_nano.clear();
        }
        account.terms = *terms;
    }
    // What is granted must be valid for as long as the pool's owner may hold it.
    let oldest_ms = now_ms as i64 - (terms.valid_ms - terms.hold_ms) as i64;
    let skipped = account.next_arrival.saturating_sub(first) as usize;
    for arrival in ledger.arrivals.iter().skip(skipped) {
        if arrival.born_ms > oldest_ms {
            let credit_nano = u128::from(terms.rate_nano) * u128::from(arrival.time_ns)
                / u128::from(REQUEST_NANO);
            *account.credit_nano.entry(arrival.born_ms).or_default() += credit_nano as u64;
        }
    }
    account.next_arrival = first + ledger.arrivals.len() as u64;
    account.credit_nano = account.credit_nano.split_off(&(oldest_ms + 1));
}

/// Spends credit, the oldest first.
fn spend(account: &mut AccountCredit, mut owed_nano: u64) {
    while owed_nano > 0 {
        let Some(mut oldest) = account.credit_nano.first_entry() else {
            return;
        };
        if *oldest.get() > owed_nano {
            *oldest.get_mut() -= owed_nano;
            return;
        }
        owed_nano -= oldest.remove();
    }
}
