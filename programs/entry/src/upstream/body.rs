//! Request bodies for engines.

use bytes::Bytes;
use serde_json::Value;

/// Returns the body of a request that continues after the text of earlier
/// attempts, if any. It always asks for a stream with token counts.
///
/// `value` is the caller's body, a JSON object.
pub fn resume_body(value: &Value, text: &str) -> Bytes {
    let mut value = value.clone();
    if let Some(fields) = value.as_object_mut() {
        fields.insert("stream".to_owned(), Value::Bool(true));
        let options = serde_json::json!({ "include_usage": true });
        fields.insert("stream_options".to_owned(), options);
        if !text.is_empty() {
            let text = Value::String(text.to_owned());
            fields.insert("bw_resume_text".to_owned(), text);
        }
    }
    Bytes::from(value.to_string())
}
