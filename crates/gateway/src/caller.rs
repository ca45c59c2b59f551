//! The caller's side of one exchange.

use std::sync::atomic::{AtomicBool, Ordering};

use futures_lite::AsyncWriteExt;

use crate::http::{Reply, ResponseHead, Socket, is_hop_by_hop};

/// The caller's side of one exchange.
#[derive(Debug)]
pub struct Caller {
    socket: Socket,
    keep_alive: bool,
    chunked: bool,
    started: AtomicBool,
    offered: AtomicBool,
}

/// The caller's connection broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerGone;

impl Caller {
    /// A caller on `socket`; `is_http11` if it understands chunks.
    pub fn new(socket: Socket, keep_alive: bool, is_http11: bool) -> Caller {
        Caller {
            socket,
            keep_alive: keep_alive && is_http11,
            chunked: is_http11,
            started: AtomicBool::new(false),
            offered: AtomicBool::new(false),
        }
    }

    /// Whether the connection carries on after this exchange.
    pub fn keep_alive(&self) -> bool {
        self.keep_alive
    }

    /// Whether a part of the answer was sent.
    pub fn is_started(&self) -> bool {
        self.started.load(Ordering::Relaxed)
    }

    /// Notes that the request was sent to a runner that may run it.
    pub fn note_offer(&self, offered: bool) {
        self.offered.store(offered, Ordering::Relaxed);
    }

    /// Whether a runner may have run the request.
    pub fn is_offered(&self) -> bool {
        self.offered.load(Ordering::Relaxed)
    }

    /// Sends an answer of the gateway's own.
    pub async fn reply(&self, reply: &Reply) -> Result<(), CallerGone> {
        self.write(&reply.encode(self.keep_alive)).await
    }

    /// Sends a runner's whole answer.
    pub async fn whole(&self, head: &ResponseHead, body: &[u8]) -> Result<(), CallerGone> {
        let mut bytes = self.head_lines(head);
        if head.status != 204 && head.status != 304 {
            bytes.extend_from_slice(format!("Content-Length: {}\r\n", body.len()).as_bytes());
        }
        bytes.extend_from_slice(b"\r\n");
        bytes.extend_from_slice(body);
        self.write(&bytes).await
    }

    /// Sends a piece of a stream, the head before the first.
    pub async fn piece(&self, head: &ResponseHead, piece: &[u8]) -> Result<(), CallerGone> {
        let mut bytes = if self.is_started() { Vec::with_capacity(piece.len() + 16) } else { self.stream_head(head) };
        if self.chunked {
            bytes.extend_from_slice(format!("{:x}\r\n", piece.len()).as_bytes());
        }
        bytes.extend_from_slice(piece);
        if self.chunked {
            bytes.extend_from_slice(b"\r\n");
        }
        self.write(&bytes).await
    }

    /// Ends a stream.
    pub async fn end(&self, head: &ResponseHead) -> Result<(), CallerGone> {
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
