//! Validates the documents of the case files, and checks that unknown fields are rejected and that records survive a
//! round trip.

use {
    config::queries::validate,
    serde::Deserialize,
    std::{fs, path::Path},
    wire::{
        convert::{decode_config_event, decode_document, encode_config_event, encode_document},
        from_json,
        generated::{ConfigRecord, DocumentJson},
        to_json,
    },
};

#[derive(Deserialize)]
struct Case {
    document: DocumentJson,
    findings: Vec<String>,
}

fn read_case(name: &str) -> Case {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/cases");
    let text = fs::read(dir.join(name)).expect("the case file exists");
    from_json("case", &text).expect("the case file is valid")
}

fn error_paths(name: &str) -> (Vec<String>, Vec<String>) {
    let case = read_case(name);
    let errors = validate(&decode_document(&case.document));
    (
        errors.into_iter().map(|error| error.path).collect(),
        case.findings,
    )
}

#[test]
fn validate_good() {
    let (found, expected) = error_paths("good.json");
    assert_eq!(found, expected);
}

#[test]
fn validate_empty() {
    let (found, expected) = error_paths("empty.json");
    assert_eq!(found, expected);
}

#[test]
fn validate_every_field_wrong() {
    let (found, expected) = error_paths("every_field_wrong.json");
    assert_eq!(found, expected);
}

#[test]
fn from_json_unknown_field() {
    let text = br#"{"services": [], "routes": [], "floors": 1}"#;
    let error = from_json::<DocumentJson>("document", text).expect_err("the field is unknown");
    assert!(error.to_string().contains("floors"), "{error}");
}

#[test]
fn encode_config_event_round_trip() {
    let document = decode_document(&read_case("good.json").document);
    let event = config::ConfigEvent::Approve(config::Decision {
        principal: "finance".into(),
        proposal: config::Proposal {
            offset: 3,
            base_version: 2,
            digest: config::queries::document_digest(&document),
            proposer: "operations".into(),
            document: document.clone(),
        },
    });
    let text = to_json(&encode_config_event(&event, 9));
    let record: ConfigRecord =
        from_json("record", text.as_bytes()).expect("the record was just encoded");
    assert_eq!(decode_config_event(&record), event);
    assert_eq!(decode_document(&encode_document(&document)), document);
}
