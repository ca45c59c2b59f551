//! A chat completion request as callers send it.

use serde::Deserialize;
use serde_json::Value;
use teaselcroft_parts::{ClassName, CustomerName, Fingerprint};

/// Assumed average size of a token, for estimating prompt sizes.
const BYTES_PER_TOKEN: usize = 4;

#[derive(Debug, Deserialize)]
struct ChatWire {
    model: ClassName,
    messages: Vec<Value>,
    #[serde(default)]
    stream: bool,
}

/// A parsed chat completion request.
#[derive(Debug, Clone, PartialEq)]
pub struct ChatRequest {
    /// The request's class, which callers send in the `model` field.
    pub class: ClassName,
    /// The messages of the conversation, passed on as they came; never empty.
    pub messages: Vec<Value>,
    /// Whether the caller wants server-sent events instead of one JSON reply.
    pub stream: bool,
    /// The size of the request body in bytes.
    pub bytes: usize,
}

impl ChatRequest {
    /// Parses a request body.
    ///
    /// # Errors
    ///
    /// The body is not valid JSON, lacks a field, or has no messages.
    pub fn parse(body: &[u8]) -> Result<ChatRequest, serde_json::Error> {
        let wire: ChatWire = serde_json::from_slice(body)?;
        if wire.messages.is_empty() {
            return Err(serde::de::Error::custom("a conversation needs at least one message"));
        }
        Ok(ChatRequest { class: wire.model, messages: wire.messages, stream: wire.stream, bytes: body.len() })
    }

    /// The prompt size in tokens, estimated from the body size.
    pub fn prompt_tokens(&self) -> u32 {
        u32::try_from(self.bytes / BYTES_PER_TOKEN).unwrap_or(u32::MAX)
    }

    /// A fingerprint of the customer, class and messages; equal for repeated requests with the same content.
    pub fn fingerprint(&self, customer: &CustomerName) -> Fingerprint {
        let messages = Value::from(self.messages.clone()).to_string();
        Fingerprint::of(&[customer.as_str().as_bytes(), self.class.as_str().as_bytes(), messages.as_bytes()])
    }

    /// A fingerprint of the class and first message, for prefix cache affinity.
    pub fn prefix(&self) -> Fingerprint {
        let first = self.messages.first().map(Value::to_string).unwrap_or_default();
        Fingerprint::of(&[self.class.as_str().as_bytes(), first.as_bytes()])
    }
}
