//! What a policy document sets at this gateway: its plans, classes and plug-ins have to be those of the settings.

#[cfg(test)]
mod tests;

use frosthatch_plugins::host::PluginConfig;
use frosthatch_policy_consensus::document::{self, hex, sha256, Document};
use frosthatch_traffic_control::{Ceiling, Plan, PolicyTerms, RequestClass, RetryBudget, Settings};
use std::collections::BTreeMap;

/// Digests (SHA-256, hexadecimal) of the plug-ins' files, by the plug-in's name; a file that cannot be read has none.
pub fn plugin_digests(plugins: &[PluginConfig]) -> BTreeMap<String, String> {
    let digest = |plugin: &PluginConfig| {
        let bytes = std::fs::read(&plugin.file).ok()?;
        Some((plugin.name.clone(), hex(&sha256(bytes))))
    };
    plugins.iter().filter_map(digest).collect()
}

/// The terms of the decisions under a document.
///
/// # Errors
/// Every reason for which this gateway cannot serve under it, joined for people.
pub fn policy_terms(
    settings: &Settings,
    plugin_digests: &BTreeMap<String, String>,
    document: &Document,
) -> Result<PolicyTerms, String> {
    let mut errors = unknown_names(settings, document);
    let plans = plans(settings, document, &mut errors);
    let classes = classes(settings, document, &mut errors);
    errors.extend(plugin_errors(plugin_digests, document));
    let retries = RetryBudget {
        ratio: document.retries.share.unwrap_or(settings.retries.ratio),
        max_saved: document.retries.most.unwrap_or(settings.retries.max_saved),
    };
    let terms = PolicyTerms {
        plans,
        classes,
        retries,
    };
    if errors.is_empty() {
        let effective = Settings {
            plans: terms.plans.clone(),
            classes: terms.classes.clone(),
            ..settings.clone()
        };
        errors = effective.validation_errors();
    }
    if errors.is_empty() {
        Ok(terms)
    } else {
        Err(errors.join("; "))
    }
}

/// Plans and classes that the settings do not have.
fn unknown_names(settings: &Settings, document: &Document) -> Vec<String> {
    let has_plan = |name: &str| settings.plans.iter().any(|plan| plan.name == name);
    let has_class = |name: &str| settings.classes.iter().any(|class| class.name == name);
    let unknown_plans = document.plans.keys().filter(|name| !has_plan(name));
    let unknown_classes = document.classes.keys().filter(|name| !has_class(name));
    unknown_plans
        .map(|name| format!("there is no plan {name:?} here"))
        .chain(unknown_classes.map(|name| format!("there is no class {name:?} here")))
        .collect()
}

fn plans(settings: &Settings, document: &Document, errors: &mut Vec<String>) -> Vec<Plan> {
    let mut plans = Vec::new();
    for plan in &settings.plans {
        let Some(written) = document.plans.get(&plan.name) else {
            errors.push(format!("plan {:?} is not in it", plan.name));
            continue;
        };
        errors.extend(plan_errors(plan, written, settings.has_counter));
        let ceiling = written.ceiling_rate.zip(written.ceiling_depth);
        plans.push(Plan {
            rate: written.rate,
            burst: written.burst,
            max_open: written.max_open,
            ceiling: ceiling.map(|(rate, depth)| Ceiling { rate, depth }),
            ..plan.clone()
        });
    }
    plans
}

fn plan_errors(plan: &Plan, written: &document::Plan, has_counter: bool) -> Vec<String> {
    let mut errors = Vec::new();
    if (plan.rate > 0.0) != (written.rate > 0.0) {
        errors.push(format!(
            "plan {:?} would have a quota of another kind: on its rate, or on open attempts",
            plan.name
        ));
    }
    if has_counter && plan.max_open != written.max_open {
        let why =
            "the counter holds places by the cap, so it cannot change while there is a counter";
        errors.push(format!("plan {:?}: {why}", plan.name));
    }
    errors
}

fn classes(
    settings: &Settings,
    document: &Document,
    errors: &mut Vec<String>,
) -> Vec<RequestClass> {
    let mut classes = Vec::new();
    for class in &settings.classes {
        let Some(written) = document.classes.get(&class.name) else {
            errors.push(format!("class {:?} is not in it", class.name));
            continue;
        };
        let latency_objective_us = written.aim_ms * 1_000;
        if latency_objective_us > class.deadline_us {
            errors.push(format!(
                "class {:?}: its aim is after its deadline, {} ms",
                class.name,
                class.deadline_us / 1_000
            ));
        }
        classes.push(RequestClass {
            latency_objective_us,
            priority_weight: written.worth,
            late_weight: written.late_worth,
            ..class.clone()
        });
    }
    classes
}

/// Plug-ins that the document demands and that do not run here as demanded.
fn plugin_errors(plugin_digests: &BTreeMap<String, String>, document: &Document) -> Vec<String> {
    let mut errors = Vec::new();
    for (name, written) in &document.plugins {
        match plugin_digests.get(name) {
            None => errors.push(format!("there is no plug-in {name:?} here")),
            Some(digest) if *digest != written.sha256 => {
                errors.push(format!("plug-in {name:?} is another here: {digest}"));
            }
            Some(_) => {}
        }
    }
    errors
}
