//! The little HTTP/1.1 that the stand-ins speak.

use std::io::{Read, Write};
use std::net::TcpStream;

/// A request that a stand-in received.
#[derive(Debug, Clone)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    /// A query parameter, percent-decoded; empty if absent.
    pub fn query(&self, name: &str) -> String {
        let query = self.target.split_once('?').map_or("", |(_, query)| query);
        let pair = query.split('&').filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name);
        decode_percent(pair.map_or("", |(_, value)| value))
    }
}

fn decode_percent(text: &str) -> String {
    let (bytes, mut at, mut out) = (text.as_bytes(), 0, Vec::new());
    while at < bytes.len() {
        let escape = text.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        match escape.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
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

fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    let mut chunk = [0; 16_384];
    let count = stream.read(&mut chunk).ok().filter(|count| *count > 0)?;
    buffer.extend_from_slice(&chunk[..count]);
    Some(())
}

/// The end of the first head in `bytes`.
pub fn head_end(bytes: &[u8]) -> Option<usize> {
    bytes.windows(4).position(|four| four == b"\r\n\r\n").map(|at| at + 4)
}

fn parse_head(head: &[u8]) -> Option<(String, Vec<(String, String)>)> {
    let text = std::str::from_utf8(head).ok()?;
    let mut lines = text.split("\r\n");
    let first = lines.next()?.to_owned();
    let headers = lines.filter_map(|line| line.split_once(':'));
    Some((first, headers.map(|(key, value)| (key.trim().to_owned(), value.trim().to_owned())).collect()))
}

/// Reads the next request of a connection, or `None` when it ends; bytes beyond the request stay in `buffer`.
pub fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Request> {
    let end = loop {
        if let Some(end) = head_end(buffer) {
            break end;
        }
        fill(stream, buffer)?;
    };
    let (first, headers) = parse_head(&buffer[..end])?;
    let mut words = first.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let mut request = Request { method, target, headers, body: Vec::new() };
    let length: usize = request.header("content-length").map_or(Some(0), |value| value.parse().ok())?;
    while buffer.len() < end + length {
        fill(stream, buffer)?;
    }
    request.body = buffer[end..end + length].to_vec();
    buffer.drain(..end + length);
    Some(request)
}

/// Writes bytes; errors are ignored, as the other side may have closed and the cases judge what it received.
pub fn send(stream: &mut TcpStream, bytes: &[u8]) {
    let _sent = stream.write_all(bytes);
}

/// An answer as a caller received it.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// 0 if no whole head arrived.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body is whole by its framing.
    pub is_whole: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }
}

/// Reads one answer until it is whole, the connection ends, or the stream's read timeout passes.
pub fn read_answer(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Answer {
    let end = loop {
        if let Some(end) = head_end(buffer) {
            break end;
        }
        if fill(stream, buffer).is_none() {
            return Answer::default();
        }
    };
    let Some((first, headers)) = parse_head(&buffer[..end]) else {
        return Answer::default();
    };
    buffer.drain(..end);
    let status = first.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
    let mut answer = Answer { status, headers, ..Answer::default() };
    if let Some(length) = answer.header("content-length").and_then(|value| value.parse::<usize>().ok()) {
        while buffer.len() < length && fill(stream, buffer).is_some() {}
        answer.is_whole = buffer.len() >= length;
        let count = length.min(buffer.len());
        answer.body = buffer.drain(..count).collect();
        return answer;
    }
    loop {
        let line_end = loop {
            if let Some(at) = buffer.windows(2).position(|two| two == b"\r\n") {
                break at;
            }
            if fill(stream, buffer).is_none() {
                return answer;
            }
        };
        let line = String::from_utf8_lossy(&buffer[..line_end]).into_owned();
        let Ok(size) = usize::from_str_radix(line.trim(), 16) else {
            return answer;
        };
        while buffer.len() < line_end + size + 4 {
            if fill(stream, buffer).is_none() {
                let rest = buffer.len().min(line_end + 2 + size);
                answer.body.extend_from_slice(&buffer[line_end + 2..rest.max(line_end + 2)]);
                return answer;
            }
        }
        answer.body.extend_from_slice(&buffer[line_end + 2..line_end + 2 + size]);
        buffer.drain(..line_end + size + 4);
        if size == 0 {
            answer.is_whole = true;
            return answer;
        }
    }
}
