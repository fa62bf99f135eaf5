//! Requests of the completion paths.

use bw_wire::{prefix, refusal};
use gotham::hyper;

use crate::text;

/// Which of the two completion paths a request came to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Path {
    /// `/v1/chat/completions`
    Chat,
    /// `/v1/completions`
    Text,
}

/// A checked request.
#[derive(Clone, Debug)]
pub struct Request {
    /// The path.
    pub path: Path,
    /// The model.
    pub model: String,
    /// The prompt text.
    pub prompt: String,
    /// The whole answer.
    pub answer: text::Answer,
    /// Output tokens that the caller already has.
    pub resume_tokens: u32,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Whether a stream ends with a usage chunk.
    pub include_usage: bool,
}

impl Request {
    /// Checks a request body and its resume header.
    ///
    /// # Errors
    ///
    /// Returns the refusal with the field at fault.
    pub fn parse(
        path: Path,
        body: &serde_json::Value,
        resume_tokens: Option<&hyper::header::HeaderValue>,
    ) -> Result<Request, refusal::Refusal> {
        let model = body.get("model").and_then(|model| model.as_str());
        let model = model.ok_or_else(|| invalid("model", "must be a string"))?;
        match path {
            Path::Chat => check_messages(body)?,
            Path::Text => check_prompt(body)?,
        }
        if number(body, "n")?.unwrap_or(1) != 1 {
            return Err(invalid("n", "only 1 is supported"));
        }
        let limit = match number(body, "max_completion_tokens")? {
            Some(limit) => Some(limit),
            None => number(body, "max_tokens")?,
        };
        if limit == Some(0) {
            return Err(invalid("max_tokens", "must be at least 1"));
        }
        let ignore_end = flag(body, "ignore_eos")?;
        let prompt = prefix::prompt(body);
        let answer = text::Answer::new(model, &prompt, limit, ignore_end);
        let options = body.get("stream_options");
        Ok(Request {
            path,
            model: model.to_owned(),
            resume_tokens: resume(body, resume_tokens, &answer)?,
            prompt,
            answer,
            stream: flag(body, "stream")?,
            include_usage: match options {
                Some(options) if !options.is_null() => flag(options, "include_usage")?,
                _ => false,
            },
        })
    }
}

/// Checks that the resumed text is the start of the answer.
///
/// An engine would continue any text. The stand-in knows the only right one, so
/// it refuses another text rather than return a wrong answer.
fn resume(
    body: &serde_json::Value,
    header: Option<&hyper::header::HeaderValue>,
    answer: &text::Answer,
) -> Result<u32, refusal::Refusal> {
    let text = match body.get("bw_resume_text") {
        None | Some(serde_json::Value::Null) => "",
        Some(serde_json::Value::String(text)) => text,
        Some(_) => return Err(invalid("bw_resume_text", "must be a string")),
    };
    let tokens = match header {
        Some(value) => {
            let value = value.to_str().ok().and_then(|value| value.parse().ok());
            value.ok_or_else(|| invalid("bw-resume-tokens", "must be a number of tokens"))?
        }
        None => u32::try_from(text.split_whitespace().count()).unwrap_or(u32::MAX),
    };
    if tokens > answer.tokens() {
        return Err(invalid("bw-resume-tokens", "is longer than the answer"));
    }
    if text != answer.text_before(tokens) {
        return Err(invalid("bw_resume_text", "is not the start of the answer"));
    }
    Ok(tokens)
}

fn check_messages(body: &serde_json::Value) -> Result<(), refusal::Refusal> {
    let messages = body
        .get("messages")
        .and_then(|messages| messages.as_array());
    match messages {
        Some(messages) if messages.is_empty() => Err(invalid("messages", "must not be empty")),
        Some(messages) if messages.iter().all(serde_json::Value::is_object) => Ok(()),
        _ => Err(invalid("messages", "must be a list of objects")),
    }
}

fn check_prompt(body: &serde_json::Value) -> Result<(), refusal::Refusal> {
    match body.get("prompt") {
        Some(serde_json::Value::String(_)) => Ok(()),
        _ => Err(invalid("prompt", "must be a string")),
    }
}

fn number(body: &serde_json::Value, field: &str) -> Result<Option<u32>, refusal::Refusal> {
    match body.get(field) {
        None | Some(serde_json::Value::Null) => Ok(None),
        Some(value) => value
            .as_u64()
            .and_then(|value| u32::try_from(value).ok())
            .map(Some)
            .ok_or_else(|| invalid(field, "must be a whole number")),
    }
}

fn flag(body: &serde_json::Value, field: &str) -> Result<bool, refusal::Refusal> {
    match body.get(field) {
        None | Some(serde_json::Value::Null) => Ok(false),
        Some(serde_json::Value::Bool(value)) => Ok(*value),
        Some(_) => Err(invalid(field, "must be true or false")),
    }
}

fn invalid(field: &str, reason: &str) -> refusal::Refusal {
    let message = format!("{field}: {reason}");
    refusal::Refusal::not_run(refusal::Reason::InvalidField, message).param(field)
}
