//! Guards against requests that run for the wrong account or without one, and against keys that stay valid after they
//! were removed.

use {
    account::{
        queries::{admit, bearer_key, find_account},
        Admission, AuthorizationTerms, KeyIndex,
    },
    config::Account,
    quickcheck::{quickcheck, TestResult},
    sha2::{Digest, Sha256},
    std::collections::HashSet,
};

fn account(name: &str, keys: &[&str]) -> Account {
    Account {
        key_digests: keys.iter().map(|key| Sha256::digest(key).into()).collect(),
        ..Account::new(name)
    }
}

fn accounts() -> Vec<Account> {
    vec![
        account("pots", &["key-one", "key-two"]),
        account("glazes", &["key-three"]),
    ]
}

fn terms(authorization: Option<&str>) -> AuthorizationTerms<'_> {
    AuthorizationTerms {
        authorization,
        is_public: false,
        is_current: true,
        accepts_keys: true,
    }
}

/// Returns the decision as a name: of the account, or of the case.
fn decide(accounts: &[Account], terms: AuthorizationTerms<'_>) -> String {
    match admit(accounts, &KeyIndex::new(accounts), terms) {
        Admission::Anonymous => "(anonymous)".to_owned(),
        Admission::Account(account) => account.name.clone(),
        Admission::Unknown => "(unknown)".to_owned(),
        Admission::Unconfirmed => "(unconfirmed)".to_owned(),
    }
}

#[test]
fn admit_known_keys() {
    for (key, name) in [
        ("key-one", "pots"),
        ("key-two", "pots"),
        ("key-three", "glazes"),
    ] {
        for scheme in ["Bearer", "bearer", "BEARER"] {
            let header = format!("{scheme} {key}");
            assert_eq!(decide(&accounts(), terms(Some(&header))), name);
        }
    }
}

#[test]
fn admit_no_valid_key() {
    for header in [
        None,
        Some(""),
        Some("Bearer"),
        Some("Bearer "),
        Some("Bearer key-four"),
        Some("Basic key-one"),
        Some("key-one"),
        Some("Bearer key-one key-two"),
    ] {
        assert_eq!(
            decide(&accounts(), terms(header)),
            "(unknown)",
            "{header:?}"
        );
    }
}

/// The digest of a key must not be accepted in place of the key: it is in messages and in the operators' document.
#[test]
fn admit_digest_as_key() {
    let hex: String = Sha256::digest("key-one")
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect();
    let header = format!("Bearer {hex}");
    assert_eq!(decide(&accounts(), terms(Some(&header))), "(unknown)");
}

/// An instance that doesn't know the newest version may not know a new key, so it must not answer that there is none.
#[test]
fn admit_unknown_key_old_configuration() {
    let old = AuthorizationTerms {
        is_current: false,
        ..terms(Some("Bearer key-four"))
    };
    assert_eq!(decide(&accounts(), old), "(unconfirmed)");
    let known = AuthorizationTerms {
        authorization: Some("Bearer key-one"),
        ..old
    };
    assert_eq!(decide(&accounts(), known), "pots");
}

/// With strict revocation, an instance that can't confirm its configuration must not use keys that may be revoked.
#[test]
fn admit_strict_revocation() {
    let strict = AuthorizationTerms {
        accepts_keys: false,
        ..terms(Some("Bearer key-one"))
    };
    assert_eq!(decide(&accounts(), strict), "(unconfirmed)");
    let public = AuthorizationTerms {
        is_public: true,
        ..strict
    };
    assert_eq!(decide(&accounts(), public), "(anonymous)");
}

#[test]
fn admit_public_route() {
    let public = AuthorizationTerms {
        is_public: true,
        ..terms(Some("Bearer key-one"))
    };
    assert_eq!(decide(&accounts(), public), "(anonymous)");
}

#[test]
fn admit_without_accounts() {
    assert_eq!(decide(&[], terms(Some("Bearer key-one"))), "(anonymous)");
    assert_eq!(decide(&[], terms(None)), "(anonymous)");
}

#[test]
fn bearer_key_forms() {
    assert_eq!(bearer_key("Bearer abc"), Some("abc"));
    assert_eq!(bearer_key("  bearer   abc "), Some("abc"));
    assert_eq!(bearer_key("Bearerabc"), None);
}

/// Exactly the keys of the present version are found, each with its own account, whatever earlier versions had.
#[test]
fn find_account_random_versions() {
    const NAMES: u8 = 16;
    fn property(versions: Vec<Vec<(u8, u8)>>) -> TestResult {
        for version in &versions {
            let mut owned = HashSet::new();
            let mut accounts: Vec<Account> = (0..NAMES)
                .map(|number| account(&format!("account-{number}"), &[]))
                .collect();
            let mut expected = [None; NAMES as usize];
            for &(key, owner) in version {
                let (key, owner) = (key % NAMES, owner % NAMES);
                if !owned.insert(key) {
                    continue;
                }
                let digest = Sha256::digest(format!("key-{key}")).into();
                accounts[usize::from(owner)].key_digests.push(digest);
                expected[usize::from(key)] = Some(owner);
            }
            let index = KeyIndex::new(&accounts);
            for (key, owner) in expected.iter().enumerate() {
                let found = find_account(&accounts, &index, &format!("key-{key}"));
                let name = owner.map(|owner| format!("account-{owner}"));
                if found.map(|account| account.name.as_str()) != name.as_deref() {
                    return TestResult::failed();
                }
            }
        }
        TestResult::passed()
    }
    quickcheck(property as fn(Vec<Vec<(u8, u8)>>) -> TestResult);
}
