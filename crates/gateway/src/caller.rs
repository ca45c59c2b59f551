//! Writes the answer to one request to its caller.

use std::sync::atomic::{AtomicBool, Ordering};

use futures_lite::AsyncWriteExt;

use crate::http::{Reply, ResponseHead, Socket, is_hop_by_hop};

/// Writes the answer to one request to its caller, and notes how far the request got.
#[derive(Debug)]
pub struct Caller {
    socket: Socket,
    keep_alive: bool,
    chunked: bool,
    started: AtomicBool,
    dispatched: AtomicBool,
}

/// The caller's connection broke before the answer was written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerGone;

impl Caller {
    /// A caller connected by `socket`. HTTP/1.0 callers get no chunked bodies and no further request.
    pub fn new(socket: Socket, keep_alive: bool, is_http11: bool) -> Caller {
        Caller {
            socket,
            keep_alive: keep_alive && is_http11,
            chunked: is_http11,
            started: AtomicBool::new(false),
            dispatched: AtomicBool::new(false),
        }
    }

    /// Whether the connection is kept for another request.
    pub fn keep_alive(&self) -> bool {
        self.keep_alive
    }

    /// Whether writing an answer has begun, so that no other answer can be given.
    pub fn is_started(&self) -> bool {
        self.started.load(Ordering::Relaxed)
    }

    /// Sets whether the request was sent to a runner that may execute it.
    pub fn set_dispatched(&self, dispatched: bool) {
        self.dispatched.store(dispatched, Ordering::Relaxed);
    }

    /// Whether a runner may have executed the request.
    pub fn is_dispatched(&self) -> bool {
        self.dispatched.load(Ordering::Relaxed)
    }

    /// Sends an answer that the gateway produced itself.
    pub async fn reply(&self, reply: &Reply) -> Result<(), CallerGone> {
        self.write(&reply.encode(self.keep_alive)).await
    }

    /// Sends a runner's complete answer.
    pub async fn send_response(&self, head: &ResponseHead, body: &[u8]) -> Result<(), CallerGone> {
        let mut bytes = self.head_lines(head);
        if head.status != 204 && head.status != 304 {
            bytes.extend_from_slice(format!("Content-Length: {}\r\n", body.len()).as_bytes());
        }
        bytes.extend_from_slice(b"\r\n");
        bytes.extend_from_slice(body);
        self.write(&bytes).await
    }

    /// Sends a part of a streamed body; the first call also sends the head.
    pub async fn send_chunk(&self, head: &ResponseHead, chunk: &[u8]) -> Result<(), CallerGone> {
        let mut bytes = if self.is_started() { Vec::with_capacity(chunk.len() + 16) } else { self.stream_head(head) };
        if self.chunked {
            bytes.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        }
        bytes.extend_from_slice(chunk);
        if self.chunked {
            bytes.extend_from_slice(b"\r\n");
        }
        self.write(&bytes).await
    }

    /// Ends a streamed body; sends the head too if no part was sent before.
    pub async fn finish(&self, head: &ResponseHead) -> Result<(), CallerGone> {
        let mut bytes = if self.is_started() { Vec::new() } else { self.stream_head(head) };
        if self.chunked {
            bytes.extend_from_slice(b"0\r\n\r\n");
        }
        self.write(&bytes).await
    }

    fn stream_head(&self, head: &ResponseHead) -> Vec<u8> {
        let mut bytes = self.head_lines(head);
        if self.chunked {
            bytes.extend_from_slice(b"Transfer-Encoding: chunked\r\n");
        }
        bytes.extend_from_slice(b"\r\n");
        bytes
    }

    fn head_lines(&self, head: &ResponseHead) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(512);
        bytes.extend_from_slice(format!("HTTP/1.1 {} {}\r\n", head.status, head.reason).as_bytes());
        for (name, value) in head.fields.iter().filter(|(name, _)| !is_hop_by_hop(name)) {
            bytes.extend_from_slice(name);
            bytes.extend_from_slice(b": ");
            bytes.extend_from_slice(value);
            bytes.extend_from_slice(b"\r\n");
        }
        if !self.keep_alive {
            bytes.extend_from_slice(b"Connection: close\r\n");
        }
        bytes
    }

    async fn write(&self, bytes: &[u8]) -> Result<(), CallerGone> {
        self.started.store(true, Ordering::Relaxed);
        (&*self.socket).write_all(bytes).await.map_err(|_| CallerGone)
    }
}
