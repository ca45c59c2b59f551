//! Answers that the gateway produces itself.

use std::time::Duration;

/// An answer that the gateway produces itself.
#[derive(Debug, Clone, PartialEq)]
pub struct Reply {
    /// The status code.
    pub status: u16,
    /// How long the caller should wait before it tries again.
    pub retry_after: Option<Duration>,
    /// The body's media type.
    pub media_type: &'static str,
    /// The body.
    pub body: Vec<u8>,
}

impl Reply {
    /// A plain-text reply; `text` ends with its line break.
    pub fn text(status: u16, text: &str) -> Reply {
        Reply { status, retry_after: None, media_type: "text/plain", body: text.as_bytes().to_vec() }
    }

    /// Encodes the reply for the wire.
    pub fn encode(&self, keep_alive: bool) -> Vec<u8> {
        let mut head = format!(
            "HTTP/1.1 {} {}\r\nContent-Type: {}\r\nContent-Length: {}\r\n",
            self.status,
            reason_phrase(self.status),
            self.media_type,
            self.body.len()
        );
        if let Some(delay) = self.retry_after {
            head.push_str(&format!("Retry-After: {:.2}\r\n", delay.as_secs_f64()));
        }
        if !keep_alive {
            head.push_str("Connection: close\r\n");
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
