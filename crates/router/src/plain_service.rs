//! The interface to plain services: upstreams that answer with one reply instead of a token stream.

use teaselcroft_parts::{Millis, RequestId};

use crate::http_client::HttpError;

/// A call to a plain service.
#[derive(Debug, Clone)]
pub struct ServiceCall {
    /// The request id.
    pub request: RequestId,
    /// The request's class.
    pub class: String,
    /// The idempotency key, if the caller sent one.
    pub key: Option<String>,
    /// The request body, passed on unchanged.
    pub body: Vec<u8>,
    /// Timeout for the reply.
    pub timeout: Millis,
}

/// A plain service's reply; any HTTP status counts as a reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceReply {
    /// The HTTP status code.
    pub status: u16,
    /// The reply body.
    pub body: Vec<u8>,
}

/// A client of plain services; every call names the runner by its address.
pub trait PlainService: Send + Sync + 'static {
    /// Sends one call without retries.
    ///
    /// # Errors
    ///
    /// The error says whether the service may have run the call.
    fn call(&self, address: &str, call: &ServiceCall) -> impl Future<Output = Result<ServiceReply, HttpError>> + Send;
}
