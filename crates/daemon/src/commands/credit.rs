//! Issues the credit for retries that this instance's callers earn, and keeps what it can't pass on to an owner.

use {
    crate::{queries::known_instances, Node},
    config::queries::find_service,
    log::info,
    permit::{
        commands::{
            add_credit, issue_credit, record_activity, record_fleet_size, try_spend_credit,
        },
        CreditTerms, ACTIVITY_INTERVAL_MS,
    },
    serde_json::json,
    std::{sync::Arc, time::Duration},
    tokio::time::sleep,
    types::shard_hash,
};

/// Credit that was issued for a request and has not been passed on yet. What is left when it is dropped pays for retries
/// without an owner.
pub(crate) struct Credit {
    node: Arc<Node>,
    service: String,
    milli: u64,
}

impl Credit {
    /// Issues the credit for a request of a caller; none if the request may have waited while this process stood still.
    pub(crate) fn issue(node: &Arc<Node>, service: &str) -> Self {
        if is_catching_up(node) {
            return Self::none(node, service);
        }
        let now_ms = node.now_ms();
        let terms = credit_terms(node, service, now_ms);
        let milli = node.credit_accounts.with(shard_hash(&service), |accounts| {
            let account = accounts.entry(service.to_owned()).or_default();
            issue_credit(account, terms, now_ms)
        });
        let mut credit = Self::none(node, service);
        credit.milli = milli;
        credit
    }

    /// Returns no credit, for a request whose credit was issued before.
    pub(crate) fn none(node: &Arc<Node>, service: &str) -> Self {
        Self {
            node: Arc::clone(node),
            service: service.to_owned(),
            milli: 0,
        }
    }

    /// Takes the credit, in thousandths of a retry, to pass it on.
    pub(crate) fn take(&mut self) -> u64 {
        std::mem::take(&mut self.milli)
    }

    /// Keeps the credit at this instance, for retries without an owner.
    pub(crate) fn keep(&mut self) {
        let milli = self.take();
        if milli == 0 {
            return;
        }
        let now_ms = self.node.now_ms();
        let hash = shard_hash(&self.service.as_str());
        self.node.credit_accounts.with(hash, |accounts| {
            let account = accounts.entry(self.service.clone()).or_default();
            add_credit(&mut account.budget, milli, now_ms);
        });
    }

    /// Puts credit back that is known not to have left this instance.
    pub(crate) fn put_back(&mut self, milli: u64) {
        self.milli += milli;
    }
}

impl Drop for Credit {
    fn drop(&mut self) {
        self.keep();
    }
}

/// Returns whether this process works off what arrived while it stood still.
pub(crate) fn is_catching_up(node: &Node) -> bool {
    let now_ms = node.now_ms();
    node.stall_detector
        .with(0, |detector| record_activity(detector, now_ms))
}

/// Records that this process is active, so that a stall is detected afterwards; never returns.
pub(crate) async fn watch_for_stalls(node: Arc<Node>) {
    let mut was_catching_up = false;
    loop {
        let is_catching_up = is_catching_up(&node);
        if is_catching_up && !was_catching_up && node.now_ms() > ACTIVITY_INTERVAL_MS {
            info!(target: "decision.process", "{}", json!({ "event": "resumed after a stall" }));
        }
        was_catching_up = is_catching_up;
        sleep(Duration::from_millis(ACTIVITY_INTERVAL_MS)).await;
    }
}

/// Spends one retry of the credit that this instance could not pass on; returns whether it had that much.
pub(crate) fn try_spend_own(node: &Node, service: &str) -> bool {
    let now_ms = node.now_ms();
    node.credit_accounts.with(shard_hash(&service), |accounts| {
        accounts
            .get_mut(service)
            .is_some_and(|account| try_spend_credit(&mut account.budget, now_ms))
    })
}

/// Returns the terms on which this instance issues credit; without slack before it knows the others.
fn credit_terms(node: &Node, service: &str, now_ms: u64) -> CreditTerms {
    let current = node.active_config.load();
    let service = current.as_deref().and_then(|active| {
        let document = &active.accepted.document;
        find_service(document, &active.index, service)
    });
    let window_ms = node.settings.retry_window_ms;
    let instances = known_instances(node).map(|known| {
        node.fleet_size
            .with(0, |size| record_fleet_size(size, known, window_ms, now_ms))
    });
    CreditTerms {
        window_ms,
        percent: service.map_or(0, |service| service.retry_percent),
        fleet_slack: instances.map_or(0, |_| node.settings.retry_slack),
        instances: instances.unwrap_or(1),
    }
}
