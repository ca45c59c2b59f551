//! Heads of requests and responses.

use std::fmt;

use super::Fields;

const MAX_FIELDS: usize = 96;

/// A head that is not HTTP/1.x or is too large.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeadError {
    /// The bytes are not a head.
    Malformed,
    /// The head has more bytes or fields than allowed.
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

/// A request's head.
#[derive(Debug, Clone)]
pub struct RequestHead {
    /// The method.
    pub method: String,
    /// The target as the caller sent it.
    pub target: String,
    /// Whether the caller speaks HTTP/1.1 rather than 1.0.
    pub is_http11: bool,
    /// The fields.
    pub fields: Fields,
}

impl RequestHead {
    /// Parses a head at the start of `bytes`; `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// The bytes cannot become a head, or it would exceed `max_bytes`.
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

    /// The value of a query parameter, percent-decoding left out.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        query.split('&').find_map(|pair| pair.split_once('=').filter(|(key, _)| *key == name).map(|(_, value)| value))
    }

    /// Whether the caller wants the connection kept after the answer.
    pub fn keeps_alive(&self) -> bool {
        self.is_http11 && !self.fields.has_token("connection", "close")
    }
}

/// A response's head.
#[derive(Debug, Clone)]
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// The reason phrase.
    pub reason: String,
    /// Whether the runner speaks HTTP/1.1 rather than 1.0.
    pub is_http11: bool,
    /// The fields.
    pub fields: Fields,
}

impl ResponseHead {
    /// Parses a head at the start of `bytes`; `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// The bytes cannot become a head, or it would exceed `max_bytes`.
    pub fn parse(bytes: &[u8], max_bytes: usize) -> Result<Option<(ResponseHead, usize)>, HeadError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut response = httparse::Response::new(&mut headers);
        let httparse::Status::Complete(length) = response.parse(bytes)? else {
            return if bytes.len() > max_bytes { Err(HeadError::TooLarge) } else { Ok(None) };
        };
        let (Some(status), Some(version)) = (response.code, response.version) else {
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

    /// Whether the status says success.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Whether the runner keeps the connection after this response.
    pub fn keeps_alive(&self) -> bool {
        self.is_http11 && !self.fields.has_token("connection", "close")
    }
}
