//! Tests of compressed messages.

use {
    config::RequestKind,
    wire::{from_compressed_json, generated::DocumentJson, to_compressed_json},
};

fn document() -> DocumentJson {
    let route = |number| {
        let prefix = format!("/{number}/");
        wire::convert::simple_route(&prefix, &[], "service", RequestKind::Safe)
    };
    DocumentJson {
        services: Vec::new(),
        routes: (0..500).map(route).collect(),
        limits: None,
        accounts: Vec::new(),
    }
}

#[test]
fn compressed_json_round_trip() {
    let bytes = to_compressed_json(&document());
    let read: DocumentJson = from_compressed_json("document", &bytes).expect("is complete");
    assert_eq!(wire::to_json(&read), wire::to_json(&document()));
    assert!(bytes.len() * 4 < wire::to_json(&document()).len());
}

/// A transfer that ended early must not pass for a document.
#[test]
fn compressed_json_truncated() {
    let bytes = to_compressed_json(&document());
    for length in [0, 1, bytes.len() / 2, bytes.len() - 1] {
        let read: Result<DocumentJson, _> = from_compressed_json("document", &bytes[..length]);
        assert!(read.is_err(), "{length} bytes");
    }
}
