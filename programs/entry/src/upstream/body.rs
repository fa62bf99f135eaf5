//! Request bodies for engines.

use bytes::Bytes;
use serde_json::{Map, Value};

/// Returns the body of a request that continues after text that an earlier
/// attempt generated. It always asks for a stream with usage.
pub fn resumed(fields: &Map<String, Value>, text: &str) -> Bytes {
    let mut fields = fields.clone();
    fields.insert("stream".to_owned(), Value::Bool(true));
    fields.insert(
        "stream_options".to_owned(),
        serde_json::json!({ "include_usage": true }),
    );
    if !text.is_empty() {
        fields.insert("bw_resume_text".to_owned(), Value::String(text.to_owned()));
    }
    Bytes::from(Value::Object(fields).to_string())
}
