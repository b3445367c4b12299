//! Queries: which account a key belongs to, and whether a request may run.

use {
    crate::{key_index::prefix, KeyIndex},
    config::{Account, ApiKeyDigest},
    sha2::{Digest, Sha256},
    subtle::ConstantTimeEq,
};

/// Name of the authorization scheme whose credentials are API keys.
const KEY_SCHEME: &str = "bearer";

/// What a request and the instance's configuration say about its authorization.
#[derive(Clone, Copy, Debug)]
pub struct AuthorizationTerms<'a> {
    /// Value of the request's authorization header; `None` if it has none or one that isn't text.
    pub authorization: Option<&'a str>,
    /// Whether the request's route needs no key.
    pub is_public: bool,
    /// Whether the configuration is known to be the newest one.
    pub is_current: bool,
    /// Whether keys are accepted; not if revocation is strict and the configuration was not confirmed in time.
    pub accepts_keys: bool,
}

/// Whether a request may run, and for which account.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission<'a> {
    /// It may run without an account: its route is public, or there are no accounts.
    Anonymous,
    /// It may run for this account.
    Account(&'a Account),
    /// Its key is missing or belongs to no account.
    Unknown,
    /// Whether its key is valid is not known, because the configuration may be out of date.
    Unconfirmed,
}

/// Decides whether a request may run.
pub fn admit<'a>(
    accounts: &'a [Account],
    index: &KeyIndex,
    terms: AuthorizationTerms<'_>,
) -> Admission<'a> {
    if accounts.is_empty() || terms.is_public {
        return Admission::Anonymous;
    }
    if !terms.accepts_keys {
        return Admission::Unconfirmed;
    }
    let account = terms
        .authorization
        .and_then(bearer_key)
        .and_then(|key| find_account(accounts, index, key));
    match account {
        Some(account) => Admission::Account(account),
        None if terms.is_current => Admission::Unknown,
        None => Admission::Unconfirmed,
    }
}

/// Borrows the account that `key` belongs to.
pub fn find_account<'a>(
    accounts: &'a [Account],
    index: &KeyIndex,
    key: &str,
) -> Option<&'a Account> {
    let digest: ApiKeyDigest = Sha256::digest(key).into();
    let entries = index.entries.get(&prefix(&digest))?;
    let entry = entries
        .iter()
        .find(|entry| bool::from(entry.digest.ct_eq(&digest)))?;
    accounts.get(entry.account)
}

/// Borrows the API key of an authorization header; returns `None` if its scheme is another one.
pub fn bearer_key(authorization: &str) -> Option<&str> {
    let (scheme, key) = authorization.trim().split_once(' ')?;
    let key = key.trim();
    (scheme.eq_ignore_ascii_case(KEY_SCHEME) && !key.is_empty()).then_some(key)
}
