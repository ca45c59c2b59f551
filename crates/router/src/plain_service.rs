//! Plain services beside the model engines.

use teaselcroft_parts::{Millis, RequestId};

use crate::http_client::HttpError;

/// A call to a plain service.
#[derive(Debug, Clone)]
pub struct ServiceCall {
    /// The request.
    pub request: RequestId,
    /// The class.
    pub class: String,
    /// The idempotency key, if the caller sent one.
    pub key: Option<String>,
    /// The body.
    pub body: Vec<u8>,
    /// The longest wait for the reply.
    pub timeout: Millis,
}

/// A plain service's reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceReply {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}

/// What the system needs of plain services.
pub trait PlainService: Send + Sync + 'static {
    /// Sends one call, once.
    ///
    /// # Errors
    ///
    /// Says whether the service may have run it.
    fn call(&self, address: &str, call: &ServiceCall) -> impl Future<Output = Result<ServiceReply, HttpError>> + Send;
}
