//! Fingerprints of prompt prefixes.
//!
//! Engines cache prompts in blocks and identify the blocks by these fingerprints in
//! their cache events. Entry VMs compute the same fingerprints from a request to find
//! the engine that has cached the longest prefix.

use crate::fingerprint;

/// Size of a cached block, in bytes of prompt text (16 tokens of 4 bytes).
pub const BLOCK_BYTES: usize = 64;

/// Returns the prompt text of a request, which an engine processes before it
/// generates output.
///
/// Chat messages are joined as `role`, newline, `content`, newline. Parts of a
/// message that are not text are represented by their JSON text.
pub fn prompt(body: &serde_json::Value) -> String {
    let mut text = String::new();
    match body
        .get("messages")
        .and_then(|messages| messages.as_array())
    {
        Some(messages) => {
            for message in messages {
                let role = message.get("role").and_then(|role| role.as_str());
                text.push_str(role.unwrap_or("user"));
                text.push('\n');
                if let Some(content) = message.get("content") {
                    push_content(&mut text, content);
                }
                text.push('\n');
            }
        }
        None => {
            if let Some(prompt) = body.get("prompt") {
                push_content(&mut text, prompt);
            }
        }
    }
    text
}

/// Returns the fingerprints of the full blocks of a prompt, in order.
///
/// Each fingerprint covers the model and all text up to the end of its block,
/// so that equal fingerprints mean equal prefixes.
pub fn blocks(model: &str, prompt: &str) -> Vec<fingerprint::Fingerprint> {
    let mut chain = fingerprint::Fingerprint::of_bytes(model.as_bytes());
    let mut blocks = Vec::with_capacity(prompt.len() / BLOCK_BYTES);
    for block in prompt.as_bytes().chunks_exact(BLOCK_BYTES) {
        let mut bytes = [0; 16 + BLOCK_BYTES];
        bytes[..8].copy_from_slice(&chain.0.to_le_bytes());
        bytes[8..16].copy_from_slice(&chain.1.to_le_bytes());
        bytes[16..].copy_from_slice(block);
        chain = fingerprint::Fingerprint::of_bytes(&bytes);
        blocks.push(chain);
    }
    blocks
}

fn push_content(text: &mut String, content: &serde_json::Value) {
    match content {
        serde_json::Value::String(content) => text.push_str(content),
        serde_json::Value::Array(parts) => {
            for part in parts {
                match part.get("text").unwrap_or(part) {
                    serde_json::Value::String(content) => text.push_str(content),
                    other => text.push_str(&other.to_string()),
                }
            }
        }
        serde_json::Value::Null => {}
        other => text.push_str(&other.to_string()),
    }
}
