//! Finds out how a message's body is delimited.

use std::fmt;

use super::{Fields, RequestHead, ResponseHead};

/// How a body is delimited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyLength {
    /// This many bytes.
    Fixed(u64),
    /// Chunked transfer coding, up to the empty chunk.
    Chunked,
    /// All bytes until the connection closes.
    UntilClose,
}

/// A message whose framing is malformed or ambiguous.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FramingError;

impl fmt::Display for FramingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the message's length fields contradict one another or cannot be read")
    }
}

impl std::error::Error for FramingError {}

/// How a request's body is delimited. Anything that another parser could read differently is an error, which
/// prevents request smuggling.
///
/// # Errors
///
/// The length fields are ambiguous.
pub fn request_body(head: &RequestHead) -> Result<BodyLength, FramingError> {
    let length = content_length(&head.fields)?;
    match (transfer_coding(&head.fields)?, length) {
        (true, None) if head.is_http11 => Ok(BodyLength::Chunked),
        (true, _) => Err(FramingError),
        (false, length) => Ok(BodyLength::Fixed(length.unwrap_or(0))),
    }
}

/// How the body of a response to a `method` request is delimited.
///
/// # Errors
///
/// The length fields are ambiguous.
pub fn response_body(method: &str, head: &ResponseHead) -> Result<BodyLength, FramingError> {
    if method == "HEAD" || head.status < 200 || head.status == 204 || head.status == 304 {
        return Ok(BodyLength::Fixed(0));
    }
    match (transfer_coding(&head.fields)?, content_length(&head.fields)?) {
        (true, None) => Ok(BodyLength::Chunked),
        (true, Some(_)) => Err(FramingError),
        (false, Some(length)) => Ok(BodyLength::Fixed(length)),
        (false, None) => Ok(BodyLength::UntilClose),
    }
}

/// Whether a header field is for one connection only and must not be forwarded.
pub fn is_hop_by_hop(name: &[u8]) -> bool {
    const NAMES: [&str; 10] = [
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
    ];
    NAMES.iter().any(|hop| name.eq_ignore_ascii_case(hop.as_bytes()))
}

fn content_length(fields: &Fields) -> Result<Option<u64>, FramingError> {
    let mut length = None;
    for value in fields.all("content-length") {
        if value.is_empty() || !value.iter().all(u8::is_ascii_digit) {
            return Err(FramingError);
        }
        let text = std::str::from_utf8(value).map_err(|_| FramingError)?;
        let number: u64 = text.parse().map_err(|_| FramingError)?;
        if length.is_some_and(|other| other != number) {
            return Err(FramingError);
        }
        length = Some(number);
    }
    Ok(length)
}

fn transfer_coding(fields: &Fields) -> Result<bool, FramingError> {
    let mut codings = fields.all("transfer-encoding");
    let Some(coding) = codings.next() else {
        return Ok(false);
    };
    if codings.next().is_some() || !coding.trim_ascii().eq_ignore_ascii_case(b"chunked") {
        return Err(FramingError);
    }
    Ok(true)
}
