use super::{hex, sha256, Document, Retries, MAX_DOCUMENT_BYTES};
use crate::Policy;
use frosthatch_config_reader::ConfigError;

const VALID: &str = "version = 1\n[plans.stor]\nrate = 40\nburst = 60.5\nceiling_rate = 85\nceiling_depth = 85\n\
                    [plans.antal]\nrate = 0\nburst = 1_0.5\nmax_open = 4\n[classes.topup]\naim_ms = 300\nworth = 2\nlate_worth = 0.5\n";

fn mistakes_in(text: &str) -> Vec<String> {
    Document::read("p.toml", text)
        .err()
        .unwrap_or_default()
        .iter()
        .map(ConfigError::to_string)
        .collect()
}

#[test]
fn a_valid_document_is_read() {
    let document = Document::read("p.toml", VALID).expect("the document is valid");
    assert_eq!(document.plans["stor"].ceiling_rate, Some(85.0));
    assert_eq!(
        (
            document.plans["stor"].burst,
            document.plans["antal"].max_open
        ),
        (60.5, 4)
    );
    assert_eq!(
        document.plans["antal"].burst, 10.5,
        "underscores between digits are ignored"
    );
    assert_eq!(
        (document.classes["topup"].aim_ms, document.retries),
        (300, Retries::default())
    );
    let first = document.policy(VALID);
    assert!(first.follows(Some(&Policy::default())) && first.digest == sha256(VALID));
    let next = VALID.replace(
        "version = 1",
        &format!("version = 2\nparent = \"{}\"", hex(&first.digest)),
    );
    let second = Document::read("p.toml", &next)
        .expect("the document is valid")
        .policy(&next);
    assert!(second.follows(Some(&first)) && !second.follows(Some(&Policy::default())));
}

#[test]
fn every_mistake_is_reported_with_line_and_column() {
    let text = "version = 2\n[plans.stor]\nrate = -1\nbust = 4\nceiling_rate = 3\n[plans]\nx = 1\n[classes.topup]\naim_ms = 0\n";
    let mistakes = mistakes_in(text);
    for (place, what) in [
        ("line 1, column 11", "parent is missing"),
        ("line 3, column 8", "plans.stor.rate is -1"),
        ("line 4, column 1", "plans.stor.bust is not known"),
        ("line 2, column 1", "an incomplete ceiling"),
        ("line 9, column 10", "classes.topup.aim_ms is 0"),
        ("line 8, column 1", "classes.topup.worth is missing"),
    ] {
        assert!(
            mistakes
                .iter()
                .any(|s| s.contains(place) && s.contains(what)),
            "{place} {what}: {mistakes:#?}"
        );
    }
    assert!(mistakes_in("version = 1\nplans = 3")[0].contains("plans is 3"));
    assert!(
        mistakes_in(&format!("{VALID}#{}", "x".repeat(MAX_DOCUMENT_BYTES)))[0]
            .contains("the document has")
    );
}

#[test]
fn the_schema_has_the_keys_that_are_read() {
    let schema: serde_json::Value =
        serde_json::from_str(&Document::schema()).expect("the schema is JSON");
    let published_keys = |v: &serde_json::Value| {
        let all = v["properties"]
            .as_object()
            .expect("the schema of each type lists its properties");
        all.keys().cloned().collect::<Vec<_>>().join(", ")
    };
    let readable_keys = |text: &str| {
        let mistakes = mistakes_in(text);
        let unknown_key = mistakes
            .iter()
            .find(|s| s.contains("nonsense is not known"))
            .expect("an unknown key is reported");
        let mut keys: Vec<String> = unknown_key
            .split("the keys here are ")
            .nth(1)
            .unwrap_or("")
            .split(", ")
            .map(String::from)
            .collect();
        keys.sort();
        keys.dedup();
        keys.join(", ")
    };
    assert_eq!(published_keys(&schema), readable_keys("nonsense = 1"));
    for (table, type_name) in [
        ("plans", "Plan"),
        ("classes", "Class"),
        ("plugins", "Plugin"),
    ] {
        assert_eq!(
            published_keys(&schema["$defs"][type_name]),
            readable_keys(&format!("[{table}.x]\nnonsense = 1")),
            "{table}"
        );
    }
    assert_eq!(
        published_keys(&schema["$defs"]["Retries"]),
        readable_keys("[retries]\nnonsense = 1")
    );
}
