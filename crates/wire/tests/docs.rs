//! Compares the reference pages with the schema.

use serde_json::Value;

const SCHEMA: &str = include_str!("../schema/catkinhitch.schema.json");
const CONFIG: &str = include_str!("../../../docs/CONFIG.md");
const SETTINGS: &str = include_str!("../../../docs/SETTINGS.md");

/// Lists the fields of a definition whose row is missing in `page`.
fn missing(definition: &str, page: &str) -> Vec<String> {
    let schema: Value = serde_json::from_str(SCHEMA).expect("the schema is JSON");
    let definitions = &schema["definitions"];
    let properties = definitions[definition]["properties"]
        .as_object()
        .expect("an object");
    let rows = properties.iter().filter(|(field, property)| {
        let own = property["description"].as_str();
        let named = property["$ref"]
            .as_str()
            .and_then(|path| path.rsplit('/').next());
        let referred = named.and_then(|name| definitions[name]["description"].as_str());
        let meaning = own.or(referred).expect("each field is described");
        !page.lines().any(|line| {
            line.starts_with(&format!("| `{field}` |")) && line.ends_with(&format!("| {meaning} |"))
        })
    });
    rows.map(|(field, _)| field.clone()).collect()
}

#[test]
fn config_page_every_field() {
    for definition in ["DocumentJson", "ServiceJson", "RouteJson"] {
        assert_eq!(
            missing(definition, CONFIG),
            Vec::<String>::new(),
            "{definition}"
        );
    }
}

#[test]
fn settings_page_every_field() {
    for definition in ["SettingsJson", "PrincipalJson"] {
        assert_eq!(
            missing(definition, SETTINGS),
            Vec::<String>::new(),
            "{definition}"
        );
    }
}
