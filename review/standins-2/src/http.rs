//! Reads HTTP/1.1 messages from blocking streams, for clients and servers alike.

use std::io::{Read, Write};
use std::net::TcpStream;

/// A message's head and body; the first line is kept as it stands.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first_line: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body arrived in full.
    pub is_complete: bool,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    /// The method and target of a request.
    pub fn request_line(&self) -> (&str, &str) {
        let mut words = self.first_line.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    /// The status of an answer, 0 if there is none.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    /// A parameter of a request's query, percent-decoded.
    pub fn query(&self, name: &str) -> String {
        let (_, target) = self.request_line();
        let (_, query) = target.split_once('?').unwrap_or((target, ""));
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(key, _)| *key == name).map_or(String::new(), |(_, value)| decode(value))
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// A stream with the bytes that were read and not used yet.
pub struct Peer {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Peer {
    pub fn new(stream: TcpStream) -> Peer {
        // Without this, small answers wait for acknowledgements.
        let _set = stream.set_nodelay(true);
        Peer { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> bool {
        let mut chunk = [0; 16_384];
        let count = self.stream.read(&mut chunk).unwrap_or(0);
        self.buffer.extend_from_slice(&chunk[..count]);
        count > 0
    }

    /// Reads a message; `None` if the stream ends before its head does.
    pub fn read(&mut self) -> Option<Message> {
        let end = loop {
            if let Some(at) = self.buffer.windows(4).position(|four| four == b"\r\n\r\n") {
                break at + 4;
            }
            if !self.fill() {
                return None;
            }
        };
        let head: Vec<u8> = self.buffer.drain(..end).collect();
        let head = String::from_utf8_lossy(&head).into_owned();
        let mut lines = head.lines();
        let first_line = lines.next()?.to_owned();
        let split = |line: &str| line.split_once(':').map(|(key, value)| (key.to_owned(), value.trim().to_owned()));
        let mut message = Message { first_line, fields: lines.filter_map(split).collect(), ..Message::default() };
        self.read_body(&mut message);
        Some(message)
    }

    fn read_body(&mut self, message: &mut Message) {
        if message.field("transfer-encoding").is_some() {
            return self.read_chunks(message);
        }
        let length = message.field("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        while self.buffer.len() < length && self.fill() {}
        message.is_complete = self.buffer.len() >= length;
        message.body = self.buffer.drain(..length.min(self.buffer.len())).collect();
    }

    fn read_chunks(&mut self, message: &mut Message) {
        loop {
            let end = loop {
                if let Some(at) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                    break at;
                }
                if !self.fill() {
                    return;
                }
            };
            let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
            let Ok(size) = usize::from_str_radix(&line, 16) else { return };
            while self.buffer.len() < end + size + 4 {
                if !self.fill() {
                    return;
                }
            }
            message.body.extend_from_slice(&self.buffer[end + 2..end + 2 + size]);
            self.buffer.drain(..end + size + 4);
            if size == 0 {
                message.is_complete = true;
                return;
            }
        }
    }

    /// Whether the other side has closed the connection.
    pub fn is_closed(&self) -> bool {
        let is_set = self.stream.set_nonblocking(true).is_ok();
        let is_closed = matches!(self.stream.peek(&mut [0]), Ok(0));
        is_set && self.stream.set_nonblocking(false).is_ok() && is_closed
    }

    /// Writes; false if the other side is gone.
    pub fn write(&mut self, text: &str) -> bool {
        self.stream.write_all(text.as_bytes()).is_ok()
    }
}

/// An answer with a JSON body.
pub fn json_answer(status: u16, fields: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n{fields}Content-Length: {length}\r\n\r\n{body}"
    )
}
