//! Tests of the claim table: trims, expiry and the age of keys.

use claim::{
    commands::{apply_event, expire_claims, skip_to},
    queries::{claim_status, may_have_missed_claim, uuid_v7_timestamp_ms},
    ClaimEvent, ClaimReplica, ClaimStatus, Holder, KeyDigest,
};

const DIGEST: KeyDigest = [1; 16];
const WINDOW_MS: u64 = 1_000;

fn claim(nonce: u64) -> ClaimEvent {
    ClaimEvent::Claim {
        digest: DIGEST,
        holder: Holder {
            instance: "a".into(),
            incarnation: 1,
            nonce,
        },
    }
}

#[test]
fn verdict_first_in_log_order() {
    let mut table = ClaimReplica::new();
    apply_event(&mut table, 0, 10, &claim(1));
    apply_event(&mut table, 1, 11, &claim(2));
    assert_eq!(claim_status(&table, &DIGEST, 1), ClaimStatus::Won);
    assert!(
        matches!(claim_status(&table, &DIGEST, 2), ClaimStatus::HeldByOther(holder) if holder.nonce == 1)
    );
}

#[test]
fn release_of_another_nonce() {
    let mut table = ClaimReplica::new();
    apply_event(&mut table, 0, 10, &claim(1));
    apply_event(
        &mut table,
        1,
        11,
        &ClaimEvent::Release {
            digest: DIGEST,
            nonce: 2,
        },
    );
    assert_eq!(claim_status(&table, &DIGEST, 1), ClaimStatus::Won);
    apply_event(
        &mut table,
        2,
        12,
        &ClaimEvent::Release {
            digest: DIGEST,
            nonce: 1,
        },
    );
    assert_eq!(claim_status(&table, &DIGEST, 1), ClaimStatus::Unclaimed);
}

#[test]
fn expire_old_claim() {
    let mut table = ClaimReplica::new();
    apply_event(&mut table, 0, 10, &claim(1));
    expire_claims(&mut table, 10);
    assert_eq!(claim_status(&table, &DIGEST, 1), ClaimStatus::Won);
    expire_claims(&mut table, 11);
    assert_eq!(claim_status(&table, &DIGEST, 1), ClaimStatus::Unclaimed);
}

#[test]
fn may_be_unknown_early_trim() {
    let mut table = ClaimReplica::new();
    assert!(!may_have_missed_claim(&table, None, 5_000, WINDOW_MS));
    skip_to(&mut table, 7, 5_000);
    assert!(may_have_missed_claim(&table, None, 5_500, WINDOW_MS));
    assert!(may_have_missed_claim(&table, Some(4_999), 5_500, WINDOW_MS));
    assert!(!may_have_missed_claim(
        &table,
        Some(5_000),
        5_500,
        WINDOW_MS
    ));
    assert!(!may_have_missed_claim(&table, None, 6_000, WINDOW_MS));
}

#[test]
fn issued_ms_uuid_version_7() {
    assert_eq!(
        uuid_v7_timestamp_ms("017f22e2-79b0-7cc3-98c4-dc0c0c07398f"),
        Some(0x017f_22e2_79b0)
    );
    assert_eq!(
        uuid_v7_timestamp_ms("017f22e2-79b0-4cc3-98c4-dc0c0c07398f"),
        None
    );
    assert_eq!(uuid_v7_timestamp_ms("order-1"), None);
    assert_eq!(
        uuid_v7_timestamp_ms("ორდერი-ორდერი-ორდერი-ორდერი-12345678"),
        None
    );
}
