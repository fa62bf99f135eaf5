//! Parsing the lines of a batch input file.

use bw_wire::{command::work, name, openai, refusal};

/// API paths that a batch item may call.
pub(super) const ENDPOINTS: [&str; 2] = ["/v1/chat/completions", "/v1/completions"];

/// Parses one line. Line numbers start at 1. An invalid line becomes an item that has
/// already failed.
pub(super) fn read(number: u32, bytes: &[u8]) -> work::Line {
    match parse(bytes) {
        Ok(input) => work::Line {
            number,
            custom_id: Some(input.custom_id),
            content: work::Content::Request {
                url: input.url,
                model: model(&input.body),
                body: input.body.to_string(),
            },
        },
        Err(error) => bad(number, error.custom_id, error.reason, error.message),
    }
}

/// Returns the model name in a body that passed `check`.
fn model(body: &serde_json::Value) -> name::Name {
    let model = body.get("model").and_then(serde_json::Value::as_str);
    model.unwrap_or_default().into()
}

/// Returns an invalid line as an item that has already failed.
pub(super) fn bad(
    number: u32,
    custom_id: Option<String>,
    reason: refusal::Reason,
    message: impl Into<String>,
) -> work::Line {
    work::Line {
        number,
        custom_id,
        content: work::Content::Bad {
            code: reason.to_string(),
            message: message.into(),
        },
    }
}

/// Why a line is invalid, with its `custom_id` if that could be read.
struct Error {
    custom_id: Option<String>,
    reason: refusal::Reason,
    message: String,
}

fn parse(bytes: &[u8]) -> Result<openai::InputLine, Error> {
    let text = std::str::from_utf8(bytes).map_err(|_| {
        parse_error(
            None,
            refusal::Reason::InvalidJson,
            "the line is not valid UTF-8",
        )
    })?;
    let value: serde_json::Value = serde_json::from_str(text)
        .map_err(|error| parse_error(None, refusal::Reason::InvalidJson, error.to_string()))?;
    let custom_id = value
        .get("custom_id")
        .and_then(|id| id.as_str())
        .map(str::to_owned);
    let input: openai::InputLine =
        serde_json::from_value(value).map_err(|error| invalid(&custom_id, error.to_string()))?;
    check(&input).map_err(|message| invalid(&custom_id, message))?;
    Ok(input)
}

fn check(input: &openai::InputLine) -> Result<(), String> {
    if input.custom_id.is_empty() {
        return Err("custom_id must not be empty".to_owned());
    }
    if input.method != "POST" {
        return Err(format!("method must be POST, not {:?}", input.method));
    }
    if !ENDPOINTS.contains(&input.url.as_str()) {
        return Err(format!(
            "url must be one of {}, not {:?}",
            ENDPOINTS.join(", "),
            input.url
        ));
    }
    let Some(body) = input.body.as_object() else {
        return Err("body must be an object".to_owned());
    };
    if !body.get("model").is_some_and(serde_json::Value::is_string) {
        return Err("body.model must be a string".to_owned());
    }
    if body
        .get("stream")
        .is_some_and(|stream| stream != &serde_json::Value::Bool(false))
    {
        return Err("body.stream is not allowed in a batch".to_owned());
    }
    Ok(())
}

fn invalid(custom_id: &Option<String>, message: impl Into<String>) -> Error {
    parse_error(custom_id.clone(), refusal::Reason::InvalidField, message)
}

fn parse_error(
    custom_id: Option<String>,
    reason: refusal::Reason,
    message: impl Into<String>,
) -> Error {
    Error {
        custom_id,
        reason,
        message: message.into(),
    }
}
