//! Replies to callers.

use http_types::{Response, StatusCode};
use serde::Serialize;
use teaselcroft_parts::Millis;
use teaselcroft_policy::ResultCode;

#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    error: ErrorWire<'a>,
}

#[derive(Debug, Serialize)]
struct ErrorWire<'a> {
    code: u32,
    name: &'a str,
    ran: &'a str,
    message: &'a str,
    retry_after_ms: u64,
}

/// The JSON form of a refusal.
pub fn error_json(code: ResultCode, retry: Millis) -> String {
    let error = ErrorWire {
        code: code.number(),
        name: code.name(),
        ran: code.ran().as_str(),
        message: code.text(),
        retry_after_ms: retry.0,
    };
    serde_json::to_string(&ErrorBody { error }).unwrap_or_default()
}

/// Marks a reply with its result code.
pub fn set_result_headers(response: &mut Response, code: ResultCode, retry: Millis) {
    response.insert_header("x-teaselcroft-code", code.number().to_string());
    response.insert_header("x-teaselcroft-ran", code.ran().as_str());
    if retry > Millis(0) {
        response.insert_header("retry-after-ms", retry.0.to_string());
        response.insert_header("retry-after", retry.0.div_ceil(1000).to_string());
    }
}

/// A refusal with its code, what it says about execution, and when to try again.
pub fn refusal(code: ResultCode, retry: Millis) -> Response {
    let status = StatusCode::try_from(code.status()).unwrap_or(StatusCode::InternalServerError);
    let mut response = Response::new(status);
    response.set_body(error_json(code, retry));
    response.set_content_type(http_types::mime::JSON);
    set_result_headers(&mut response, code, retry);
    response
}

/// A JSON reply.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response {
    let mut response = Response::new(status);
    response.set_body(serde_json::to_string(value).unwrap_or_default());
    response.set_content_type(http_types::mime::JSON);
    response
}
