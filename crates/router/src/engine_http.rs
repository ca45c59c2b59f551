//! The engine client over HTTP; answers arrive as server-sent events.

use std::time::Duration;

use futures_lite::StreamExt;
use futures_lite::io::{AsyncBufReadExt, Lines};
use http_types::{Body, Method};
use teaselcroft_parts::{Millis, RequestId};

use crate::engine::{Engine, GenerateWire, OrderWire, ReportWire, TokenStream, TokenWire};
use crate::http_client::{HttpCall, HttpError, with_timeout};

/// Timeout of requests other than `generate`.
const CONTROL_TIMEOUT: Millis = Millis(1_000);
const END_MARK: &str = "[DONE]";

/// An [`Engine`] client that opens one HTTP connection per request.
#[derive(Debug, Clone, Copy, Default)]
pub struct EngineHttp;

/// Parses the server-sent events of one answer into tokens.
#[derive(Debug)]
pub struct EventStream {
    lines: Lines<Body>,
}

impl EventStream {
    async fn next_data(&mut self) -> Result<Option<TokenWire>, HttpError> {
        loop {
            let line = self.lines.next().await.ok_or(HttpError::Broken)?;
            let line = line.map_err(|_| HttpError::Broken)?;
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
        Ok(EventStream { lines: response.take_body().lines() })
    }

    async fn cancel(&self, address: &str, request: &RequestId) -> Result<(), HttpError> {
        let base = HttpCall::get(address, format!("/generate/{request}"), CONTROL_TIMEOUT);
        HttpCall { method: Method::Delete, ..base }.send().await.map(|_| ())
    }

    async fn report(&self, address: &str) -> Result<ReportWire, HttpError> {
        let reply = HttpCall::get(address, "/report".to_owned(), CONTROL_TIMEOUT).send().await?;
        serde_json::from_slice(&reply.body).map_err(|_| HttpError::Broken)
    }

    async fn order(&self, address: &str, order: &OrderWire) -> Result<bool, HttpError> {
        let body = serde_json::to_vec(order).map_err(|_| HttpError::Refused)?;
        let call =
            HttpCall { method: Method::Post, body, ..HttpCall::get(address, "/orders".to_owned(), CONTROL_TIMEOUT) };
        Ok(call.send().await?.status == 200)
    }
}
