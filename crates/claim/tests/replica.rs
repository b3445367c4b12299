//! Tests of the claim replica: trimmed streams, expiry and the age of keys.

use claim::{
    commands::{apply_event, expire_claims, observe_era, skip_to},
    queries::{claim_status, may_have_missed_claim, next_offset, uuid_v7_timestamp_ms},
    ClaimEvent, ClaimReplica, ClaimStatus, Holder, KeyDigest,
};

const DIGEST: KeyDigest = [1; 16];
const WINDOW_MS: u64 = 1_000;

fn claim_event(nonce: u64) -> ClaimEvent {
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
fn claim_status_first_in_log_order() {
    let mut replica = ClaimReplica::new();
    apply_event(&mut replica, 0, 10, &claim_event(1));
    apply_event(&mut replica, 1, 11, &claim_event(2));
    assert_eq!(claim_status(&replica, &DIGEST, 1), ClaimStatus::Won);
    assert!(
        matches!(claim_status(&replica, &DIGEST, 2), ClaimStatus::HeldByOther(holder) if holder.nonce == 1)
    );
}

#[test]
fn apply_event_release_of_another_nonce() {
    let mut replica = ClaimReplica::new();
    apply_event(&mut replica, 0, 10, &claim_event(1));
    apply_event(
        &mut replica,
        1,
        11,
        &ClaimEvent::Release {
            digest: DIGEST,
            nonce: 2,
        },
    );
    assert_eq!(claim_status(&replica, &DIGEST, 1), ClaimStatus::Won);
    apply_event(
        &mut replica,
        2,
        12,
        &ClaimEvent::Release {
            digest: DIGEST,
            nonce: 1,
        },
    );
    assert_eq!(claim_status(&replica, &DIGEST, 1), ClaimStatus::Unclaimed);
}

#[test]
fn expire_claims_old_claim() {
    let mut replica = ClaimReplica::new();
    apply_event(&mut replica, 0, 10, &claim_event(1));
    expire_claims(&mut replica, 10);
    assert_eq!(claim_status(&replica, &DIGEST, 1), ClaimStatus::Won);
    expire_claims(&mut replica, 11);
    assert_eq!(claim_status(&replica, &DIGEST, 1), ClaimStatus::Unclaimed);
}

#[test]
fn may_have_missed_claim_trimmed_stream() {
    let mut replica = ClaimReplica::new();
    assert!(!may_have_missed_claim(&replica, None, 5_000, WINDOW_MS));
    skip_to(&mut replica, 7, 5_000);
    assert!(may_have_missed_claim(&replica, None, 5_500, WINDOW_MS));
    assert!(may_have_missed_claim(
        &replica,
        Some(4_999),
        5_500,
        WINDOW_MS
    ));
    assert!(!may_have_missed_claim(
        &replica,
        Some(5_000),
        5_500,
        WINDOW_MS
    ));
    assert!(!may_have_missed_claim(&replica, None, 6_000, WINDOW_MS));
}

#[test]
fn uuid_v7_timestamp_ms_by_version() {
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

/// A claim behind the copy's end was never read, since its offset lay before the known one; its key was decided again.
#[test]
fn observe_era_changed_reads_again() {
    let mut replica = ClaimReplica::new();
    observe_era(&mut replica, Some(1), 0, 1, 5);
    apply_event(&mut replica, 7, 10, &claim_event(1));
    observe_era(&mut replica, Some(2), 20, 21, 100);
    assert_eq!(next_offset(&replica), 0);
    apply_event(&mut replica, 6, 110, &claim_event(2));
    // The claim that was known first keeps its key, although the log has lost it.
    assert_eq!(claim_status(&replica, &DIGEST, 1), ClaimStatus::Won);
}

/// The claim of another instance was lost before this one had read it; a repeat of its key was run again.
#[test]
fn observe_era_changed_unknown_claims() {
    let mut replica = ClaimReplica::new();
    observe_era(&mut replica, Some(1), 0, 1, 5);
    assert!(!may_have_missed_claim(&replica, Some(90), 110, WINDOW_MS));
    observe_era(&mut replica, Some(2), 20, 21, 100);
    assert!(may_have_missed_claim(&replica, Some(90), 110, WINDOW_MS));
    assert!(may_have_missed_claim(&replica, None, 110, WINDOW_MS));
    assert!(!may_have_missed_claim(&replica, Some(101), 110, WINDOW_MS));
    assert!(!may_have_missed_claim(
        &replica,
        None,
        100 + WINDOW_MS,
        WINDOW_MS
    ));
}
