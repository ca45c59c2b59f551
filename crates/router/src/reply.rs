//! HTTP replies to callers and operators.

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

/// The JSON body of an error reply.
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

/// Sets the headers for the result code, for whether the request ran, and for the retry delay if there is
/// one.
pub fn set_result_headers(response: &mut Response, code: ResultCode, retry: Millis) {
    response.insert_header("x-teaselcroft-code", code.number().to_string());
    response.insert_header("x-teaselcroft-ran", code.ran().as_str());
    if retry > Millis(0) {
        response.insert_header("retry-after-ms", retry.0.to_string());
        response.insert_header("retry-after", retry.0.div_ceil(1000).to_string());
    }
}

/// An error reply: the HTTP status of `code`, a JSON body and the result headers.
pub fn refusal(code: ResultCode, retry: Millis) -> Response {
    let status = StatusCode::try_from(code.status()).unwrap_or(StatusCode::InternalServerError);
    let mut response = Response::new(status);
    response.set_body(error_json(code, retry));
    response.set_content_type(http_types::mime::JSON);
    set_result_headers(&mut response, code, retry);
    response
}

/// A reply with `value` as its JSON body.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response {
    let mut response = Response::new(status);
    response.set_body(serde_json::to_string(value).unwrap_or_default());
    response.set_content_type(http_types::mime::JSON);
    response
}
