//! The plain service client over HTTP.

use http_types::Method;

use crate::http_client::{HttpCall, HttpError, MAX_RUNNER_REPLY_BYTES};
use crate::plain_service::{PlainService, ServiceCall, ServiceReply};

/// Sends calls with `POST /call`; request id, class and idempotency key are headers.
#[derive(Debug, Clone, Copy, Default)]
pub struct PlainServiceHttp;

impl PlainService for PlainServiceHttp {
    async fn call(&self, address: &str, call: &ServiceCall) -> Result<ServiceReply, HttpError> {
        let mut headers = vec![("x-request-id", call.request.to_string()), ("x-request-class", call.class.clone())];
        if let Some(key) = &call.key {
            headers.push(("idempotency-key", key.clone()));
        }
        let base = HttpCall::get(address, "/call".to_owned(), call.timeout);
        let max_reply = MAX_RUNNER_REPLY_BYTES;
        let request = HttpCall { method: Method::Post, headers, body: call.body.clone(), max_reply, ..base };
        let reply = request.send().await?;
        Ok(ServiceReply { status: reply.status, body: reply.body })
    }
}
