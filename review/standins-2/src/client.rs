//! Callers.

use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::{Message, Peer};
use crate::record::Record;

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// A request of a caller.
#[derive(Debug, Clone, Default)]
pub struct Request {
    pub method: &'static str,
    pub path: String,
    pub id: String,
    /// Further header lines, each with its line break.
    pub fields: String,
    pub body: String,
    pub deadline_ms: u64,
}

/// A request's bytes.
pub fn encode(request: &Request) -> String {
    let Request { method, path, id, fields, body, deadline_ms } = request;
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {deadline_ms}\r\n\
         X-Key: {KEY}\r\n{fields}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Sends a request on a new connection and reads its answer; returns the status, 0 if none came.
pub fn send(front: SocketAddr, request: &Request, record: &Record) -> u16 {
    exchange(front, request, record).status()
}

/// The same, but returns the answer, which is empty if none came.
pub fn exchange(front: SocketAddr, request: &Request, record: &Record) -> Message {
    let Request { method, path, id, deadline_ms, .. } = request;
    let text = encode(request);
    record.note(format!("client   {id} sends {method} {path} to {front}"));
    let Ok(stream) = TcpStream::connect_timeout(&front, Duration::from_secs(1)) else {
        record.note(format!("client   {id} has no connection"));
        return Message::default();
    };
    // The caller leaves at its deadline.
    let _set = stream.set_read_timeout(Some(Duration::from_millis(*deadline_ms)));
    let mut peer = Peer::new(stream);
    let answer = if peer.write(&text) { peer.read().unwrap_or_default() } else { Default::default() };
    let whole = if answer.is_complete { "whole" } else { "not whole" };
    record.note(format!("client   {id} gets {} ({whole})", answer.status()));
    answer
}
