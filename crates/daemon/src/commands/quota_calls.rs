//! Quotas at the owners: charges requests at a pool's owner, passes time on to the quota owners, and responds as one.

use {
    crate::{
        commands::{
            peer_calls::{call, CallError},
            quota_charge::{clock_of, forget_peer_clock, record_peer_clock, take_time},
        },
        queries::{has_quotas, quota_owners, quota_terms, time_gatherer},
        Node,
    },
    log::info,
    quota::{
        commands::{self, ChargeOutcome, RefusalChange},
        queries::{account_counts, account_group, transit_ms, unpassed_ms},
        CreditAsk, CreditGrant, QuotaCall, QuotaTerms, TimePart, TimeShare, GROUP_COUNT,
    },
    serde_json::json,
    std::{sync::Arc, time::Duration},
    tokio::time::{sleep, timeout_at, Instant},
    wire::generated::{
        QuotaAsk, QuotaGrant, QuotaPart, QuotaTake, QuotaTakeResponse, QuotaTime, QuotaTimePass,
        QuotaTimeResponse,
    },
};

/// Timeout for a quota owner's response, in milliseconds, as for a pool's owner.
const CALL_TIMEOUT_MS: u64 = 150;
/// Longest time for which a permit request stays open while its charge waits for the quota owner, in milliseconds; less than
/// the time that its sender waits for a pool's owner.
const CHARGE_WAIT_MS: u64 = 100;
/// Interval at which gathered time is passed on, in milliseconds. Credit of the largest accounts is valid for a second.
const PASS_INTERVAL_MS: u64 = 100;
/// Time after which an instance without requests passes its part of the time on, in milliseconds.
const IDLE_PASS_MS: u64 = 300;
/// Interval at which an instance looks for accounts with a limit while there are none, in milliseconds.
const NO_QUOTAS_MS: u64 = 500;
/// Accounts whose counts are on the metrics page: those with the most refusals.
const METRIC_ACCOUNTS_MAX: usize = 10;
/// Ticks of [`PASS_INTERVAL_MS`] between updates of the metrics.
const METRIC_TICKS: u64 = 10;

/// Result of charging a request at a pool's owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Charging {
    /// The request is charged; the credit would be valid until this time, in milliseconds.
    Charged(u64),
    /// The account has no credit; the request may come again after this many milliseconds.
    Refused(u64),
    /// The quota owner has not responded yet.
    Pending,
}

/// Charges a request of `account`, waiting for the quota owner if there is no credit at hand.
pub(crate) async fn charge_request(
    node: &Arc<Node>,
    account: &str,
    terms: &QuotaTerms,
) -> Charging {
    let group = account_group(account);
    let deadline = Instant::now() + Duration::from_millis(CHARGE_WAIT_MS);
    let mut awaited_call = None;
    loop {
        let ended = node.quota_calls[group].notified();
        tokio::pin!(ended);
        // Registered before the state is read, so that no call ends unnoticed in between.
        ended.as_mut().enable();
        let now_ms = node.now_ms();
        let outcome = node.quota_caches.with(group as u64, |cache| {
            if let Some(call) = awaited_call {
                commands::charge(cache, account, terms, call, now_ms)
            } else {
                commands::begin_charge(cache, account, terms, now_ms)
            }
        });
        match outcome {
            ChargeOutcome::Charged(valid_ms) => return Charging::Charged(now_ms + valid_ms),
            ChargeOutcome::Refused(after_ms) => return Charging::Refused(after_ms),
            ChargeOutcome::Wait(call) => awaited_call = Some(call),
        }
        start_call(node, group);
        if timeout_at(deadline, ended).await.is_err() {
            return Charging::Pending;
        }
    }
}

/// Refunds a request that provably did not run.
pub(crate) fn refund(node: &Node, account: &str, until_ms: u64) {
    let now_ms = node.now_ms();
    let valid_ms = until_ms.saturating_sub(now_ms);
    let Some(terms) = quota_terms(node, account).filter(|_| valid_ms > 0) else {
        return;
    };
    node.quota_caches
        .with(account_group(account) as u64, |cache| {
            commands::refund(cache, account, &terms, valid_ms, now_ms);
        });
    count(node, "refunded");
}

/// Adds the time that an instance passed on, for all groups of accounts.
pub(crate) fn add_time(node: &Node, time: &QuotaTime) {
    let now_ms = node.now_ms();
    let share = TimeShare {
        span_ms: time.span_ms,
        instances: time.instances,
    };
    let Some(age_ms) = transit_ms(time.clock_ms, now_ms) else {
        return;
    };
    for group in 0..GROUP_COUNT {
        node.quota_caches.with(group as u64, |cache| {
            commands::add_share(&mut cache.time, share, age_ms, now_ms);
        });
    }
}

/// Keeps time as the quota owner of a group; `age_ms` is added to the ages of the parts.
fn keep_time(node: &Node, group: usize, parts: &[TimePart], age_ms: u64) {
    let now_ms = node.now_ms();
    node.quota_ledgers.with(group as u64, |ledger| {
        commands::add_time(ledger, parts, age_ms, now_ms);
    });
}

/// Grants credit as the quota owner of a group, and logs when an account's requests begin to be refused.
fn take_at_hand(node: &Node, group: usize, ask: &CreditAsk, terms: &QuotaTerms) -> CreditGrant {
    let now_ms = node.now_ms();
    let receipt = node.quota_ledgers.with(group as u64, |ledger| {
        commands::take_credit(ledger, ask, terms, now_ms)
    });
    if receipt.change == Some(RefusalChange::Begin) {
        let line = json!({
            "event": "begin",
            "account": ask.account,
            "rate_per_s": terms.rate_nano as f64 / 1e9,
            "demand_per_s": receipt.demand_per_s,
            "needed": ask.needed,
            "credit_milli": receipt.credit_milli,
            "time_age_ms": receipt.time_age_ms,
        });
        info!(target: "decision.quota", "{line}");
    }
    receipt.grant
}

/// Responds to a pool's owner as the quota owner of a group of accounts.
pub(crate) fn respond_to_take(node: &Node, request: &QuotaTake) -> QuotaTakeResponse {
    let now_ms = node.now_ms();
    let group = request.group as usize;
    let mut grants = Vec::new();
    if group < GROUP_COUNT {
        let age_ms = request
            .clock_ms
            .and_then(|clock_ms| transit_ms(clock_ms, now_ms));
        if let Some(age_ms) = age_ms {
            let parts: Vec<TimePart> = request.parts.iter().map(decode_part).collect();
            keep_time(node, group, &parts, age_ms);
        }
        grants.extend(request.asks.iter().map(|ask| {
            let ask = CreditAsk {
                account: ask.account.clone(),
                needed: ask.needed.into(),
                ahead: ask.ahead.into(),
                arrived: ask.arrived.into(),
            };
            encode_grant(grant(node, group, &ask))
        }));
    }
    QuotaTakeResponse {
        clock_ms: now_ms,
        grants,
    }
}

/// Responds to an instance that passes time on without a request.
pub(crate) fn respond_to_time(node: &Node, request: &QuotaTimePass) -> QuotaTimeResponse {
    if let Some(time) = &request.time {
        add_time(node, time);
    }
    QuotaTimeResponse {
        clock_ms: node.now_ms(),
    }
}

/// Passes time on a few times a second while accounts have limits; never returns.
pub(crate) async fn pass_time_on(node: Arc<Node>) {
    let mut ticks = 0_u64;
    loop {
        if !has_quotas(&node) {
            sleep(Duration::from_millis(NO_QUOTAS_MS)).await;
            continue;
        }
        sleep(Duration::from_millis(PASS_INTERVAL_MS)).await;
        let now_ms = node.now_ms();
        let unpassed_ms = node
            .quota_time
            .with(0, |ledger| unpassed_ms(ledger, now_ms));
        if unpassed_ms >= IDLE_PASS_MS {
            pass_idle_time(&node).await;
        }
        for group in 0..GROUP_COUNT {
            start_call(&node, group);
        }
        ticks += 1;
        if ticks.is_multiple_of(METRIC_TICKS) {
            end_refusals(&node);
            update_account_counts(&node);
        }
    }
}

/// Passes the time of an instance without requests on to the one that gathers it in this data centre.
async fn pass_idle_time(node: &Arc<Node>) {
    let view = node.view.load_full();
    let Some(gatherer) = time_gatherer(node, &view) else {
        return;
    };
    let time = take_time(node, &gatherer.name);
    if gatherer.name == node.settings.instance {
        if let Some(time) = time {
            add_time(node, &time);
        }
        return;
    }
    let request = QuotaTimePass {
        entry: node.settings.instance.clone(),
        time,
    };
    let response: Result<QuotaTimeResponse, _> =
        call(node, gatherer, "quota_time", &request, CALL_TIMEOUT_MS).await;
    // A failed call is logged where it is counted; the time that it carried is lost.
    match response {
        Ok(response) => record_peer_clock(node, &gatherer.name, response.clock_ms),
        Err(_) => forget_peer_clock(node, &gatherer.name),
    }
}

/// Starts a call of the group's quota owner, unless one is underway or there is nothing to ask and to pass on.
fn start_call(node: &Arc<Node>, group: usize) {
    let now_ms = node.now_ms();
    let begun = node
        .quota_caches
        .with(group as u64, |cache| commands::begin_call(cache, now_ms));
    if let Some(call) = begun {
        tokio::spawn(run_calls(Arc::clone(node), group, call));
    }
}

/// Performs a call, and further ones as long as requests wait for them.
async fn run_calls(node: Arc<Node>, group: usize, mut call: QuotaCall) {
    loop {
        let grants = perform_call(&node, group, &mut call).await;
        let now_ms = node.now_ms();
        let next = node.quota_caches.with(group as u64, |cache| {
            commands::add_grants(cache, &call, &grants, now_ms);
            if commands::is_call_due(cache) {
                commands::begin_call(cache, now_ms)
            } else {
                None
            }
        });
        node.quota_calls[group].notify_waiters();
        match next {
            Some(next) => call = next,
            None => return,
        }
    }
}

/// Asks the group's quota owner, then the next in order; if neither responds, this instance uses the time that it has, and the
/// requests that it can't pay for with that wait for the next call. Time that a call without a response carried is lost.
async fn perform_call(node: &Node, group: usize, call: &mut QuotaCall) -> Vec<CreditGrant> {
    let view = node.view.load_full();
    let taken_ms = call.begun_ms;
    let mut is_owner = true;
    for owner in quota_owners(node, &view, group) {
        is_owner = owner.name == node.settings.instance;
        if is_owner {
            break;
        }
        call.begun_ms = node.now_ms();
        let age_ms = call.begun_ms - taken_ms;
        let clock_ms = clock_of(node, &owner.name);
        let sent = match clock_ms {
            Some(_) => std::mem::take(&mut call.parts),
            None => Vec::new(),
        };
        let request = encode_take(group, call, &sent, age_ms, clock_ms);
        let response = self::call(node, owner, "quota_take", &request, CALL_TIMEOUT_MS).await;
        match response {
            Ok(response) => return end_call(node, group, owner, call, taken_ms, &response),
            Err(CallError::Unreachable) if clock_ms.is_some() => call.parts = sent,
            Err(_) => forget_peer_clock(node, &owner.name),
        }
    }
    call.begun_ms = node.now_ms();
    let parts = std::mem::take(&mut call.parts);
    keep_time(node, group, &parts, call.begun_ms - taken_ms);
    let grants = call.asks.iter().map(|ask| {
        let mut grant = grant(node, group, ask);
        if !is_owner {
            grant.retry_after_ms = 0;
        }
        grant
    });
    grants.collect()
}

/// Keeps what a quota owner's response says. Time that was not sent, because the owner's clock was not known, is gathered
/// again.
fn end_call(
    node: &Node,
    group: usize,
    owner: &member::Instance,
    call: &mut QuotaCall,
    taken_ms: u64,
    response: &QuotaTakeResponse,
) -> Vec<CreditGrant> {
    record_peer_clock(node, &owner.name, response.clock_ms);
    let unsent = std::mem::take(&mut call.parts);
    let now_ms = node.now_ms();
    node.quota_caches.with(group as u64, |cache| {
        commands::add_parts(&mut cache.time, &unsent, now_ms - taken_ms, now_ms);
    });
    response.grants.iter().map(decode_grant).collect()
}

/// Grants credit as a quota owner. Without a limit in this instance's configuration, all that is needed is granted.
fn grant(node: &Node, group: usize, ask: &CreditAsk) -> CreditGrant {
    match quota_terms(node, &ask.account) {
        Some(terms) => take_at_hand(node, group, ask, &terms),
        None if node.active_config.load().is_none() => CreditGrant::default(),
        None => CreditGrant {
            granted: ask.needed,
            retry_after_ms: 0,
        },
    }
}

/// Logs the accounts whose requests are no longer refused, and drops those without requests.
fn end_refusals(node: &Node) {
    let now_ms = node.now_ms();
    for group in 0..GROUP_COUNT {
        let ended = node.quota_ledgers.with(group as u64, |ledger| {
            commands::end_refusals(ledger, now_ms)
        });
        for (account, demand_per_s) in ended {
            let line = json!({ "event": "end", "account": account, "demand_per_s": demand_per_s });
            info!(target: "decision.quota", "{line}");
        }
        node.quota_caches.with(group as u64, |cache| {
            commands::evict_idle_accounts(cache, now_ms);
        });
    }
}

/// Sets the gauges of the accounts with the most refusals.
fn update_account_counts(node: &Node) {
    let mut counts: Vec<(u64, u64, String)> = Vec::new();
    for group in 0..GROUP_COUNT {
        node.quota_caches.with(group as u64, |cache| {
            counts.extend(
                account_counts(cache)
                    .map(|(name, granted, refused)| (refused, granted, name.to_owned())),
            );
        });
    }
    counts.sort_unstable_by(|left, right| right.cmp(left));
    let gauge = &node.metrics.quota_accounts;
    gauge.reset();
    for (refused, granted, account) in counts.iter().take(METRIC_ACCOUNTS_MAX) {
        let values = [("granted", *granted), ("refused", *refused)];
        for (verdict, value) in values {
            gauge
                .with_label_values(&[account.as_str(), verdict])
                .set(value as i64);
        }
    }
}

/// Counts a request by what the quota decided about it.
pub(crate) fn count(node: &Node, verdict: &str) {
    node.metrics
        .quota_requests
        .with_label_values(&[verdict])
        .inc();
}

fn encode_take(
    group: usize,
    call: &QuotaCall,
    parts: &[TimePart],
    age_ms: u64,
    clock_ms: Option<u64>,
) -> QuotaTake {
    QuotaTake {
        asks: call.asks.iter().map(encode_ask).collect(),
        clock_ms,
        group: group as u32,
        parts: parts
            .iter()
            .map(|part| QuotaPart {
                age_ms: part.age_ms + age_ms,
                time_ns: part.time_ns,
            })
            .collect(),
    }
}

fn encode_ask(ask: &CreditAsk) -> QuotaAsk {
    QuotaAsk {
        account: ask.account.clone(),
        ahead: saturating_u32(ask.ahead),
        arrived: saturating_u32(ask.arrived),
        needed: saturating_u32(ask.needed),
    }
}

fn encode_grant(grant: CreditGrant) -> QuotaGrant {
    QuotaGrant {
        granted: saturating_u32(grant.granted),
        retry_after_ms: grant.retry_after_ms,
    }
}

fn decode_grant(grant: &QuotaGrant) -> CreditGrant {
    CreditGrant {
        granted: grant.granted.into(),
        retry_after_ms: grant.retry_after_ms,
    }
}

fn decode_part(part: &QuotaPart) -> TimePart {
    TimePart {
        age_ms: part.age_ms,
        time_ns: part.time_ns,
    }
}

fn saturating_u32(value: u64) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}
