//! Differences between two intents.

use bw_wire::{command::config, intent};

/// Returns the changed values in path order.
pub(super) fn changes(before: &intent::Intent, after: &intent::Intent) -> Vec<config::Change> {
    let mut found = Vec::new();
    let (before, after) = (json(before), json(after));
    compare("", Some(&before), Some(&after), &mut found);
    found
}

/// Returns the megabytes that engines fetch from the weight store after a change.
pub(super) fn fetch_mb(before: &intent::Intent, after: &intent::Intent) -> u64 {
    let models = after.models.iter().map(|(name, model)| {
        let kept = match before.models.get(name) {
            Some(old) if same_weights(old, model) => old.replicas.min(model.replicas),
            _ => 0,
        };
        u64::from(model.replicas - kept).saturating_mul(model.size_mb)
    });
    models.fold(0, u64::saturating_add)
}

fn same_weights(before: &intent::Model, after: &intent::Model) -> bool {
    before.version == after.version
        && before.adapters == after.adapters
        && before.deployment == after.deployment
}

fn json(intent: &intent::Intent) -> serde_json::Value {
    serde_json::to_value(intent).unwrap_or_default()
}

fn compare(
    path: &str,
    before: Option<&serde_json::Value>,
    after: Option<&serde_json::Value>,
    found: &mut Vec<config::Change>,
) {
    if before == after {
        return;
    }
    let maps = (
        before.and_then(serde_json::Value::as_object),
        after.and_then(serde_json::Value::as_object),
    );
    let (Some(old), Some(new)) = maps else {
        found.push(config::Change {
            path: path.to_owned(),
            before: before.map(serde_json::Value::to_string),
            after: after.map(serde_json::Value::to_string),
        });
        return;
    };
    let mut keys: Vec<&String> = old.keys().chain(new.keys()).collect();
    keys.sort_unstable();
    keys.dedup();
    for key in keys {
        let path = match path {
            "" => key.clone(),
            _ => format!("{path}.{key}"),
        };
        compare(&path, old.get(key), new.get(key), found);
    }
}
