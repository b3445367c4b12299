//! Tests of the core types.

use types::{EntityMap, EraObservation, Interner, ResultCode, ServerIndex, Shards, StoreEra};

#[test]
fn intern_same_name_twice() {
    let mut names: Interner<ServerIndex> = Interner::new();
    let first = names.intern("a");
    assert_eq!(names.intern("a"), first);
    assert_ne!(names.intern("b"), first);
    assert_eq!(names.name(first), "a");
}

#[test]
fn get_unknown_key() {
    let map: EntityMap<ServerIndex, u8> = EntityMap::new();
    assert!(map.get(ServerIndex::from(3)).is_none());
}

#[test]
fn new_zero_shards() {
    let shards: Shards<u32> = Shards::new(0);
    shards.with(7, |state| *state += 1);
    assert_eq!(shards.with(8, |state| *state), 1);
}

#[test]
fn all_match_reference_table() {
    let reference = include_str!("../../../docs/RESULT-CODES.md");
    for code in ResultCode::ALL {
        let row = format!(
            "| {} | {:?} | {} | {} | {} |",
            code.number(),
            code,
            code.http_status(),
            code.execution_status().as_str(),
            code.message()
        );
        assert!(
            reference.contains(&row),
            "missing in RESULT-CODES.md: {row}"
        );
    }
}

/// A process that starts after a loss has no offsets of an earlier era.
#[test]
fn observe_first_era() {
    let mut era = StoreEra::default();
    assert_eq!(era.observe(Some(7), 0, 1), EraObservation::Unchanged);
    assert_eq!((era.known(), era.changes()), (Some(7), 0));
}

/// A response without the header was taken for one of era 0.
#[test]
fn observe_era_not_stated() {
    let mut era = StoreEra::default();
    for stated in [None, Some(7), None, Some(7), None] {
        assert_eq!(era.observe(stated, 0, 1), EraObservation::Unchanged);
    }
    assert_eq!((era.known(), era.changes()), (Some(7), 0));
}

#[test]
fn observe_era_higher() {
    let mut era = StoreEra::default();
    for (stated, observation) in [
        (1, EraObservation::Unchanged),
        (2, EraObservation::Changed),
        (2, EraObservation::Unchanged),
        // Losses while nothing was read count as one.
        (5, EraObservation::Changed),
    ] {
        assert_eq!(era.observe(Some(stated), 10, 20), observation, "{stated}");
    }
    assert_eq!((era.known(), era.changes()), (Some(5), 2));
}

/// A long read that began before a loss was answered on another connection after it.
#[test]
fn observe_era_lower_sent_before() {
    let mut era = StoreEra::default();
    era.observe(Some(1), 0, 5);
    era.observe(Some(2), 90, 100);
    assert_eq!(era.observe(Some(1), 80, 120), EraObservation::Outdated);
    assert_eq!((era.known(), era.changes()), (Some(2), 1));
}

/// One response that stated too high an era made the process refuse all later ones.
#[test]
fn observe_era_lower_sent_after() {
    let mut era = StoreEra::default();
    era.observe(Some(9), 90, 100);
    assert_eq!(era.observe(Some(2), 110, 120), EraObservation::Unchanged);
    assert_eq!((era.known(), era.changes()), (Some(9), 0));
}
