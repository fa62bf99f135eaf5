//! Parses and checks the bodies of online requests.

use bw_wire::{fingerprint, intent, name, prefix, refusal};
use serde_json::{Map, Value};

use crate::upstream;

/// Fields that both APIs accept.
const COMMON_FIELDS: &[&str] = &[
    "model",
    "stream",
    "stream_options",
    "max_tokens",
    "temperature",
    "top_p",
    "n",
    "stop",
    "seed",
    "presence_penalty",
    "frequency_penalty",
    "logit_bias",
    "user",
    "metadata",
    "ignore_eos",
];
/// Further fields of `/v1/chat/completions`.
const CHAT_FIELDS: &[&str] = &[
    "messages",
    "max_completion_tokens",
    "response_format",
    "reasoning_effort",
];
/// Further fields of `/v1/completions`.
const COMPLETION_FIELDS: &[&str] = &["prompt"];

/// A checked body.
#[derive(Clone, Debug)]
pub struct Body {
    /// The whole body, a JSON object.
    pub value: Value,
    /// The model or adapter that the caller names.
    pub model: name::Name,
    /// Whether the caller wants a stream.
    pub stream: bool,
    /// Whether the caller wants token counts at the end of the stream.
    pub include_usage: bool,
}

impl Body {
    /// Returns the fingerprint of the request.
    pub fn fingerprint(&self) -> fingerprint::Fingerprint {
        fingerprint::Fingerprint::of_request(&self.value)
    }

    /// Returns the fingerprints of the prompt's blocks.
    pub fn prefix(&self) -> Vec<fingerprint::Fingerprint> {
        let prompt = prefix::prompt(&self.value);
        prefix::blocks(&self.model, &prompt)
    }
}

/// Parses the body of an online request.
///
/// # Errors
///
/// Refuses text that is not JSON, and fields that are unknown, missing or have
/// a value that cannot be served. Unknown fields are not ignored, so that a
/// caller that relies on one learns that it has no effect.
pub fn online(api: upstream::Api, bytes: &[u8]) -> Result<Body, refusal::Refusal> {
    let text = std::str::from_utf8(bytes)
        .map_err(|error| invalid_json(format!("the body is not UTF-8: {error}")))?;
    let value: Value = serde_json::from_str(text)
        .map_err(|error| invalid_json(format!("the body is not JSON: {error}")))?;
    let Value::Object(fields) = &value else {
        return Err(invalid_json("the body is not a JSON object".to_owned()));
    };
    check_names(api, fields)?;
    let model = match fields.get("model") {
        Some(Value::String(model)) if !model.is_empty() => model.as_str(),
        Some(_) => return Err(invalid("model", "must be a non-empty string")),
        None => return Err(invalid("model", "is required")),
    };
    match api {
        upstream::Api::Chat => check_messages(fields)?,
        upstream::Api::Completion => check_prompt(fields)?,
    }
    check_values(fields)?;
    let stream = parse_bool(fields, "stream")?;
    Ok(Body {
        model: model.into(),
        stream,
        include_usage: stream && parse_include_usage(fields)?,
        value,
    })
}

/// The model that serves a request, and the adapter that it needs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// The base model.
    pub model: name::Name,
    /// The adapter, or none if the request names the model itself.
    pub adapter: Option<name::Name>,
}

/// Finds the declared model or adapter that a request names.
///
/// # Errors
///
/// Refuses a name that is not declared.
pub fn target(intent: &intent::Intent, named: &name::Name) -> Result<Target, refusal::Refusal> {
    if intent.models.contains_key(named) {
        return Ok(Target {
            model: named.clone(),
            adapter: None,
        });
    }
    let base = intent
        .models
        .iter()
        .find(|(_, model)| model.adapters.contains(named));
    if let Some((model, _)) = base {
        return Ok(Target {
            model: model.clone(),
            adapter: Some(named.clone()),
        });
    }
    let message = format!("the model {:?} does not exist", named.as_str());
    Err(refusal::Refusal::not_run(refusal::Reason::ModelNotFound, message).param("model"))
}

fn check_names(api: upstream::Api, fields: &Map<String, Value>) -> Result<(), refusal::Refusal> {
    let further = match api {
        upstream::Api::Chat => CHAT_FIELDS,
        upstream::Api::Completion => COMPLETION_FIELDS,
    };
    for field in fields.keys() {
        if !COMMON_FIELDS.contains(&field.as_str()) && !further.contains(&field.as_str()) {
            return Err(invalid(field, "is unknown or not supported"));
        }
    }
    Ok(())
}

fn check_messages(fields: &Map<String, Value>) -> Result<(), refusal::Refusal> {
    let Some(Value::Array(messages)) = fields.get("messages") else {
        return Err(invalid("messages", "must be a list"));
    };
    if messages.is_empty() {
        return Err(invalid("messages", "must not be empty"));
    }
    for (position, message) in messages.iter().enumerate() {
        let param = format!("messages[{position}]");
        let Value::Object(message) = message else {
            return Err(invalid(&param, "must be an object"));
        };
        if !matches!(message.get("role"), Some(Value::String(_))) {
            return Err(invalid(&format!("{param}.role"), "must be a string"));
        }
        let content = message.get("content");
        if !matches!(content, Some(Value::String(_) | Value::Array(_))) {
            let reason = "must be a string or a list";
            return Err(invalid(&format!("{param}.content"), reason));
        }
    }
    Ok(())
}

fn check_prompt(fields: &Map<String, Value>) -> Result<(), refusal::Refusal> {
    match fields.get("prompt") {
        Some(Value::String(_)) => Ok(()),
        _ => Err(invalid("prompt", "must be a string")),
    }
}

fn check_values(fields: &Map<String, Value>) -> Result<(), refusal::Refusal> {
    // Only an answer with a single text can be resumed on another backend server.
    let choices = fields.get("n").filter(|value| !value.is_null());
    if choices.is_some_and(|value| value.as_u64() != Some(1)) {
        return Err(invalid("n", "must be 1"));
    }
    for field in ["max_tokens", "max_completion_tokens"] {
        let limit = fields.get(field).filter(|value| !value.is_null());
        if limit.is_some_and(|value| value.as_u64().is_none_or(|limit| limit == 0)) {
            return Err(invalid(field, "must be a positive whole number"));
        }
    }
    for (field, low, high) in [("temperature", 0.0, 2.0), ("top_p", 0.0, 1.0)] {
        let value = fields.get(field).filter(|value| !value.is_null());
        let in_range = |value: &Value| {
            let number = value.as_f64();
            number.is_some_and(|number| (low..=high).contains(&number))
        };
        if value.is_some_and(|value| !in_range(value)) {
            return Err(invalid(field, &format!("must be from {low} to {high}")));
        }
    }
    Ok(())
}

fn parse_include_usage(fields: &Map<String, Value>) -> Result<bool, refusal::Refusal> {
    match fields.get("stream_options") {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Object(options)) => parse_bool(options, "include_usage"),
        Some(_) => Err(invalid("stream_options", "must be an object")),
    }
}

fn parse_bool(fields: &Map<String, Value>, field: &str) -> Result<bool, refusal::Refusal> {
    match fields.get(field) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(value)) => Ok(*value),
        Some(_) => Err(invalid(field, "must be true or false")),
    }
}

fn invalid(param: &str, reason: &str) -> refusal::Refusal {
    let message = format!("{param} {reason}");
    refusal::Refusal::not_run(refusal::Reason::InvalidField, message).param(param)
}

fn invalid_json(message: String) -> refusal::Refusal {
    refusal::Refusal::not_run(refusal::Reason::InvalidJson, message)
}
