//! Runs the document verifier over the case files, and checks the border's strictness.

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

fn case(name: &str) -> Case {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/cases");
    let text = fs::read(folder.join(name)).expect("the case file is there");
    from_json("case", &text).expect("the case file is valid")
}

fn paths(name: &str) -> (Vec<String>, Vec<String>) {
    let case = case(name);
    let findings = validate(&decode_document(&case.document));
    (
        findings.into_iter().map(|finding| finding.path).collect(),
        case.findings,
    )
}

#[test]
fn verify_good() {
    let (found, expected) = paths("good.json");
    assert_eq!(found, expected);
}

#[test]
fn verify_empty() {
    let (found, expected) = paths("empty.json");
    assert_eq!(found, expected);
}

#[test]
fn verify_every_field_wrong() {
    let (found, expected) = paths("every_field_wrong.json");
    assert_eq!(found, expected);
}

#[test]
fn from_text_unknown_field() {
    let text = br#"{"services": [], "routes": [], "floors": 1}"#;
    let error = from_json::<DocumentJson>("document", text).expect_err("the field is unknown");
    assert!(error.to_string().contains("floors"), "{error}");
}

#[test]
fn config_record_round_trip() {
    let document = decode_document(&case("good.json").document);
    let entry = config::ConfigEvent::Approve(config::Decision {
        principal: "finance".into(),
        proposal: config::Proposal {
            offset: 3,
            base_version: 2,
            digest: config::queries::document_digest(&document),
            proposer: "operations".into(),
            document: document.clone(),
        },
    });
    let text = to_json(&encode_config_event(&entry, 9));
    let record: ConfigRecord = from_json("record", text.as_bytes()).expect("it was just written");
    assert_eq!(decode_config_event(&record), entry);
    assert_eq!(decode_document(&encode_document(&document)), document);
}
