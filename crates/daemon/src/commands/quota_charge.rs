//! Charges requests to the quota of their client account: what an instance does for the requests that it received.
//!
//! A request is charged once, by the owner of the first pool that it asks for a slot. What was charged travels with the
//! request: an owner that refuses it for good refunds it, and an instance that gets no response charges it again.

use {
    crate::{
        commands::quota_calls::{self, Charging},
        queries::{known_instances, quota_terms},
        Node,
    },
    entry::{AcquireRequest, Refusal},
    quota::{
        commands::{forget_clock, record_clock, take_share},
        queries::peer_clock_ms,
        KnownFleet, PeerClock, TimeShare,
    },
    std::sync::Arc,
    types::ResultCode,
    wire::generated::{PermitCharge, PermitQuota, QuotaTime},
};

/// Longest time for which a request waits for credit in all, in milliseconds. After a restart of all instances, an account of one
/// request a second gets its first credit after about that time.
const CREDIT_WAIT_MAX_MS: u64 = 1_200;
/// Longest refill time with which a request waits, in milliseconds; it is longer if the account's demand is more than twice its
/// rate, so that waiting wouldn't help.
const CREDIT_REFILL_MAX_MS: u64 = 1_000;
/// Shortest time after which a request asks for credit again, in milliseconds. Each time counts as demand.
const CREDIT_WAIT_MIN_MS: u64 = 250;
/// Part of the time left for which a request waits for credit at most (one in this many).
const CREDIT_WAIT_DIVISOR: u64 = 4;
/// Waits for the quota owners' responses until a request without a pool's owner is refused; two owners that don't respond
/// take three.
const CHARGE_WAITS_MAX: u32 = 5;
/// Time after which a request may come again if no quota owner responded, in milliseconds; by then another one does.
const NO_ANSWER_RETRY_MS: u64 = 500;

/// What is known of a request's charge.
#[derive(Clone, Debug, Default)]
pub(crate) struct Charge {
    /// Whether the request belongs to an account with a limit.
    is_limited: bool,
    /// Whether it is charged with this slot: with its first one.
    is_due: bool,
    /// Time until which the credit that paid for the request would be valid, in milliseconds; none if it is not charged.
    charged_until_ms: Option<u64>,
    /// Time for which the request has waited for credit, in milliseconds.
    waited_ms: u64,
}

impl Charge {
    /// Returns the charge of a request that has not been charged. Further slots of the same request cost nothing.
    pub(crate) fn new(node: &Node, request: &AcquireRequest) -> Self {
        let account = request.account.as_deref();
        Self {
            is_limited: account.is_some_and(|account| quota_terms(node, account).is_some()),
            is_due: request.is_first,
            charged_until_ms: None,
            waited_ms: 0,
        }
    }

    /// Returns how long a request that found no credit waits before it asks again, in milliseconds; none if it is refused. It
    /// waits if its account isn't above the quota, so that credit is only late: after a restart, or a change of owners.
    pub(crate) fn wait_ms(&mut self, refill_ms: u64, remaining_ms: u64) -> Option<u64> {
        let total_max_ms =
            CREDIT_WAIT_MAX_MS.min((remaining_ms + self.waited_ms) / CREDIT_WAIT_DIVISOR);
        let left_ms = total_max_ms.saturating_sub(self.waited_ms);
        let wait_ms = spread_ms(refill_ms.max(CREDIT_WAIT_MIN_MS)).min(left_ms);
        let is_short = refill_ms <= CREDIT_REFILL_MAX_MS && left_ms >= CREDIT_WAIT_MIN_MS / 2;
        is_short.then(|| {
            self.waited_ms += wait_ms;
            wait_ms
        })
    }

    /// Takes the charge, to pass it on with a permit request to `owner`, together with this instance's part of the time;
    /// none if the account has no limit.
    pub(crate) fn take(&mut self, node: &Node, owner: &str) -> Option<PermitQuota> {
        if !self.is_limited {
            return None;
        }
        let now_ms = node.now_ms();
        let until_ms = self.charged_until_ms.take();
        Some(PermitQuota {
            charge: self.is_due && until_ms.is_none(),
            charged_ms: until_ms.map(|until_ms| until_ms.saturating_sub(now_ms)),
            time: take_time(node, owner),
        })
    }

    /// Keeps what the owner's response says about the charge; `sent_ms` is the time at which the request was sent.
    pub(crate) fn record(
        &mut self,
        node: &Node,
        owner: &str,
        response: &PermitCharge,
        sent_ms: u64,
    ) {
        self.charged_until_ms = response.charged_ms.map(|valid_ms| sent_ms + valid_ms);
        record_peer_clock(node, owner, response.clock_ms);
    }

    /// Takes back what is known not to have left this instance.
    pub(crate) fn put_back(&mut self, quota: Option<&PermitQuota>, sent_ms: u64) {
        let charged_ms = quota.and_then(|quota| quota.charged_ms);
        self.charged_until_ms = charged_ms.map(|valid_ms| sent_ms + valid_ms);
    }

    /// Charges the request at this instance, which has reached no owner of the pool, unless it is charged already. The quota
    /// owner may still respond; if not, this instance's own part of the time is what there is.
    ///
    /// # Errors
    ///
    /// There is no credit for the account.
    pub(crate) async fn charge_own(
        &mut self,
        node: &Arc<Node>,
        request: &AcquireRequest,
    ) -> Result<(), Refusal> {
        let is_charged = !self.is_due || self.charged_until_ms.is_some();
        if !self.is_limited || is_charged {
            return Ok(());
        }
        let account = request.account.as_deref().unwrap_or_default();
        let Some(terms) = quota_terms(node, account) else {
            return Ok(());
        };
        if let Some(time) = take_time(node, &node.settings.instance) {
            quota_calls::add_time(node, &time);
        }
        for _ in 0..CHARGE_WAITS_MAX {
            match quota_calls::charge_request(node, account, &terms).await {
                Charging::Charged(until_ms) => {
                    quota_calls::count(node, "charged without an owner");
                    self.charged_until_ms = Some(until_ms);
                    return Ok(());
                }
                Charging::Refused(after_ms) => return Err(quota_refusal(node, after_ms)),
                Charging::Pending => {}
            }
        }
        Err(quota_refusal(node, NO_ANSWER_RETRY_MS))
    }
}

/// Returns the refusal of a request that is above the quota, with a time that is spread so that callers that were refused
/// together don't return together.
fn quota_refusal(node: &Node, retry_after_ms: u64) -> Refusal {
    quota_calls::count(node, "refused without an owner");
    Refusal {
        code: ResultCode::QuotaExceeded,
        retry_after_ms: Some(spread_ms(retry_after_ms)),
    }
}

/// Returns a random time between half of `after_ms` and one and a half times as much, in milliseconds.
pub(crate) fn spread_ms(after_ms: u64) -> u64 {
    after_ms / 2 + fastrand::u64(0..=after_ms.max(1))
}

/// Takes this instance's part of the time, to pass it on to `receiver` at once; none if the receiver's clock is not known yet.
pub(crate) fn take_time(node: &Node, receiver: &str) -> Option<QuotaTime> {
    let clock_ms = clock_of(node, receiver)?;
    let share = take_own_share(node);
    (share.instances > 0 && share.span_ms > 0).then_some(QuotaTime {
        clock_ms,
        instances: share.instances,
        span_ms: share.span_ms,
    })
}

/// Returns a value of another instance's clock that is not later than now; none if it is not known yet.
pub(crate) fn clock_of(node: &Node, peer: &str) -> Option<u64> {
    let now_ms = node.now_ms();
    if peer == node.settings.instance {
        return Some(now_ms);
    }
    node.quota_time
        .with(0, |ledger| peer_clock_ms(ledger, peer, now_ms))
}

/// Records the clock that another instance's response stated.
pub(crate) fn record_peer_clock(node: &Node, peer: &str, peer_ms: u64) {
    if peer == node.settings.instance {
        return;
    }
    let own_ms = node.now_ms();
    let clock = PeerClock { peer_ms, own_ms };
    node.quota_time
        .with(0, |ledger| record_clock(ledger, peer, clock));
}

/// Forgets the clock of another instance, which did not respond.
pub(crate) fn forget_peer_clock(node: &Node, peer: &str) {
    node.quota_time.with(0, |ledger| forget_clock(ledger, peer));
}

/// Takes this instance's part of the time; nothing before it knows the other instances.
fn take_own_share(node: &Node) -> TimeShare {
    let Some(known) = known_instances(node) else {
        return TimeShare::default();
    };
    let now_ms = node.now_ms();
    let is_complete = node
        .feed
        .get()
        .is_some_and(|feed| feed::queries::is_instance_list_complete(feed));
    let fleet = KnownFleet {
        instances: known,
        is_complete,
    };
    node.quota_time
        .with(0, |ledger| take_share(ledger, fleet, now_ms))
}
