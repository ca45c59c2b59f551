//! A chat completion request as callers send it.

use serde::Deserialize;
use serde_json::Value;
use teaselcroft_parts::{ClassName, CustomerName, Fingerprint};

const BYTES_PER_TOKEN: usize = 4;

#[derive(Debug, Deserialize)]
struct ChatWire {
    model: ClassName,
    messages: Vec<Value>,
    #[serde(default)]
    stream: bool,
}

/// A chat completion request.
#[derive(Debug, Clone, PartialEq)]
pub struct ChatRequest {
    /// The class, sent as the model's name.
    pub class: ClassName,
    /// The conversation.
    pub messages: Vec<Value>,
    /// Whether the answer is to be streamed.
    pub stream: bool,
    /// The size of the body in bytes.
    pub bytes: usize,
}

impl ChatRequest {
    /// Reads a request's body.
    ///
    /// # Errors
    ///
    /// The body is no JSON of that form, or has no messages.
    pub fn parse(body: &[u8]) -> Result<ChatRequest, serde_json::Error> {
        let wire: ChatWire = serde_json::from_slice(body)?;
        if wire.messages.is_empty() {
            return Err(serde::de::Error::custom("a conversation needs at least one message"));
        }
        Ok(ChatRequest { class: wire.model, messages: wire.messages, stream: wire.stream, bytes: body.len() })
    }

    /// The estimated size of the prompt in tokens.
    pub fn prompt_tokens(&self) -> u32 {
        u32::try_from(self.bytes / BYTES_PER_TOKEN).unwrap_or(u32::MAX)
    }

    /// Identifies the content as sent by `customer`.
    pub fn fingerprint(&self, customer: &CustomerName) -> Fingerprint {
        let messages = Value::from(self.messages.clone()).to_string();
        Fingerprint::of(&[customer.as_str().as_bytes(), self.class.as_str().as_bytes(), messages.as_bytes()])
    }

    /// Identifies the first message, which prompts that begin alike share.
    pub fn prefix(&self) -> Fingerprint {
        let first = self.messages.first().map(Value::to_string).unwrap_or_default();
        Fingerprint::of(&[self.class.as_str().as_bytes(), first.as_bytes()])
    }
}
