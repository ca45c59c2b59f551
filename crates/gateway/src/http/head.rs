//! Parses the heads of requests and responses.

use std::fmt;

use super::Fields;

const MAX_FIELDS: usize = 96;

/// Why a head was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeadError {
    /// The bytes are not an HTTP/1.x head.
    Malformed,
    /// The head has more bytes or header fields than allowed.
    TooLarge,
}

impl fmt::Display for HeadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            HeadError::Malformed => "the message head is malformed",
            HeadError::TooLarge => "the message head is too large",
        })
    }
}

impl std::error::Error for HeadError {}

impl From<httparse::Error> for HeadError {
    fn from(error: httparse::Error) -> HeadError {
        match error {
            httparse::Error::TooManyHeaders => HeadError::TooLarge,
            _ => HeadError::Malformed,
        }
    }
}

/// The request line and header fields of a request.
#[derive(Debug, Clone)]
pub struct RequestHead {
    /// The method.
    pub method: String,
    /// The request target (path and query), exactly as received.
    pub target: String,
    /// Whether the version is HTTP/1.1 rather than 1.0.
    pub is_http11: bool,
    /// The header fields.
    pub fields: Fields,
}

impl RequestHead {
    /// Parses a head at the start of `bytes` and returns it with its length; `None` if it is incomplete.
    ///
    /// # Errors
    ///
    /// The bytes are malformed, or the head exceeds `max_bytes` or the limit on header fields.
    pub fn parse(bytes: &[u8], max_bytes: usize) -> Result<Option<(RequestHead, usize)>, HeadError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut request = httparse::Request::new(&mut headers);
        let httparse::Status::Complete(length) = request.parse(bytes)? else {
            return if bytes.len() > max_bytes { Err(HeadError::TooLarge) } else { Ok(None) };
        };
        if length > max_bytes {
            return Err(HeadError::TooLarge);
        }
        let (Some(method), Some(target), Some(version)) = (request.method, request.path, request.version) else {
            return Err(HeadError::Malformed);
        };
        let head = RequestHead {
            method: method.to_owned(),
            target: target.to_owned(),
            is_http11: version == 1,
            fields: Fields::copy(request.headers),
        };
        Ok(Some((head, length)))
    }

    /// The target's path, without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or(&self.target)
    }

    /// The value of a query parameter, without percent-decoding.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        query.split('&').find_map(|pair| pair.split_once('=').filter(|(key, _)| *key == name).map(|(_, value)| value))
    }

    /// Whether the caller wants to keep the connection open after the answer.
    pub fn keeps_alive(&self) -> bool {
        self.is_http11 && !self.fields.has_token("connection", "close")
    }
}

/// The status line and header fields of a response.
#[derive(Debug, Clone)]
pub struct ResponseHead {
    /// The status code, from 100 to 599.
    pub status: u16,
    /// The reason phrase.
    pub reason: String,
    /// Whether the version is HTTP/1.1 rather than 1.0.
    pub is_http11: bool,
    /// The header fields.
    pub fields: Fields,
}

impl ResponseHead {
    /// Parses a head at the start of `bytes` and returns it with its length; `None` if it is incomplete.
    ///
    /// # Errors
    ///
    /// The bytes are malformed, the status is none that HTTP has, or the head exceeds `max_bytes` or the limit on header fields.
    pub fn parse(bytes: &[u8], max_bytes: usize) -> Result<Option<(ResponseHead, usize)>, HeadError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut response = httparse::Response::new(&mut headers);
        let httparse::Status::Complete(length) = response.parse(bytes)? else {
            return if bytes.len() > max_bytes { Err(HeadError::TooLarge) } else { Ok(None) };
        };
        let (Some(status @ 100..=599), Some(version)) = (response.code, response.version) else {
            return Err(HeadError::Malformed);
        };
        let head = ResponseHead {
            status,
            reason: response.reason.unwrap_or_default().to_owned(),
            is_http11: version == 1,
            fields: Fields::copy(response.headers),
        };
        Ok(Some((head, length)))
    }

    /// Whether the status is 2xx.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Whether the server keeps the connection open after this response.
    pub fn keeps_alive(&self) -> bool {
        self.is_http11 && !self.fields.has_token("connection", "close")
    }
}
