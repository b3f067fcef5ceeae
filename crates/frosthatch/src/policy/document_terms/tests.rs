use super::policy_terms;
use frosthatch_policy_consensus::document::Document;
use frosthatch_traffic_control::Settings;
use std::collections::BTreeMap;

const TEXT: &str = "version = 1\n[plans.basic]\nrate = 5\nburst = 8\n[classes.read]\naim_ms = 900\nworth = 2\nlate_worth = 0.5\n";

fn read(text: &str) -> Document {
    Document::read("p.toml", text).expect("in order")
}

fn errors_of(text: &str, set: &Settings) -> String {
    policy_terms(set, &BTreeMap::new(), &read(text))
        .err()
        .unwrap_or_default()
}

#[test]
fn a_document_sets_what_it_says_and_the_rest_stays() {
    let set = Settings::example();
    let terms = policy_terms(&set, &BTreeMap::new(), &read(TEXT)).expect("it can be taken");
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
fn all_for_which_it_cannot_be_taken_is_told() {
    let set = Settings {
        has_counter: true,
        ..Settings::example()
    };
    let bad = TEXT
        .replace("plans.basic", "plans.other")
        .replace("classes.read", "classes.write");
    for what in [
        "no plan \"other\"",
        "plan \"basic\" is not in it",
        "no class \"write\"",
        "class \"read\" is not",
    ] {
        assert!(
            errors_of(&bad, &set).contains(what),
            "{what}: {}",
            errors_of(&bad, &set)
        );
    }
    assert!(
        errors_of(&TEXT.replace("rate = 5", "rate = 0\nmax_open = 3"), &set)
            .contains("another kind")
    );
    assert!(
        errors_of(&TEXT.replace("rate = 5", "rate = 5\nmax_open = 3"), &set)
            .contains("the counter holds places")
    );
    assert!(errors_of(&TEXT.replace("900", "5000"), &set).contains("after its deadline"));
    let plugin = format!("{TEXT}[plugins.night]\nsha256 = \"{}\"\n", "ab".repeat(32));
    assert!(errors_of(&plugin, &set).contains("no plug-in \"night\""));
    let running = BTreeMap::from([("night".to_string(), "cd".repeat(32))]);
    assert!(
        policy_terms(&set, &running, &read(&plugin)).is_err_and(|e| e.contains("is another here"))
    );
}
