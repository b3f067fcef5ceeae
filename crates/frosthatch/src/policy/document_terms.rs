//! Converts a policy document into this gateway's policy terms, and checks that its plans, classes and plug-ins are
//! those of this gateway.

#[cfg(test)]
mod tests;

use frosthatch_plugins::host::PluginConfig;
use frosthatch_policy_consensus::document::{self, hex, sha256, Document};
use frosthatch_traffic_control::{Ceiling, Plan, PolicyTerms, RequestClass, RetryBudget, Settings};
use std::collections::BTreeMap;

/// Returns the digests (SHA-256, hexadecimal) of the plug-ins' files by plug-in name; a plug-in whose file cannot
/// be read is left out.
pub fn plugin_digests(plugins: &[PluginConfig]) -> BTreeMap<String, String> {
    let digest = |plugin: &PluginConfig| {
        let bytes = std::fs::read(&plugin.file).ok()?;
        Some((plugin.name.clone(), hex(&sha256(bytes))))
    };
    plugins.iter().filter_map(digest).collect()
}

/// Returns the policy terms that a document sets.
///
/// # Errors
/// Returns every reason for which this gateway cannot serve under the document, joined into one message.
pub fn policy_terms(
    settings: &Settings,
    plugin_digests: &BTreeMap<String, String>,
    document: &Document,
) -> Result<PolicyTerms, String> {
    let mut errors = unknown_name_errors(settings, document);
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

/// Returns an error for each plan and class of the document that the settings do not have.
fn unknown_name_errors(settings: &Settings, document: &Document) -> Vec<String> {
    let has_plan = |name: &str| settings.plans.iter().any(|plan| plan.name == name);
    let has_class = |name: &str| settings.classes.iter().any(|class| class.name == name);
    let unknown_plans = document.plans.keys().filter(|name| !has_plan(name));
    let unknown_classes = document.classes.keys().filter(|name| !has_class(name));
    unknown_plans
        .map(|name| format!("there is no plan {name:?} here"))
        .chain(unknown_classes.map(|name| format!("there is no class {name:?} here")))
        .collect()
}

/// Returns the settings' plans with the document's values, and adds to `errors` why a plan cannot be changed.
fn plans(settings: &Settings, document: &Document, errors: &mut Vec<String>) -> Vec<Plan> {
    let mut plans = Vec::new();
    for plan in &settings.plans {
        let Some(document_entry) = document.plans.get(&plan.name) else {
            errors.push(format!("plan {:?} is missing in the document", plan.name));
            continue;
        };
        errors.extend(plan_errors(plan, document_entry, settings.has_counter));
        let ceiling = document_entry
            .ceiling_rate
            .zip(document_entry.ceiling_depth);
        plans.push(Plan {
            rate: document_entry.rate,
            burst: document_entry.burst,
            max_open: document_entry.max_open,
            ceiling: ceiling.map(|(rate, depth)| Ceiling { rate, depth }),
            ..plan.clone()
        });
    }
    plans
}

/// Returns why the document's values cannot be used for a plan.
fn plan_errors(plan: &Plan, document_entry: &document::Plan, has_counter: bool) -> Vec<String> {
    let mut errors = Vec::new();
    if (plan.rate > 0.0) != (document_entry.rate > 0.0) {
        errors.push(format!(
            "plan {:?} would change the kind of its quota, between a rate and a limit on open attempts",
            plan.name
        ));
    }
    if has_counter && plan.max_open != document_entry.max_open {
        let reason =
            "max_open cannot change while there is a shared counter, which reserves open attempts by this limit";
        errors.push(format!("plan {:?}: {reason}", plan.name));
    }
    errors
}

/// Returns the settings' classes with the document's values, and adds to `errors` why a class cannot be changed.
fn classes(
    settings: &Settings,
    document: &Document,
    errors: &mut Vec<String>,
) -> Vec<RequestClass> {
    let mut classes = Vec::new();
    for class in &settings.classes {
        let Some(document_entry) = document.classes.get(&class.name) else {
            errors.push(format!("class {:?} is missing in the document", class.name));
            continue;
        };
        let latency_objective_us = document_entry.aim_ms * 1_000;
        if latency_objective_us > class.deadline_us {
            errors.push(format!(
                "class {:?}: aim_ms is after the class's deadline of {} ms",
                class.name,
                class.deadline_us / 1_000
            ));
        }
        classes.push(RequestClass {
            latency_objective_us,
            priority_weight: document_entry.worth,
            late_weight: document_entry.late_worth,
            ..class.clone()
        });
    }
    classes
}

/// Returns an error for each plug-in of the document that is missing here or whose file has another digest.
fn plugin_errors(plugin_digests: &BTreeMap<String, String>, document: &Document) -> Vec<String> {
    let mut errors = Vec::new();
    for (name, document_entry) in &document.plugins {
        match plugin_digests.get(name) {
            None => errors.push(format!("there is no plug-in {name:?} here")),
            Some(digest) if *digest != document_entry.sha256 => {
                errors.push(format!(
                    "plug-in {name:?} is another here: this gateway's file has SHA-256 {digest}"
                ));
            }
            Some(_) => {}
        }
    }
    errors
}
