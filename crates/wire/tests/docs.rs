//! Compares the reference pages in docs/ with the descriptions in the schema.

use serde_json::Value;

const SCHEMA: &str = include_str!("../schema/catkinhitch.schema.json");
const CONFIG_PAGE: &str = include_str!("../../../docs/CONFIG.md");
const SETTINGS_PAGE: &str = include_str!("../../../docs/SETTINGS.md");

/// Returns the fields of a definition that have no row with their description in `page`.
fn undocumented_fields(definition: &str, page: &str) -> Vec<String> {
    let schema: Value = serde_json::from_str(SCHEMA).expect("the schema is JSON");
    let definitions = &schema["definitions"];
    let properties = definitions[definition]["properties"]
        .as_object()
        .expect("an object");
    let undocumented = properties.iter().filter(|(field, property)| {
        let field_description = property["description"].as_str();
        let type_name = property["$ref"]
            .as_str()
            .and_then(|path| path.rsplit('/').next());
        let type_description = type_name.and_then(|name| definitions[name]["description"].as_str());
        let description = field_description
            .or(type_description)
            .expect("each field has a description");
        !page.lines().any(|line| {
            line.starts_with(&format!("| `{field}` |"))
                && line.ends_with(&format!("| {description} |"))
        })
    });
    undocumented.map(|(field, _)| field.clone()).collect()
}

#[test]
fn config_page_every_field() {
    for definition in ["DocumentJson", "ServiceJson", "RouteJson", "AccountJson"] {
        assert_eq!(
            undocumented_fields(definition, CONFIG_PAGE),
            Vec::<String>::new(),
            "{definition}"
        );
    }
}

#[test]
fn settings_page_every_field() {
    for definition in ["SettingsJson", "PrincipalJson"] {
        assert_eq!(
            undocumented_fields(definition, SETTINGS_PAGE),
            Vec::<String>::new(),
            "{definition}"
        );
    }
}
