//! Quotas of client accounts: which accounts have one, and who owns a group of them.

use {
    crate::{queries::is_in_backoff, Node},
    config::queries::{find_limited_account, has_limited_accounts},
    member::{
        queries::{owner_order, task_order},
        Instance, View,
    },
    quota::{QuotaRule, QuotaTerms},
};

/// Quota owners that are asked in order before the credit at hand decides.
const QUOTA_OWNERS_MAX: usize = 2;
/// Name of the task of gathering the time of instances without requests, in each data centre.
const GATHER_TASK: &str = "quota-time";

/// Returns the terms on which an account gets credit; none if it has no limit.
pub(crate) fn quota_terms(node: &Node, account: &str) -> Option<QuotaTerms> {
    let current = node.active_config.load();
    let active = current.as_deref()?;
    let account = find_limited_account(&active.accepted.document, &active.index, account)?;
    let settings = &node.settings;
    let rule = QuotaRule {
        window_ms: settings.quota_window_ms,
        tolerance_permille: settings.quota_tolerance_permille,
        slack: settings.quota_slack,
    };
    QuotaTerms::of_account(&rule, account)
}

/// Returns whether any account has a limit.
pub(crate) fn has_quotas(node: &Node) -> bool {
    let current = node.active_config.load();
    let active = current.as_deref();
    active.is_some_and(|active| has_limited_accounts(&active.index))
}

/// Returns the instances that may own a group of accounts, in order, without those in backoff.
pub(crate) fn quota_owners<'a>(node: &Node, view: &'a View, group: usize) -> Vec<&'a Instance> {
    let task = format!("quota-{group}");
    let mut owners = task_order(view, &task, usize::MAX);
    owners.retain(|owner| !is_in_backoff(node, &owner.name));
    owners.truncate(QUOTA_OWNERS_MAX);
    owners
}

/// Returns the instance of this data centre to which instances without requests pass their time on.
pub(crate) fn time_gatherer<'a>(node: &Node, view: &'a View) -> Option<&'a Instance> {
    let order = owner_order(view, GATHER_TASK, &node.settings.data_centre);
    order
        .into_iter()
        .find(|instance| !is_in_backoff(node, &instance.name))
}
