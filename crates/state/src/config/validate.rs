//! Validation of an intent.

use std::collections;

use bw_wire::{intent, name};

/// Longest name, in bytes.
const NAME_MAX: usize = 128;
/// The deployment of models that name none. It needs no declaration.
const DEFAULT_DEPLOYMENT: &str = "default";

/// Returns all problems as `path: reason`.
pub(super) fn problems(intent: &intent::Intent) -> Vec<String> {
    let mut found = Vec::new();
    for (name, model) in &intent.models {
        let path = format!("models.{name}");
        check_name(&path, name, &mut found);
        check_model(&path, model, intent, &mut found);
    }
    for (name, service) in &intent.services {
        let path = format!("services.{name}");
        check_name(&path, name, &mut found);
        require(
            service.timeout_ms > 0,
            &path,
            "timeout_ms must be above 0",
            &mut found,
        );
    }
    for name in intent.deployments.keys() {
        check_name(&format!("deployments.{name}"), name, &mut found);
    }
    for (name, limits) in &intent.teams {
        let path = format!("teams.{name}");
        check_name(&path, name, &mut found);
        check_limits(&path, limits, &mut found);
    }
    check_limits("default_limits", &intent.default_limits, &mut found);
    for name in &intent.drained {
        check_name(&format!("drained.{name}"), name, &mut found);
    }
    let store = &intent.weight_store;
    let path = "weight_store";
    require(
        store.mb_per_s > 0,
        path,
        "mb_per_s must be above 0",
        &mut found,
    );
    require(
        store.burst_mb > 0,
        path,
        "burst_mb must be above 0",
        &mut found,
    );
    found
}

fn check_model(
    path: &str,
    model: &intent::Model,
    intent: &intent::Intent,
    found: &mut Vec<String>,
) {
    check_name(&format!("{path}.version"), &model.version, found);
    let mut seen = collections::BTreeSet::new();
    for adapter in &model.adapters {
        let path = format!("{path}.adapters.{adapter}");
        check_name(&path, adapter, found);
        require(seen.insert(adapter), &path, "is listed twice", found);
    }
    let within = model.min_ready <= model.replicas;
    require(within, path, "min_ready must not exceed replicas", found);
    let declared = intent.deployments.contains_key(&model.deployment)
        || model.deployment.as_str() == DEFAULT_DEPLOYMENT;
    let reason = format!("deployment `{}` is not declared", model.deployment);
    require(declared, path, &reason, found);
}

fn check_limits(path: &str, limits: &intent::Limits, found: &mut Vec<String>) {
    let burst = limits.requests_per_s == 0 || limits.burst > 0;
    require(burst, path, "burst must be above 0", found);
    require(
        limits.batch_weight > 0,
        path,
        "batch_weight must be above 0",
        found,
    );
}

fn check_name(path: &str, name: &name::Name, found: &mut Vec<String>) {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._:/@+-".contains(&byte);
    let valid = !name.is_empty() && name.len() <= NAME_MAX && name.bytes().all(is_allowed);
    let reason = "a name has 1 to 128 letters, digits or ._:/@+-";
    require(valid, path, reason, found);
}

fn require(holds: bool, path: &str, reason: &str, found: &mut Vec<String>) {
    if !holds {
        found.push(format!("{path}: {reason}"));
    }
}
