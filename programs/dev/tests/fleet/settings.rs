//! Settings of the processes of a fleet, as JSON values.

use serde_json::{Value, json};

use super::{End, Fleet, MODEL};

const FAILURE_DOMAINS: [&str; 3] = ["ljub-a", "ljub-b", "ljub-c"];

/// Returns the failure domain of the process with an index.
pub fn failure_domain(index: usize) -> &'static str {
    FAILURE_DOMAINS[index % FAILURE_DOMAINS.len()]
}

/// Settings of a control replica that is one of the first members.
pub fn control(fleet: &Fleet, index: usize) -> Value {
    let members: Vec<Value> = (0..fleet.spec.controls)
        .map(|member| {
            json!({
                "replica": member + 1,
                "address": fleet.route(End::Control(index), End::Control(member)),
                "failure_domain": failure_domain(member),
                "voter": true,
            })
        })
        .collect();
    let own = json!({
        "replica": index + 1,
        "name": format!("control-{index}"),
        "listen": fleet.control_address(index),
        "admin": fleet.control_admin_address(index),
        "data": fleet.path(&format!("control-{index}.data")),
        "failure_domain": failure_domain(index),
        "members": members,
        "work_groups": 2,
    });
    merged(own, &fleet.spec.control)
}

/// Settings of a control replica that replaces a lost one under a new id.
pub fn replacement(fleet: &Fleet, index: usize, replica: u64) -> Value {
    let mut settings = control(fleet, index);
    settings["replica"] = replica.into();
    settings["data"] = fleet
        .path(&format!("control-{index}.data-{replica}"))
        .to_string_lossy()
        .into();
    settings
}

/// Settings of an entry VM.
pub fn entry(fleet: &Fleet, index: usize) -> Value {
    let controls: Vec<String> = (0..fleet.spec.controls)
        .map(|control| fleet.route(End::Entry(index), End::Control(control)))
        .collect();
    let own = json!({
        "name": format!("entry-{index}"),
        "failure_domain": failure_domain(index),
        "address": fleet.entry_address(index),
        "peer_address": fleet.route(End::Peers, End::Entry(index)),
        "peer_listen": fleet.peer_address(index),
        "admin_address": fleet.entry_admin_address(index),
        "control": controls,
        "groups": 2,
        // A frozen engine must be noticed within a test.
        "timeouts": { "first_token_ms": 3_000, "between_tokens_ms": 2_000 },
    });
    merged(own, &fleet.spec.entry)
}

/// Settings of an engine.
pub fn engine(fleet: &Fleet, index: usize) -> Value {
    let models = match fleet.spec.empty_engines {
        true => json!([]),
        false => json!([{ "model": MODEL, "version": "1" }]),
    };
    let own = json!({
        "id": format!("engine-{index}"),
        "address": fleet.engine_address(index),
        "kind": "engine",
        "service": "engines",
        "failure_domain": failure_domain(index),
        "models": models,
        "announce": announce(fleet),
    });
    merged(own, &fleet.spec.engine)
}

/// Settings of a plain service.
pub fn service(fleet: &Fleet, index: usize) -> Value {
    json!({
        "id": format!("service-{index}"),
        "address": fleet.service_address(index),
        "kind": "service",
        "service": "invoices",
        "failure_domain": failure_domain(index),
        "announce": announce(fleet),
    })
}

fn announce(fleet: &Fleet) -> Vec<String> {
    (0..fleet.spec.entries)
        .filter(|index| fleet.spec.announce_to.is_none_or(|only| only == *index))
        .map(|index| fleet.entry_address(index))
        .collect()
}

fn merged(mut own: Value, extra: &Value) -> Value {
    let fields = extra.as_object().expect("extra settings are an object");
    for (key, value) in fields {
        own[key] = value.clone();
    }
    own
}
