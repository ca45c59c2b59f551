//! The engine client over HTTP; answers arrive as server-sent events.

use std::time::Duration;

use futures_lite::io::{AsyncBufReadExt, AsyncReadExt};
use http_types::{Body, Method};
use teaselcroft_parts::{Millis, RequestId};

use crate::engine::{Engine, GenerateWire, OrderWire, ReportWire, TokenStream, TokenWire};
use crate::http_client::{HttpCall, HttpError, MAX_RUNNER_REPLY_BYTES, with_timeout};

/// Timeout of requests other than `generate`.
const CONTROL_TIMEOUT: Millis = Millis(1_000);
const END_MARK: &str = "[DONE]";

/// The longest line of an answer, in bytes; it holds one token.
const MAX_LINE_BYTES: usize = 64 << 10;

/// An [`Engine`] client that opens one HTTP connection per request.
#[derive(Debug, Clone, Copy, Default)]
pub struct EngineHttp;

/// Parses the server-sent events of one answer into tokens.
#[derive(Debug)]
pub struct EventStream {
    body: Body,
    /// The begin of the next line.
    line: Vec<u8>,
}

impl EventStream {
    /// The next line without its end, or an error at the end of the answer.
    async fn next_line(&mut self) -> Result<String, HttpError> {
        let room = (MAX_LINE_BYTES - self.line.len()) as u64;
        let mut limited = (&mut self.body).take(room);
        limited.read_until(b'\n', &mut self.line).await.map_err(|_| HttpError::Broken)?;
        let mut line = std::mem::take(&mut self.line);
        if line.pop() != Some(b'\n') {
            return Err(HttpError::Broken);
        }
        line.pop_if(|byte| *byte == b'\r');
        String::from_utf8(line).map_err(|_| HttpError::Broken)
    }

    async fn next_data(&mut self) -> Result<Option<TokenWire>, HttpError> {
        loop {
            let line = self.next_line().await?;
            let Some(data) = line.strip_prefix("data: ") else {
                continue;
            };
            if data == END_MARK {
                return Ok(None);
            }
            return serde_json::from_str(data).map(Some).map_err(|_| HttpError::Broken);
        }
    }
}

impl TokenStream for EventStream {
    async fn next(&mut self, limit: Millis) -> Result<Option<TokenWire>, HttpError> {
        let limit = Duration::from(limit);
        with_timeout(limit, Err(HttpError::Silent), self.next_data()).await
    }
}

impl Engine for EngineHttp {
    type Stream = EventStream;

    async fn generate(&self, address: &str, request: &GenerateWire, limit: Millis) -> Result<EventStream, HttpError> {
        let body = serde_json::to_vec(request).map_err(|_| HttpError::Refused)?;
        let call = HttpCall { method: Method::Post, body, ..HttpCall::get(address, "/generate".to_owned(), limit) };
        let mut response = call.open().await?;
        if !response.status().is_success() {
            return Err(HttpError::Refused);
        }
        Ok(EventStream { body: response.take_body(), line: Vec::new() })
    }

    async fn cancel(&self, address: &str, request: &RequestId) -> Result<(), HttpError> {
        let base = HttpCall::get(address, format!("/generate/{request}"), CONTROL_TIMEOUT);
        HttpCall { method: Method::Delete, max_reply: MAX_RUNNER_REPLY_BYTES, ..base }.send().await.map(|_| ())
    }

    async fn report(&self, address: &str) -> Result<ReportWire, HttpError> {
        let call = HttpCall {
            max_reply: MAX_RUNNER_REPLY_BYTES,
            ..HttpCall::get(address, "/report".to_owned(), CONTROL_TIMEOUT)
        };
        let reply = call.send().await?;
        serde_json::from_slice(&reply.body).map_err(|_| HttpError::Broken)
    }

    async fn order(&self, address: &str, order: &OrderWire) -> Result<bool, HttpError> {
        let body = serde_json::to_vec(order).map_err(|_| HttpError::Refused)?;
        let base = HttpCall::get(address, "/orders".to_owned(), CONTROL_TIMEOUT);
        let call = HttpCall { method: Method::Post, body, max_reply: MAX_RUNNER_REPLY_BYTES, ..base };
        Ok(call.send().await?.status == 200)
    }
}
