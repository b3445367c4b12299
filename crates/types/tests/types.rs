//! Tests of the core types.

use types::{EntityMap, Interner, ResultCode, ServerIndex, Shards};

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
