use super::policy_terms;
use frosthatch_policy_consensus::document::Document;
use frosthatch_traffic_control::Settings;
use std::collections::BTreeMap;

const DOCUMENT: &str = "version = 1\n[plans.basic]\nrate = 5\nburst = 8\n[classes.read]\naim_ms = 900\nworth = 2\nlate_worth = 0.5\n";

fn read(text: &str) -> Document {
    Document::read("p.toml", text).expect("the document is valid")
}

fn errors_of(text: &str, settings: &Settings) -> String {
    policy_terms(settings, &BTreeMap::new(), &read(text))
        .err()
        .unwrap_or_default()
}

#[test]
fn a_document_sets_its_values_and_keeps_other_settings() {
    let settings = Settings::example();
    let terms = policy_terms(&settings, &BTreeMap::new(), &read(DOCUMENT))
        .expect("the settings have the document's plans and classes");
    assert_eq!(
        (
            terms.plans[0].rate,
            terms.plans[0].burst,
            terms.plans[0].price
        ),
        (5.0, 8.0, 1.0)
    );
    assert_eq!(
        (
            terms.classes[0].latency_objective_us,
            terms.classes[0].deadline_us
        ),
        (900_000, 4_000_000)
    );
}

#[test]
fn every_reason_against_a_document_is_reported() {
    let settings = Settings {
        has_counter: true,
        ..Settings::example()
    };
    let unknown_names = DOCUMENT
        .replace("plans.basic", "plans.other")
        .replace("classes.read", "classes.write");
    for problem in [
        "no plan \"other\"",
        "plan \"basic\" is missing",
        "no class \"write\"",
        "class \"read\" is missing",
    ] {
        assert!(
            errors_of(&unknown_names, &settings).contains(problem),
            "{problem}: {}",
            errors_of(&unknown_names, &settings)
        );
    }
    assert!(errors_of(
        &DOCUMENT.replace("rate = 5", "rate = 0\nmax_open = 3"),
        &settings
    )
    .contains("kind of its quota"));
    assert!(errors_of(
        &DOCUMENT.replace("rate = 5", "rate = 5\nmax_open = 3"),
        &settings
    )
    .contains("max_open cannot change"));
    assert!(errors_of(&DOCUMENT.replace("900", "5000"), &settings)
        .contains("after the class's deadline"));
    let plugin = format!(
        "{DOCUMENT}[plugins.night]\nsha256 = \"{}\"\n",
        "ab".repeat(32)
    );
    assert!(errors_of(&plugin, &settings).contains("no plug-in \"night\""));
    let running = BTreeMap::from([("night".to_string(), "cd".repeat(32))]);
    assert!(policy_terms(&settings, &running, &read(&plugin))
        .is_err_and(|e| e.contains("is another here")));
}
